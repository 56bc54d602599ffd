"""Reads the heads of clients' HTTP requests."""

from __future__ import annotations

from typing import Any

from hopstep.domain.exchanges.request import Headers, Prompt, PromptSegment
from hopstep.platform import names
from hopstep.ports.exchange_front import TARGET_STATE, RequestHead

Scope = dict[str, Any]

MILLISECONDS = 1_000.0


def read_head(scope: Scope, received_at: float) -> RequestHead:
    """Return the head of a request."""
    found: dict[bytes, bytes] = dict(scope["headers"])
    timeout_ms = _number(found.get(names.DEADLINE))
    return RequestHead(
        request_id=_read_id(scope["headers"]),
        method=scope["method"].encode(),
        host=_text(found, b"host"),
        path=bytes(scope["raw_path"]).decode(names.HEADER_ENCODING),
        target=_target(scope),
        headers=_forwarded(scope["headers"]),
        key=_text(found, names.API_KEY),
        client_timeout_seconds=timeout_ms / MILLISECONDS if timeout_ms is not None else None,
        prompt=_read_prompt(found),
        resume_after=_text(found, names.LAST_EVENT),
        received_at=received_at,
        usage_tokens=_read_usage(found),
        resumes=_text(found, names.RESUMES),
    )


def _target(scope: Scope) -> bytes:
    """Return a request's path and query; as they were sent, if the server passes that on."""
    sent = scope.get("state", {}).get(TARGET_STATE)
    if sent is not None:
        return bytes(sent)
    query = bytes(scope["query_string"])
    return bytes(scope["raw_path"]) + (b"?" + query if query else b"")


def _forwarded(headers: list[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that are forwarded to an instance unchanged."""
    connections = (value for name, value in headers if name == b"connection")
    tokens = b",".join(connections).lower().split(b",")
    dropped = names.PER_CONNECTION | names.NOT_FORWARDED | {token.strip() for token in tokens}
    return tuple((name, value) for name, value in headers if name not in dropped)


def _read_prompt(found: dict[bytes, bytes]) -> Prompt | None:
    """Return the description of a request's prompt; None when it names no model."""
    model = _text(found, names.MODEL)
    if not model:
        return None
    segments = _read_segments(_text(found, names.PROMPT_SEGMENTS))
    usage = _text(found, names.TOKEN_USAGE).split(",")
    prompt_tokens = _count(usage[0]) or sum(segment.tokens for segment in segments)
    answer_tokens = _count(usage[1]) if len(usage) > 1 else 0
    expected_tokens = _count(_text(found, names.LENGTH_HINT))
    return Prompt(model, segments, prompt_tokens, answer_tokens, expected_tokens)


def _read_usage(found: dict[bytes, bytes]) -> int | None:
    """Return the tokens of prompt and longest answer; None when neither is given."""
    text = _text(found, names.TOKEN_USAGE)
    return sum(_count(part) for part in text.split(",")[:2]) if text else None


def _read_segments(text: str) -> tuple[PromptSegment, ...]:
    """Return the segments of comma-separated ``ID:TOKENS``; parts without an id are skipped."""
    segments = []
    for part in text.split(","):
        segment_id, _, tokens = part.strip().partition(":")
        if segment_id:
            segments.append(PromptSegment(segment_id, _count(tokens)))
    return tuple(segments)


def _read_id(headers: list[tuple[bytes, bytes]]) -> str:
    """Return a request's id; empty when it has none, or several, of which an answer repeats one."""
    ids = {value.strip(b" \t") for name, value in headers if name == names.REQUEST_ID}
    return ids.pop().decode(names.HEADER_ENCODING) if len(ids) == 1 else ""


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    """Return a header as text; empty when it is missing."""
    return found.get(name, b"").decode(names.HEADER_ENCODING).strip()


def _number(value: bytes | None) -> float | None:
    """Return a header's number; None when it is missing or not a number."""
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None


def _count(text: str) -> int:
    """Return a non-negative integer; 0 for any other text."""
    return int(text) if text.strip().isdecimal() else 0
