"""What an instance reads from the current request of its server."""

from __future__ import annotations

import msgspec
import quart
from werkzeug.datastructures import Headers

FATAL_PART_START = "fa7a1"
"""First digits of the ids of parts that crash each instance that begins a prompt with them."""

TRY_HEADER = "X-Try"
"""Header by which callers number the tries of one id; nodes pass it on unchanged."""

PASSED_ON = ("Attempt-Id", "Model", "Token-Usage", "Prompt-Prefix", "X-Note", TRY_HEADER)
"""Headers that nodes pass on unchanged."""


def request_name(attempt_id: str, try_number: str) -> str:
    """Return the name of one try: its id, and its number where tries of one id are numbered."""
    return f"{attempt_id}#{try_number}" if try_number else attempt_id


class RunHeaders(msgspec.Struct, frozen=True):
    """What an instance received with a request.

    Attributes:
        request_id: Name of the request: its id, and its number among the tries of that id.
        tenant: Tenant.
        salt: Cache salt.
        key_shown: Whether the caller's key was among them.
        first_event: Number of the first event that the caller lacks.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        passed_on: Values of ``PASSED_ON`` headers; empty for missing ones.
    """

    request_id: str
    tenant: str
    salt: str
    key_shown: bool
    first_event: int = 0
    method: str = ""
    target: str = ""
    body: bytes = b""
    passed_on: tuple[str, ...] = ()


def current_request_name() -> str:
    """Return the name of the current request; empty if it has no id."""
    headers = quart.request.headers
    return request_name(headers.get("Attempt-Id", ""), headers.get(TRY_HEADER, ""))


def current_target() -> str:
    """Return the path and query of the current request."""
    scope = quart.request.scope
    query = scope["query_string"]
    target = scope["raw_path"] + (b"?" + query if query else b"")
    return bytes(target).decode("latin-1")


def fatal_part(headers: Headers) -> str:
    """Return the id of the shared part of a prompt that crashes instances; empty for none."""
    ids = [part.partition(":")[0] for part in headers.get("Prompt-Prefix", "").split(",")]
    return next((part for part in ids[:-1] if part.startswith(FATAL_PART_START)), "")
