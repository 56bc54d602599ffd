"""Reads what an instance says of itself in the head of an answer."""

from __future__ import annotations

from collections.abc import Iterable

from hopstep.domain.instance_notices import InstanceNotice
from hopstep.domain.retry_after_header import rest_seconds
from hopstep.platform import names

LEAVES = b"1"
TURNED_AWAY = 503
"""Status of an answer whose ``Retry-After`` is about the instance as a whole."""


def read_notice(status: int, headers: Iterable[tuple[bytes, bytes]]) -> InstanceNotice:
    """Return what an answer's head says of its instance.

    Args:
        status: HTTP status.
        headers: All headers of the answer.
    """
    pairs = [(name.lower(), value.strip()) for name, value in headers]
    leaving = (names.LEAVING, LEAVES) in pairs
    if status != TURNED_AWAY:
        return InstanceNotice(leaving)
    waits = [value.decode("latin-1") for name, value in pairs if name == names.RETRY_AFTER]
    dates = [value.decode("latin-1") for name, value in pairs if name == names.DATE]
    return InstanceNotice(leaving, rest_seconds(waits, dates[0] if dates else ""))
