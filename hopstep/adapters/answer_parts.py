"""Parts of an answer's body by ``httpx``, as they were sent."""

from __future__ import annotations

from collections.abc import AsyncIterator

import httpx

UNENCODED = {"Accept-Encoding": "identity"}
"""Header of calls whose answers are bounded."""


def answer_parts(response: httpx.Response) -> AsyncIterator[bytes]:
    """Return the parts of a body.

    Raises:
        httpx.DecodingError: When it is encoded: a part of it may decode to any length at once.
    """
    if response.headers.get("content-encoding", "identity") != "identity":
        raise httpx.DecodingError("the answer is encoded", request=response.request)
    return response.aiter_bytes()
