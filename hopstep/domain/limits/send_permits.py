"""Permits to send requests to an instance that takes only so many from all nodes together.

One relay gives permits out (``PermitAllocator``), never more than the instance's limit leaves of a
window; the other relays hold those for their nodes, and each node those for its own requests
(``PermitStock``). A permit that isn't used expires, so nodes that fall silent, restart or are
suspended hold nothing for long. All times are of the steady clock, in seconds.
"""

from __future__ import annotations

import bisect
from collections import deque
from collections.abc import Mapping

import msgspec

WINDOW_SECONDS = 4.0
"""Span over which operators count the requests that a limited instance gets."""

PERMIT_SECONDS = 1.0
"""For so long a permit may be used, also by whom it is handed on to: five messages between nodes.
Nodes with a request or two a second use most of theirs."""

REPORT_SECONDS = 0.4
"""After so long the use of a permit is known to the relay that gave it: two messages."""

LEAST_EXTRA_SECONDS = 0.0
MAX_EXTRA_SECONDS = 1.8
"""Permits are given for a window that is longer by an extra between these, since a permit counts as
given for a while after it was used or has expired. The extra is found from what was sent, and what
is sent within ``WINDOW_SECONDS`` never exceeds what is given for the longer one."""

EXTRA_PER_SECOND = 0.25
"""Change of the extra in a second, up while less than the limit is sent, else down."""

FIRST_EXTRA_SECONDS = 0.7
"""Extra of an allocator that hasn't seen yet what is sent."""

SINGLE_BELOW = 3.0
"""Where a window has room for fewer permits, one is given at a time as it falls due: whole
permits would exceed the limit or fall short of it by up to a half."""

SINGLE_SECONDS = 0.6
"""A single permit that wasn't used within this time is taken for one that won't be: who wanted it
has gone elsewhere."""

MIN_LIMIT_PER_SECOND = 0.25
"""Limits below this one count as this one, so that the fleet finds out when they are lifted."""

MIN_REPORTING_SHARE = 0.25
"""A group of nodes that hears fewer of all nodes than this gives no permits: at most four groups
that don't hear each other can, so they exceed a limit by four requests at most."""


class Wants(msgspec.Struct, frozen=True):
    """Permits that nodes would use.

    Attributes:
        waiting: Requests that wait for one now.
        ahead: Requests that are expected before the next permits can come.
    """

    waiting: int = 0
    ahead: int = 0


class FleetCoverage(msgspec.Struct, frozen=True):
    """How much of the fleet is heard.

    Attributes:
        heard: Nodes whose sends are told, this one included.
        nodes: Nodes that may be alive.
    """

    heard: int
    nodes: int

    @property
    def share(self) -> float:
        """Part of the limit that this group of nodes may give out."""
        share = min(1.0, self.heard / max(1, self.nodes))
        return share if share >= MIN_REPORTING_SHARE else 0.0


class PermitStock:
    """Permits that are held, until they are used or expire."""

    def __init__(self) -> None:
        """Hold none."""
        self._expiries: list[float] = []

    def put(self, count: int, until: float) -> None:
        """Hold more permits, which may be used until a time."""
        for _permit in range(count):
            bisect.insort(self._expiries, until)

    def held(self, now: float) -> int:
        """Return how many permits may be used now."""
        del self._expiries[: bisect.bisect_right(self._expiries, now)]
        return len(self._expiries)

    def take_one(self, now: float) -> float | None:
        """Use the permit that expires first; return until when it may be used, None for none."""
        return self._expiries.pop(0) if self.held(now) else None

    def take(self, count: int, now: float) -> list[float]:
        """Take up to so many permits, those first that expire first; return until when each holds.

        Args:
            count: Most that are taken.
            now: The time.
        """
        taken = max(0, min(count, self.held(now)))
        expiries = self._expiries[:taken]
        del self._expiries[:taken]
        return expiries


class PermitAllocator:
    """Gives out permits for one life of an instance."""

    def __init__(self, started_at: float) -> None:
        """Have given none.

        Args:
            started_at: Start of this process: what it gave out before then it has forgotten.
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
        """Return how many permits each relay gets now.

        Args:
            per_second: Limit of the instance, over all nodes.
            sent: Requests that the nodes which are heard have sent it within the window.
            reach: How much of the fleet is heard.
            wants: Permits that the nodes of each relay would use.
            now: The time.
        """
        per_second = max(per_second, MIN_LIMIT_PER_SECOND)
        room = int(self._room(per_second, sent, reach, now))
        shares: dict[str, int] = {}
        room -= self._share_out(shares, {relay: w.waiting for relay, w in wants.items()}, room)
        self._share_out(shares, {relay: w.ahead for relay, w in wants.items()}, room)
        for relay, count in shares.items():
            self._given.append((now, relay, count))
            self._note_due(per_second * reach.share, count, now)
        return shares

    def given_since(self, since: float) -> int:
        """Return how many permits were given after a time."""
        return sum(count for at, _relay, count in self._given if at > since)

    def given_to(self, relay: str, since: float) -> int:
        """Return how many permits a relay was given after a time."""
        return sum(count for at, given, count in self._given if given == relay and at > since)

    def _room(self, per_second: float, sent: int, reach: FleetCoverage, now: float) -> float:
        """Return how many permits may be given now."""
        share = per_second * reach.share
        counted = sent + self._given_lately(now) + self._forgotten(share, now)
        self._adjust_extra(share, sent, now)
        most = share * (WINDOW_SECONDS + self._extra_seconds)
        if most >= SINGLE_BELOW:
            return most - counted
        is_due = now >= self._due_at and counted < SINGLE_BELOW
        may_be_unused = sent + self.given_since(now - SINGLE_SECONDS) < 1
        return 1.0 if share > 0 and (is_due or may_be_unused) else 0.0

    def _adjust_extra(self, share: float, sent: int, now: float) -> None:
        """Lengthen the window while less is sent than the limit allows, else shorten it."""
        step = EXTRA_PER_SECOND * min(1.0, now - self._adjusted_at)
        self._adjusted_at = now
        step = step if sent <= share * WINDOW_SECONDS else -step
        extra = min(MAX_EXTRA_SECONDS, self._extra_seconds + step)
        self._extra_seconds = max(LEAST_EXTRA_SECONDS, extra)

    def _forgotten(self, share: float, now: float) -> float:
        """Return what this group counts for the part of the window before this process."""
        return max(0.0, WINDOW_SECONDS - (now - self._started_at)) * share

    def _note_due(self, share: float, count: int, now: float) -> None:
        """Note when the next permit is due where they are given one at a time."""
        interval = count / share
        self._due_at = max(self._due_at, now - interval) + interval

    def _given_lately(self, now: float) -> int:
        """Return the permits that may be used still, or be used without that being known."""
        while self._given and self._given[0][0] <= now - PERMIT_SECONDS - REPORT_SECONDS:
            self._given.popleft()
        return sum(count for _at, _relay, count in self._given)

    def _share_out(self, shares: dict[str, int], wanted: dict[str, int], room: int) -> int:
        """Give relays one permit after the other, in turn, and return how many were given."""
        relays = sorted(relay for relay, count in wanted.items() if count > 0)
        left = {relay: wanted[relay] for relay in relays}
        given = 0
        while relays and given < room:
            self._turn += 1
            relay = relays[self._turn % len(relays)]
            shares[relay] = shares.get(relay, 0) + 1
            left[relay] -= 1
            given += 1
            if not left[relay]:
                relays.remove(relay)
        return given
