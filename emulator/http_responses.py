"""Helpers for requests and responses of the emulated HTTP services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec
import quart

JSON_MEDIA_TYPE = "application/json"

Message = TypeVar("Message")


async def read_message(message_type: type[Message]) -> Message:
    """Decode the body of the current request.

    Raises:
        msgspec.DecodeError: When the body isn't a ``message_type``; the error names the field.
    """
    return msgspec.json.decode(await quart.request.get_data(), type=message_type)


def json_response(result: object, status: int = 200) -> quart.Response:
    """Return a JSON response."""
    content = msgspec.json.encode(result)
    return quart.Response(content, status=status, content_type=JSON_MEDIA_TYPE)


def lost_response() -> quart.Response:
    """Return a response whose connection breaks before its body is complete."""

    async def broken_body() -> AsyncIterator[bytes]:
        yield b" "

    headers = {"Content-Length": "2"}
    return quart.Response(broken_body(), headers=headers, content_type=JSON_MEDIA_TYPE)
