"""Whether this node's own links reach the instances of services.

A connection that fails shows nothing by itself: the instance may have ended, or the link of this
node may be cut. A link counts as cut only when another node has reached the same instance. Links
fail in groups: to a service, to a zone, or to everything. Once several links of a group are cut
and no direct connection to the group has succeeded since, all of it counts as cut, so that the
node doesn't find out one instance after the other.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopstep.domain.exchanges.backoff import doubled_seconds
from hopstep.domain.exchanges.instances import Instance

PARTITIONED_LINKS = 2
"""Cut links from which on their whole group counts as cut while no direct connection succeeds."""

FIRST_PROBE_SECONDS = 0.5
"""Time from the finding that a link is cut to the first probe; each failed probe doubles it."""

MAX_PROBE_SECONDS = 2.0

WORKING_SECONDS = 1.0
"""Time for which probes over a cut link must succeed until it is used again: a link that flaps
would otherwise lose what is sent in its short working periods."""

WORKING_PROBE_SECONDS = 0.25
"""Time between two probes in this period."""

MAX_CUT_LINKS = 4_096
"""Bounds the memory for cut links; further ones are found out again by each request."""

SUSPECTED_SECONDS = 1.0
"""Time for which a service counts as unreachable after connections to several instances failed."""

EVERYTHING = "all instances"


class _CutLink(msgspec.Struct):
    """A link that is cut.

    Attributes:
        groups: Groups of its instance.
        next_probe_at: When a direct connection is tried again.
        failed_probes: Probes that have failed in a row.
        working_since: First of the probes that have succeeded in a row; None without one.
    """

    groups: tuple[str, ...]
    next_probe_at: float
    failed_probes: int = 0
    working_since: float | None = None


class _Group(msgspec.Struct):
    """A group of links.

    Attributes:
        cut_links: Number of its links that are cut.
        cut_since: When the first of them was found.
        connected_at: When a direct connection to the group last succeeded.
    """

    cut_links: int = 0
    cut_since: float = 0.0
    connected_at: float = -float("inf")

    @property
    def is_cut(self) -> bool:
        """Whether all of the group counts as cut."""
        return self.cut_links >= PARTITIONED_LINKS and self.connected_at < self.cut_since


class InstanceLinks:
    """This node's links to instances, by address. Times are of the steady clock, in seconds."""

    def __init__(self, on_changed: Callable[[bool], None] = lambda _is_partitioned: None) -> None:
        """Start with working links.

        Args:
            on_changed: Called when all links start or stop counting as cut.
        """
        self._cut: dict[str, _CutLink] = {}
        self._groups: dict[str, _Group] = {EVERYTHING: _Group()}
        self._suspected_until: dict[str, float] = {}
        self._was_partitioned = False
        self._on_changed = on_changed

    @property
    def cut_count(self) -> int:
        """Number of links that are known to be cut."""
        return len(self._cut)

    @property
    def is_partitioned(self) -> bool:
        """Whether the links to all instances count as cut."""
        return self._groups[EVERYTHING].is_cut

    def cut_off_seconds(self, now: float) -> float:
        """Return for how long all links have counted as cut; 0 while they don't."""
        return now - self._groups[EVERYTHING].cut_since if self.is_partitioned else 0.0

    def is_cut(self, instance: Instance) -> bool:
        """Return whether the link to an instance is cut, or counts as cut with its group."""
        if not self._cut:
            return False
        groups = (self._groups.get(name) for name in _groups_of(instance))
        return instance.address in self._cut or any(g is not None and g.is_cut for g in groups)

    def note_cut(self, instance: Instance, now: float) -> bool:
        """Note that only another node reached an instance; return whether that is new."""
        address = instance.address
        if address in self._cut or len(self._cut) >= MAX_CUT_LINKS:
            return False
        link = self._cut[address] = _CutLink(_groups_of(instance), now + FIRST_PROBE_SECONDS)
        for name in link.groups:
            group = self._groups.setdefault(name, _Group())
            if not group.cut_links:
                group.cut_since = now
            group.cut_links += 1
        self._publish()
        return True

    def note_suspected(self, service: str, now: float) -> None:
        """Note that several instances of a service couldn't be reached, for whatever reason."""
        self._suspected_until[service] = now + SUSPECTED_SECONDS

    def is_suspected(self, service: str, now: float) -> bool:
        """Return whether several instances of a service couldn't be reached lately."""
        return now < self._suspected_until.get(service, -float("inf"))

    def note_connected(self, instance: Instance, now: float) -> None:
        """Note that a request was sent to an instance over a new direct connection."""
        self._suspected_until.pop(instance.service, None)
        if self._cut:
            self._note_group_connected(_groups_of(instance), now)

    def note_probe_succeeded(self, address: str, now: float) -> bool:
        """Note a probe over a cut link; return whether the link is used again.

        The first that succeeds has the other cut links probed at once.
        """
        link = self._cut.get(address)
        if link is None:
            return False
        if link.working_since is None:
            link.working_since = now
            for other in self._cut.values():
                other.next_probe_at = min(other.next_probe_at, now)
        link.failed_probes = 0
        link.next_probe_at = now + WORKING_PROBE_SECONDS
        if now - link.working_since < WORKING_SECONDS:
            return False
        self._forget(address)
        self._note_group_connected(link.groups, now)
        return True

    def _note_group_connected(self, names: tuple[str, ...], now: float) -> None:
        """Note that direct connections to some groups work."""
        for name in names:
            self._groups.setdefault(name, _Group()).connected_at = now
        self._publish()

    def note_probe_failed(self, address: str, now: float) -> None:
        """Note that a direct connection to an address over a cut link failed again."""
        link = self._cut.get(address)
        if link is None:
            return
        link.failed_probes += 1
        link.working_since = None
        link.next_probe_at = now + doubled_seconds(
            FIRST_PROBE_SECONDS, link.failed_probes, MAX_PROBE_SECONDS
        )

    def due_probes(self, now: float, count: int) -> list[str]:
        """Return the addresses to probe now, the longest overdue first.

        Args:
            now: Steady clock.
            count: Largest number of addresses.
        """
        due = [address for address, link in self._cut.items() if now >= link.next_probe_at]
        due.sort(key=lambda address: self._cut[address].next_probe_at)
        return due[:count]

    def retain(self, addresses: set[str]) -> None:
        """Forget the links to addresses that aren't listed any more."""
        for address in self._cut.keys() - addresses:
            self._forget(address)
        self._publish()

    def _forget(self, address: str) -> bool:
        """Forget a cut link; return whether it was known."""
        link = self._cut.pop(address, None)
        if link is None:
            return False
        for name in link.groups:
            self._groups[name].cut_links -= 1
        if not self._cut:
            self._groups = {EVERYTHING: _Group()}
        return True

    def _publish(self) -> None:
        """Report a change of whether all links count as cut."""
        if self.is_partitioned is not self._was_partitioned:
            self._was_partitioned = self.is_partitioned
            self._on_changed(self._was_partitioned)


def _groups_of(instance: Instance) -> tuple[str, ...]:
    """Return the groups in which links to an instance may be cut together."""
    return (EVERYTHING, f"service {instance.service}", f"zone {instance.zone}")
