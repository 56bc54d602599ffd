"""Repeats the ids of calls in their answers; see ``hopstep.adapters.call_ids``."""

from __future__ import annotations

import quart

from hopstep.adapters.call_ids import CALL_ID

MAX_ID_LENGTH = 64
"""Longer ids aren't repeated."""


async def repeat_call_id(response: quart.Response) -> quart.Response:
    """Add the id of the current call to the answer to it."""
    call_id = quart.request.headers.get(CALL_ID, "")
    if call_id.isascii() and call_id.isalnum() and len(call_id) <= MAX_ID_LENGTH:
        response.headers[CALL_ID] = call_id
    return response
