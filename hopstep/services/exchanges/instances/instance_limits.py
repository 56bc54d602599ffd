"""This node's part in keeping instances' rate limits: permits, and requests that wait for one."""

from __future__ import annotations

import bisect
import random
from collections.abc import Sequence

import msgspec
import trio

from hopstep.domain.announced_state import AnnouncedState
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.limits.fleet_usage import UsageReport
from hopstep.domain.limits.limited_sends import LimitedSends
from hopstep.domain.limits.send_permits import MIN_LIMIT_PER_SECOND
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices

OLDEST_FIRST_INTERVAL = 4
"""One of this number of permits goes to the request that has waited longest, whatever its rank.
Otherwise requests served last would get none while those before them use up all permits."""

CONTROL_RANK = -1
"""Rank of control calls (weight orders and reports), served before all requests: engines must load
weights in time."""

MIN_PERMITS_PER_SECOND = 0.1
"""Rate assumed for the expected wait for a permit when none came recently."""


class HeldPermit:
    """Right to send one request to an instance; without a limit no permit is needed."""

    def __init__(self, announced_state: AnnouncedState, now: float) -> None:
        """Take a permit if the instance has a limit and this node holds one.

        Args:
            announced_state: Announced state of the incarnation that the request is for.
            now: Steady clock, seconds.
        """
        self._announced_state = announced_state
        self._until = self._take(now)

    def use(self, now: float) -> bool:
        """Count a request right before its first byte; return False when it may not be sent.

        The limit may be new, or the permit expired, since the instance was chosen.
        """
        sends = self._announced_state.limited_sends
        if sends is None:
            return True
        if self._until is None or self._until <= now:
            self._until = self._take(now)
        if self._until is None:
            return False
        self._until = None
        sends.note_sent(now)
        return True

    def release(self) -> bool:
        """Return an unused permit; return whether there was one."""
        sends, until = self._announced_state.limited_sends, self._until
        self._until = None
        if sends is None or until is None:
            return False
        sends.permits.put(1, until)
        return True

    def _take(self, now: float) -> float | None:
        """Take a permit; return when it expires, None if there is none."""
        sends = self._announced_state.limited_sends
        return sends.permits.take_one(now) if sends is not None else None


class _Waiter(msgspec.Struct, eq=False):
    """A request that waits for a permit, ordered by rank (lowest first), then by arrival."""

    rank: int
    number: int
    woken: trio.Event = msgspec.field(default_factory=trio.Event)

    def __lt__(self, other: _Waiter) -> bool:
        """Return whether this waiter is served before another."""
        return (self.rank, self.number) < (other.rank, other.number)


class InstanceLimits:
    """Holds this node's permits, and queues requests for them by rank."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        notices: InstanceNotices,
        generator: random.Random,
    ) -> None:
        """Start without any permits.

        Args:
            knowledge: Instances and nodes.
            notices: What instances announce in response headers.
            generator: Draws the instance that a request waits for.
        """
        self._generator = generator
        self._knowledge = knowledge
        self._notices = notices
        self._waiters: dict[str, list[_Waiter]] = {}
        self._number = 0
        self._served = 0
        notices.follow_lifted(self._wake_all)

    def own_report(self) -> UsageReport:
        """Return what this node has sent to limited instances, and what waits for permits."""
        now = trio.current_time()
        limited = self._notices.limited()
        usage = (sends.usage(incarnation, now) for incarnation, _limit, sends in limited)
        return UsageReport(tuple(each for each in usage if not each.is_empty))

    def receive(self, incarnation: str, count: int, until: float) -> None:
        """Add permits for an incarnation, and wake as many waiting requests.

        Args:
            incarnation: The incarnation, as ``str(InstanceIncarnation)``.
            count: Number of permits.
            until: When they expire, by the steady clock in seconds.
        """
        sends = self._sends(incarnation)
        if sends is not None and count > 0:
            sends.receive(count, until, trio.current_time())
            self._wake(incarnation, sends)

    def hold(self, view: InstanceView) -> HeldPermit:
        """Return the right to send one request to an instance that was chosen."""
        return HeldPermit(view.announced_state, trio.current_time())

    def release(self, view: InstanceView, permit: HeldPermit) -> None:
        """Release a permit if it wasn't used."""
        sends = view.announced_state.limited_sends
        if permit.release() and sends is not None:
            self._wake(view.incarnation, sends)

    def may_wait(self, views: Sequence[InstanceView], rank: int, until: float) -> bool:
        """Return whether a permit may come in time, by the rate of recent permits.

        One request of each rank may always wait.

        Args:
            views: Limited instances, any of which may serve the request.
            rank: Rank of the request; lower ones are served first.
            until: Latest useful time of a permit, by the steady clock in seconds.
        """
        now = trio.current_time()
        if until <= now:
            return False
        return any(
            self._expected_within(view, until - now) > self._ahead(view, rank)
            or not self._has_waiter(view, rank)
            for view in views
        )

    def waits_for(self, incarnation: str) -> bool:
        """Return whether any request waits for a permit for an incarnation."""
        return incarnation in self._waiters

    def note_refused(self, views: Sequence[InstanceView]) -> None:
        """Request a permit after a request was refused without one: similar requests follow."""
        sends = self._draw(views).announced_state.limited_sends
        if sends is not None:
            sends.note_wanted(trio.current_time())

    def expected_seconds(self, view: InstanceView, rank: int) -> float:
        """Return the expected wait for a permit, in seconds."""
        now = trio.current_time()
        sends = view.announced_state.limited_sends
        if sends is None:
            return 0.0
        even_share = view.announced_state.limit.per_second / max(1, self._knowledge.count_nodes())
        rate = max(sends.permits_per_second(now), even_share, MIN_PERMITS_PER_SECOND)
        return (1 + self._ahead(view, rank)) / rate

    async def acquire(self, view: InstanceView, rank: int, until: float) -> bool:
        """Count a call to an instance as soon as a permit comes; return False for none in time.

        Args:
            view: The instance.
            rank: Lower ones are served first.
            until: End of the longest wait, by the steady clock in seconds.
        """
        sends = view.announced_state.limited_sends
        if sends is not None and sends.free(trio.current_time()) <= 0:
            await self.wait([view], rank, until)
        return self.hold(view).use(trio.current_time())

    async def wait(self, views: Sequence[InstanceView], rank: int, until: float) -> None:
        """Wait for a permit for one of some instances, at most until a given time.

        Args:
            views: Limited instances, any of which may serve the request.
            rank: Rank of the request; lower ones are served first.
            until: End of the longest wait, by the steady clock in seconds.
        """
        view = self._draw(views)
        sends = view.announced_state.limited_sends
        if sends is None:
            return
        self._number += 1
        waiter = _Waiter(rank, self._number)
        waiters = self._waiters.setdefault(view.incarnation, [])
        bisect.insort(waiters, waiter)
        sends.waiting += 1
        try:
            with trio.move_on_at(until):
                await waiter.woken.wait()
        finally:
            waiters.remove(waiter)
            if waiter.woken.is_set():
                sends.claimed -= 1
            else:
                sends.waiting -= 1
            if not waiters:
                self._waiters.pop(view.incarnation, None)

    def _wake(self, incarnation: str, sends: LimitedSends) -> None:
        """Wake as many waiting requests as there are permits."""
        while sends.free(trio.current_time()) > 0 and self._wake_next(incarnation, sends):
            pass

    def _wake_all(self, incarnation: str) -> None:
        """Wake all requests that wait for an incarnation whose limit was lifted."""
        view = self._knowledge.table.of_incarnation(incarnation)
        sends = view.announced_state.sends if view is not None else None
        while sends is not None and self._wake_next(incarnation, sends):
            pass

    def _wake_next(self, incarnation: str, sends: LimitedSends) -> bool:
        """Wake the request that is served next; return False when none waits."""
        waiter = self._next(incarnation)
        if waiter is None:
            return False
        waiter.woken.set()
        sends.claimed += 1
        sends.waiting -= 1
        return True

    def _next(self, incarnation: str) -> _Waiter | None:
        """Return the waiter that is served next; None when none waits."""
        waiting = [w for w in self._waiters.get(incarnation, ()) if not w.woken.is_set()]
        if not waiting:
            return None
        self._served += 1
        if self._served % OLDEST_FIRST_INTERVAL == 0:
            return min(waiting, key=lambda waiter: waiter.number)
        return waiting[0]

    def _has_waiter(self, view: InstanceView, rank: int) -> bool:
        """Return whether a request of a rank waits for an instance."""
        return any(waiter.rank == rank for waiter in self._waiters.get(view.incarnation, ()))

    def _expected_within(self, view: InstanceView, seconds: float) -> float:
        """Return the expected number of permits within a time, in seconds: one at least."""
        sends = view.announced_state.limited_sends
        rate = sends.permits_per_second(trio.current_time()) if sends is not None else 0.0
        return 1.0 + rate * seconds

    def _ahead(self, view: InstanceView, rank: int) -> int:
        """Return the number of requests served before a new one of a rank."""
        return sum(1 for waiter in self._waiters.get(view.incarnation, ()) if waiter.rank <= rank)

    def _draw(self, views: Sequence[InstanceView]) -> InstanceView:
        """Draw an instance to wait for, weighted by its limit and by how few requests wait for it.

        If each node chose the best one, the few waiting requests of each of many nodes would all
        wait for the same instance, and the limits of others would go unused.
        """
        return self._generator.choices(views, [self._rate_per_waiter(view) for view in views])[0]

    def _rate_per_waiter(self, view: InstanceView) -> float:
        """Return an instance's limit per second, divided by the requests that would wait for it."""
        limit = max(view.announced_state.limit.per_second, MIN_LIMIT_PER_SECOND)
        return limit / (1 + len(self._waiters.get(view.incarnation, ())))

    def _sends(self, incarnation: str) -> LimitedSends | None:
        """Return what is sent to an incarnation, if it is listed and has a limit."""
        view = self._knowledge.table.of_incarnation(incarnation)
        return view.announced_state.limited_sends if view is not None else None
