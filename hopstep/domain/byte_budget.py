"""Budget for the bytes that a node holds on behalf of clients and instances.

Each request has a share of the budget. A request is admitted with its body and the first
``RESPONSE_BYTES`` of its response; only responses within the spare part of the budget may take
more, so that large responses don't keep other requests from being admitted.

Load pattern: clients that read slowly or not at all, at machines with little memory.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec

MEGABYTE = 1_000_000
PROCESS_BYTES = 64 * MEGABYTE
"""Memory of a node that holds nothing for anyone."""

MEMORY_PARTS = 4
"""The budget is at most one of this many equal parts of the machine's memory."""

MIN_LIMIT_BYTES = MEGABYTE
"""Smallest budget: a machine without memory for it can't run the process either."""

RESPONSE_BYTES = 64 * 1024
"""Bytes of response that are reserved before a request is sent."""

SPARE_FRACTION = 0.5
"""Responses grow beyond what is reserved while at most this fraction is held; the rest admits new
requests."""

SHORT_FRACTION = 0.75
"""The budget is short when more than this fraction is held."""

STALL_SECONDS = 5.0
"""Seconds without progress after which a client is disconnected while the budget is short."""

ClientId = TypeVar("ClientId")


def byte_limit(memory_mb: float) -> int:
    """Return the budget of a machine in bytes; 0 for no budget.

    Args:
        memory_mb: Memory of the machine in megabytes; 0 when it isn't known.
    """
    if not memory_mb:
        return 0
    memory = int(memory_mb * MEGABYTE)
    return max(MIN_LIMIT_BYTES, min(memory // MEMORY_PARTS, memory - PROCESS_BYTES))


class ByteBudget:
    """Bytes that a node may hold for all requests together, and those that it holds.

    Attributes:
        limit_bytes: Most bytes that may be held; 0 for no limit, and then nothing is counted.
        held_bytes: Bytes that are held.
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        """Start with nothing held.

        Args:
            limit_bytes: Most bytes that may be held; 0 for no limit.
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def spare_limit_bytes(self) -> int:
        """Most held bytes at which responses may still grow beyond what is reserved for them."""
        return int(self.limit_bytes * SPARE_FRACTION)

    @property
    def excess_bytes(self) -> int:
        """Bytes that must be released until the budget isn't short; 0 when it isn't."""
        return max(0, self.held_bytes - int(self.limit_bytes * SHORT_FRACTION))


class ByteShare:
    """What a node holds for one request.

    Attributes:
        request_id: Id of the request; empty when it has none.
        held_bytes: Bytes that are counted for the request.
        refused: Whether its body had no space, so that the request must be refused.
        body_pending: Whether the client still sends the body.
        relayed_in_parts: Whether its response was relayed before it had been read to its end.
    """

    def __init__(self, budget: ByteBudget, request_id: str = "") -> None:
        """Start without any bytes.

        Args:
            budget: Budget of the node.
            request_id: Id of the request.
        """
        self.request_id = request_id
        self.held_bytes = 0
        self.refused = False
        self.body_pending = False
        self.relayed_in_parts = False
        self._budget = budget

    def take(self, count: int) -> bool:
        """Count more bytes for the request; return False, changing nothing, without space."""
        return self._take(count, self._budget.limit_bytes)

    def take_spare(self, count: int) -> bool:
        """Do the same, but leave the last part of the budget to requests that arrive."""
        return self._take(count, self._budget.spare_limit_bytes)

    def _take(self, count: int, limit_bytes: int) -> bool:
        budget = self._budget
        if not budget.limit_bytes:
            return True
        if budget.held_bytes + count > limit_bytes:
            return False
        budget.held_bytes += count
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Return bytes of the request to the budget; at most what is counted for it."""
        count = min(count, self.held_bytes)
        self._budget.held_bytes -= count
        self.held_bytes -= count

    def close(self) -> None:
        """Return all bytes of the request: it has ended."""
        self.release(self.held_bytes)


UNLIMITED_SHARE = ByteShare(ByteBudget())
"""Share of requests at a node without a budget: it counts nothing."""


class ResponseSpace:
    """Space for what is held of one response: ``RESPONSE_BYTES`` are reserved for it before.

    A context manager: what the response took beyond is returned when it is no longer held.
    """

    def __init__(self, share: ByteShare) -> None:
        """Start with what is reserved.

        Args:
            share: Share of the request.
        """
        self._share = share
        self._counted = RESPONSE_BYTES

    def __enter__(self) -> ResponseSpace:
        return self

    def __exit__(self, *_error: object) -> None:
        self.shrink(RESPONSE_BYTES)

    def grow(self, count: int) -> bool:
        """Make space for as many bytes in all; return False, changing nothing, without any."""
        beyond = count - self._counted
        if beyond > 0 and not self._share.take_spare(beyond):
            return False
        self._counted = max(self._counted, count)
        return True

    def shrink(self, count: int) -> None:
        """Return to the budget what is counted beyond as many bytes."""
        if self._counted > count:
            self._share.release(self._counted - count)
            self._counted = count


class WaitingClient(msgspec.Struct, frozen=True):
    """A client that the node waits for, to read its response or to send its body.

    Attributes:
        held_bytes: Bytes that are held for its request.
        waiting_seconds: Seconds since a byte last moved between the node and the client.
    """

    held_bytes: int
    waiting_seconds: float


def choose_stalled(
    clients: Iterable[tuple[ClientId, WaitingClient]], excess_bytes: int
) -> list[ClientId]:
    """Return the clients to disconnect, so that others find space again; none that hold nothing.

    The load it addresses: clients that stop reading hold the whole budget, and every other request
    is refused. Clients without progress for ``STALL_SECONDS`` are disconnected, the longest waiting
    first, until the budget isn't short any more.

    Args:
        clients: Clients that the node waits for.
        excess_bytes: Bytes to release; 0 while the budget isn't short.
    """
    overdue = [
        each
        for each in clients
        if each[1].waiting_seconds >= STALL_SECONDS and each[1].held_bytes > 0
    ]
    overdue.sort(key=lambda each: each[1].waiting_seconds, reverse=True)
    chosen = []
    for client, waiting in overdue:
        if excess_bytes <= 0:
            break
        excess_bytes -= waiting.held_bytes
        chosen.append(client)
    return chosen
