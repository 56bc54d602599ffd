"""Permits to send requests to an instance that limits the rate of all nodes together.

One relay allocates permits (``PermitAllocator``), never more than the instance's limit leaves in a
window; the other relays hold permits for their nodes, and each node for its own requests
(``PermitStock``). An unused permit expires, so nodes that become unresponsive, restart or are
suspended hold none for long. All times are of the steady clock, in seconds.
"""

from __future__ import annotations

import bisect
from collections import deque
from collections.abc import Mapping

import msgspec

WINDOW_SECONDS = 4.0
"""Time in seconds over which operators count the requests that a limited instance gets."""

PERMIT_SECONDS = 1.0
"""Lifetime of a permit in seconds, also when it is passed on: the interval of five messages between
nodes. Nodes with a request or two a second use most of their permits."""

REPORT_SECONDS = 0.4
"""Time in seconds after which the relay that gave a permit has the report of its use: the interval
of two messages."""

MIN_EXTRA_SECONDS = 0.0
MAX_EXTRA_SECONDS = 1.8
"""Bounds in seconds of the extra by which the window of given permits is longer, since a permit
counts as given for a while after it was used or has expired. The extra is adjusted by the reported
sends, and the sends within ``WINDOW_SECONDS`` never exceed the permits for the longer window."""

EXTRA_PER_SECOND = 0.25
"""Change of the extra in seconds per second: up while less than the limit is sent, else down."""

FIRST_EXTRA_SECONDS = 0.7
"""Extra in seconds of an allocator that has no reported sends yet."""

SINGLE_PERMIT_BELOW = 3.0
"""Number of permits in a window below which they are given one at a time as each falls due: whole
permits would exceed the limit or fall short of it by up to a half."""

SINGLE_PERMIT_SECONDS = 0.6
"""Time in seconds after which an unused single permit is assumed to stay unused, as the request
that wanted it was sent to another instance."""

MIN_LIMIT_PER_SECOND = 0.25
"""Lowest limit in requests per second; lower ones count as this one, so that the nodes detect when
they are lifted."""

MIN_REPORTING_SHARE = 0.25
"""Fraction of all nodes whose reports a group of nodes must receive to give permits. At most four
groups that are cut off from each other can, so they exceed a limit by four requests at most."""


class Wants(msgspec.Struct, frozen=True):
    """Permits that nodes would use.

    Attributes:
        waiting: Requests that wait for a permit now.
        ahead: Requests that are expected before the next permits can arrive.
    """

    waiting: int = 0
    ahead: int = 0


class FleetCoverage(msgspec.Struct, frozen=True):
    """Fraction of the fleet whose reports are received.

    Attributes:
        reporting: Number of nodes whose sends are reported, this one included.
        nodes: Number of nodes that may be alive.
    """

    reporting: int
    nodes: int

    @property
    def share(self) -> float:
        """Part of the limit that this group of nodes may give out."""
        share = min(1.0, self.reporting / max(1, self.nodes))
        return share if share >= MIN_REPORTING_SHARE else 0.0


class PermitStock:
    """Permits that are held until they are used or expire."""

    def __init__(self) -> None:
        """Start without any permits."""
        self._expiries: list[float] = []

    def put(self, count: int, until: float) -> None:
        """Add permits that may be used until a time."""
        for _permit in range(count):
            bisect.insort(self._expiries, until)

    def held(self, now: float) -> int:
        """Return the number of permits that may be used now."""
        del self._expiries[: bisect.bisect_right(self._expiries, now)]
        return len(self._expiries)

    def take_one(self, now: float) -> float | None:
        """Use the permit that expires first; return its expiry time, or None without a permit."""
        return self._expiries.pop(0) if self.held(now) else None

    def take(self, count: int, now: float) -> list[float]:
        """Take up to ``count`` permits, the earliest expiry first; return their expiry times.

        Args:
            count: Maximum number of permits.
            now: The time.
        """
        taken = max(0, min(count, self.held(now)))
        expiries = self._expiries[:taken]
        del self._expiries[:taken]
        return expiries


class PermitAllocator:
    """Allocates permits for one incarnation of an instance."""

    def __init__(self, started_at: float) -> None:
        """Start without any given permits.

        Args:
            started_at: Start of this process; permits given before it are not on record.
        """
        self._started_at = started_at
        self._given: deque[tuple[float, str, int]] = deque()
        self._due_at = -float("inf")
        self._adjusted_at = started_at
        self._extra_seconds = FIRST_EXTRA_SECONDS
        self._turn = 0

    def allocate(
        self,
        per_second: float,
        sent: int,
        reach: FleetCoverage,
        wants: Mapping[str, Wants],
        now: float,
    ) -> dict[str, int]:
        """Return the number of permits that each relay gets now.

        Args:
            per_second: Limit of the instance in requests per second, over all nodes.
            sent: Requests that the reporting nodes have sent to it within the window.
            reach: Fraction of the fleet that reports.
            wants: Permits that the nodes of each relay would use.
            now: The time.
        """
        per_second = max(per_second, MIN_LIMIT_PER_SECOND)
        free = int(self._free_permits(per_second, sent, reach, now))
        shares: dict[str, int] = {}
        free -= self._distribute(shares, {relay: w.waiting for relay, w in wants.items()}, free)
        self._distribute(shares, {relay: w.ahead for relay, w in wants.items()}, free)
        for relay, count in shares.items():
            self._given.append((now, relay, count))
            self._note_due(per_second * reach.share, count, now)
        return shares

    def given_since(self, since: float) -> int:
        """Return the number of permits given after a time."""
        return sum(count for at, _relay, count in self._given if at > since)

    def given_to(self, relay: str, since: float) -> int:
        """Return the number of permits given to a relay after a time."""
        return sum(count for at, given, count in self._given if given == relay and at > since)

    def _free_permits(
        self, per_second: float, sent: int, reach: FleetCoverage, now: float
    ) -> float:
        """Return the number of permits that may be given now."""
        share = per_second * reach.share
        counted = sent + self._outstanding(now) + self._assumed_before_start(share, now)
        self._adjust_extra(share, sent, now)
        capacity = share * (WINDOW_SECONDS + self._extra_seconds)
        if capacity >= SINGLE_PERMIT_BELOW:
            return capacity - counted
        is_due = now >= self._due_at and counted < SINGLE_PERMIT_BELOW
        may_be_unused = sent + self.given_since(now - SINGLE_PERMIT_SECONDS) < 1
        return 1.0 if share > 0 and (is_due or may_be_unused) else 0.0

    def _adjust_extra(self, share: float, sent: int, now: float) -> None:
        """Lengthen the window while less is sent than the limit allows, else shorten it."""
        step = EXTRA_PER_SECOND * min(1.0, now - self._adjusted_at)
        self._adjusted_at = now
        step = step if sent <= share * WINDOW_SECONDS else -step
        extra = min(MAX_EXTRA_SECONDS, self._extra_seconds + step)
        self._extra_seconds = max(MIN_EXTRA_SECONDS, extra)

    def _assumed_before_start(self, share: float, now: float) -> float:
        """Return the sends assumed for the part of the window before this process started."""
        return max(0.0, WINDOW_SECONDS - (now - self._started_at)) * share

    def _note_due(self, share: float, count: int, now: float) -> None:
        """Record when the next permit is due where they are given one at a time."""
        interval = count / share
        self._due_at = max(self._due_at, now - interval) + interval

    def _outstanding(self, now: float) -> int:
        """Return the permits that may still be used, or whose use may not be reported yet."""
        while self._given and self._given[0][0] <= now - PERMIT_SECONDS - REPORT_SECONDS:
            self._given.popleft()
        return sum(count for _at, _relay, count in self._given)

    def _distribute(self, shares: dict[str, int], wanted: dict[str, int], free: int) -> int:
        """Give the relays one permit each in turn, and return the number of permits given."""
        relays = sorted(relay for relay, count in wanted.items() if count > 0)
        left = {relay: wanted[relay] for relay in relays}
        given = 0
        while relays and given < free:
            self._turn += 1
            relay = relays[self._turn % len(relays)]
            shares[relay] = shares.get(relay, 0) + 1
            left[relay] -= 1
            given += 1
            if not left[relay]:
                relays.remove(relay)
        return given
