"""Nodes that exchange usage reports through one relay, with lags, on a virtual clock."""

import random
from collections import deque

from hopstep.domain.limits.fleet_usage import NodeProcess, UsageReport, UsageReports, join
from hopstep.domain.limits.quota_ledger import FleetUsage, QuotaBounds, QuotaLedger, TenantQuota

TICK_SECONDS = 0.2
TENANT = "t"
BOUNDS = QuotaBounds(window_seconds=8.0, overshoot=0.1, slack=110_000.0)
QUOTA = TenantQuota(per_second=290_000.0, burst=290_000.0, in_tokens=True)
REQUEST = 9_200


class Node:
    """A node, and the reports on their way to it."""

    def __init__(self, name, bounds, now):
        self.name = name
        self.process = NodeProcess(name, str(now).encode())
        self.ledger = QuotaLedger(bounds, now)
        self.incoming = deque()
        self.down_until = 0.0


class QuotaFleet:
    """Drives nodes; counts admitted and refused requests."""

    def __init__(self, nodes, bounds=BOUNDS, quota=QUOTA, lag=0.2, seed=1):
        self.bounds, self.quota, self.lag = bounds, quota, lag
        self.now = 0.0
        self.random = random.Random(seed)
        self.nodes = [Node(f"n{number}", bounds, -100.0) for number in range(nodes)]
        self.cut = set()
        self.admitted = []
        self.refused = 0
        self.refused_from = 0.0
        self._reports = UsageReports(bounds.window_seconds)
        self._sides = {True: UsageReports(bounds.window_seconds)}
        self._in_transit = deque()
        self._held = []
        for _ in range(5):
            self.now += TICK_SECONDS
            self._tick()

    def run(self, seconds, per_second, nodes=None, size=REQUEST):
        """Offer a tenant's requests at nodes, all of them if None, for some time."""
        end = self.now + seconds
        arrivals, at = [], self.now
        while per_second and at < end:
            at += self.random.expovariate(per_second)
            arrivals.append(at)
        arrivals = deque(arrivals)
        while self.now < end:
            self._offer_again()
            tick_end = min(end, self.now + TICK_SECONDS)
            while arrivals and arrivals[0] < tick_end:
                self._offer(self.random.choice(nodes or self.nodes), arrivals.popleft(), size)
            self.now = tick_end
            self._tick()

    def restart(self, nodes, down_seconds=1.0):
        """Restart nodes without their state; they serve again after ``down_seconds``."""
        for node in nodes:
            index = self.nodes.index(node)
            self.nodes[index] = Node(node.name, self.bounds, self.now + down_seconds)
            self.nodes[index].down_until = self.now + down_seconds
        return self.nodes

    def busiest_window(self):
        """Return the largest amount admitted within a window, over all nodes."""
        busiest, total, window = 0, 0, deque()
        for at, size in self.admitted:
            window.append((at, size))
            total += size
            while window[0][0] < at - self.bounds.window_seconds:
                total -= window.popleft()[1]
            busiest = max(busiest, total)
        return busiest

    def allowed(self):
        """Return the amount that operators tolerate in a window."""
        promised = self.quota.per_second * self.bounds.window_seconds + self.quota.burst
        return promised * (1 + self.bounds.overshoot) + self.bounds.slack

    def _offer(self, node, at, size):
        """Offer one request."""
        if at < node.down_until:
            return
        while node.incoming and node.incoming[0][0] <= at:
            node.ledger.update_fleet_usage(node.incoming.popleft()[1])
        decision = node.ledger.admit(
            TENANT, self.quota, size, at, len(self.nodes), self.random.random()
        )
        if decision.wait_seconds and not node.ledger.has_fleet_usage and node.name not in self.cut:
            self._held.append((node, size))
        elif decision.wait_seconds:
            self.refused += 1
        else:
            self.admitted.append((at, size))

    def _offer_again(self):
        """Offer the requests again that are held at nodes without any report since their start."""
        held, self._held = self._held, []
        for node, size in held:
            self._offer(node, self.now, size)

    def _tick(self):
        """Deliver the nodes' reports and the relay's answers, each one lag later."""
        quotas = {TENANT: self.quota}
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, node, report, asked_at = self._in_transit.popleft()
            self._reports.take(node.process, report, self.now)
            total = join((self._reports.sum(self.now), UsageReport((), 0)))
            if node.name not in self.cut:
                node.incoming.append((self.now + self.lag, FleetUsage(total, asked_at)))
        for node in self.nodes:
            if self.now < node.down_until or node.name in self.cut:
                continue
            report = node.ledger.own_report(quotas, self.now, len(self.nodes))
            self._in_transit.append((self.now + self.lag, node, report, self.now))
