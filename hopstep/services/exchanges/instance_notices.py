"""Takes what instances say of themselves in answers: logs and counts it."""

from __future__ import annotations

import functools
from collections.abc import Callable

from hopstep import log_events
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.instance_notices import InstanceNotice, NoticeListener
from hopstep.logs import emit

ANSWER_SOURCE = "answer"
"""Source of what an instance has told this node itself."""

LEAVING = "leaving"
REST = "rest"
MILLISECONDS = 1_000
MAX_REMEMBERED = 4_096
"""Lives whose words are remembered: what 10,000 instances of a region that all leave within the
time in which entries lapse come to on one node, with room."""


class InstanceNotices:
    """Hears what instances say of themselves."""

    def __init__(self, count: Callable[[str, str], None]) -> None:
        """Have heard nothing.

        Args:
            count: Told the kind and the source of each change of belief.
        """
        self._count = count
        self._leaving: dict[str, None] = {}

    def listener(self, view: InstanceView) -> NoticeListener:
        """Return what takes notices of the life that a view is of."""
        return functools.partial(self.take, view)

    def take(self, view: InstanceView, notice: InstanceNotice) -> None:
        """Take what a life of an instance says of itself."""
        if notice.leaving and view.life not in self._leaving:
            self._leaving[view.life] = None
            if len(self._leaving) > MAX_REMEMBERED:
                self._leaving.pop(next(iter(self._leaving)))
            self._count(LEAVING, ANSWER_SOURCE)
            emit(
                log_events.INSTANCE_SAYS_LEAVING,
                instance=view.life,
                source=ANSWER_SOURCE,
                age_ms=0,
            )
        if notice.rest_seconds:
            self._count(REST, ANSWER_SOURCE)
            rest_ms = round(notice.rest_seconds * MILLISECONDS)
            emit(log_events.INSTANCE_WANTS_REST, instance=view.life, rest_ms=rest_ms)
