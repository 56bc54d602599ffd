"""Applies the notices in instances' response headers; logs and counts changes."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

import trio

from hopstep.domain.announced_state import AnnouncedState
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import instance_id_of
from hopstep.domain.instance_limit import NO_LIMIT, HeadTimes
from hopstep.domain.instance_notices import InstanceNotice, LimitNotice, NoticeListener
from hopstep.domain.limits.limited_sends import LimitedSends
from hopstep.log_events.instances import (
    INSTANCE_LIMIT_CHANGED,
    INSTANCE_SAYS_LEAVING,
    INSTANCE_WANTS_REST,
)
from hopstep.logs import emit
from hopstep.ports.node_exchange import LIMIT_LIFTED, LimitedInstance

ANSWER_SOURCE = "answer"
"""Source of notices that this node received from the instance itself."""

PEER_SOURCE = "node"
"""Metric label of notices from other nodes: node names would be unbounded."""

MAX_REPORTED_INCARNATIONS = 32
"""Most incarnations in one report to other nodes, the latest: some 1 kB."""

LEAVING = "leaving"
LIMIT = "limit"
NO_LIMIT_SHOWN = -1.0
"""Value in log lines for no limit."""

REST = "rest"
LIFTED_REPORT_SECONDS = 10.0
"""Seconds for which a lifted limit is reported to other nodes: longer than a node can be cut off
while it still counts as reachable."""

UNLISTED_REPORT_SECONDS = 60.0
"""Seconds for which a limit of an unlisted incarnation is reported: its entry may have expired with
its lease, or not have been read yet. After that it counts as terminated."""

MAX_REPORTED_SECONDS = 600.0
"""Longest time since a request was sent that a report states."""

NODE_MESSAGE_SECONDS = 0.05
"""Usual upper bound of a message's time between nodes, in seconds. It is added to the time since a
request was sent, as the reporting node can't include it."""

MILLISECONDS = 1_000
MILLI = 1_000
"""Limits are reported in thousandths of a request per second."""


class LimitedIncarnation(NamedTuple):
    """An incarnation with a rate limit.

    Attributes:
        incarnation: The incarnation, as ``str(InstanceIncarnation)``.
        per_second: Requests per second from all nodes together.
        sends: Requests that this node has sent, and its permits.
    """

    incarnation: str
    per_second: float
    sends: LimitedSends


class InstanceNotices:
    """Applies the notices of instances to the instance table."""

    def __init__(self, table: InstanceTable, count: Callable[[str, str], None]) -> None:
        """Start without any received notice.

        Args:
            table: Keeps the announced state of incarnations.
            count: Called with the kind and the source of each change.
        """
        self._table = table
        self._count = count
        self._limits: dict[str, AnnouncedState] = {}
        self._on_lifted: Callable[[str], None] = lambda _incarnation: None

    def follow_lifted(self, listener: Callable[[str], None]) -> None:
        """Call a listener with each incarnation whose limit was lifted."""
        self._on_lifted = listener

    def listener(self, view: InstanceView) -> NoticeListener:
        """Return a callback that applies notices of a view's incarnation."""
        return functools.partial(self.take, view, trio.current_time())

    def take(self, view: InstanceView, asked_at: float, notice: InstanceNotice) -> None:
        """Apply the notice in a response to this node.

        It applies to the incarnation that the call was for, even if a later one is listed by now.

        Args:
            view: View of the incarnation.
            asked_at: The call was not sent before this time, by the steady clock in seconds.
            notice: Contents of the response headers.
        """
        if notice.is_empty:
            return
        previous = view.announced_state.limit.per_second
        changes = view.announced_state.take(notice, trio.current_time(), asked_at)
        if changes.is_empty:
            return
        self._table.announced_states.remember(view.incarnation, view.announced_state)
        if changes.limit is not None:
            self._note_limit(view.incarnation, view.announced_state, previous, ANSWER_SOURCE)
        if changes.leaving:
            self._note_leaving(view.incarnation, ANSWER_SOURCE, 0)
        if changes.backoff_seconds:
            self._count(REST, ANSWER_SOURCE)
            rest_ms = round(changes.backoff_seconds * MILLISECONDS)
            emit(
                INSTANCE_WANTS_REST,
                instance=view.instance.instance_id,
                life=view.incarnation,
                service=view.instance.service,
                rest_ms=rest_ms,
            )

    def take_leaving_report(self, incarnation: str, since: float, node: str) -> None:
        """Apply another node's report that an incarnation is shutting down.

        The incarnation may be unknown here: a node that has just started may read its entry later.

        Args:
            incarnation: The incarnation, as ``str(InstanceIncarnation)``.
            since: When it first announced it, by this node's steady clock in seconds.
            node: Name of the reporting node.
        """
        view = self._table.of_incarnation(incarnation)
        announced_state = (
            view.announced_state
            if view is not None
            else self._table.announced_states.of_incarnation(incarnation)
        )
        is_new = announced_state.note_leaving(since)
        self._table.announced_states.remember(incarnation, announced_state)
        if is_new:
            age_ms = round((trio.current_time() - since) * MILLISECONDS)
            self._note_leaving(incarnation, node, age_ms)

    def leaving_reports(self) -> list[tuple[str, float]]:
        """Return the latest incarnations to announce a shutdown while their entry says ``ready``.

        Changes that are in the directory aren't reported between nodes.

        Returns:
            Each incarnation, and when it announced it, by the steady clock in seconds.
        """
        leaving = [
            (incarnation, announced_state.leaving_since)
            for incarnation, announced_state in self._table.announced_states
            if announced_state.leaving_since is not None and self._is_listed_ready(incarnation)
        ]
        return leaving[-MAX_REPORTED_INCARNATIONS:]

    def _is_listed_ready(self, incarnation: str) -> bool:
        """Return whether an incarnation is listed, and not as shutting down."""
        view = self._table.of_incarnation(incarnation)
        return view is not None and not view.instance.draining

    def take_limit_report(self, report: LimitedInstance, node: str) -> None:
        """Apply another node's report of an incarnation's latest limit.

        Args:
            report: The limit, and when it was announced.
            node: Name of the reporting node.
        """
        now = trio.current_time()
        lifted = report.per_second_milli == LIMIT_LIFTED
        announced = LimitNotice(None if lifted else report.per_second_milli / MILLI)
        asked_at = now - report.request_age_ms / MILLISECONDS - NODE_MESSAGE_SECONDS
        times = HeadTimes(asked_at, now - report.response_age_ms / MILLISECONDS)
        view = self._table.of_incarnation(report.incarnation)
        announced_state = (
            view.announced_state
            if view is not None
            else self._table.announced_states.of_incarnation(report.incarnation)
        )
        previous = announced_state.limit.per_second
        if announced_state.take_limit(announced, times):
            self._table.announced_states.remember(report.incarnation, announced_state)
            self._note_limit(report.incarnation, announced_state, previous, node)

    def limited(self) -> list[LimitedIncarnation]:
        """Return the listed incarnations that have a limit."""
        return [
            LimitedIncarnation(incarnation, announced_state.limit.per_second, announced_state.sends)
            for incarnation, announced_state in self._limits.items()
            if announced_state.limit.is_set
            and announced_state.sends
            and self._table.of_incarnation(incarnation) is not None
        ]

    def limit_reports(self) -> tuple[LimitedInstance, ...]:
        """Return the limits to report to other nodes: those in force or recently lifted."""
        now = trio.current_time()
        self._limits = {
            incarnation: announced_state
            for incarnation, announced_state in self._limits.items()
            if self._is_worth_reporting(incarnation, announced_state, now)
        }
        reported = list(self._limits.items())[-MAX_REPORTED_INCARNATIONS:]
        return tuple(
            _limit_report(incarnation, announced_state, now)
            for incarnation, announced_state in reported
        )

    def _is_worth_reporting(
        self, incarnation: str, announced_state: AnnouncedState, now: float
    ) -> bool:
        """Return whether other nodes may still need the report of a limit or of its end."""
        heard_seconds = now - announced_state.limit.times.before
        if not announced_state.limit.is_set:
            return heard_seconds < LIFTED_REPORT_SECONDS
        return (
            self._table.of_incarnation(incarnation) is not None
            or heard_seconds < UNLISTED_REPORT_SECONDS
        )

    def _note_limit(
        self, incarnation: str, announced_state: AnnouncedState, previous: float, source: str
    ) -> None:
        """Log and count that an incarnation's limit was changed or lifted."""
        self._limits[incarnation] = announced_state
        view = self._table.of_incarnation(incarnation)
        limit = announced_state.limit.per_second
        age_ms = round((trio.current_time() - announced_state.limit.times.before) * MILLISECONDS)
        self._count(LIMIT, PEER_SOURCE if source != ANSWER_SOURCE else source)
        emit(
            INSTANCE_LIMIT_CHANGED,
            instance=instance_id_of(incarnation),
            life=incarnation,
            service=view.instance.service if view is not None else "",
            limit=_shown(limit),
            previous=_shown(previous),
            source=source,
            age_ms=age_ms,
        )
        if not announced_state.limit.is_set:
            self._on_lifted(incarnation)

    def _note_leaving(self, incarnation: str, source: str, age_ms: int) -> None:
        """Log and count that an instance has announced its shutdown."""
        view = self._table.of_incarnation(incarnation)
        self._count(LEAVING, PEER_SOURCE if source != ANSWER_SOURCE else source)
        emit(
            INSTANCE_SAYS_LEAVING,
            instance=instance_id_of(incarnation),
            life=incarnation,
            service=view.instance.service if view is not None else "",
            source=source,
            age_ms=age_ms,
        )


def _limit_report(incarnation: str, announced_state: AnnouncedState, now: float) -> LimitedInstance:
    """Return the report of a limit for other nodes."""
    limit = announced_state.limit
    milli = round(limit.per_second * MILLI) if limit.is_set else LIMIT_LIFTED
    asked_seconds = min(MAX_REPORTED_SECONDS, now - limit.times.after)
    heard_seconds = now - limit.times.before
    return LimitedInstance(
        incarnation, milli, round(asked_seconds * MILLISECONDS), round(heard_seconds * MILLISECONDS)
    )


def _shown(limit: float) -> float:
    """Return a limit as log lines show it; -1 for none."""
    return NO_LIMIT_SHOWN if limit == NO_LIMIT else limit
