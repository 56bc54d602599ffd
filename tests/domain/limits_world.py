"""Routers that share a tenant's limits, with late views and late, lost and repeated messages."""

import random

from hopstep.domain.configuration.document import TenantLimits
from hopstep.domain.limits.limiter import PARTS_PER_LIMIT, TenantLimiter
from hopstep.domain.limits.owners import LEASE_SECONDS, RENEWALS
from hopstep.domain.limits.sharing import LimitSharing
from hopstep.domain.peer_message import LimitReport

NAMES = ("r0", "r1", "r2", "r3", "r4")
STEP = 0.25
TENANT = "library"
LIMITS = TenantLimits(requests_per_second=40.0, max_concurrent_requests=20)
LEARNING = LEASE_SECONDS * (1 + 1 / RENEWALS)
MAX_LAG = LEASE_SECONDS / RENEWALS - 2 * STEP
MAX_DELAY = 6.0


class Router:
    """One process of a router, with its sharing of limits and its limiter."""

    def __init__(self, name, now, lag, incarnation, admitted):
        self.name, self.lag, self.incarnation = name, lag, incarnation
        self.sharing = LimitSharing(name, now)
        self.sharing.set_admitted(now, {TENANT: admitted})
        self.limiter = TenantLimiter(now)
        self.began_at = now
        self.paused = False
        self.demand = 0.0
        self.inbox = []

    def part(self, now):
        return self.sharing.part(TENANT, now)


class World:
    """Model with time steps, in which each router sees the live routers after its own lag."""

    def __init__(self, count=3, seed=1, loss=0.1):
        self.names = NAMES[:count]
        self.chance, self.loss = random.Random(seed), loss
        self.now = 0.0
        self.routers = {}
        self.live = frozenset()
        self.views = [(0.0, self.live)]
        self.messages = []
        self.admitted = self.starts = 0
        self.side_of = {}
        self.muted = ""

    def publish(self, live):
        self.live = frozenset(live)
        self.views.append((self.now, self.live))

    def start(self, name, lag=0.0):
        self.starts += 1
        self.routers[name] = Router(name, self.now, lag, self.starts, frozenset(self.names))
        self.publish(self.live | {name})

    def crash(self, name):
        del self.routers[name]

    def resume(self, name):
        router = self.routers[name]
        router.paused, router.began_at = False, self.now
        if name not in self.live:
            self.publish(self.live | {name})

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self.deliver()
            for router in self.routers.values():
                if not router.paused:
                    self.tick(router)

    def tick(self, router):
        self.follow(router)
        inbox, router.inbox = router.inbox, []
        for message in inbox:
            self.receive(router, *message)
        if (self.now / STEP) % 4 == 0:
            wanted = {TENANT: int(router.demand * PARTS_PER_LIMIT)}
            for addressed in router.sharing.reports(self.now, wanted):
                self.send(router, addressed.owner, addressed.report)
        self.offer(router)

    def follow(self, router):
        """Give a router its view of the live routers, delayed by its lag and its pauses."""
        seen_at = max(0.0, min(self.now - router.lag, self.now))
        if self.now - router.began_at >= router.lag:
            router.view = [live for at, live in self.views if at <= seen_at][-1]
        elif not hasattr(router, "view"):
            router.view = frozenset()
        side = self.side_of.get(router.name)
        live = {name for name in router.view if self.side_of.get(name) == side}
        router.sharing.update_routers(self.now, live | {router.name}, len(self.names))

    def offer(self, router):
        """Offer each router more than the whole limit."""
        router.limiter.update(self.now, LIMITS, router.part(self.now))
        for _ in range(int(LIMITS.requests_per_second * STEP) + 1):
            if router.limiter.try_admit(self.now, 0.0) is None:
                self.admitted += 1
                router.limiter.release(self.now, 0.0)

    def send(self, sender, target, body):
        cut = self.side_of.get(sender.name) != self.side_of.get(target)
        if cut or sender.name == self.muted:
            return
        for _ in range(self.chance.choice((1, 1, 1, 2))):
            if self.chance.random() >= self.loss:
                delay = self.chance.choice((0.0, 0.0, 0.5, self.chance.uniform(0, MAX_DELAY)))
                self.messages.append(
                    (self.now + delay, sender.name, sender.incarnation, target, body)
                )

    def deliver(self):
        due = [message for message in self.messages if message[0] <= self.now]
        self.messages = [message for message in self.messages if message[0] > self.now]
        for _, sender, incarnation, target, body in due:
            if target in self.routers:
                self.routers[target].inbox.append((sender, incarnation, body))

    def receive(self, router, sender, incarnation, body):
        if not isinstance(body, LimitReport):
            router.sharing.take(body)
            return
        answer = router.sharing.answer(self.now, sender, incarnation, body)
        if answer is not None:
            self.send(router, sender, answer)

    def owner(self):
        """Return the owner that the first router knows."""
        return next(iter(self.routers.values())).sharing._group(TENANT).owner(TENANT)

    def part_sum(self):
        return sum(router.part(self.now) for router in self.routers.values()) / PARTS_PER_LIMIT
