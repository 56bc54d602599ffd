"""HTTP application of one emulated engine; see ``docs/design/0003-engine-protocol.md``."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec
import quart
import quart_trio
import trio

from emulator.engine.attempts import Attempt, prepare_prompt
from emulator.engine.faults import EngineFaults
from emulator.engine.host import AnswerLostError, EngineHost
from emulator.engine.refusal import EngineRefusalError
from emulator.http_responses import json_response, lost_response, read_message
from emulator.kv_cache_store.client import KvCacheStoreClient
from hopstep.adapters.engine_messages import (
    CACHE_EVENTS_PATH,
    CANCEL_PATH,
    FACTS_PATH,
    FENCE_PATH,
    GENERATE_PATH,
    ORDERS_PATH,
    RESUME_PATH,
    STREAM_MEDIA_TYPE,
    CancelAnswer,
    CancelRequest,
    FenceAnswer,
    FenceRequest,
    Refusal,
    ResumeRequest,
)
from hopstep.adapters.engine_stream import RefusalLine
from hopstep.adapters.http_api.call_ids import repeat_call_id
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import EngineOrder, GenerateRequest

ADMIN_FAULTS_PATH = "/admin/faults"
ADMIN_RUNS_PATH = "/admin/runs"
KEEP_ALIVE_LINE = b"\n"

_BAD_REQUEST = 400
_STATUS_OF_CODE = {
    ErrorCode.ALREADY_CLAIMED: 409,
    ErrorCode.MALFORMED_REQUEST: _BAD_REQUEST,
    ErrorCode.OVERLOADED: 429,
    ErrorCode.PRECONDITION_FAILED: 412,
    ErrorCode.PROMPT_TOO_LONG: 413,
    ErrorCode.UNKNOWN_MODEL: 404,
}
_UNAVAILABLE = 503


class EngineApi:
    """Handlers of one engine's HTTP interface."""

    def __init__(self, host: EngineHost, kv_cache_stores: KvCacheStoreClient) -> None:
        """Serve ``host``, which reads importable blocks from ``kv_cache_stores``."""
        self._host = host
        self._kv_cache_stores = kv_cache_stores

    def register(self, app: quart_trio.QuartTrio) -> None:
        """Add the routes and error handlers."""
        app.add_url_rule(GENERATE_PATH, view_func=self.generate, methods=["POST"])
        app.add_url_rule(RESUME_PATH, view_func=self.resume, methods=["POST"])
        app.add_url_rule(CANCEL_PATH, view_func=self.cancel, methods=["POST"])
        app.add_url_rule(FENCE_PATH, view_func=self.fence_nonce, methods=["POST"])
        app.add_url_rule(FACTS_PATH, view_func=self.facts)
        app.add_url_rule(CACHE_EVENTS_PATH, view_func=self.cache_events)
        app.add_url_rule(ORDERS_PATH, view_func=self.order, methods=["POST"])
        app.add_url_rule(ADMIN_FAULTS_PATH, view_func=self.set_faults, methods=["POST"])
        app.add_url_rule(ADMIN_RUNS_PATH, view_func=self.runs)
        app.register_error_handler(EngineRefusalError, _refused)
        app.register_error_handler(msgspec.DecodeError, _malformed)
        app.register_error_handler(AnswerLostError, _lost_answer)

    async def generate(self) -> quart.Response:
        """Accept an attempt and stream its frames."""
        request = await read_message(GenerateRequest)
        importable_blocks = 0
        if request.kv_cache_store:
            keys = prepare_prompt(request).block_keys
            importable_blocks = await self._kv_cache_stores.held_prefix(
                request.kv_cache_store, keys
            )
        attempt = await self._host.generate(request, importable_blocks)
        return self._stream(attempt, attempt.first_sequence)

    async def resume(self) -> quart.Response:
        """Stream an attempt from a given token on."""
        request = await read_message(ResumeRequest)
        model = self._host.model
        attempt = await self._host.call(
            lambda now: model.resume(request.nonce, request.incarnation, request.next_sequence, now)
        )
        return self._stream(attempt, request.next_sequence)

    async def cancel(self) -> quart.Response:
        """Cancel an attempt."""
        request = await read_message(CancelRequest)
        model = self._host.model
        outcome = await self._host.call(
            lambda now: model.cancel(request.nonce, request.incarnation, now)
        )
        return json_response(CancelAnswer(request.nonce, outcome))

    async def fence_nonce(self) -> quart.Response:
        """Return the status of a nonce; one that was never seen can never start afterwards."""
        request = await read_message(FenceRequest)
        model = self._host.model
        status = await self._host.call(
            lambda now: model.fence_nonce(request.nonce, request.incarnation, now)
        )
        return json_response(FenceAnswer(request.nonce, status))

    async def facts(self) -> quart.Response:
        """Return the engine's facts."""
        return json_response(await self._host.call(self._host.model.facts))

    async def cache_events(self) -> quart.Response:
        """Return published cache events."""
        incarnation = quart.request.args.get("incarnation", "")
        after_sequence = msgspec.convert(
            quart.request.args.get("after_sequence", "0"), int, strict=False
        )
        model = self._host.model
        batch = await self._host.call(
            lambda now: model.cache_events(incarnation, after_sequence, now)
        )
        return json_response(batch)

    async def order(self) -> quart.Response:
        """Execute a fenced order."""
        order = await read_message(EngineOrder)
        model = self._host.model
        return json_response(await self._host.call(lambda now: model.order(order, now)))

    async def set_faults(self) -> quart.Response:
        """Induce faults, in place of all earlier ones."""
        self._host.set_faults(await read_message(EngineFaults))
        return json_response(None)

    async def runs(self) -> quart.Response:
        """Return the runs of every incarnation, for oracles."""
        return json_response(self._host.model.runs(trio.current_time()))

    def _stream(self, attempt: Attempt, next_sequence: int) -> quart.Response:
        """Return the streaming response of an attempt."""
        lines = self._lines(attempt, next_sequence)
        response = quart.Response(lines, content_type=STREAM_MEDIA_TYPE)
        response.timeout = None
        return response

    async def _lines(self, attempt: Attempt, next_sequence: int) -> AsyncIterator[bytes]:
        """Yield one line for each frame, keep-alive or late refusal."""
        async with contextlib.aclosing(self._host.frames(attempt, next_sequence)) as frames:
            try:
                async for frame in frames:
                    yield KEEP_ALIVE_LINE if frame is None else msgspec.json.encode(frame) + b"\n"
            except EngineRefusalError as error:
                yield msgspec.json.encode(RefusalLine(error.refusal)) + b"\n"


def create_engine_app(
    host: EngineHost, kv_cache_stores: KvCacheStoreClient
) -> quart_trio.QuartTrio:
    """Return the HTTP application of one engine."""
    app = quart_trio.QuartTrio(__name__)
    app.after_request(repeat_call_id)
    EngineApi(host, kv_cache_stores).register(app)
    return app


async def _refused(error: EngineRefusalError) -> quart.Response:
    """Return the response for a refusal."""
    response = json_response(error.refusal, _STATUS_OF_CODE.get(error.refusal.code, _UNAVAILABLE))
    if error.refusal.retry_after_seconds:
        response.headers["Retry-After"] = f"{error.refusal.retry_after_seconds:.0f}"
    return response


async def _malformed(error: msgspec.DecodeError) -> quart.Response:
    """Return the response for a malformed body; the message names the field."""
    refusal = Refusal(ErrorCode.MALFORMED_REQUEST, str(error), Execution.NOT_RUN)
    return json_response(refusal, _BAD_REQUEST)


async def _lost_answer(_: AnswerLostError) -> quart.Response:
    """Return a response that breaks the connection."""
    return lost_response()
