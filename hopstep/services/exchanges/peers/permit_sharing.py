"""Shares permits to send to limited instances among all nodes, within the regular messages.

For each incarnation one of the relays allocates permits. It sends them to other relays with its
digests, and each relay hands them to its nodes with the answers to their queries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import trio

from hopstep.domain.limits.fleet_usage import Usage, UsageReport
from hopstep.domain.limits.send_permits import (
    PERMIT_SECONDS,
    WINDOW_SECONDS,
    FleetCoverage,
    PermitAllocator,
    PermitStock,
    Wants,
)
from hopstep.domain.rendezvous import Rendezvous
from hopstep.ports.node_exchange import GrantedPermits, Hints
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.peers.usage_registry import UsageRegistry

MILLISECONDS = 1_000
DEMAND_LAG_SECONDS = 0.3
"""Time until permits that a relay was given are reflected in the demand that it reports: its next
digest arrives within 0.2 s."""


class _LastDigest(NamedTuple):
    """Number of a relay's last digest, and the key of its process, which starts the numbering."""

    key: bytes
    number: int


class PermitSharing:
    """Allocates and forwards permits on a relay, and receives them on any other node."""

    def __init__(
        self, knowledge: ServingKnowledge, notices: InstanceNotices, limits: InstanceLimits
    ) -> None:
        """Start without permits. Must be called inside the event loop.

        Args:
            knowledge: Nodes and relays.
            notices: Which instances have limits.
            limits: This node's own permits and demand.
        """
        self.registry = UsageRegistry(knowledge, WINDOW_SECONDS, limits.own_report)
        self._knowledge = knowledge
        self._notices = notices
        self._limits = limits
        self._started_at = trio.current_time()
        self._allocators: dict[str, PermitAllocator] = {}
        self._stocks: dict[str, PermitStock] = {}
        self._digests: dict[str, _LastDigest] = {}

    def own_sends(self) -> tuple[Usage, ...]:
        """Return the usage and demand of this node for its relay."""
        return self._limits.own_report().usage

    def group_sends(self) -> tuple[Usage, ...]:
        """Return the usage and demand of this relay's group, less the permits that it holds."""
        now = trio.current_time()
        return tuple(self._unmet(usage, now) for usage in self.registry.group_report().usage)

    def allocate(self) -> tuple[GrantedPermits, ...]:
        """Allocate permits for this relay's incarnations; return those for other relays."""
        limited = self._notices.limited()
        self._retain_only({incarnation for incarnation, _limit, _sends in limited})
        if not limited:
            return ()
        granted: list[GrantedPermits] = []
        relays = self._knowledge.relays.live_relays()
        for incarnation, limit, _sends in limited:
            if allocating_relay(incarnation, relays) == self._knowledge.name:
                granted += self._allocate(incarnation, limit)
            self._serve_own(incarnation)
        return tuple(granted)

    def serve(self, node: str, hints: Hints) -> tuple[GrantedPermits, ...]:
        """Apply the usage and demand of a node that queries this one, and return its permits."""
        now = trio.current_time()
        granted: list[GrantedPermits] = []
        usage = []
        for demand in hints.sends:
            expiries = self._stock(demand.name).take(demand.offered + demand.expected, now)
            usage.append(demand.less(len(expiries)))
            granted += _granted(demand.name, expiries, now)
        self.registry.take_from_member(node, UsageReport(tuple(usage), hints.nodes))
        return tuple(granted)

    def take_digest(self, relay: str, number: int, hints: Hints) -> None:
        """Apply another relay's digest; the permits of a repeated digest count only once."""
        self.registry.take_from_relay(relay, UsageReport(hints.sends, hints.nodes))
        if not self._is_new(relay, number):
            return
        for granted in hints.permits:
            if granted.relay == self._knowledge.name:
                until = trio.current_time() + granted.valid_ms / MILLISECONDS
                self._stock(granted.incarnation).put(granted.count, until)
                self._serve_own(granted.incarnation)

    def _is_new(self, relay: str, number: int) -> bool:
        """Return whether a digest is newer than all others of its process, and note its number."""
        record = self._knowledge.nodes.get(relay)
        key = record.key if record is not None else b""
        last = self._digests.get(relay)
        if last is not None and last.key == key and number <= last.number:
            return False
        self._digests[relay] = _LastDigest(key, number)
        return True

    def take_answer(self, granted: Iterable[GrantedPermits], asked_at: float) -> None:
        """Take permits that this node's relay granted.

        Args:
            granted: The permits.
            asked_at: When the query was sent; their validity counts from then, as the answer may
                have been delayed.
        """
        for grant in granted:
            until = asked_at + grant.valid_ms / MILLISECONDS
            self._limits.receive(grant.incarnation, grant.count, until)

    def _allocate(self, incarnation: str, limit: float) -> list[GrantedPermits]:
        """Allocate permits for one incarnation; return those for other relays."""
        now = trio.current_time()
        allocator = self._allocators.get(incarnation)
        if allocator is None:
            allocator = self._allocators[incarnation] = PermitAllocator(self._started_at)
        sent = sum(u.admitted for u in self.registry.fleet_report().usage if u.name == incarnation)
        nodes = self._knowledge.count_nodes()
        reach = FleetCoverage(self.registry.fleet_report().nodes, nodes)
        shares = allocator.allocate(
            limit, sent, reach, self._demand(incarnation, allocator, now), now
        )
        self._stock(incarnation).put(shares.pop(self._knowledge.name, 0), now + PERMIT_SECONDS)
        valid_ms = round(PERMIT_SECONDS * MILLISECONDS)
        return [
            GrantedPermits(incarnation, count, valid_ms, relay) for relay, count in shares.items()
        ]

    def _demand(self, incarnation: str, allocator: PermitAllocator, now: float) -> dict[str, Wants]:
        """Return the demand of each relay's group, less the permits that it was given."""
        demand_by_relay = {}
        for relay, usage in self.registry.relays_usage(incarnation).items():
            given = allocator.given_to(relay, now - DEMAND_LAG_SECONDS)
            demand_by_relay[relay] = _demand(usage.less(given))
        own = [
            self._unmet(u, now) for u in self.registry.group_report().usage if u.name == incarnation
        ]
        demand_by_relay[self._knowledge.name] = _demand(own[0]) if own else Wants()
        return demand_by_relay

    def _serve_own(self, incarnation: str) -> None:
        """Hand held permits to this node's own requests."""
        now = trio.current_time()
        for demand in self._limits.own_report().usage:
            if demand.name == incarnation:
                expiries = self._stock(incarnation).take(demand.offered + demand.expected, now)
                for until, count in Counter(expiries).items():
                    self._limits.receive(incarnation, count, until)

    def _unmet(self, usage: Usage, now: float) -> Usage:
        """Return usage without the demand that the permits held by this relay meet."""
        return usage.less(self._stock(usage.name).held(now))

    def _stock(self, incarnation: str) -> PermitStock:
        """Return the permits that this relay holds for its nodes."""
        return self._stocks.setdefault(incarnation, PermitStock())

    def _retain_only(self, incarnations: set[str]) -> None:
        """Drop the state of incarnations that have no limit any more."""
        for states in (self._allocators, self._stocks):
            for incarnation in states.keys() - incarnations:
                del states[incarnation]


def allocating_relay(incarnation: str, relays: Iterable[str]) -> str:
    """Return the relay that allocates an incarnation's permits; equal on nodes with equal views."""
    return Rendezvous.unweighted(relays).owners(incarnation)[0]


def _granted(incarnation: str, expiries: Iterable[float], now: float) -> list[GrantedPermits]:
    """Return permits for a node, grouped by their expiry."""
    return [
        GrantedPermits(incarnation, count, int((until - now) * MILLISECONDS))
        for until, count in Counter(expiries).items()
    ]


def _demand(usage: Usage) -> Wants:
    """Return the demand for permits of a usage."""
    return Wants(usage.offered, usage.expected)
