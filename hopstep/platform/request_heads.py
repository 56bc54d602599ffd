"""Reads the heads of clients' HTTP requests."""

from __future__ import annotations

from typing import Any

from hopstep.domain import head_numbers
from hopstep.domain.exchanges.request import Headers, Prompt, PromptSegment
from hopstep.exceptions import ValidationError
from hopstep.platform import names
from hopstep.ports.exchange_front import TARGET_STATE, RequestHead

Scope = dict[str, Any]

MILLISECONDS = 1_000.0

USAGE_NUMBERS = 2
"""Numbers in ``Token-Usage``: tokens of the prompt, and of the longest answer."""


def read_head(scope: Scope, received_at: float) -> RequestHead:
    """Return the head of a request; one that can't be meant holds the error that names why."""
    found: dict[bytes, bytes] = dict(scope["headers"])
    prompt: Prompt | None = None
    usage_tokens: int | None = None
    timeout_seconds: float | None = None
    resume_after = ""
    error: ValidationError | None = None
    request_id = _read_id(scope["headers"])
    try:
        timeout_seconds = _read_timeout(scope["headers"])
        resume_after = _read_last_event(scope["headers"])
        usage = _read_usage(_list_value(scope["headers"], names.TOKEN_USAGE))
        usage_tokens = sum(usage) if usage else None
        prompt = _read_prompt(scope["headers"], usage)
        _require_id(request_id)
    except ValidationError as malformed:
        error = malformed
    return RequestHead(
        request_id=request_id,
        method=scope["method"].encode(),
        host=_text(found, b"host"),
        path=bytes(scope["raw_path"]).decode(names.HEADER_ENCODING),
        target=_target(scope),
        headers=_forwarded(scope["headers"]),
        key=_text(found, names.API_KEY),
        client_timeout_seconds=timeout_seconds,
        prompt=prompt,
        resume_after=resume_after,
        received_at=received_at,
        usage_tokens=usage_tokens,
        resumes=_text(found, names.RESUMES),
        error=error,
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
    dropped |= _unreadable_hints(headers)
    return tuple((name, value) for name, value in headers if name not in dropped)


def _unreadable_hints(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the hints that are left out, as an instance might fail on their values."""
    has_prompt = any(name == names.MODEL for name, _value in headers)
    return frozenset({names.LENGTH_HINT} if has_prompt and _read_hint(headers) is None else ())


def _read_prompt(headers: list[tuple[bytes, bytes]], usage: tuple[int, ...]) -> Prompt | None:
    """Return the description of a request's prompt; None when it names no model.

    Args:
        headers: Headers of the request.
        usage: Tokens of the prompt and of the longest answer, as far as they are named.

    Raises:
        ValidationError: A segment's length can't be meant.
    """
    model = _text(dict(headers), names.MODEL)
    if not model:
        return None
    segments = _read_segments(_list_value(headers, names.PROMPT_SEGMENTS))
    named_tokens = usage[0] if usage else 0
    prompt_tokens = named_tokens or sum(segment.tokens for segment in segments)
    answer_tokens = usage[1] if len(usage) > 1 else 0
    return Prompt(model, segments, prompt_tokens, answer_tokens, _read_hint(headers) or 0)


def _read_hint(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the expected length of the answer in tokens; None when it isn't named readably."""
    return head_numbers.whole_number(
        _list_value(headers, names.LENGTH_HINT), head_numbers.MAX_TOKENS
    )


def _read_timeout(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return how long the client waits, in seconds; None when it doesn't say.

    Raises:
        ValidationError: The time can't be meant.
    """
    text = _list_value(headers, names.DEADLINE)
    if not text:
        return None
    return head_numbers.milliseconds(text, _title(names.DEADLINE)) / MILLISECONDS


def _read_last_event(headers: list[tuple[bytes, bytes]]) -> str:
    """Return the id of the last event that the client has; empty for none.

    Services whose events have ids that aren't numbers get such an id as it was sent.

    Raises:
        ValidationError: The id is a number that no event has, or can't be sent on unchanged.
    """
    text = _list_value(headers, names.LAST_EVENT)
    header = _title(names.LAST_EVENT)
    if not head_numbers.is_printable(text):
        raise head_numbers.malformed(header, "other characters than printable ASCII")
    if text.isdecimal() and head_numbers.whole_number(text, head_numbers.MAX_EVENT_NUMBER) is None:
        raise head_numbers.malformed(
            header, f"not the number of an event, up to {head_numbers.MAX_EVENT_NUMBER}"
        )
    return text


def _read_usage(text: str) -> tuple[int, ...]:
    """Return the tokens of prompt and longest answer; empty when none are named.

    Raises:
        ValidationError: One of the numbers can't be meant, or there are more than these two.
    """
    header = _title(names.TOKEN_USAGE)
    parts = text.split(",") if text else []
    if len(parts) > USAGE_NUMBERS:
        raise head_numbers.malformed(header, f"more than {USAGE_NUMBERS} numbers")
    return tuple(head_numbers.tokens(part, header) for part in parts)


def _read_segments(text: str) -> tuple[PromptSegment, ...]:
    """Return the segments of comma-separated ``ID:TOKENS``; empty elements are skipped.

    Raises:
        ValidationError: A segment has no id, or a length that can't be meant.
    """
    header = _title(names.PROMPT_SEGMENTS)
    segments = []
    for element in text.split(","):
        part = element.strip(head_numbers.OPTIONAL_WHITESPACE)
        if not part:
            continue
        segment_id, _, tokens = part.partition(":")
        if not segment_id:
            raise head_numbers.malformed(header, "a part without an id")
        segments.append(PromptSegment(segment_id, head_numbers.tokens(tokens, header)))
    return tuple(segments)


def _read_id(headers: list[tuple[bytes, bytes]]) -> str:
    """Return a request's id; empty when it has none, or several, of which an answer repeats one."""
    ids = {value.strip(b" \t") for name, value in headers if name == names.REQUEST_ID}
    return ids.pop().decode(names.HEADER_ENCODING) if len(ids) == 1 else ""


def _require_id(request_id: str) -> None:
    """Raise ``ValidationError`` unless a request has one id."""
    if not request_id:
        raise head_numbers.malformed(_title(names.REQUEST_ID), "none, or several different ones")


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    """Return a header as text; empty when it is missing."""
    text = found.get(name, b"").decode(names.HEADER_ENCODING)
    return text.strip(head_numbers.OPTIONAL_WHITESPACE)


def _list_value(headers: list[tuple[bytes, bytes]], name: bytes) -> str:
    """Return a header as text, several fields of its name as one list (RFC 9110, section 5.3)."""
    values = (value for each, value in headers if each == name)
    return b",".join(values).decode(names.HEADER_ENCODING).strip(head_numbers.OPTIONAL_WHITESPACE)


def _title(name: bytes) -> str:
    """Return a header's name as errors spell it."""
    return name.decode().title()
