"""Faults of a soak, drawn from a seeded generator; each is repaired after a while."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable

import trio

from emulator.platform.faults import FaultOrder
from emulator.soak.deployment import GRACE_SECONDS, Deployment
from emulator.soak.disturbances import (
    INSTANCE_LINKS_CUT,
    KILLED,
    LEASES_EXPIRED_EARLY,
    PEER_LINK_CUT,
    RESTORED,
    STORE,
)
from emulator.soak.fault_kinds import FATAL, FATAL_PART, LINKS, RESTORE, STARVING
from emulator.soak.hostile_callers import HostileCallers
from emulator.soak.instance_faults import BROKEN_LINKS, instance_faults
from emulator.soak.instance_subjects import Fault, NoInstanceError, draw_seconds
from emulator.soak.link_checks import subject_of
from emulator.soak.links import NodeLinks
from emulator.soak.operators import Operator
from emulator.soak.profiles import Profile
from emulator.soak.proxies import LinkState
from emulator.soak.starved_nodes import StarvedNodes
from emulator.soak.suspendable_node import HANGING, REFUSING

SERIES_LENGTH = (2, 4)
SERIES_SECONDS = (0.1, 0.8)
"""Time between the starts of two faults of a series, shortest and longest."""

SETTLE_SECONDS = 2.5
"""Time after its start in which a node counts as disturbed."""

INTERPRETER_SECONDS = 0.3
"""Start time of the interpreter; SIGHUP ends the process until the program ignores it."""


ROLLBACK_SHARE = 0.25
"""Share of replacements in which any node changes its build, also back to the other build."""

REVOKING_SHARE = 0.5
"""Share of suspensions during which a key is revoked."""

REVOKING_SUSPENSION_SECONDS = (5.5, 9.0)
"""Duration of such a suspension; longer than the bound on using a revoked key."""

CUT_SECONDS = (2.0, 10.0)
"""Duration of a cut between nodes and instances; the check counts from three seconds on."""

IN_FLIGHT_SECONDS = 0.05
"""Time for requests to reach the socket of a stopped node."""


class Faults:
    """Draws faults and injects them."""

    def __init__(
        self,
        deployment: Deployment,
        operator: Operator,
        callers: HostileCallers,
        generator: random.Random,
        profile: Profile,
    ) -> None:
        """Prepare all kinds of faults.

        Args:
            deployment: Parts that get the faults.
            operator: Changes keys and weights.
            callers: Send fatal requests, and requests with revoked keys.
            generator: Draws kind, subject, time and strength.
            profile: Kinds of faults, and the pauses between them.
        """
        self._profile = profile
        self.counts: dict[str, int] = {}
        self._deployment = deployment
        self._operator = operator
        self._callers = callers
        self._generator = generator
        self._kinds: dict[str, Fault] = {
            "store outage": self._store_outage,
            "store slow": self._store_slow,
            "store loses answers": self._store_loses_answers,
            "store forgets history": self._store_clears_history,
            "leases lapse": self._leases_expire,
            RESTORE: self._store_restored,
            "node without store": self._node_without_store,
            "node without peers": self._node_without_peers,
            LINKS: self._nodes_without_instances,
            "store connections silent": self._store_connections_silent,
            "datagrams lost and late": self._datagrams_lossy,
            "callers' link": self._callers_link,
            "node paused": self._node_paused,
            "node killed": self._node_killed,
            "all nodes killed": self._all_killed,
            "node stopped": self._node_stopped,
            "node replaced": self._node_replaced,
            "settings reloaded": self._settings_reloaded,
            "key revoked": self._key_revoked,
            "weights named": self._weights_named,
            "node started slowly": self._node_started_slowly,
            "body limit changed": self._change(operator.change_body_limit),
            "tenants isolated": self._change(operator.change_isolation),
            "key moved": self._change(operator.move_key),
            "routes redirected": self._change(operator.redirect),
            "node suspended": self._node_suspended,
            FATAL: callers.repeat_fatal_request,
            FATAL_PART: callers.share_fatal_part,
            STARVING: StarvedNodes(deployment, generator).run,
            **instance_faults(deployment, operator, generator),
        }

    @property
    def kinds(self) -> set[str]:
        """Kinds of faults that can be drawn."""
        return set(self._kinds)

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, and wait until all are repaired.

        Faults overlap; some come in series of their kind.
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
                        nursery.start_soon(self._inject, kind)
                        await trio.sleep(self._generator.uniform(*SERIES_SECONDS))

    async def _inject(self, kind: str) -> None:
        """Inject a fault; one that finds no instance is counted once more as such."""
        try:
            await self._kinds[kind]()
        except NoInstanceError:
            missed = f"{kind}, no instance"
            self.counts[missed] = self.counts.get(missed, 0) + 1

    def _node(self) -> NodeLinks:
        """Return a random node."""
        return self._generator.choice(self._deployment.nodes)

    async def _store_fault(self, what: str, begin: FaultOrder, end: FaultOrder) -> None:
        """Apply a fault to the store for a random duration."""
        disturbance = self._deployment.disturb(what, STORE)
        self._deployment.shared.order_faults(begin)
        await trio.sleep(draw_seconds(self._generator))
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

    async def _store_clears_history(self) -> None:
        disturbance = self._deployment.disturb("history forgotten", STORE)
        self._deployment.shared.model.clear_history()
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _store_restored(self) -> None:
        """Restore the store from a backup; time bounds apply again once the store is back."""
        disturbance = self._deployment.disturb(RESTORED, STORE)
        restores = self._deployment.restores
        await restores.restore_backup()
        disturbance.until = trio.current_time()
        await restores.rewrite_missing()

    async def _leases_expire(self) -> None:
        disturbance = self._deployment.disturb(LEASES_EXPIRED_EARLY, STORE)
        self._deployment.shared.order_faults(FaultOrder(lapse_leases=True))
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _node_without_store(self) -> None:
        node = self._node()
        disturbance = self._deployment.disturb("store link", node.name)
        node.store.set_state(self._generator.choice(BROKEN_LINKS))
        await trio.sleep(draw_seconds(self._generator))
        node.store.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()

    async def _store_connections_silent(self) -> None:
        """Block the open connections between a node and the store; new connections work."""
        node = self._node()
        disturbance = self._deployment.disturb("store connections silent", node.name)
        node.store.block_established(back_only=self._generator.random() < 0.5)
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def _node_without_peers(self) -> None:
        node = self._node()
        disturbance = self._deployment.disturb(PEER_LINK_CUT, node.name)
        node.peers.cut = True
        node.tunnels.set_state(LinkState.SILENT)
        await trio.sleep(draw_seconds(self._generator))
        node.peers.cut = False
        node.tunnels.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()

    async def _nodes_without_instances(self) -> None:
        """Cut the links of some nodes to all instances: one, a zone, or any number but all.

        Several at a time may cut those of all nodes.
        """
        nodes = self._deployment.nodes
        kind = self._generator.choice((REFUSING, HANGING))
        zone = self._generator.choice(nodes).zone
        chosen = self._generator.choice(
            (
                [self._node()],
                [node for node in nodes if node.zone == zone],
                self._generator.sample(nodes, self._generator.randrange(1, len(nodes))),
            )
        )
        disturbances = []
        for node in chosen:
            subject = subject_of(node.name)
            disturbances.append(self._deployment.disturb(INSTANCE_LINKS_CUT, subject))
            self._deployment.cut_instances(node, kind)
        await trio.sleep(self._generator.uniform(*CUT_SECONDS))
        for node, disturbance in zip(chosen, disturbances, strict=True):
            self._deployment.restore_instances(node)
            disturbance.until = trio.current_time()

    async def _datagrams_lossy(self) -> None:
        disturbances = []
        loss = self._generator.choice((0.05, 0.3, 0.8))
        delay = self._generator.choice((0.0, 0.1, 2.0))
        for node in self._deployment.nodes:
            disturbances.append(self._deployment.disturb("lossy peers", node.name))
            node.peers.loss, node.peers.delay_seconds = loss, delay
        await trio.sleep(draw_seconds(self._generator))
        for node in self._deployment.nodes:
            node.peers.loss = node.peers.delay_seconds = 0.0
        for disturbance in disturbances:
            disturbance.until = trio.current_time()

    async def _callers_link(self) -> None:
        node = self._node()
        disturbance = self._deployment.disturb("callers' link", node.name)
        node.clients.set_state(self._generator.choice(BROKEN_LINKS))
        await trio.sleep(draw_seconds(self._generator) / 2)
        node.clients.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()

    async def _node_paused(self) -> None:
        node = self._node()
        if not node.running:
            return
        disturbance = self._deployment.disturb("paused", node.name)
        self._deployment.signal_node(node, signal.SIGSTOP)
        await trio.sleep(draw_seconds(self._generator))
        if self._deployment.node_exit_code(node) is None:
            self._deployment.signal_node(node, signal.SIGCONT)
        disturbance.until = trio.current_time()

    async def _node_suspended(self) -> None:
        """Suspend a node's machine: its ordinary monotonic clock doesn't count the time.

        In some cases a key is revoked during the suspension, and is used as the machine resumes.
        """
        node = self._node()
        if not node.running:
            return
        disturbance = self._deployment.disturb("suspended", node.name)
        self._deployment.signal_node(node, signal.SIGSTOP)
        seconds, key = draw_seconds(self._generator), ""
        if self._generator.random() < REVOKING_SHARE:
            seconds, key = (
                self._generator.uniform(*REVOKING_SUSPENSION_SECONDS),
                self._operator.revoke(),
            )
        await trio.sleep(seconds)
        node.suspended_seconds += seconds
        node.suspended.write_text(str(node.suspended_seconds))
        async with trio.open_nursery() as nursery:
            if key:
                nursery.start_soon(self._callers.use_key, node, key)
                await trio.sleep(IN_FLIGHT_SECONDS)
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
        """Kill a node's process and start it again."""
        if not node.running:
            return
        node.running = False
        disturbance = self._deployment.disturb(KILLED, node.name)
        self._deployment.signal_node(node, signal.SIGKILL)
        await trio.sleep(self._generator.uniform(0.1, 2.0))
        self._deployment.start_node(node)
        await trio.sleep(SETTLE_SECONDS)
        disturbance.until = trio.current_time()

    async def _node_stopped(self) -> None:
        await self._stop_and_start(self._node())

    async def _node_replaced(self) -> None:
        """Replace a node by one of the other build: mostly an upgrade, sometimes a rollback."""
        outdated = [node for node in self._deployment.nodes if node.other_build]
        upgrade = bool(outdated) and self._generator.random() >= ROLLBACK_SHARE
        node = self._generator.choice(outdated) if upgrade else self._node()
        if self._deployment.other_build is None or not node.running:
            return
        node.other_build = not node.other_build
        await self._stop_and_start(node)

    async def _stop_and_start(self, node: NodeLinks) -> None:
        """Stop a node by SIGTERM as in a planned stop, and start it again."""
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

    async def _settings_reloaded(self) -> None:
        node = self._node()
        await trio.lowlevel.checkpoint()
        started = trio.current_time() - node.started_at > INTERPRETER_SECONDS
        if node.running and started and self._deployment.node_exit_code(node) is None:
            self._deployment.signal_node(node, signal.SIGHUP)

    async def _key_revoked(self) -> None:
        await trio.lowlevel.checkpoint()
        self._operator.revoke()

    async def _node_started_slowly(self) -> None:
        """Kill a node and start it while the store is slow."""
        disturbance = self._deployment.disturb("slow", STORE)
        slow_seconds = self._generator.uniform(0.1, 0.6)
        self._deployment.shared.order_faults(FaultOrder(slow_seconds=slow_seconds))
        await self._kill(self._node())
        self._deployment.shared.order_faults(FaultOrder(slow_seconds=0.0))
        disturbance.until = trio.current_time()

    def _change(self, change: Callable[[], None]) -> Fault:
        """Return a kind that makes a change of the operator's."""

        async def make() -> None:
            await trio.lowlevel.checkpoint()
            change()

        return make

    async def _weights_named(self) -> None:
        await trio.lowlevel.checkpoint()
        self._operator.set_weights_version()
