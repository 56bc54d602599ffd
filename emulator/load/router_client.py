"""Sends requests to routers as an OpenAI-style client does, and checks the responses."""

from __future__ import annotations

import ssl
from typing import Any

import httpx
import msgspec
import trio

from emulator.engine.answers import expected_tokens
from emulator.load.loopback import require_loopback
from emulator.load.messages import LoadRequest, LoadResult, Outcome
from hopstep.domain.prompts import ChatMessage, render_chat

DONE = b"[DONE]"
DATA = b"data: "
EVENT_END = b"\n\n"
TIMEOUT_SECONDS = 120.0
MAX_CONNECTIONS = 2_000


class StreamChoice(msgspec.Struct, frozen=True):
    """Fields of a chunk's choice that the client reads."""

    text: str = ""
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct, frozen=True):
    """Fields of a stream event that the client reads."""

    choices: tuple[StreamChoice, ...] = ()
    usage: dict[str, Any] | None = None
    error: dict[str, Any] | None = None
    engines: tuple[str, ...] = ()


DECODER = msgspec.json.Decoder(StreamEvent)


class RouterClient:
    """HTTP client of routers, with its own connection pool."""

    def __init__(
        self, timeout_seconds: float = TIMEOUT_SECONDS, tls: ssl.SSLContext | None = None
    ) -> None:
        """Create a client without open connections.

        Args:
            timeout_seconds: Longest time to wait for data.
            tls: TLS context; None for plain HTTP.
        """
        self._scheme = "http" if tls is None else "https"
        self._http = httpx.AsyncClient(
            trust_env=False,
            verify=tls or True,
            timeout=timeout_seconds,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def send(self, address: str, request: LoadRequest) -> LoadResult:
        """Send one request and check its response.

        Args:
            address: ``ip:port`` of a router on loopback.
            request: The request.
        """
        started_at = trio.current_time()
        try:
            async with self._http.stream(
                "POST",
                f"{self._scheme}://{require_loopback(address)}{_path(request)}",
                content=msgspec.json.encode(_body(request)),
                headers=_headers(request),
            ) as response:
                if response.status_code != httpx.codes.OK:
                    return _refused(request, await response.aread())
                first_at, data = await _read(response)
                result = _check(request, data, response.headers)
        except httpx.ConnectError:
            return LoadResult(request, Outcome.UNREACHABLE, code="connect", execution="not_run")
        except httpx.HTTPError as error:
            return LoadResult(request, Outcome.INTERRUPTED, code=type(error).__name__)
        return msgspec.structs.replace(
            result,
            first_token_seconds=first_at - started_at,
            total_seconds=trio.current_time() - started_at,
        )


async def _read(response: httpx.Response) -> tuple[float, bytes]:
    """Return the time of the first event, and the complete stream.

    The stream is decoded only after it has ended, so that the client's own processing doesn't
    distort the measured times.
    """
    first_at = 0.0
    chunks: list[bytes] = []
    async for chunk in response.aiter_raw():
        if not first_at:
            first_at = trio.current_time()
        chunks.append(chunk)
    return first_at, b"".join(chunks)


def _path(request: LoadRequest) -> str:
    """Return the URL path of a request."""
    return "/v1/chat/completions" if request.chat else "/v1/completions"


def _headers(request: LoadRequest) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {
        "Authorization": f"Bearer {request.key}",
        "Content-Type": "application/json",
        "X-Hopstep-Class": request.request_class,
    }
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    return headers


def _body(request: LoadRequest) -> dict[str, object]:
    """Return the JSON body of a request."""
    body: dict[str, object] = {
        "model": request.model,
        "max_tokens": request.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    if request.chat:
        return body | {"messages": [{"role": "user", "content": request.prompt}]}
    return body | {"prompt": request.prompt}


def rendered_prompt(request: LoadRequest) -> str:
    """Return the prompt text that engines receive."""
    if request.chat:
        return render_chat((ChatMessage("user", request.prompt),))
    return request.prompt


def _refused(request: LoadRequest, data: bytes) -> LoadResult:
    """Return the result of a refused request."""
    try:
        error = msgspec.json.decode(data)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return LoadResult(request, Outcome.REFUSED, code="unreadable")
    return LoadResult(
        request,
        Outcome.REFUSED,
        code=error["code"],
        execution=error["execution"],
        endpoints=tuple(error["endpoints"]),
        retry_after_seconds=error["retry_after_seconds"],
    )


def _check(request: LoadRequest, data: bytes, headers: httpx.Headers) -> LoadResult:
    """Compare a complete stream with the expected tokens."""
    events, done = _events(data)
    text = "".join(
        choice.text or choice.delta.get("content", "")
        for event in events
        for choice in event.choices
    )
    tokens = expected_tokens(rendered_prompt(request), request.max_tokens)
    expected = "".join(tokens)
    error = next((event.error for event in events if event.error), None)
    usage = next((event.usage for event in events if event.usage), {})
    if not expected.startswith(text) or (done and text != expected):
        outcome = Outcome.WRONG
    elif done and usage.get("completion_tokens") == len(tokens):
        outcome = Outcome.COMPLETE
    else:
        outcome = Outcome.INTERRUPTED
    return LoadResult(
        request,
        outcome,
        code=error["code"] if error else "",
        execution=error["execution"] if error else "",
        router=headers.get("X-Hopstep-Router", ""),
        engines=next((event.engines for event in events if event.engines), ()),
        tokens=usage.get("completion_tokens", 0),
        prompt_tokens=usage.get("prompt_tokens", 0),
        cached_tokens=usage.get("prompt_tokens_details", {}).get("cached_tokens", 0),
    )


def _events(data: bytes) -> tuple[list[StreamEvent], bool]:
    """Return the events of a stream, and whether it ended with ``[DONE]``."""
    payloads = [part.removeprefix(DATA) for part in data.split(EVENT_END) if part]
    done = bool(payloads) and payloads[-1] == DONE
    return [DECODER.decode(payload) for payload in payloads if payload != DONE], done
