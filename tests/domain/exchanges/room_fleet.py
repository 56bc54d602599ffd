"""Nodes that send to the instances of one service by load reports of 0.2 to 0.4 s of age."""

import random
from collections import Counter

from hopstep.domain.exchanges.room_sharing import RoomShare, ServiceRoom

INSTANCES, SLOTS, PLACES = 8, 16, 32
SERVICE_SECONDS = 0.4
DEMAND = 1.3
"""Requests over what all slots can serve."""

STEP_SECONDS = 0.02
INTERVAL_STEPS = 10
PATIENCE_STEPS = 50
STEPS = 600
CANDIDATES = {"two": 2, "three": 3, "share of two": 2}
"""Random instances of which the best is chosen, by way; all of them for other ways."""


class RoomFleet:
    """One run; ``run`` returns the rejected share of what was sent, and the used share of slots.

    Ways: ``none`` (each node fills all places that it sees), ``share``, ``permits`` (a relay grants
    free places to nodes that asked in the interval before), ``two`` and ``three`` (the best of so
    many random instances), and ``share of two``.
    """

    def __init__(self, nodes, demand, way, seed):
        self.generator = random.Random(seed)
        self.nodes, self.demand, self.way = nodes, demand, way
        self.running = [[] for _ in range(INSTANCES)]
        self.own = [Counter() for _ in range(nodes)]
        self.waiting = [[] for _ in range(nodes)]
        self.shares = [RoomShare(self.generator) for _ in range(nodes)]
        self.grants = [0] * nodes
        self.history = []
        self.sent = self.rejected = self.used = 0

    def run(self):
        for step in range(STEPS):
            self.end_requests(step)
            self.history.append([len(running) for running in self.running])
            self.arrive(step)
            for node in range(self.nodes):
                if (step + node) % INTERVAL_STEPS == 0:
                    self.refresh(node)
                self.send(node, step)
            self.used += sum(min(SLOTS, len(running)) for running in self.running)
        return self.rejected / max(1, self.sent), self.used / (STEPS * INSTANCES * SLOTS)

    def end_requests(self, step):
        """Serve the requests in the slots; those behind them wait in the instance's queue."""
        for name, running in enumerate(self.running):
            kept = []
            for place, (node, left) in enumerate(running):
                left -= STEP_SECONDS if place < SLOTS else 0.0
                if left > 0:
                    kept.append((node, left))
                else:
                    self.own[node][name] -= 1
            self.running[name] = kept

    def arrive(self, step):
        rate = DEMAND * INSTANCES * SLOTS / SERVICE_SECONDS * STEP_SECONDS
        for _ in range(int(rate + self.generator.random())):
            node = self.generator.randrange(self.nodes)
            if self.demand != "even":
                moved = 3 * (step // 50) if self.demand == "moving" else 0
                node = (moved + node % 3) % self.nodes
            self.waiting[node].append(step)

    def seen(self, node):
        """Return the free places of each instance as a node sees them."""
        then = self.history[max(0, len(self.history) - 1 - INTERVAL_STEPS)]
        return [PLACES - max(total, self.own[node][name]) for name, total in enumerate(then)]

    def refresh(self, node):
        self.view = getattr(self, "view", {})
        self.view[node] = self.seen(node)
        room = ServiceRoom(PLACES * INSTANCES, sum(max(0, free) for free in self.view[node]))
        if self.way in ("share", "share of two"):
            self.shares[node].refresh(room, self.nodes)
        if self.way == "permits":
            asking = sum(len(waiting) for waiting in self.waiting) or 1
            part = room.free * len(self.waiting[node]) / asking
            self.grants[node] = int(part + self.generator.random())

    def send(self, node, step):
        waiting = self.waiting[node]
        while waiting and step - waiting[0] > PATIENCE_STEPS:
            waiting.pop(0)
        free = getattr(self, "view", {}).get(node)
        while waiting and free is not None:
            names = range(INSTANCES)
            if self.way in CANDIDATES:
                names = self.generator.sample(names, CANDIDATES[self.way])
            best = max(names, key=lambda name: (free[name], self.generator.random()))
            if free[best] <= 0 or not self.may_send(node):
                return
            waiting.pop(0)
            free[best] -= 1
            self.sent += 1
            if len(self.running[best]) >= PLACES:
                self.rejected += 1
                free[best] = 0
                continue
            left = self.generator.expovariate(1 / SERVICE_SECONDS)
            self.running[best].append((node, left))
            self.own[node][best] += 1

    def may_send(self, node):
        if self.way in ("share", "share of two"):
            return self.shares[node].take()
        if self.way == "permits":
            self.grants[node] -= 1
            return self.grants[node] >= 0
        return True


def measure(nodes, demand, way, seeds=(1, 2, 3)):
    """Return the means over seeds of the rejected share and the used share."""
    runs = [RoomFleet(nodes, demand, way, seed).run() for seed in seeds]
    return tuple(sum(values) / len(runs) for values in zip(*runs, strict=True))


if __name__ == "__main__":
    for demand in ("even", "three", "moving"):
        for way in ("none", "share", "share of two", "permits", "two", "three"):
            cells = ("{:.2f}, {:.2f}".format(*measure(n, demand, way)) for n in (3, 24, 75, 390))
            print(f"| {demand}, {way} | {' | '.join(cells)} |")
