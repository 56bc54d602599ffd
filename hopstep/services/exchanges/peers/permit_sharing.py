"""Shares permits to send to limited instances among all nodes, along with what is sent anyway.

Of the relays one allocates for each life. It tells the others of permits with its digests, and
each relay hands them to its nodes with the answers to their queries.
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
    PermitAllocator,
    PermitStock,
    Reach,
    Wants,
)
from hopstep.domain.rendezvous import Rendezvous
from hopstep.ports.node_exchange import GrantedPermits, Hints
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.peers.usage_book import UsageBook

MILLISECONDS = 1_000
UNSEEN_SECONDS = 0.3
"""What a relay was given within this time isn't taken into account yet in what it wants: its next
digest comes within 0.2 s."""


class _LastDigest(NamedTuple):
    """Number of a relay's last digest, and the key of its process: each counts from the start."""

    key: bytes
    number: int


class PermitSharing:
    """The part of a relay, and of any node that gets permits from one."""

    def __init__(
        self, knowledge: ServingKnowledge, notices: InstanceNotices, limits: InstanceLimits
    ) -> None:
        """Hold no permits. Must be called inside the event loop.

        Args:
            knowledge: Nodes and relays.
            notices: Which instances have limits.
            limits: This node's own permits and wants.
        """
        self.book = UsageBook(knowledge, WINDOW_SECONDS, limits.own_report)
        self._knowledge = knowledge
        self._notices = notices
        self._limits = limits
        self._started_at = trio.current_time()
        self._allocators: dict[str, PermitAllocator] = {}
        self._stocks: dict[str, PermitStock] = {}
        self._digests: dict[str, _LastDigest] = {}

    def own_sends(self) -> tuple[Usage, ...]:
        """Return what this node tells its relay."""
        return self._limits.own_report().usage

    def group_sends(self) -> tuple[Usage, ...]:
        """Return what this relay tells the others: what it has in stock, its nodes don't want."""
        now = trio.current_time()
        return tuple(self._lacking(usage, now) for usage in self.book.group_report().usage)

    def allocate(self) -> tuple[GrantedPermits, ...]:
        """Give out permits for the lives that this relay allocates, and return those of others."""
        limited = self._notices.limited()
        self._forget_all_but({life for life, _limit, _sends in limited})
        if not limited:
            return ()
        granted: list[GrantedPermits] = []
        relays = self._knowledge.relays.live_relays()
        for life, limit, _sends in limited:
            if allocating_relay(life, relays) == self._knowledge.name:
                granted += self._allocate(life, limit)
            self._serve_own(life)
        return tuple(granted)

    def serve(self, node: str, hints: Hints) -> tuple[GrantedPermits, ...]:
        """Take what a node that asks this one has sent and wants, and return its permits."""
        now = trio.current_time()
        granted: list[GrantedPermits] = []
        usage = []
        for wanted in hints.sends:
            expiries = self._stock(wanted.name).take(wanted.offered + wanted.expected, now)
            usage.append(wanted.less(len(expiries)))
            granted += _granted(wanted.name, expiries, now)
        self.book.take_from_member(node, UsageReport(tuple(usage), hints.nodes))
        return tuple(granted)

    def take_digest(self, relay: str, number: int, hints: Hints) -> None:
        """Take what another relay tells; permits of a digest that came before count once."""
        self.book.take_from_relay(relay, UsageReport(hints.sends, hints.nodes))
        if not self._is_new(relay, number):
            return
        for granted in hints.permits:
            if granted.relay == self._knowledge.name:
                until = trio.current_time() + granted.valid_ms / MILLISECONDS
                self._stock(granted.incarnation).put(granted.count, until)
                self._serve_own(granted.incarnation)

    def _is_new(self, relay: str, number: int) -> bool:
        """Return whether a digest comes after all others of its process, and note it."""
        record = self._knowledge.nodes.get(relay)
        key = record.key if record is not None else b""
        last = self._digests.get(relay)
        if last is not None and last.key == key and number <= last.number:
            return False
        self._digests[relay] = _LastDigest(key, number)
        return True

    def take_answer(self, granted: Iterable[GrantedPermits], asked_at: float) -> None:
        """Take permits that this node's relay gives it.

        Args:
            granted: The permits.
            asked_at: When they were asked for: their time counts from then, since the answer may
                have been long under way.
        """
        for each in granted:
            until = asked_at + each.valid_ms / MILLISECONDS
            self._limits.receive(each.incarnation, each.count, until)

    def _allocate(self, life: str, limit: float) -> list[GrantedPermits]:
        """Give out permits for one life; return those for other relays."""
        now = trio.current_time()
        allocator = self._allocators.get(life)
        if allocator is None:
            allocator = self._allocators[life] = PermitAllocator(self._started_at)
        sent = sum(u.admitted for u in self.book.fleet_report().usage if u.name == life)
        nodes = self._knowledge.count_nodes()
        reach = Reach(self.book.fleet_report().nodes, nodes)
        shares = allocator.allocate(limit, sent, reach, self._wants(life, allocator, now), now)
        self._stock(life).put(shares.pop(self._knowledge.name, 0), now + PERMIT_SECONDS)
        valid_ms = round(PERMIT_SECONDS * MILLISECONDS)
        return [GrantedPermits(life, count, valid_ms, relay) for relay, count in shares.items()]

    def _wants(self, life: str, allocator: PermitAllocator, now: float) -> dict[str, Wants]:
        """Return what each relay's nodes want, beyond what they have been given."""
        wants = {}
        for relay, usage in self.book.relays_usage(life).items():
            given = allocator.given_to(relay, now - UNSEEN_SECONDS)
            wants[relay] = _wants(usage.less(given))
        own = [self._lacking(u, now) for u in self.book.group_report().usage if u.name == life]
        wants[self._knowledge.name] = _wants(own[0]) if own else Wants()
        return wants

    def _serve_own(self, life: str) -> None:
        """Give this node's own requests their permits."""
        now = trio.current_time()
        for wanted in self._limits.own_report().usage:
            if wanted.name == life:
                expiries = self._stock(life).take(wanted.offered + wanted.expected, now)
                for until, count in Counter(expiries).items():
                    self._limits.receive(life, count, until)

    def _lacking(self, usage: Usage, now: float) -> Usage:
        """Return usage without the wants that this relay's stock meets."""
        return usage.less(self._stock(usage.name).held(now))

    def _stock(self, life: str) -> PermitStock:
        """Return the permits that this relay holds for its nodes."""
        return self._stocks.setdefault(life, PermitStock())

    def _forget_all_but(self, lives: set[str]) -> None:
        """Forget lives that have no limit any more."""
        for kept in (self._allocators, self._stocks):
            for life in kept.keys() - lives:
                del kept[life]


def allocating_relay(life: str, relays: Iterable[str]) -> str:
    """Return the relay that gives out the permits for a life, alike at all that know the same."""
    return Rendezvous.unweighted(relays).owners(life)[0]


def _granted(life: str, expiries: Iterable[float], now: float) -> list[GrantedPermits]:
    """Return permits for a node, those together that hold for as long."""
    return [
        GrantedPermits(life, count, int((until - now) * MILLISECONDS))
        for until, count in Counter(expiries).items()
    ]


def _wants(usage: Usage) -> Wants:
    """Return the permits that are wanted."""
    return Wants(usage.offered, usage.expected)
