"""What the publication of limit usage to every router costs, and how late it comes.

Hollow nodes publish the demand of each tenant as ``Cluster`` does, under the byte budget.
Measured are the bytes of usage entries, how much of the published demand a router holds and
how old it is, and the sum of all routers' shares for a tenant whose demand moves.

Run ``python -m emulator.limit_usage_scale --help``.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Iterator

import msgspec
from absl import app, flags

from emulator.capacity.fleet_size import FleetSize
from emulator.hollow_cluster import HollowCluster, HollowNode
from emulator.link_faults import LinkFaults, LinkQuality
from hopstep.adapters.peer_codec import encoded_size
from hopstep.domain.limits import LimitShare, ShareView
from hopstep.domain.membership import MembershipConfig, Send
from hopstep.domain.peer_message import EntryKind, LimitUsage
from hopstep.services.cluster import USAGE_SECONDS
from hopstep.services.tenant_limits import DEMAND_SMOOTHING, MIN_DEMAND

REGIONS = FleetSize().regions
WARM_UP_SECONDS = 30.0
MOVE_SECONDS = 20.0
"""Time for which the moving tenant's demand stays at one router."""

MOVING_TENANT = "moving"
MOVING_REQUESTS = 20.0
SETTLED_START = -1_000.0
"""Start of the shares, so that none is a newcomer's."""


class UsageMeasures(msgspec.Struct, frozen=True):
    """Measures of one cluster size.

    Attributes:
        nodes: Routers.
        bytes_per_second: Budget of a node.
        published_per_second: Usage entries published by a node.
        produced_bytes: Bytes a second of a node's own new entries, each counted once.
        usage_bytes: Bytes a second of usage entries that a node sends, copies included.
        all_bytes: All bytes a second that a node sends.
        held_ratio: Part of the published entries of other nodes that a node holds.
        age_seconds: Median age of those that it holds.
        age_p99_seconds: Their 99th percentile.
        share_sum: Largest sum of the routers' shares for the moving tenant.
    """

    nodes: int
    bytes_per_second: int
    published_per_second: float
    produced_bytes: float
    usage_bytes: float
    all_bytes: float
    held_ratio: float
    age_seconds: float
    age_p99_seconds: float
    share_sum: float


class UsageCluster(HollowCluster):
    """A hollow cluster that publishes usage and counts its bytes.

    Args:
        nodes: Number of nodes.
        seed: Seed of all chance.
        config: Protocol configuration.
    """

    def __init__(self, nodes: int, seed: int, config: MembershipConfig) -> None:
        faults = LinkFaults(random.Random(seed), LinkQuality(loss=0.001))
        super().__init__(seed, faults, config, lambda *_: None)
        self.usage_bytes = 0
        self.produced_bytes = 0
        self.published = 0
        self._chance = random.Random(seed)
        self._demand: dict[str, dict[str, float]] = {}
        self._shares: dict[str, LimitShare] = {}
        for number in range(nodes):
            name = f"router-{number:03d}"
            self.add(name, ("router-000",), f"zone-{number % REGIONS}")
            self._demand[name] = {}
            self._shares[name] = LimitShare(SETTLED_START)
        self.introduce_everyone()

    def send(self, node: HollowNode, action: Send) -> None:
        """Count the usage entries of a message, and put it on its way."""
        entries = action.body.gossip.entries
        usage = (entry for entry in entries if entry.kind is EntryKind.LIMIT_USAGE)
        self.usage_bytes += sum(map(encoded_size, usage))
        super().send(node, action)

    def publish_round(self, tenants: int, requests: float) -> None:
        """Publish two seconds of requests at every node, and let the time pass.

        Args:
            tenants: Tenants of all regions; each is served by the routers of its region.
            requests: Requests a second at each node.
        """
        names = list(self.nodes)
        step = USAGE_SECONDS / len(names)
        for number, name in enumerate(names):
            counts = dict.fromkeys(self._demand[name], 0.0)
            for _ in range(round(requests * USAGE_SECONDS)):
                index = self._chance.randrange(tenants // REGIONS) * REGIONS + number % REGIONS
                tenant = f"tenant-{index:05d}"
                counts[tenant] = counts.get(tenant, 0.0) + 1.0
            if names[int(self.now / MOVE_SECONDS) % len(names)] == name:
                counts[MOVING_TENANT] = MOVING_REQUESTS * USAGE_SECONDS
            self._publish(self.nodes[name], counts)
            self.run_until(self.now + step)

    def share_sum(self) -> float:
        """Return the sum of all routers' shares for the moving tenant, as they see it now."""
        live = frozenset(self.nodes)
        total = 0.0
        for name, node in self.nodes.items():
            usage = {
                entry.owner: entry.value.requests_per_second
                for entry in node.membership.entries(EntryKind.LIMIT_USAGE)
                if entry.subject == MOVING_TENANT and isinstance(entry.value, LimitUsage)
            }
            total += self._shares[name].update(self.now, ShareView(name, live, usage))
        return total

    def ages(self, observer: str) -> Iterator[float | None]:
        """Give the age of each published entry as one node holds it; None where it doesn't."""
        held = {
            (entry.owner, entry.subject): entry.value
            for entry in self.nodes[observer].membership.entries(EntryKind.LIMIT_USAGE)
        }
        for owner, demand in self._demand.items():
            for tenant in demand if owner != observer else ():
                value = held.get((owner, tenant))
                # The published number carries its time, as the measure's own stamp.
                stamp = value.tokens_per_second if isinstance(value, LimitUsage) else None
                yield None if stamp is None else self.now - stamp

    def _publish(self, node: HollowNode, counts: dict[str, float]) -> None:
        """Publish smoothed counts as ``TenantLimitService`` and ``Cluster`` do."""
        before = self._demand[node.name]
        smoothed = {
            tenant: before.get(tenant, count)
            + DEMAND_SMOOTHING * (count - before.get(tenant, count))
            for tenant, count in counts.items()
        }
        after = {tenant: value for tenant, value in smoothed.items() if value > MIN_DEMAND}
        for tenant in before.keys() - after.keys():
            self._share(node, tenant, None)
        for tenant, value in after.items():
            self._share(node, tenant, LimitUsage(tenant, value / USAGE_SECONDS, self.now))
        self._demand[node.name] = after

    def _share(self, node: HollowNode, tenant: str, value: LimitUsage | None) -> None:
        actions = node.membership.publish(EntryKind.LIMIT_USAGE, tenant, value, self.now)
        changed = [action for action in actions if not isinstance(action, Send)]
        self.published += 1
        self.produced_bytes += sum(
            encoded_size(action.entry) for action in changed if hasattr(action, "entry")
        )
        self.act(node, actions)


def measure(nodes: int, seed: int, seconds: float, bytes_per_second: int) -> UsageMeasures:
    """Measure one cluster size at the planned load of a node.

    Args:
        nodes: Routers.
        seed: Seed of all chance.
        seconds: Virtual time that is measured, after a warm-up.
        bytes_per_second: Budget of a node.
    """
    size = FleetSize()
    cluster = UsageCluster(nodes, seed, MembershipConfig(bytes_per_second=bytes_per_second))
    requests = size.per_node(size.requests_per_second)
    while cluster.now < WARM_UP_SECONDS:
        cluster.publish_round(size.tenants, requests)
        cluster.share_sum()
    sent = sum(node.sent_bytes for node in cluster.nodes.values())
    usage, produced, published = cluster.usage_bytes, cluster.produced_bytes, cluster.published
    began = cluster.now
    sums = []
    while cluster.now < began + seconds:
        cluster.publish_round(size.tenants, requests)
        sums.append(cluster.share_sum())
    node_seconds = (cluster.now - began) * nodes
    ages = [
        age for observer in list(cluster.nodes)[:: nodes // 8] for age in cluster.ages(observer)
    ]
    held = sorted(age for age in ages if age is not None)
    return UsageMeasures(
        nodes,
        bytes_per_second,
        (cluster.published - published) / node_seconds,
        (cluster.produced_bytes - produced) / node_seconds,
        (cluster.usage_bytes - usage) / node_seconds,
        (sum(node.sent_bytes for node in cluster.nodes.values()) - sent) / node_seconds,
        len(held) / len(ages),
        statistics.median(held),
        held[int(len(held) * 0.99)],
        max(sums),
    )


_NODES = flags.DEFINE_integer("nodes", 24, "routers")
_SEED = flags.DEFINE_integer("seed", 1, "seed of all chance")
_SECONDS = flags.DEFINE_float("seconds", 60.0, "virtual time that is measured")
_BYTES = flags.DEFINE_integer("bytes", MembershipConfig().bytes_per_second, "budget of a node")


def main(arguments: list[str]) -> None:
    """Print the measures of one size as JSON."""
    del arguments
    measures = measure(_NODES.value, _SEED.value, _SECONDS.value, _BYTES.value)
    print(msgspec.json.encode(measures).decode())  # noqa: T201 - the tool's output


if __name__ == "__main__":
    app.run(main)
