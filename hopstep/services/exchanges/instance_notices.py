"""Takes what instances say of themselves in answers, logs what is news, and counts it."""

from __future__ import annotations

import functools
from collections.abc import Callable

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.instance_notices import InstanceNotice, NoticeListener
from hopstep.logs import emit

ANSWER_SOURCE = "answer"
"""Source of what an instance has told this node itself."""

LEAVING = "leaving"
REST = "rest"
MILLISECONDS = 1_000


class InstanceNotices:
    """Puts what instances say of themselves into the table."""

    def __init__(self, table: InstanceTable, count: Callable[[str, str], None]) -> None:
        """Have heard nothing.

        Args:
            table: Keeps what lives of instances have said.
            count: Told the kind and the source of each change of belief.
        """
        self._table = table
        self._count = count

    def listener(self, view: InstanceView) -> NoticeListener:
        """Return what takes notices of the life that a view is of."""
        return functools.partial(self.take, view)

    def take(self, view: InstanceView, notice: InstanceNotice) -> None:
        """Take what a life of an instance says of itself in an answer to this node.

        The word is of the life that was asked, also when a later one is listed by now.
        """
        if notice.is_empty:
            return
        news = view.standing.take(notice, trio.current_time())
        self._table.standings.remember(view.life, view.standing)
        if news.leaving:
            self._count(LEAVING, ANSWER_SOURCE)
            emit(
                log_events.INSTANCE_SAYS_LEAVING,
                instance=view.life,
                source=ANSWER_SOURCE,
                age_ms=0,
            )
        if news.rest_seconds:
            self._count(REST, ANSWER_SOURCE)
            rest_ms = round(news.rest_seconds * MILLISECONDS)
            emit(log_events.INSTANCE_WANTS_REST, instance=view.life, rest_ms=rest_ms)
