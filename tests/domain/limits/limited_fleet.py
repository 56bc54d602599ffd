"""Simulated strategies by which many nodes keep within the limit of one instance.

Requests for which the instance is the best choice arrive at nodes; each strategy decides which of
them may be sent. Nodes exchange reports each 0.2 s through relays, as in the real fleet.
"""

import heapq
import itertools
import random
from collections import deque

import msgspec

from emulator.sliding_window import most_within
from hopstep.domain.limits.fleet_usage import NodeProcess, Usage, UsageReport, UsageReports, join
from hopstep.domain.limits.limited_sends import LimitedSends
from hopstep.domain.limits.quota_ledger import FleetUsage, QuotaBounds, QuotaLedger, TenantQuota
from hopstep.domain.limits.send_permits import (
    PERMIT_SECONDS,
    WINDOW_SECONDS,
    FleetCoverage,
    PermitAllocator,
    PermitStock,
    Wants,
)

REPORT_INTERVAL_SECONDS = 0.2
LATENCY_SECONDS = 0.003
PATIENCE_SECONDS = 0.5
"""Longest wait of a request in seconds; later an answer would be late."""

NODES_PER_RELAY = 24
ZONES = 3
LARGE_FLEET = 300
LARGE_FLEET_ZONES = 20
DEMAND = 4.0
"""Requests that arrive for each one that the limit allows."""

MIN_DEMAND_PER_SECOND = 1.0
DEMAND_MOVE_SECONDS = 3.0
WARM_UP_SECONDS = 5.0
INCARNATION = "i1"


class Outcome(msgspec.Struct, frozen=True):
    """Result of a strategy.

    Attributes:
        of_bound: Sends in the busiest 4 s divided by the bound: more than 1 exceeds it.
        used: Fraction of the limit that was used.
        waited: Mean wait of the sent requests, in seconds.
    """

    of_bound: float
    used: float
    waited: float


def arrivals(demand, nodes, limit, seconds, generator):
    """Return the time and node of each request.

    Args:
        demand: ``even``, ``three`` (nodes only), or ``moving`` (from node to node).
        nodes: Number of nodes.
        limit: Limit of the instance in requests per second.
        seconds: Duration.
        generator: Source of random choices.
    """
    rate, at, found = max(DEMAND * limit, MIN_DEMAND_PER_SECOND), 0.0, []
    while at < seconds:
        at += generator.expovariate(rate)
        node = {
            "even": lambda: generator.randrange(nodes),
            "three": lambda: generator.randrange(min(3, nodes)),
            "moving": lambda at=at: int(at // DEMAND_MOVE_SECONDS) * 7 % nodes,
        }[demand]()
        found.append((at, node))
    return found


class EvenParts:
    """Each node sends an even part of the limit, one request at a time, from a random phase on."""

    def __init__(self, nodes, limit, generator):
        self.interval = nodes / limit
        self.due = [generator.random() * self.interval for _node in range(nodes)]

    def exchange_reports(self, now):
        return

    def offer(self, now, node):
        if now < self.due[node]:
            return False
        self.due[node] = max(self.due[node], now - self.interval) + self.interval
        return True


class FewNodes(EvenParts):
    """Only as many nodes send as the bound allows simultaneous requests; others send nothing."""

    def __init__(self, nodes, limit, generator):
        super().__init__(min(nodes, int(2 * limit + 5)), limit, generator)
        chosen = generator.sample(range(nodes), len(self.due))
        self.positions = {node: position for position, node in enumerate(chosen)}

    def offer(self, now, node):
        return node in self.positions and super().offer(now, self.positions[node])


class SharesByDemand:
    """Shares of the requests left in a window, as for tenants' quotas."""

    def __init__(self, nodes, limit, generator):
        self.generator = generator
        self.quota = TenantQuota(limit)
        bounds = QuotaBounds(WINDOW_SECONDS, 0.5, 5.0)
        self.ledgers = [QuotaLedger(bounds, -100.0) for _node in range(nodes)]
        self.reports = UsageReports(WINDOW_SECONDS)
        self.in_transit = deque()
        self.received = [deque() for _node in range(nodes)]

    def exchange_reports(self, now):
        while self.in_transit and self.in_transit[0][0] <= now:
            _at, node, report, asked_at = self.in_transit.popleft()
            self.reports.take(NodeProcess(str(node), b""), report, now)
            total = join((self.reports.sum(now), UsageReport((), 0)))
            self.received[node].append((now + REPORT_INTERVAL_SECONDS, FleetUsage(total, asked_at)))
        for node, ledger in enumerate(self.ledgers):
            report = ledger.own_report({INCARNATION: self.quota}, now, len(self.ledgers))
            self.in_transit.append((now + REPORT_INTERVAL_SECONDS, node, report, now))

    def offer(self, now, node):
        ledger = self.ledgers[node]
        while self.received[node] and self.received[node][0][0] <= now:
            ledger.update_fleet_usage(self.received[node].popleft()[1])
        draw = self.generator.random()
        return not ledger.admit(
            INCARNATION, self.quota, 1, now, len(self.ledgers), draw
        ).wait_seconds


def play(strategy, demand, nodes, limit, seed, seconds=60.0):
    """Return the outcome of a strategy without waiting."""
    generator = random.Random(f"{seed} {nodes} {limit} {demand}")
    chosen = strategy(nodes, limit, generator)
    sent, report_at = [], 0.0
    for at, node in arrivals(demand, nodes, limit, seconds, generator):
        while report_at <= at:
            chosen.exchange_reports(report_at)
            report_at += REPORT_INTERVAL_SECONDS
        if chosen.offer(at, node):
            sent.append(at)
    return outcome(sent, [0.0], limit, seconds)


def outcome(sent, waits, limit, seconds):
    """Return the sends compared with the bound and the limit."""
    counted = sum(WARM_UP_SECONDS <= at < seconds for at in sent)
    return Outcome(
        most_within(sent, WINDOW_SECONDS) / (1.5 * limit * WINDOW_SECONDS + 5),
        counted / (limit * (seconds - WARM_UP_SECONDS)),
        sum(waits) / max(1, len(waits)),
    )


class PermitNode:
    """A node with its sends and its waiting requests."""

    def __init__(self, number, relay):
        self.number = number
        self.relay = relay
        self.sends = LimitedSends()
        self.waiting = deque()

    def usage(self, now):
        while self.waiting and self.waiting[0] < now - PATIENCE_SECONDS:
            self.waiting.popleft()
        self.sends.waiting = len(self.waiting)
        return self.sends.usage(INCARNATION, now)


class PermitFleet:
    """Permits allocated by one relay, as in the real fleet."""

    def __init__(self, nodes, limit, seed, demand):
        self.generator = random.Random(f"{seed} {nodes} {limit} {demand}")
        self.limit = limit
        zones = LARGE_FLEET_ZONES if nodes >= LARGE_FLEET else ZONES
        members = [[n for n in range(nodes) if n % zones == zone] for zone in range(zones)]
        self.relays = [n for zone in members for n in zone[: -(-len(zone) // NODES_PER_RELAY)]]
        self.nodes = [PermitNode(n, self._relay_of(n, members[n % zones])) for n in range(nodes)]
        self.allocating = self.generator.choice(self.relays)
        self.allocator = PermitAllocator(-100.0)
        self.stocks = {relay: PermitStock() for relay in self.relays}
        self.received = {relay: {} for relay in self.relays}
        self.digests = {}
        self.sent, self.waits = [], []
        self._events = []
        self._numbers = itertools.count()

    def _relay_of(self, number, zone):
        relays = [relay for relay in zone if relay in self.relays]
        return number if number in relays else self.generator.choice(relays)

    def play(self, demand, seconds=60.0):
        """Return the outcome of permits."""
        for at, node in arrivals(demand, len(self.nodes), self.limit, seconds, self.generator):
            self._at(at, self._arrive, node)
        for node in self.nodes:
            self._at(self.generator.random() * REPORT_INTERVAL_SECONDS, self._tick, node.number)
        while self._events[0][0] < seconds:
            now, _number, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return outcome(self.sent, self.waits, self.limit, seconds)

    def _at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _arrive(self, now, number):
        node = self.nodes[number]
        node.waiting.append(now)
        self._send(now, node)

    def _send(self, now, node):
        node.usage(now)
        while node.waiting and node.sends.permits.take_one(now) is not None:
            self.waits.append(now - node.waiting.popleft())
            self.sent.append(now)
            node.sends.note_sent(now)

    def _tick(self, now, number):
        self._at(now + REPORT_INTERVAL_SECONDS, self._tick, number)
        node = self.nodes[number]
        if number == self.allocating:
            self._allocate(now)
        if node.relay != number:
            self._at(now + LATENCY_SECONDS, self._query, number, node.usage(now), now)
        elif number != self.allocating:
            self._at(now + LATENCY_SECONDS, self._digest, number, self._group(now, number))
        if node.relay == number:
            self._serve(now, number, number, node.usage(now), now)

    def _query(self, now, number, usage, asked_at):
        self._serve(now, self.nodes[number].relay, number, usage, asked_at)

    def _serve(self, now, relay, number, usage, asked_at):
        expiries = self.stocks[relay].take(usage.offered + usage.expected, now)
        self.received[relay][number] = usage.less(len(expiries))
        delay = 0.0 if relay == number else LATENCY_SECONDS
        self._at(now + delay, self._receive, number, expiries)

    def _receive(self, now, number, expiries):
        for until in expiries:
            self.nodes[number].sends.receive(1, until, now)
        self._send(now, self.nodes[number])

    def _group(self, now, relay):
        total = Usage(INCARNATION, 0, 0)
        for usage in self.received[relay].values():
            total = total.plus(usage)
        return total.less(self.stocks[relay].held(now))

    def _digest(self, _now, relay, usage):
        self.digests[relay] = usage

    def _allocate(self, now):
        self.digests[self.allocating] = self._group(now, self.allocating)
        wants = {}
        for relay, usage in self.digests.items():
            given = self.allocator.given_to(relay, now - 0.3) if relay != self.allocating else 0
            missing = usage.less(given)
            wants[relay] = Wants(missing.offered, missing.expected)
        sent = sum(usage.admitted for usage in self.digests.values())
        coverage = FleetCoverage(len(self.nodes), len(self.nodes))
        shares = self.allocator.allocate(self.limit, sent, coverage, wants, now)
        for relay, count in shares.items():
            delay = 0.0 if relay == self.allocating else LATENCY_SECONDS
            self._at(now + delay, self._put, relay, count)

    def _put(self, now, relay, count):
        self.stocks[relay].put(count, now + PERMIT_SECONDS)


def play_permits(demand, nodes, limit, seed, seconds=60.0):
    """Return the outcome of permits."""
    return PermitFleet(nodes, limit, seed, demand).play(demand, seconds)
