"""Measures the cost of sharing tenants' limits between routers, and how well parts follow demand.

Hollow nodes share limits as routers do, at a node's planned load and within the byte budget.
Each tenant may be served by the routers of one region, except for one tenant that any router
may serve and whose demand moves from router to router.

Run ``python -m emulator.limit_scale --help``.
"""

from __future__ import annotations

import random
import statistics

import msgspec
from absl import app, flags

from emulator.capacity.fleet_size import FleetSize
from emulator.hollow_cluster import ENVELOPE_BYTES, HollowCluster, HollowNode
from emulator.link_faults import LinkFaults, LinkQuality
from hopstep.adapters.peer_codec import encoded_size
from hopstep.domain.configuration.document import TenantLimits
from hopstep.domain.limits.limiter import PARTS_PER_LIMIT, TenantLimiter
from hopstep.domain.limits.sharing import LimitSharing
from hopstep.domain.membership import Action, LimitMessage, MembershipConfig, Send
from hopstep.domain.peer_message import Gossip, LimitGrant, LimitReport
from hopstep.services.limit_leases import REPORT_SECONDS

REGIONS = FleetSize().regions
LIMIT_RATIO = 4.0
"""Ratio of a tenant's limit to its average request rate."""

MOVING_REQUESTS = 20
"""Request rate and limit of the moving tenant, in requests per second."""

MOVING_TENANT = "moving"
MOVE_SECONDS = 60.0
"""Time that the moving tenant's demand stays at one router."""

CAUGHT_UP_RATIO = 0.5
"""Part of the moving tenant's limits that a router must hold to count as having caught up."""

WARM_UP_SECONDS = 90.0


class SharingMeasures(msgspec.Struct, frozen=True):
    """Measures of one cluster size.

    Attributes:
        nodes: Routers.
        limit_bytes: Average bytes per second of limit reports and grants that a node sends,
            headers included.
        max_limit_bytes: The same for the busiest node.
        all_bytes: Average bytes per second of all messages that a node sends.
        leased_ratio: Fraction of the tenants in demand at a router for which it holds a lease.
        covered_ratio: Fraction of the tenants in demand whose part covers the demand.
        refused_ratio: Fraction of requests refused, the moving tenant's left out.
        follow_seconds: Median time until a router that the moving tenant moved to holds
            half of the tenant's limits; ``MOVE_SECONDS`` if no router ever did.
        part_sum: Largest sum of the routers' parts of any observed tenant's limits.
    """

    nodes: int
    limit_bytes: float
    max_limit_bytes: float
    all_bytes: float
    leased_ratio: float
    covered_ratio: float
    refused_ratio: float
    follow_seconds: float
    part_sum: float


class _Router:
    """State of one node's limit sharing."""

    def __init__(self, node: HollowNode, region: int) -> None:
        self.node = node
        self.region = region
        self.sharing = LimitSharing(node.name, 0.0)
        self.limiters: dict[str, TenantLimiter] = {}
        self.wanted: dict[str, int] = {}
        self.limit_bytes = 0


class SharingCluster(HollowCluster):
    """A hollow cluster whose nodes share limits.

    Args:
        nodes: Number of nodes.
        seed: Seed of all random draws.
    """

    def __init__(self, nodes: int, seed: int) -> None:
        faults = LinkFaults(random.Random(seed), LinkQuality(loss=0.001))
        super().__init__(seed, faults, MembershipConfig(), self._handle_limit_message)
        self.routers: dict[str, _Router] = {}
        self.offered = self.refused = 0
        self._admitted: dict[str, frozenset[str]] = {}
        self.follow_times: list[float] = []
        self._moved_at = 0.0
        self._moving_router = ""
        self._demand_generator = random.Random(seed)
        size = FleetSize()
        average = size.per_node(size.requests_per_second) * nodes / size.tenants
        self._limits = TenantLimits(requests_per_second=LIMIT_RATIO * average)
        self._moving_limits = TenantLimits(requests_per_second=MOVING_REQUESTS)
        self._tenants = [f"tenant-{index:05d}" for index in range(FleetSize().tenants)]
        for number in range(nodes):
            node = self.add(f"router-{number:03d}", ("router-000",), f"zone-{number % REGIONS}")
            self.routers[node.name] = _Router(node, number % REGIONS)
        self.introduce_everyone()
        self._configure()

    def send(self, node: HollowNode, action: Send) -> None:
        """Count the bytes of limit messages, and send a message."""
        if isinstance(action.body, LimitReport | LimitGrant):
            body = msgspec.structs.replace(action.body, gossip=Gossip())
            self.routers[node.name].limit_bytes += encoded_size(body) + ENVELOPE_BYTES
        super().send(node, action)

    def simulate_second(self, requests: float) -> None:
        """Simulate one second of requests at every node, the nodes spread evenly over it.

        Args:
            requests: Requests per second at each node.
        """
        if self.now - self._moved_at >= MOVE_SECONDS or not self._moving_router:
            self._move()
        for router in self.routers.values():
            self._offer_requests(router, requests)
            self._report(router)
            self.run_until(self.now + REPORT_SECONDS / len(self.routers))
        moving = self.routers[self._moving_router].sharing.part(MOVING_TENANT, self.now)
        if (
            moving >= CAUGHT_UP_RATIO * PARTS_PER_LIMIT
            and len(self.follow_times) * MOVE_SECONDS <= self._moved_at
        ):
            self.follow_times.append(self.now - self._moved_at)

    def part_sum(self, tenant: str) -> float:
        """Return the sum of the parts of a tenant's limits at the routers that may serve it."""
        parts = (
            router.sharing.part(tenant, self.now)
            for name, router in self.routers.items()
            if name in self._admitted[tenant]
        )
        return sum(parts) / PARTS_PER_LIMIT

    def _configure(self) -> None:
        """Restrict each tenant to the routers of one region."""
        regions = [
            frozenset(name for name, router in self.routers.items() if router.region == region)
            for region in range(REGIONS)
        ]
        admitted = {name: regions[at % REGIONS] for at, name in enumerate(self._tenants)}
        admitted[MOVING_TENANT] = frozenset(self.routers)
        self._admitted = admitted
        for router in self.routers.values():
            router.sharing.update_routers(0.0, self.routers, len(self.routers))
            router.sharing.set_admitted(0.0, admitted)

    def _move(self) -> None:
        self._moved_at = self.now
        self._moving_router = self._demand_generator.choice(list(self.routers))

    def _offer_requests(self, router: _Router, requests: float) -> None:
        for _ in range(round(requests)):
            index = self._demand_generator.randrange(len(self._tenants) // REGIONS) * REGIONS
            admitted = self._request_admission(router, self._tenants[index + router.region])
            self.offered += 1
            self.refused += not admitted
        if router.node.name == self._moving_router:
            for _ in range(MOVING_REQUESTS):
                self._request_admission(router, MOVING_TENANT)

    def _request_admission(self, router: _Router, tenant: str) -> bool:
        limiter = router.limiters.get(tenant)
        if limiter is None:
            limiter = router.limiters[tenant] = TenantLimiter(self.now)
        self._update(router, tenant, limiter)
        refusal = limiter.try_admit(self.now, 0.0)
        if refusal is None:
            limiter.release(self.now, 0.0)
        return refusal is None

    def _update(self, router: _Router, tenant: str, limiter: TenantLimiter) -> None:
        limits = self._moving_limits if tenant == MOVING_TENANT else self._limits
        limiter.update(self.now, limits, router.sharing.part(tenant, self.now))

    def _report(self, router: _Router) -> None:
        sharing, membership = router.sharing, router.node.membership
        for tenant, limiter in router.limiters.items():
            self._update(router, tenant, limiter)
        live = (record.name for record in membership.alive())
        sharing.update_routers(self.now, live, len(membership.members()))
        router.wanted = {
            tenant: limiter.take_wanted(REPORT_SECONDS, sharing.smoothing_seconds(tenant))
            for tenant, limiter in router.limiters.items()
        }
        for addressed in sharing.reports(self.now, router.wanted):
            if not self._send_limits(router, addressed.owner, addressed.report):
                return

    def _send_limits(self, router: _Router, name: str, body: LimitReport | LimitGrant) -> bool:
        sent, actions = router.node.membership.send_limits(name, body, self.now)
        self.act(router.node, actions)
        return sent

    def _handle_limit_message(self, node: HollowNode, action: Action, now: float) -> None:
        if not isinstance(action, LimitMessage):
            return
        router = self.routers[node.name]
        if isinstance(action.body, LimitGrant):
            router.sharing.take(action.body)
            return
        answer = router.sharing.answer(now, action.sender, action.incarnation, action.body)
        if answer is not None:
            self._send_limits(router, action.sender, answer)


def measure(nodes: int, seed: int, seconds: float) -> SharingMeasures:
    """Measure one cluster size at the planned load of a node.

    Args:
        nodes: Routers.
        seed: Seed of all random draws.
        seconds: Measured virtual time after the warm-up.
    """
    cluster = SharingCluster(nodes, seed)
    requests = FleetSize().per_node(FleetSize().requests_per_second)
    observed = [MOVING_TENANT, *(f"tenant-{index:05d}" for index in range(REGIONS))]
    sums: list[float] = []
    while cluster.now < WARM_UP_SECONDS:
        cluster.simulate_second(requests)
        sums += map(cluster.part_sum, observed)
    routers = cluster.routers.values()
    sent = {router.node.name: router.node.sent_bytes for router in routers}
    limits = {router.node.name: router.limit_bytes for router in routers}
    began, cluster.offered, cluster.refused = cluster.now, 0, 0
    while cluster.now < began + seconds:
        cluster.simulate_second(requests)
        sums += map(cluster.part_sum, observed)
    passed = cluster.now - began
    limit_bytes = [(r.limit_bytes - limits[r.node.name]) / passed for r in routers]
    pairs = [
        (
            router.sharing.part(tenant, cluster.now),
            router.sharing.floor_part(tenant, cluster.now),
            part,
        )
        for router in routers
        for tenant, part in router.wanted.items()
    ]
    in_demand = [pair for pair in pairs if pair[2] > pair[1]]
    return SharingMeasures(
        nodes,
        statistics.fmean(limit_bytes),
        max(limit_bytes),
        statistics.fmean((r.node.sent_bytes - sent[r.node.name]) / passed for r in routers),
        sum(part > floor for part, floor, _ in in_demand) / len(in_demand),
        sum(part >= wanted for part, _, wanted in in_demand) / len(in_demand),
        cluster.refused / cluster.offered,
        statistics.median(cluster.follow_times or [MOVE_SECONDS]),
        max(sums),
    )


_NODES = flags.DEFINE_integer("nodes", 24, "routers")
_SEED = flags.DEFINE_integer("seed", 1, "seed of all random draws")
_SECONDS = flags.DEFINE_float("seconds", 60.0, "measured virtual time in seconds")


def main(arguments: list[str]) -> None:
    """Print the measures of one size as JSON."""
    del arguments
    measures = measure(_NODES.value, _SEED.value, _SECONDS.value)
    print(msgspec.json.encode(measures).decode())  # noqa: T201 - the tool's output


if __name__ == "__main__":
    app.run(main)
