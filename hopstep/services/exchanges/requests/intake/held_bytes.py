"""Counts the bytes that a node holds for each request, and disconnects clients that don't read."""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator

import trio

from hopstep.domain.byte_budget import (
    RESPONSE_BYTES,
    ByteBudget,
    ByteShare,
    ResponseSpace,
    WaitingClient,
    choose_stalled,
)
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.log_events.requests import STALLED_CLIENT_DISCONNECTED
from hopstep.logs import emit
from hopstep.ports.exchange_front import ClientConnection
from hopstep.ports.instance_calls import InstanceCallError
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics

CHECK_SECONDS = 0.5
"""Seconds between two searches for clients that don't read."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024

MAX_UNSTATED_BYTES = 256 * 1024
"""Bytes that are held of an answer that doesn't state its length, and so may have no end."""

PIECE_BYTES = 16 * 1024
"""Size up to which small parts of a response are joined, since each object costs memory."""


class HeldBytes:
    """The budget of a node, and the connections of the clients that it is held for.

    Attributes:
        budget: Bytes that are held for all requests.
    """

    def __init__(self, limit_bytes: int, metrics: ExchangeMetrics) -> None:
        """Start with nothing held.

        Args:
            limit_bytes: Most bytes that may be held; 0 for no limit.
            metrics: Counts refusals, responses in parts and disconnected clients.
        """
        self.budget = ByteBudget(limit_bytes)
        self._metrics = metrics
        self._connections: dict[ByteShare, ClientConnection] = {}

    @contextlib.contextmanager
    def open_share(
        self, request_id: str, connection: ClientConnection | None
    ) -> Iterator[ByteShare]:
        """Yield the share of one request, from the head of the request to the end of its response.

        Args:
            request_id: Id of the request; empty when it has none.
            connection: Connection of its client; None when it isn't tracked.
        """
        share = ByteShare(self.budget, request_id)
        if connection is not None:
            self._connections[share] = connection
        try:
            yield share
        finally:
            share.close()
            self._connections.pop(share, None)
            self._count(share)

    async def run(self) -> None:
        """Disconnect clients that don't read, until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            self.disconnect_stalled()

    def disconnect_stalled(self) -> None:
        """Disconnect clients that hold bytes without progress while the budget is short."""
        excess = self.budget.excess_bytes
        if not excess:
            return
        now = trio.current_time()
        waiting = [
            (share, WaitingClient(share.held_bytes, now - connection.last_progress_at))
            for share, connection in self._connections.items()
            if share.body_pending or connection.is_writing
        ]
        for share in choose_stalled(waiting, excess):
            connection = self._connections.pop(share)
            emit(
                STALLED_CLIENT_DISCONNECTED,
                request_id=share.request_id,
                client=connection.client,
                waiting_seconds=round(now - connection.last_progress_at, 3),
                held_bytes=share.held_bytes,
                all_held_bytes=self.budget.held_bytes,
                limit_bytes=self.budget.limit_bytes,
            )
            self._metrics.stalled_clients.inc()
            connection.disconnect()

    def _count(self, share: ByteShare) -> None:
        """Count a request that has ended by what the budget did to it."""
        if share.refused:
            self._metrics.refused_for_memory.inc()
        if share.relayed_in_parts:
            self._metrics.responses_in_parts.inc()


def require_space(share: ByteShare) -> None:
    """Reserve space for the beginning of a response, before the request is sent.

    Raises:
        ServiceError: When the budget has no space for the response.
    """
    if share.take(RESPONSE_BYTES):
        return
    share.refused = True
    share.close()
    raise no_space()


def no_space() -> ServiceError:
    """Return the refusal of a request for whose body or response the budget has no space."""
    return ServiceError(ErrorCode.OVERLOADED, "the node holds too many bytes for other clients")


def require_length(size: int) -> None:
    """Raise ``InstanceCallError`` when a response is longer than any that is relayed."""
    if size > MAX_RESPONSE_BYTES:
        raise InstanceCallError(
            ErrorCode.EXECUTION_UNKNOWN, "the answer is too long", Execution.UNKNOWN
        )


class HeldResponse:
    """A response while it is read and sent, held in pieces.

    Attributes:
        size: Bytes that were added.
    """

    def __init__(self, space: ResponseSpace, *, has_length: bool) -> None:
        """Start without any bytes.

        Args:
            space: Space for the response.
            has_length: Whether its length is stated.
        """
        self.size = 0
        self._space = space
        self._max_bytes = MAX_RESPONSE_BYTES if has_length else MAX_UNSTATED_BYTES
        self._pieces: deque[bytes | bytearray] = deque()

    def add(self, data: bytes) -> bool:
        """Keep bytes that arrived; return False, keeping nothing of them, without space.

        Raises:
            InstanceCallError: When the response is longer than any that is relayed.
        """
        require_length(self.size + len(data))
        if self.size + len(data) > self._max_bytes:
            return False
        if not self._space.grow(self.size + len(data)):
            return False
        self.size += len(data)
        self._append(data)
        return True

    def _append(self, data: bytes) -> None:
        """Append bytes to the last piece if both are small, else as a new piece."""
        last = self._pieces[-1] if self._pieces else b""
        if isinstance(last, bytearray) and len(last) + len(data) <= PIECE_BYTES:
            last += data
        elif len(data) < PIECE_BYTES:
            self._pieces.append(bytearray(data))
        else:
            self._pieces.append(data)

    def read(self) -> bytes:
        """Return all bytes; they stay held."""
        return b"".join(self._pieces)

    def take_pieces(self, reserved_bytes: int = 0) -> Iterator[bytes]:
        """Yield the pieces in order; each one is released when the next one is asked for.

        Args:
            reserved_bytes: Space that is kept, for parts that follow the pieces.
        """
        unsent = self.size
        self._space.shrink(max(unsent, reserved_bytes))
        while self._pieces:
            piece = bytes(self._pieces.popleft())
            yield piece
            unsent -= len(piece)
            self._space.shrink(max(unsent, reserved_bytes))
