"""Faults of a soak, drawn by a seed, each with an end."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable

import trio

from emulator.platform.faults import FaultOrder
from emulator.soak.deployment import (
    ENGINES,
    GRACE_SECONDS,
    PLAIN,
    ZONES,
    Deployment,
    InstanceLinks,
    NodeLinks,
)
from emulator.soak.foreign_entries import FOREIGN_PREFIX, foreign_entry
from emulator.soak.history import ONLY_PEERS, STORE, Leaving
from emulator.soak.operators import Operator
from emulator.soak.profiles import Profile
from emulator.soak.proxies import LinkState

SERIES_LENGTH = (2, 4)
SERIES_SECONDS = (0.1, 0.8)
"""Between the begins of two faults of a series."""

FAULT_SECONDS = (0.5, 6.0)
SETTLE_SECONDS = 2.5
"""A started node counts as disturbed for so long."""

INTERPRETER_SECONDS = 0.3
"""For the interpreter to start: SIGHUP ends it until the first line of the program ignores it."""

DRAIN_SECONDS = 2.5
BROKEN_LINKS = (LinkState.SILENT, LinkState.ONE_WAY, LinkState.RESET)
MIN_INSTANCES = 2
REUSE_SECONDS = 2.0
"""The platform gives an address of an ended instance to another one no sooner."""

Fault = Callable[[], Awaitable[None]]


class Faults:
    """Draws faults and carries them out."""

    def __init__(
        self,
        deployment: Deployment,
        operator: Operator,
        generator: random.Random,
        profile: Profile,
        insist: Fault,
    ) -> None:
        """Prepare.

        Args:
            deployment: What is disturbed.
            operator: Changes keys and weights.
            generator: Draws kind, subject, time and strength.
            profile: Kinds, and how closely they follow each other.
            insist: Sends a request again and again that ends instances.
        """
        self._profile = profile
        self.counts: dict[str, int] = {}
        self._deployment = deployment
        self._operator = operator
        self._generator = generator
        self._kinds: dict[str, Fault] = {
            "store outage": self._store_outage,
            "store slow": self._store_slow,
            "store loses answers": self._store_loses_answers,
            "store forgets history": self._store_forgets,
            "leases lapse": self._leases_lapse,
            "node without store": self._node_without_store,
            "node without peers": self._node_without_peers,
            "store connections silent": self._store_connections_silent,
            "datagrams lost and late": self._datagrams_lossy,
            "callers' link": self._callers_link,
            "node paused": self._node_paused,
            "node killed": self._node_killed,
            "all nodes killed": self._all_killed,
            "node stopped": self._node_stopped,
            "settings reloaded": self._hang_up,
            "instance link": self._instance_link,
            "instance connections silent": self._instance_connections_silent,
            "instance crashed": self._instance_crashed,
            "instance leaves": self._instance_leaves,
            "instance fails": self._instance_fails,
            "orders late": self._orders_late,
            "key revoked": self._key_revoked,
            "weights named": self._weights_named,
            "node suspended": self._node_suspended,
            "instance restarts": self._instance_restarts,
            "address passed on": self._address_passed_on,
            "foreign entries": self._foreign_entries,
            "fatal request": insist,
        }

    @property
    def kinds(self) -> set[str]:
        """Kinds of faults that can be drawn."""
        return set(self._kinds)

    async def run(self, seconds: float) -> None:
        """Disturb for a time, and wait until everything is healed.

        Faults go on while others begin; some come in series of their kind.
        """
        profile = self._profile
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                while True:
                    await trio.sleep(self._generator.uniform(*profile.pause_seconds))
                    kind = self._generator.choice(profile.kinds)
                    times = 1
                    if self._generator.random() < profile.series_share:
                        times = self._generator.randint(*SERIES_LENGTH)
                    for _ in range(times):
                        self.counts[kind] = self.counts.get(kind, 0) + 1
                        nursery.start_soon(self._kinds[kind])
                        await trio.sleep(self._generator.uniform(*SERIES_SECONDS))

    def _time(self) -> float:
        """Return how long a fault lasts."""
        return self._generator.uniform(*FAULT_SECONDS)

    def _node(self) -> NodeLinks:
        """Return a node."""
        return self._generator.choice(self._deployment.nodes)

    def _instance(self) -> InstanceLinks:
        """Return an instance."""
        return self._generator.choice(self._deployment.instances)

    async def _store_fault(self, what: str, begin: FaultOrder, end: FaultOrder) -> None:
        """Let the store fail for a while."""
        disturbance = self._deployment.disturb(what, STORE)
        self._deployment.shared.order_faults(begin)
        await trio.sleep(self._time())
        self._deployment.shared.order_faults(end)
        disturbance.until = trio.current_time()

    async def _store_outage(self) -> None:
        await self._store_fault("outage", FaultOrder(outage=True), FaultOrder(outage=False))

    async def _store_slow(self) -> None:
        begin = FaultOrder(slow_seconds=self._generator.uniform(0.1, 0.6))
        await self._store_fault("slow", begin, FaultOrder(slow_seconds=0.0))

    async def _store_loses_answers(self) -> None:
        begin = FaultOrder(lost_answers=self._generator.randrange(1, 6))
        await self._store_fault("lost answers", begin, FaultOrder(lost_answers=0))

    async def _store_forgets(self) -> None:
        disturbance = self._deployment.disturb("history forgotten", STORE)
        self._deployment.shared.model.forget_history()
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _leases_lapse(self) -> None:
        disturbance = self._deployment.disturb("leases lapse", STORE)
        self._deployment.shared.order_faults(FaultOrder(lapse_leases=True))
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _node_without_store(self) -> None:
        node = self._node()
        disturbance = self._deployment.disturb("store link", node.name)
        node.store.set_state(self._generator.choice(BROKEN_LINKS))
        await trio.sleep(self._time())
        node.store.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()

    async def _store_connections_silent(self) -> None:
        """Silence what is open between a node and the store; new connections work."""
        node = self._node()
        disturbance = self._deployment.disturb("store connections silent", node.name)
        node.store.silence_established(back_only=self._generator.random() < 0.5)
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _node_without_peers(self) -> None:
        node = self._node()
        disturbance = self._deployment.disturb(ONLY_PEERS, node.name)
        node.peers.cut = True
        await trio.sleep(self._time())
        node.peers.cut = False
        disturbance.until = trio.current_time()

    async def _datagrams_lossy(self) -> None:
        disturbances = []
        loss = self._generator.choice((0.05, 0.3, 0.8))
        delay = self._generator.choice((0.0, 0.1, 2.0))
        for node in self._deployment.nodes:
            disturbances.append(self._deployment.disturb("lossy peers", node.name))
            node.peers.loss, node.peers.delay_seconds = loss, delay
        await trio.sleep(self._time())
        for node in self._deployment.nodes:
            node.peers.loss = node.peers.delay_seconds = 0.0
        for disturbance in disturbances:
            disturbance.until = trio.current_time()

    async def _callers_link(self) -> None:
        node = self._node()
        disturbance = self._deployment.disturb("callers' link", node.name)
        node.clients.set_state(self._generator.choice(BROKEN_LINKS))
        await trio.sleep(self._time() / 2)
        node.clients.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()

    async def _node_paused(self) -> None:
        node = self._node()
        if not node.running:
            return
        disturbance = self._deployment.disturb("paused", node.name)
        self._deployment.signal_node(node, signal.SIGSTOP)
        await trio.sleep(self._time())
        if self._deployment.node_exit_code(node) is None:
            self._deployment.signal_node(node, signal.SIGCONT)
        disturbance.until = trio.current_time()

    async def _node_suspended(self) -> None:
        """Suspend a node's machine: its ordinary steady clock doesn't count the time."""
        node = self._node()
        if not node.running:
            return
        disturbance = self._deployment.disturb("suspended", node.name)
        self._deployment.signal_node(node, signal.SIGSTOP)
        seconds = self._time()
        await trio.sleep(seconds)
        node.suspended_seconds += seconds
        node.suspended.write_text(str(node.suspended_seconds))
        if self._deployment.node_exit_code(node) is None:
            self._deployment.signal_node(node, signal.SIGCONT)
        disturbance.until = trio.current_time()

    async def _node_killed(self) -> None:
        await self._kill(self._node())

    async def _all_killed(self) -> None:
        if self._generator.random() < 0.5:
            return
        async with trio.open_nursery() as nursery:
            for node in self._deployment.nodes:
                nursery.start_soon(self._kill, node)

    async def _kill(self, node: NodeLinks) -> None:
        """Kill a node and start it again."""
        if not node.running:
            return
        node.running = False
        disturbance = self._deployment.disturb("killed", node.name)
        self._deployment.signal_node(node, signal.SIGKILL)
        await trio.sleep(self._generator.uniform(0.1, 2.0))
        self._deployment.start_node(node)
        await trio.sleep(SETTLE_SECONDS)
        disturbance.until = trio.current_time()

    async def _node_stopped(self) -> None:
        node = self._node()
        if not node.running:
            return
        node.running = False
        disturbance = self._deployment.disturb("stopped", node.name, planned=True)
        self._deployment.signal_node(node, signal.SIGTERM)
        with trio.move_on_after(GRACE_SECONDS + 4.0):
            await self._deployment.wait_node_end(node)
        if self._deployment.node_exit_code(node) is None:
            self._deployment.signal_node(node, signal.SIGKILL)
        disturbance.until = trio.current_time()
        starting = self._deployment.disturb("starting", node.name)
        self._deployment.start_node(node)
        await trio.sleep(SETTLE_SECONDS)
        starting.until = trio.current_time()

    async def _hang_up(self) -> None:
        node = self._node()
        await trio.lowlevel.checkpoint()
        started = trio.current_time() - node.started_at > INTERPRETER_SECONDS
        if node.running and started and self._deployment.node_exit_code(node) is None:
            self._deployment.signal_node(node, signal.SIGHUP)

    async def _instance_link(self) -> None:
        links = self._instance()
        disturbance = self._deployment.disturb("link", links.instance.traits.instance_id)
        if self._generator.random() < 0.3:
            links.proxy.delay_seconds = self._generator.uniform(0.05, 0.5)
        else:
            links.proxy.set_state(self._generator.choice(BROKEN_LINKS))
        await trio.sleep(self._time())
        links.proxy.delay_seconds = 0.0
        links.proxy.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()

    async def _instance_connections_silent(self) -> None:
        """Silence what is open between all nodes and an instance; new connections work."""
        links = self._instance()
        instance_id = links.instance.traits.instance_id
        disturbance = self._deployment.disturb("connections silent", instance_id)
        links.proxy.silence_established(back_only=self._generator.random() < 0.5)
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _instance_crashed(self) -> None:
        links = self._instance()
        traits = links.instance.traits
        if self._count(traits.service) <= MIN_INSTANCES:
            return
        disturbance = self._deployment.disturb("crashed", traits.instance_id)
        version = links.instance.version
        self._deployment.end_instance(links, unlisted=False)
        await trio.sleep(self._generator.uniform(0.2, 3.0))
        self._deployment.store.remove(f"servers/{traits.instance_id}")
        await self._deployment.add_instance(traits.service, traits.zone, version)
        disturbance.until = trio.current_time()

    async def _instance_restarts(self) -> None:
        """End an instance, and start it again under its id before or after its entry lapses."""
        links = self._instance()
        traits = links.instance.traits
        if links.instance.draining or self._count(traits.service) <= MIN_INSTANCES:
            return
        disturbance = self._deployment.disturb("restarted", traits.instance_id)
        version = links.instance.version
        self._deployment.end_instance(links, unlisted=False)
        await trio.sleep(self._generator.uniform(0.1, 4.0))
        if self._generator.random() < 0.3:
            self._deployment.store.remove(f"servers/{traits.instance_id}")
            await trio.sleep(self._generator.uniform(0.1, 1.0))
        await self._deployment.add_instance(
            traits.service, traits.zone, version, traits.instance_id
        )
        disturbance.until = trio.current_time()

    async def _address_passed_on(self) -> None:
        """End an instance, start another one at its address, and it again elsewhere."""
        links = self._instance()
        traits = links.instance.traits
        if links.instance.draining or self._count(traits.service) <= MIN_INSTANCES:
            return
        disturbance = self._deployment.disturb("address passed on", traits.instance_id)
        port = int(self._deployment.recorder.addresses[traits.instance_id].rpartition(":")[2])
        version = links.instance.version
        self._deployment.end_instance(links, unlisted=False)
        await trio.sleep(REUSE_SECONDS)
        other = PLAIN if traits.service == ENGINES else ENGINES
        await self._deployment.add_instance(other, traits.zone, self._operator.weights, port=port)
        await trio.sleep(self._generator.uniform(0.5, 2.0))
        await self._deployment.add_instance(
            traits.service, traits.zone, version, traits.instance_id
        )
        disturbance.until = trio.current_time()

    async def _foreign_entries(self) -> None:
        """Write entries of another writer for a while, one of them over an instance's own."""
        generator, store = self._generator, self._deployment.store
        keys = []
        for _ in range(generator.randint(1, 4)):
            service, zone = generator.choice((PLAIN, ENGINES)), generator.choice(ZONES)
            key = f"servers/{FOREIGN_PREFIX}-{generator.randbytes(3).hex()}"
            store.put_bytes(key, foreign_entry(generator, service, zone, self._deployment.decoy))
            keys.append(key)
        links = self._instance()
        traits = links.instance.traits
        over = self._count(traits.service) > MIN_INSTANCES and not links.instance.draining
        if over:
            decoy = self._deployment.decoy
            entry = foreign_entry(generator, traits.service, traits.zone, decoy)
            store.put_bytes(f"servers/{traits.instance_id}", entry)
        await trio.sleep(self._time())
        for key in keys:
            store.remove(key)
        if over:
            self._deployment.recorder.changed(links.instance)

    async def _instance_leaves(self) -> None:
        links = self._instance()
        instance = links.instance
        if self._count(instance.traits.service) <= MIN_INSTANCES or instance.draining:
            return
        await self._deployment.add_instance(
            instance.traits.service, self._generator.choice(ZONES), self._operator.weights
        )
        instance.draining = True
        self._deployment.recorder.changed(instance)
        leaving = Leaving(instance.traits.instance_id, trio.current_time())
        self._deployment.history.leavings.append(leaving)
        await trio.sleep(DRAIN_SECONDS + self._time())
        if links in self._deployment.instances:
            self._deployment.end_instance(links, unlisted=True)

    def _count(self, service: str) -> int:
        """Return how many instances of a service take requests."""
        return sum(
            links.instance.traits.service == service and not links.instance.draining
            for links in self._deployment.instances
        )

    async def _instance_fails(self) -> None:
        links = self._instance()
        faults = links.instance.faults
        disturbance = self._deployment.disturb("fails", links.instance.traits.instance_id)
        share = self._generator.choice((0.05, 0.5, 1.0))
        field = self._generator.choice(("failing", "losing", "breaking"))
        setattr(faults, field, share)
        await trio.sleep(self._time())
        setattr(faults, field, 0.0)
        disturbance.until = trio.current_time()

    async def _orders_late(self) -> None:
        engines = [x for x in self._deployment.instances if x.instance.traits.service == ENGINES]
        for links in engines:
            links.instance.faults.late_orders = 0.5
        await trio.sleep(self._time())
        for links in engines:
            links.instance.faults.late_orders = 0.0

    async def _key_revoked(self) -> None:
        await trio.lowlevel.checkpoint()
        self._operator.revoke()

    async def _weights_named(self) -> None:
        await trio.lowlevel.checkpoint()
        self._operator.name_weights()
