"""Takes what instances say of themselves in answers, logs what is news, and counts it."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import instance_id_of
from hopstep.domain.instance_limit import NO_LIMIT, HeadTimes
from hopstep.domain.instance_notices import InstanceNotice, LimitWord, NoticeListener
from hopstep.domain.instance_standing import InstanceStanding
from hopstep.domain.limits.limited_sends import LimitedSends
from hopstep.logs import emit
from hopstep.ports.node_exchange import LIMIT_LIFTED, LimitedInstance

ANSWER_SOURCE = "answer"
"""Source of what an instance has told this node itself."""

PEER_SOURCE = "node"
"""Label for what other nodes have told: their names aren't bounded."""

MAX_TOLD_LIVES = 32
"""Most instances that leave in one message to other nodes, the latest: some 1 kB."""

LEAVING = "leaving"
LIMIT = "limit"
NONE_SHOWN = -1.0
"""How a log line shows that there is no limit."""

REST = "rest"
LIFTED_TOLD_SECONDS = 10.0
"""For so long after a limit was lifted other nodes are told so: longer than any is cut off while it
still counts as heard."""

UNLISTED_TOLD_SECONDS = 60.0
"""For so long a limit of a life that isn't listed is told: its entry may have lapsed or not have
been read yet. Later it has ended."""

MAX_TOLD_SECONDS = 600.0
"""Longest time that is told since a request was sent."""

ON_THE_WAY_SECONDS = 0.05
"""Messages between nodes take up to so long, usually: for so much longer a request may have been
under way than the node that told it knew."""

MILLISECONDS = 1_000
MILLI = 1_000
"""Limits are told in thousandths of a request a second."""


class LimitedLife(NamedTuple):
    """A life that takes only so many requests.

    Attributes:
        life: As ``str(InstanceLife)``.
        per_second: Requests a second from all nodes together.
        sends: What this node sends it.
    """

    life: str
    per_second: float
    sends: LimitedSends


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
        self._limits: dict[str, InstanceStanding] = {}
        self._tell_lifted: Callable[[str], None] = lambda _life: None

    def follow_lifted(self, listener: Callable[[str], None]) -> None:
        """Tell a listener of each life that has no limit any more."""
        self._tell_lifted = listener

    def listener(self, view: InstanceView) -> NoticeListener:
        """Return what takes notices of the life that a view is of."""
        return functools.partial(self.take, view, trio.current_time())

    def take(self, view: InstanceView, asked_at: float, notice: InstanceNotice) -> None:
        """Take what a life of an instance says of itself in an answer to this node.

        The word is of the life that was asked, also when a later one is listed by now.

        Args:
            view: The life.
            asked_at: The call had not been sent before then.
            notice: What the answer's head says.
        """
        if notice.is_empty:
            return
        previous = view.standing.limit.per_second
        news = view.standing.take(notice, trio.current_time(), asked_at)
        if news.is_empty:
            return
        self._table.standings.remember(view.life, view.standing)
        if news.limit is not None:
            self._note_limit(view.life, view.standing, previous, ANSWER_SOURCE)
        if news.leaving:
            self._note_news(view.life, ANSWER_SOURCE, 0)
        if news.rest_seconds:
            self._count(REST, ANSWER_SOURCE)
            rest_ms = round(news.rest_seconds * MILLISECONDS)
            emit(
                log_events.INSTANCE_WANTS_REST,
                instance=view.instance.instance_id,
                life=view.life,
                service=view.instance.service,
                rest_ms=rest_ms,
            )

    def take_told(self, life: str, since: float, node: str) -> None:
        """Take from another node that a life of an instance leaves.

        The life may be unknown here: a node that has just started may read its entry later.

        Args:
            life: As ``str(InstanceLife)``.
            since: When it said so first, by this node's steady clock.
            node: Who tells it.
        """
        view = self._table.of_life(life)
        standing = view.standing if view is not None else self._table.standings.of_life(life)
        is_news = standing.note_leaving(since)
        self._table.standings.remember(life, standing)
        if is_news:
            age_ms = round((trio.current_time() - since) * MILLISECONDS)
            self._note_news(life, node, age_ms)

    def unlisted_leaving(self) -> list[tuple[str, float]]:
        """Return the latest lives that leave, with since when, while their entry says ``ready``.

        What the directory shows itself isn't told among nodes.
        """
        leaving = [
            (life, standing.leaving_since)
            for life, standing in self._table.standings
            if standing.leaving_since is not None and self._is_listed_ready(life)
        ]
        return leaving[-MAX_TOLD_LIVES:]

    def _is_listed_ready(self, life: str) -> bool:
        """Return whether a life is listed, and not as leaving."""
        view = self._table.of_life(life)
        return view is not None and not view.instance.draining

    def take_told_limit(self, told: LimitedInstance, node: str) -> None:
        """Take from another node what a life of an instance has said last of its limit.

        Args:
            told: What it said, and when.
            node: Who tells it.
        """
        now = trio.current_time()
        lifted = told.per_second_milli == LIMIT_LIFTED
        word = LimitWord(None if lifted else told.per_second_milli / MILLI)
        asked_at = now - told.request_age_ms / MILLISECONDS - ON_THE_WAY_SECONDS
        times = HeadTimes(asked_at, now - told.response_age_ms / MILLISECONDS)
        view = self._table.of_life(told.incarnation)
        standing = (
            view.standing if view is not None else self._table.standings.of_life(told.incarnation)
        )
        previous = standing.limit.per_second
        if standing.take_limit(word, times):
            self._table.standings.remember(told.incarnation, standing)
            self._note_limit(told.incarnation, standing, previous, node)

    def limited(self) -> list[LimitedLife]:
        """Return the listed lives that have a limit."""
        return [
            LimitedLife(life, standing.limit.per_second, standing.sends)
            for life, standing in self._limits.items()
            if standing.limit.is_set and standing.sends and self._table.of_life(life) is not None
        ]

    def told_limits(self) -> tuple[LimitedInstance, ...]:
        """Return what other nodes are told of limits: those that hold, and those lifted lately."""
        now = trio.current_time()
        self._limits = {
            life: standing
            for life, standing in self._limits.items()
            if self._is_worth_telling(life, standing, now)
        }
        told = list(self._limits.items())[-MAX_TOLD_LIVES:]
        return tuple(_told_limit(life, standing, now) for life, standing in told)

    def _is_worth_telling(self, life: str, standing: InstanceStanding, now: float) -> bool:
        """Return whether a limit of a life may still bind anybody who doesn't know it."""
        heard_seconds = now - standing.limit.times.before
        if not standing.limit.is_set:
            return heard_seconds < LIFTED_TOLD_SECONDS
        return self._table.of_life(life) is not None or heard_seconds < UNLISTED_TOLD_SECONDS

    def _note_limit(
        self, life: str, standing: InstanceStanding, previous: float, source: str
    ) -> None:
        """Log and count that a life has another limit, or none any more."""
        self._limits[life] = standing
        view = self._table.of_life(life)
        limit = standing.limit.per_second
        age_ms = round((trio.current_time() - standing.limit.times.before) * MILLISECONDS)
        self._count(LIMIT, PEER_SOURCE if source != ANSWER_SOURCE else source)
        emit(
            log_events.INSTANCE_LIMIT_CHANGED,
            instance=instance_id_of(life),
            life=life,
            service=view.instance.service if view is not None else "",
            limit=_shown(limit),
            previous=_shown(previous),
            source=source,
            age_ms=age_ms,
        )
        if not standing.limit.is_set:
            self._tell_lifted(life)

    def _note_news(self, life: str, source: str, age_ms: int) -> None:
        """Log and count that an instance is now known to leave."""
        view = self._table.of_life(life)
        self._count(LEAVING, PEER_SOURCE if source != ANSWER_SOURCE else source)
        emit(
            log_events.INSTANCE_SAYS_LEAVING,
            instance=instance_id_of(life),
            life=life,
            service=view.instance.service if view is not None else "",
            source=source,
            age_ms=age_ms,
        )


def _told_limit(life: str, standing: InstanceStanding, now: float) -> LimitedInstance:
    """Return what another node is told of a limit."""
    limit = standing.limit
    milli = round(limit.per_second * MILLI) if limit.is_set else LIMIT_LIFTED
    asked_seconds = min(MAX_TOLD_SECONDS, now - limit.times.after)
    heard_seconds = now - limit.times.before
    return LimitedInstance(
        life, milli, round(asked_seconds * MILLISECONDS), round(heard_seconds * MILLISECONDS)
    )


def _shown(limit: float) -> float:
    """Return a limit as log lines show it."""
    return NONE_SHOWN if limit == NO_LIMIT else limit
