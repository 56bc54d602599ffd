"""Client of the engines over HTTP; its errors state whether an attempt may have run.

``NOT_RUN`` is reported in two cases only: no connection was made, so no byte of the request was
sent; or the engine reports it under the attempt's nonce. Every other failure is ``UNKNOWN``,
including a pooled connection that the peer has just closed: the request may have reached it.
httpx repeats no request by itself (its ``retries`` covers connecting only, and is 0 here).
"""

from __future__ import annotations

import contextlib
import ssl
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TypeVar

import httpx
import msgspec
import trio

from hopstep.adapters.engine_messages import (
    CACHE_EVENTS_PATH,
    CANCEL_PATH,
    FACTS_PATH,
    FENCE_PATH,
    GENERATE_PATH,
    ORDERS_PATH,
    RESUME_PATH,
    CancelAnswer,
    CancelRequest,
    FenceAnswer,
    FenceRequest,
    Refusal,
    ResumeRequest,
)
from hopstep.adapters.engine_stream import StreamDecoder, interrupted, refusal_error
from hopstep.adapters.engine_transport import EngineTransport, Pause
from hopstep.bounded_body import (
    CACHE_EVENTS_BOUND,
    CONTROL_BOUND,
    BodyTooLongError,
    BoundedAnswer,
    bounded_answer,
    read_parts,
)
from hopstep.decoding import decode_json
from hopstep.exceptions import EngineError, ErrorCode, Execution
from hopstep.log_events.instances import ENGINE_ANSWER_MALFORMED
from hopstep.logs import emit
from hopstep.ports.engine import (
    AttemptStatus,
    CacheEventBatch,
    CancelOutcome,
    EngineFacts,
    EngineOrder,
    EnginePort,
    GenerateRequest,
    TokenFrame,
)

Answer = TypeVar("Answer", bound=msgspec.Struct)

DEFAULT_IDLE_TIMEOUT_SECONDS = 10.0
DEFAULT_CALL_TIMEOUT_SECONDS = 2.0
DEFAULT_CONNECT_TIMEOUT_SECONDS = 1.0
DEFAULT_MAX_CONNECTIONS = 1_024
KEEP_ALIVE_SECONDS = 3.0
"""Seconds; shorter than servers keep idle connections, which makes lost requests rarer."""

DRAIN_SECONDS = 0.05
"""Longest wait for the end of a body after its last frame, so that its connection is reused."""

_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
_JSON_HEADERS = {"content-type": "application/json"}


class HttpEngine(EnginePort):
    """Engine port over HTTP; one instance serves all engines of a router."""

    def __init__(
        self,
        *,
        idle_timeout_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS,
        call_timeout_seconds: float = DEFAULT_CALL_TIMEOUT_SECONDS,
        connect_timeout_seconds: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        ssl_context: ssl.SSLContext | None = None,
        pause: Pause = lambda: 0.0,
    ) -> None:
        """Configure the client; connections are opened on demand.

        Args:
            idle_timeout_seconds: Time without a received byte after which a stream fails.
            call_timeout_seconds: Longest wait for the answer to a short call.
            connect_timeout_seconds: Longest wait for a connection.
            max_connections: Bound on open connections to one engine.
            ssl_context: For HTTPS; None for plain HTTP.
            pause: Returns the seconds that a stream waits before a read, to batch its tokens.
        """
        self._scheme = "http" if ssl_context is None else "https"
        self._call_timeout_seconds = call_timeout_seconds
        limits = httpx.Limits(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEP_ALIVE_SECONDS,
        )
        timeout = httpx.Timeout(idle_timeout_seconds, connect=connect_timeout_seconds)
        self._extensions = {"timeout": timeout.as_dict()}
        # The transport is used without ``httpx.AsyncClient``, which handles cookies, redirects
        # and credentials on every exchange: engines use none.
        self._transport = EngineTransport(limits, ssl_context, pause)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._transport.aclose()

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, request: GenerateRequest
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """See the port."""
        async with self._stream(address, GENERATE_PATH, request, request.nonce) as frames:
            yield frames

    @contextlib.asynccontextmanager
    async def resume(
        self, address: str, nonce: str, incarnation: str, next_sequence: int
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """See the port."""
        message = ResumeRequest(nonce, incarnation, next_sequence)
        async with self._stream(address, RESUME_PATH, message, nonce) as frames:
            yield frames

    async def cancel(self, address: str, nonce: str, incarnation: str) -> CancelOutcome:
        """See the port."""
        message = CancelRequest(nonce, incarnation)
        answer = await self._call("POST", address, CANCEL_PATH, CancelAnswer, message, nonce)
        if answer.nonce != nonce:
            raise _unreachable("the engine answered for another attempt", Execution.UNKNOWN)
        return answer.outcome

    async def fence_nonce(self, address: str, nonce: str, incarnation: str) -> AttemptStatus:
        """See the port."""
        message = FenceRequest(nonce, incarnation)
        answer = await self._call("POST", address, FENCE_PATH, FenceAnswer, message, nonce)
        if answer.nonce != nonce:
            raise _unreachable("the engine answered for another attempt", Execution.UNKNOWN)
        return answer.status

    async def probe(self, address: str) -> EngineFacts:
        """See the port."""
        return await self._call("GET", address, FACTS_PATH, EngineFacts)

    async def cache_events(
        self, address: str, incarnation: str, after_sequence: int
    ) -> CacheEventBatch:
        """See the port."""
        query = httpx.QueryParams(incarnation=incarnation, after_sequence=after_sequence)
        path = f"{CACHE_EVENTS_PATH}?{query}"
        return await self._call("GET", address, path, CacheEventBatch)

    async def order(self, address: str, order: EngineOrder) -> EngineFacts:
        """See the port."""
        return await self._call("POST", address, ORDERS_PATH, EngineFacts, order)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        answer_type: type[Answer],
        message: msgspec.Struct | None = None,
        nonce: str = "",
    ) -> Answer:
        """Make a short call and decode its answer.

        Raises:
            EngineError: It was refused, failed, or its answer can't be decoded.
        """
        bound = CACHE_EVENTS_BOUND if answer_type is CacheEventBatch else CONTROL_BOUND
        try:
            with bounded_answer(address, bound, self._call_timeout_seconds) as answer:
                response = await self._send(method, address, path, message)
                async with contextlib.aclosing(response):
                    body = await _read_body(response, answer)
        except trio.TooSlowError as error:
            raise _unreachable("no answer came in time", Execution.UNKNOWN) from error
        if response.status_code != httpx.codes.OK:
            raise _refusal(response.status_code, body, nonce)
        return _decode_answer(body, answer_type, address)

    @contextlib.asynccontextmanager
    async def _stream(
        self, address: str, path: str, message: msgspec.Struct, nonce: str
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """Open a stream, which is closed on leaving the context, finished or not."""
        response = await self._send("POST", address, path, message)
        async with contextlib.aclosing(response):
            if response.status_code != httpx.codes.OK:
                body = await self._read_refusal(address, response)
                raise _refusal(response.status_code, body, nonce)
            decoder = StreamDecoder(nonce, address)
            chunks = read_parts(response.aiter_raw())
            frames = _frames(chunks, decoder)
            try:
                yield frames
            finally:
                await _close_stream(response, chunks, frames, decoder.finished)

    async def _read_refusal(self, address: str, response: httpx.Response) -> bytes:
        """Return the body of an answer that isn't a stream."""
        try:
            with bounded_answer(address, CONTROL_BOUND, self._call_timeout_seconds) as answer:
                return await _read_body(response, answer)
        except trio.TooSlowError as error:
            raise _unreachable("the answer didn't end in time", Execution.UNKNOWN) from error

    async def _send(
        self, method: str, address: str, path: str, message: msgspec.Struct | None
    ) -> httpx.Response:
        """Send a request and return its response, the body of which isn't read yet."""
        content = None if message is None else msgspec.json.encode(message)
        try:
            request = httpx.Request(
                method,
                f"{self._scheme}://{address}{path}",
                headers=_JSON_HEADERS,
                content=content,
                extensions=self._extensions,
            )
        except httpx.InvalidURL as error:
            raise _unreachable("the address is malformed", Execution.NOT_RUN) from error
        try:
            return await self._transport.handle_async_request(request)
        except _NOT_SENT_ERRORS as error:
            raise _unreachable("no connection was made", Execution.NOT_RUN) from error
        except httpx.HTTPError as error:
            raise _unreachable("the answer was lost", Execution.UNKNOWN) from error


async def _frames(
    chunks: AsyncIterator[bytes], decoder: StreamDecoder
) -> AsyncGenerator[TokenFrame, None]:
    """Yield the frames of a response as they arrive.

    Raises:
        EngineError: The stream ended before its last frame, or the attempt was refused.
    """
    with contextlib.suppress(httpx.HTTPError, BodyTooLongError):
        async for data in chunks:
            for frame in decoder.feed(data):
                yield frame
    if not decoder.finished:
        raise interrupted("the stream was cut off before its last frame")


async def _close_stream(
    response: httpx.Response,
    chunks: AsyncIterator[bytes],
    frames: AsyncGenerator[TokenFrame, None],
    finished: bool,
) -> None:
    """Close a stream that may not have been read to its end.

    The end of a finished body is read first, so that its connection can be reused. The chunks
    are iterated to their end, even after the connection is closed: this is the only way in
    which the nested generators of httpx are closed.
    """
    await frames.aclose()
    if finished:
        with trio.move_on_after(DRAIN_SECONDS):
            await _drain(chunks)
    await response.aclose()
    await _drain(chunks)


async def _drain(chunks: AsyncIterator[bytes]) -> None:
    """Read and discard the rest of a body."""
    with contextlib.suppress(httpx.HTTPError, httpx.StreamError, BodyTooLongError):
        async for _ in chunks:
            pass


async def _read_body(response: httpx.Response, answer: BoundedAnswer) -> bytes:
    """Return the complete body of a short answer."""
    try:
        return await answer.read(response.aiter_raw())
    except (httpx.HTTPError, BodyTooLongError) as error:
        raise _unreachable("the answer was cut off", Execution.UNKNOWN) from error


def _decode_answer(body: bytes, answer_type: type[Answer], address: str) -> Answer:
    """Decode the answer to a short call."""
    try:
        return decode_json(body, answer_type)
    except msgspec.DecodeError as error:
        emit(ENGINE_ANSWER_MALFORMED, engine=address)
        raise _unreachable("the answer can't be understood", Execution.UNKNOWN) from error


def _refusal(status: int, body: bytes, nonce: str) -> EngineError:
    """Return the error for an answer that isn't a success."""
    try:
        return refusal_error(decode_json(body, Refusal), nonce)
    except msgspec.DecodeError:
        return _unreachable(f"the engine answered with status {status}", Execution.UNKNOWN)


def _unreachable(message: str, execution: Execution) -> EngineError:
    """Return the error for an exchange that failed."""
    return EngineError(ErrorCode.ENGINE_UNREACHABLE, message, execution)
