"""One HTTP/1.1 connection, used through the connection pools of ``httpcore``."""

from __future__ import annotations

import contextlib
import enum
import itertools
from collections.abc import AsyncIterator, Callable

import httpcore
import msgspec
import trio

from hopstep.domain.connection_reuse import MAX_SENDS, SentIdentifiers
from hopstep.platform.http_call import ConnectionUse, HttpCall, SendTrace
from hopstep.platform.http_protocol import HttpProtocol
from hopstep.platform.request_ids import repeated_forms, with_exact_id
from hopstep.ports.surplus_answers import SurplusBytes, SurplusListener, SurplusPlace

CALL_EXTENSION = "hopstep.call"
"""Key of a request's extensions under which the pool passes the ``PendingCall`` on."""

MAX_JOINED_BODY_BYTES = 16 * 1024
"""Bodies up to this size are written together with the head."""

MAX_UNREAD_SECONDS = 0.001
"""Longest wait for bytes of a stream that is readable; the frames of a tunnel may bring none."""

_numbers = itertools.count(1)


class _State(enum.Enum):
    """Stage of a connection."""

    NEW = enum.auto()
    ACTIVE = enum.auto()
    IDLE = enum.auto()
    CLOSED = enum.auto()


class ConnectionOptions(msgspec.Struct, frozen=True):
    """What all connections of a client have in common.

    Attributes:
        idle_seconds: Time after which an idle connection isn't used again.
        read_bytes: Bytes in one read.
        on_surplus: Called with bytes that belong to no call in progress.
        is_single_use: Returns whether connections to an address may carry one call only now.
    """

    idle_seconds: float
    read_bytes: int
    on_surplus: SurplusListener
    is_single_use: Callable[[str], bool]


class PendingCall(msgspec.Struct, frozen=True):
    """A call on its way through a pool.

    Attributes:
        call: The call.
        trace: Records what is sent.
    """

    call: HttpCall
    trace: SendTrace


class HttpConnection(httpcore.AsyncConnectionInterface):
    """A connection to one address. It serves one call at a time."""

    def __init__(
        self,
        origin: httpcore.Origin,
        backend: httpcore.AsyncNetworkBackend,
        options: ConnectionOptions,
    ) -> None:
        """Create a connection that is opened by its first call.

        Args:
            origin: Address.
            backend: Opens the connection.
            options: What all connections of a client have in common.
        """
        self._origin = origin
        self._backend = backend
        self._options = options
        self._state = _State.NEW
        self._number = next(_numbers)
        self._sends = 0
        self._stream: httpcore.AsyncNetworkStream | None = None
        self._idle_until = 0.0
        self._sent = SentIdentifiers()
        self._had_surplus = False
        self._protocol = HttpProtocol(self._read, self._sent, self._report_other_answer)

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return its response, whose body is read as it arrives.

        Raises:
            httpcore.ConnectionNotAvailable: When the connection is in use or closed; nothing was
                sent.
            httpcore.NetworkError: When the connection broke.
            httpcore.TimeoutException: When a time limit of the call was exceeded.
            httpcore.ProtocolError: When no response in the protocol came.
        """
        pending: PendingCall = request.extensions[CALL_EXTENSION]
        identifiers = repeated_forms(pending.call.request_id)
        if self._state is _State.IDLE and any(each in self._sent for each in identifiers):
            await self.aclose()
        if self._state not in (_State.NEW, _State.IDLE):
            raise httpcore.ConnectionNotAvailable
        self._state = _State.ACTIVE
        for identifier in identifiers:
            self._sent.add(identifier)
        try:
            await self._send(request, pending)
            response = await self._protocol.receive_own_head(request, pending.call)
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.aclose()
            raise
        return httpcore.Response(
            response.status_code,
            headers=with_exact_id(response.headers.raw_items(), pending.call.request_id),
            content=_ResponseBody(self, pending.call),
        )

    async def _send(self, request: httpcore.Request, pending: PendingCall) -> None:
        """Send a request. A peer may answer before it has read all, and close for writing."""
        call = pending.call
        stream = self._stream or await self._open(pending)
        pending.trace.note_sending(self._number, self._sends + 1)
        self._sends += 1
        head, body = self._protocol.encode_request(request, call)
        try:
            if len(body) <= MAX_JOINED_BODY_BYTES:
                await stream.write(head + body)
                return
            await stream.write(head)
            await stream.write(body)
        except httpcore.WriteError:
            self._protocol.note_request_cut()

    async def _open(self, pending: PendingCall) -> httpcore.AsyncNetworkStream:
        """Open the connection."""
        stream = await self._backend.connect_tcp(
            self._origin.host.decode(),
            self._origin.port,
            timeout=pending.call.connect_seconds,
        )
        self._stream = stream
        if self.is_closed():
            raise httpcore.ConnectError("the connection was closed while it was opened")
        pending.trace.note_connected()
        return stream

    async def _read(self, seconds: float | None) -> bytes:
        """Read what has arrived, within a time in seconds."""
        if self._stream is None:
            raise httpcore.ReadError("the connection is closed")
        return await self._stream.read(self._options.read_bytes, timeout=seconds)

    def receive_body(self, call: HttpCall) -> AsyncIterator[bytes]:
        """Return the body of the current response as it arrives."""
        return self._protocol.receive_body(call)

    async def end_response(self, call: HttpCall) -> None:
        """Keep the connection for the next call if the response was read whole; else close it."""
        if self._state is not _State.ACTIVE:
            return
        if not self._protocol.is_complete():
            await self.aclose()
            return
        if self._protocol.surplus:
            self._report(SurplusPlace.BEHIND_ANSWER, len(self._protocol.surplus))
        if not self._may_carry_another(call):
            await self.aclose()
            return
        self._protocol.start_next()
        self._state = _State.IDLE
        self._idle_until = trio.current_time() + self._options.idle_seconds

    def _may_carry_another(self, call: HttpCall) -> bool:
        """Return whether the connection may be used again after a call."""
        if self._had_surplus or call.use is ConnectionUse.SINGLE or self._sends >= MAX_SENDS:
            return False
        return not self._options.is_single_use(call.address)

    def _report(self, place: SurplusPlace, size: int) -> None:
        """Report surplus bytes; the connection ends after the current call."""
        self._had_surplus = True
        address = _address(self._origin)
        found = SurplusBytes(address, place, self._number, self._sends, size)
        self._options.on_surplus(found)

    def _report_other_answer(self) -> None:
        """Report an answer to an earlier call in the place of the one that is due."""
        self._report(SurplusPlace.IN_PLACE_OF_ANSWER, 0)

    async def aclose(self) -> None:
        """Close the connection; unread bytes of an idle one are reported."""
        was_idle = self._state is _State.IDLE
        self._state = _State.CLOSED
        stream, self._stream = self._stream, None
        if stream is None:
            return
        try:
            if was_idle and _is_readable(stream):
                await self._report_unread(stream)
        finally:
            await stream.aclose()

    async def _report_unread(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Report the bytes that have arrived since the last response, if any."""
        data = b""
        with (
            trio.move_on_after(MAX_UNREAD_SECONDS),
            contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException),
        ):
            data = await stream.read(self._options.read_bytes)
        if data:
            self._report(SurplusPlace.BEFORE_SEND, len(data))

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Return whether the connection leads to an address."""
        return origin == self._origin

    def is_available(self) -> bool:
        """Return whether another call may be sent; a new connection belongs to its first call."""
        return self._state is _State.IDLE

    def has_expired(self) -> bool:
        """Return whether the connection is idle and must not be used again.

        It must not when it has been idle for too long, when the peer has closed it or has sent
        something that no call waits for, or when the peer has done so over another connection.
        """
        if self._state is not _State.IDLE:
            return False
        has_timed_out = trio.current_time() > self._idle_until
        if has_timed_out or self._options.is_single_use(_address(self._origin)):
            return True
        return self._stream is None or _is_readable(self._stream)

    def is_idle(self) -> bool:
        """Return whether the connection is open and serves no call."""
        return self._state is _State.IDLE

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._state is _State.CLOSED

    def info(self) -> str:
        """Return a description for debugging."""
        return f"{_address(self._origin)}, {self._state.name}, {self._sends} sends"


class _ResponseBody:
    """The body of a response, as the pool passes it on."""

    def __init__(self, connection: HttpConnection, call: HttpCall) -> None:
        """Read from a connection.

        Args:
            connection: The connection.
            call: The call that is answered.
        """
        self._connection = connection
        self._call = call
        self._is_closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        try:
            async for data in self._connection.receive_body(self._call):
                yield data
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.aclose()
            raise

    async def aclose(self) -> None:
        """End the response."""
        if not self._is_closed:
            self._is_closed = True
            await self._connection.end_response(self._call)


def _is_readable(stream: httpcore.AsyncNetworkStream) -> bool:
    """Return whether bytes, or the end of the connection, can be read."""
    return bool(stream.get_extra_info("is_readable"))


def _address(origin: httpcore.Origin) -> str:
    """Return the ``ip:port`` of an origin."""
    return f"{origin.host.decode()}:{origin.port}"
