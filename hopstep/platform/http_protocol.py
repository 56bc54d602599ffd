"""Requests and responses on one connection in the terms of HTTP/1.1, by ``h11``."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import h11
import httpcore
import msgspec
import trio

from hopstep.bounded_body import MAX_SMALL_PARTS, SMALL_PART_BYTES, BodyTooLongError
from hopstep.bounded_protocol import BoundedProtocol
from hopstep.domain.connection_reuse import SentIdentifiers
from hopstep.platform import names
from hopstep.platform.http_call import HttpCall
from hopstep.platform.request_ids import repeated_forms
from hopstep.platform.spliced_responses import SplicedBodyScanner, require_single_head

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of a head, of a chunk's first line and of trailers."""

MAX_DISCARDED_ANSWERS = 4
"""Late answers to earlier calls before the answer to one call."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Bytes of the body of a discarded answer."""

MAX_DISCARD_SECONDS = 0.5
"""Time for the body of a discarded answer: what is sent again is complete."""

SURPLUS_SECONDS = 0.05
"""Wait for more bytes behind a body that ends within the head of a response: the rest of that
response shows that the body isn't whole."""

ARRIVED_SECONDS = 0.001
"""Longest wait for bytes behind a body that ends with the first letter of a status line: a read may
have ended there that has left the rest of another response on the connection."""

MAX_EVENTS_AT_ONCE = 64
"""Parts of a body that are parsed before other tasks run."""


class _Batch(msgspec.Struct):
    """Parts of a body that arrived together.

    Attributes:
        data: The parts, joined.
        is_last: Whether the body ends with them.
        needs_data: Whether all that has arrived was taken.
        failure: What is wrong with the bytes behind them; None if nothing is.
    """

    data: bytes = b""
    is_last: bool = False
    needs_data: bool = False
    failure: httpcore.ProtocolError | None = None


class _Arrived(msgspec.Struct):
    """What one read has brought of a body.

    Attributes:
        parts: Number of parts.
        size: Their bytes.
    """

    parts: int = 0
    size: int = 0

    def note(self, size: int) -> None:
        """Count a part.

        Raises:
            BodyTooLongError: When there are many parts of a byte or so.
        """
        self.parts += 1
        self.size += size
        if self.parts > MAX_SMALL_PARTS and self.size < self.parts * SMALL_PART_BYTES:
            raise BodyTooLongError("the body has too many small parts")


class HttpProtocol:
    """Requests and responses of one connection, one after another."""

    def __init__(
        self,
        read: Callable[[float | None], Awaitable[bytes]],
        sent: SentIdentifiers,
        on_other_answer: Callable[[], None],
    ) -> None:
        """Start before the first request.

        Args:
            read: Reads what has arrived, within a time in seconds; nothing at the connection's end.
            sent: Identifiers of the calls that the connection has carried, also of the current one.
            on_other_answer: Called for each answer to an earlier call.
        """
        self._read = read
        self._sent = sent
        self._on_other_answer = on_other_answer
        self._arrived = _Arrived()
        self._is_request_cut = False
        self._protocol = _new_protocol()

    def note_request_cut(self) -> None:
        """Note that the connection broke while the request was written.

        The error is reported by the write alone: a read shows what had arrived, and then an end
        like an orderly one.
        """
        self._is_request_cut = True

    @property
    def surplus(self) -> bytes:
        """What has been received behind the current response."""
        return self._protocol.trailing_data[0]

    def encode_request(self, request: httpcore.Request, call: HttpCall) -> tuple[bytes, bytes]:
        """Return the head and the body of a request as they are sent.

        Raises:
            httpcore.LocalProtocolError: When the request isn't one in the protocol.
        """
        with _mapped_errors():
            head, *body = [self._protocol.send(e) or b"" for e in _request_events(request, call)]
        # Without empty parts, the only one is returned as it is: a long body isn't copied.
        return head, b"".join(part for part in body if part)

    def is_complete(self) -> bool:
        """Return whether request and response are complete and another request may follow.

        None may after a response that ended with its connection, which the protocol's states allow.
        """
        states = (self._protocol.our_state, self._protocol.their_state)
        _surplus, has_ended = self._protocol.trailing_data
        return states == (h11.DONE, h11.DONE) and not has_ended

    def start_next(self) -> None:
        """Expect another request."""
        self._protocol.start_next_cycle()

    async def receive_own_head(self, request: httpcore.Request, call: HttpCall) -> h11.Response:
        """Return the head of the response, after discarding late answers to earlier calls."""
        response = await self._receive_head(call)
        discarded = 0
        while self._is_to_earlier_call(response, call):
            self._on_other_answer()
            if discarded == MAX_DISCARDED_ANSWERS:
                raise httpcore.RemoteProtocolError("too many answers to earlier calls")
            await self._discard_answer(request, call)
            discarded += 1
            response = await self._receive_head(call)
        return response

    def _is_to_earlier_call(self, response: h11.Response, call: HttpCall) -> bool:
        """Return whether a response names another call that this connection has carried."""
        found = dict(response.headers)
        answered = found.get(names.REQUEST_ID, b"")
        is_own = answered in repeated_forms(call.request_id)
        return bool(call.request_id) and not is_own and answered in self._sent

    async def _discard_answer(self, request: httpcore.Request, call: HttpCall) -> None:
        """Read the current response to its end, and expect another one to the same request.

        The protocol allows one response to a request, so its state is built again: as after the
        request was sent, with the bytes behind the discarded response.
        """
        try:
            with trio.fail_after(MAX_DISCARD_SECONDS):
                await self._skip_body(call)
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout("a slow answer to an earlier call") from error
        if not self.is_complete():
            raise httpcore.RemoteProtocolError("the connection ends with an earlier answer")
        received = self.surplus
        self._protocol = _new_protocol()
        with _mapped_errors():
            for event in _request_events(request, call):
                self._protocol.send(event)
            if received:
                self._protocol.receive_data(received)

    async def _skip_body(self, call: HttpCall) -> None:
        """Read the body of the current response and drop it."""
        size = 0
        async for data in self.receive_body(call):
            size += len(data)
            if size > MAX_DISCARDED_BYTES:
                raise httpcore.RemoteProtocolError("a long answer to an earlier call")

    async def _receive_head(self, call: HttpCall) -> h11.Response:
        """Return the head of a response."""
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive(call)
            elif isinstance(event, h11.Response):
                require_single_head(event)
                return event
            elif not isinstance(event, h11.InformationalResponse):
                raise httpcore.RemoteProtocolError("the connection ended without a response")

    async def receive_body(self, call: HttpCall) -> AsyncIterator[bytes]:
        """Yield the body of the current response; parts that arrived together are joined."""
        scanner = SplicedBodyScanner(self._sent.__contains__)
        while True:
            batch = self._take_arrived(scanner)
            if batch.is_last and batch.failure is None:
                if scanner.ends_in_head():
                    batch = await self._check_surplus(scanner, batch, SURPLUS_SECONDS)
                elif scanner.ends_in_first_letter():
                    batch = await self._check_surplus(scanner, batch, ARRIVED_SECONDS)
            if batch.data:
                yield batch.data
            if batch.failure is not None:
                raise batch.failure
            if batch.is_last:
                return
            if batch.needs_data:
                await self._receive(call)
            else:
                await trio.lowlevel.checkpoint()

    async def _check_surplus(
        self, scanner: SplicedBodyScanner, batch: _Batch, seconds: float
    ) -> _Batch:
        """Return the last parts of a body unless the rest of another response arrives behind it.

        Args:
            scanner: Has scanned the body.
            batch: The last parts.
            seconds: Longest wait for that rest.
        """
        _surplus, has_ended = self._protocol.trailing_data
        with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
            if not has_ended:
                self._protocol.receive_data(await self._read(seconds))
        if not scanner.is_spliced(self.surplus):
            return batch
        return _Batch(failure=httpcore.RemoteProtocolError("another response within a body"))

    def _take_arrived(self, scanner: SplicedBodyScanner) -> _Batch:
        """Return a bounded number of the parts of the body that have arrived.

        Args:
            scanner: Scans the body.
        """
        batch = _Batch()
        parts: list[bytes] = []
        try:
            while len(parts) < MAX_EVENTS_AT_ONCE:
                event = self._next_event()
                if not isinstance(event, h11.Data):
                    batch.needs_data = event is h11.NEED_DATA
                    batch.is_last = not batch.needs_data
                    break
                parts.append(bytes(event.data))
                self._arrived.note(len(parts[-1]))
                scanner.feed(parts[-1])
                if scanner.holds_response:
                    parts.clear()
                    raise httpcore.RemoteProtocolError("another response within a body")
            if batch.is_last and scanner.is_spliced(self._protocol.trailing_data[0]):
                # With its last bytes, a body that is relayed in parts looks whole by its length.
                parts.clear()
                raise httpcore.RemoteProtocolError("another response within a body")
        except httpcore.ProtocolError as error:
            batch.failure = error
        batch.data = b"".join(parts)
        return batch

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the response."""
        with _mapped_errors():
            return self._protocol.next_event()

    async def _receive(self, call: HttpCall) -> None:
        """Read what has arrived; an orderly end of the connection is passed to the protocol too.

        Raises:
            httpcore.ReadError: When the connection broke.
        """
        data = await self._read(call.read_seconds)
        if not data and self._is_request_cut:
            raise httpcore.ReadError("the connection broke while the request was written")
        self._arrived = _Arrived()
        with _mapped_errors():
            self._protocol.receive_data(data)


def _new_protocol() -> h11.Connection:
    """Return the state of a connection before its first request."""
    return BoundedProtocol(MAX_HEAD_BYTES)


def _request_events(request: httpcore.Request, call: HttpCall) -> Iterator[h11.Event]:
    """Yield the events of a request, whose head states the length of its body."""
    yield h11.Request(method=request.method, target=request.url.target, headers=request.headers)
    if call.body:
        yield h11.Data(data=call.body)
    yield h11.EndOfMessage()


@contextlib.contextmanager
def _mapped_errors() -> Iterator[None]:
    """Raise the library's errors in place of those of the protocol."""
    try:
        yield
    except h11.RemoteProtocolError as error:
        raise httpcore.RemoteProtocolError(str(error)) from error
    except h11.LocalProtocolError as error:
        raise httpcore.LocalProtocolError(str(error)) from error
