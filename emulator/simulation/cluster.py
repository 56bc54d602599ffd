"""A simulated cluster: starts and stops its routers and induces faults."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

import msgspec
import structlog
import trio
import trio.testing

from emulator.engine.config import EngineConfig
from emulator.engine.faults import EngineFaults
from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.store_model import StoreBackup
from emulator.simulation.callers import ask
from emulator.simulation.deployment import sample_deployment
from emulator.simulation.history import Answer, Call, History, Interval, Leaving, Outcome, Topic
from emulator.simulation.ports import PLATFORM_ADDRESS
from emulator.simulation.router import PeerDirectory, SimulatedRouter
from emulator.simulation.world import RunsByNonce, World
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.document import BackEnd, BackEndKind, Configuration
from hopstep.domain.configuration.encoding import decode_change
from hopstep.domain.configuration.log import Change, Edit, NamedItem, Section, diff
from hopstep.exceptions import StoreError
from hopstep.services.configuration.store import CHANGES_PREFIX, ConfigurationStore
from hopstep.services.configuration.submission import (
    SubmitOutcome,
    SubmitStatus,
    submit_change,
)
from hopstep.settings import PeerSettings, RouterSettings

DRAIN_SECONDS = 120.0
SETTLE_SECONDS = 4.0
"""Time in which a cluster settles after its start."""

NO_FAULTS = FaultOrder(
    outage=False,
    slow_seconds=0,
    lost_answers=0,
    lost_requests=0,
    stale_reads=0,
    dropped_changes=0,
    requests_per_second=0,
    machine_list_outage=False,
    machine_list_lag_seconds=0,
    machine_list_flapping=(),
)
"""Ends all faults of the platform."""


class SimulatedCluster:
    """Routers in one world, and the operations of a test on them.

    Attributes:
        world: Engines, platform, network.
        history: Record of the simulation, for the oracle.
        routers: The latest incarnation of each router, by name.
        runs: Runs at engines by nonce, collected at the end.
        accepted_changes: Ids of the changes reported to operators as accepted.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        history: History,
        deployment: Configuration | None = None,
        engine_config: EngineConfig | None = None,
    ) -> None:
        """Create the world; ``start`` starts the routers of the deployment.

        Args:
            nursery: Nursery in which all processes run.
            seed: Seed of all random choices.
            history: Records the simulation.
            deployment: First configuration; its routers, engines and stores are simulated.
            engine_config: Sizes and speeds of every engine.
        """
        self.deployment = deployment or sample_deployment()
        self.world = World(seed, history, self.deployment, engine_config or EngineConfig())
        self.history = history
        self.routers: dict[str, SimulatedRouter] = {}
        self.runs: RunsByNonce = {}
        self.accepted_changes: set[str] = set()
        self._nursery = nursery
        self._peers = PeerDirectory()
        self._numbers = itertools.count(1)
        self._sendings = itertools.count(1)
        self._changes = itertools.count(1)
        self._disturbances: dict[str, Interval] = {}
        self._cut_sides: dict[str, set[str]] = {}

    async def start(self, settle_seconds: float = SETTLE_SECONDS) -> None:
        """Accept the deployment, start every router and let the cluster settle."""
        self._nursery.start_soon(self.world.network.run)
        first = Change("first", "simulation", "", 0, diff(Configuration(), self.deployment))
        await submit_change(self._operator_store(), first)
        for back_end in self.router_back_ends():
            await self.start_router(back_end.name)
        await trio.sleep(settle_seconds)

    def router_back_ends(self) -> list[BackEnd]:
        """Return the configured routers."""
        back_ends = self.deployment.back_ends
        return [item for item in back_ends if item.kind is BackEndKind.ROUTER]

    def back_end(self, name: str) -> BackEnd:
        """Return a back end of the latest accepted configuration by name."""
        back_ends = self.world.latest().configuration.back_ends
        return next(item for item in back_ends if item.name == name)

    async def start_router(self, name: str) -> SimulatedRouter:
        """Start a new incarnation of a router, in place of one that has ended."""
        router = SimulatedRouter(self.world, self._settings(name), next(self._numbers), self._peers)
        self.routers[name] = router
        self._peers.by_address[router.settings.address] = router
        await self._nursery.start(router.run)
        return router

    async def restart(self, *names: str) -> None:
        """Kill routers and restart them at once; all of them by default."""
        chosen = names or tuple(self.routers)
        for name in chosen:
            self.routers[name].kill()
        for name in chosen:
            await self.start_router(name)

    def pause(self, name: str) -> None:
        """Stop a router as by SIGSTOP."""
        self._begin_disturbance(f"pause {name}", name)
        self.routers[name].pause()

    def resume(self, name: str) -> None:
        """Resume a paused router."""
        self.routers[name].resume()
        self._end_disturbance(f"pause {name}")

    def cut_router(self, name: str) -> None:
        """Cut a router off from its peers and from the platform, but not from engines."""
        self.cut_peers(name)
        self.cut_platform(name)

    def cut_peers(self, name: str) -> None:
        """Cut a router off from its peers only; it still reads the platform."""
        self._begin_disturbance("cut", "", frozenset({Topic.CONFIGURATION}))
        own = self.routers[name].settings.address
        for back_end in self.router_back_ends():
            self._cut(own, back_end.address)
        self._note_cut(name, "peers")

    def cut_platform(self, name: str) -> None:
        """Cut a router off from the platform only; its peers still send it updates."""
        self._cut(self.routers[name].settings.address, PLATFORM_ADDRESS)
        self._note_cut(name, "platform")

    def _note_cut(self, name: str, side: str) -> None:
        """Record a cut, and a disturbance once both peers and platform are cut off."""
        sides = self._cut_sides.setdefault(name, set())
        sides.add(side)
        if len(sides) > 1:
            self._begin_disturbance(f"cut {name}", name)

    def cut_engine(self, router: str, engine: str) -> None:
        """Cut the link between a router and an engine."""
        self._cut(self.routers[router].settings.address, self.back_end(engine).address)

    def heal(self) -> None:
        """Restore every link."""
        self.world.links.heal()
        self._cut_sides.clear()
        for name in ("cut", *(f"cut {router}" for router in self.routers)):
            self._end_disturbance(name)

    def order_platform_faults(self, order: FaultOrder) -> None:
        """Induce faults of the platform; record those that delay updates as disturbances."""
        self.world.store.order_faults(order)
        self.world.machine_list.order_faults(order)
        faults = self.world.store.faults
        slowed = faults.slow_seconds > 0 or faults.stale_reads > 0 or faults.dropped_changes > 0
        if faults.outage or slowed or order.requests_per_second:
            self._begin_disturbance("store", "", frozenset({Topic.CONFIGURATION}))
        else:
            self._end_disturbance("store")
        if self.world.machine_list.faults.outage:
            self._begin_disturbance("machine list", "", frozenset({Topic.LEAVING}))
        else:
            self._end_disturbance("machine list")

    def stored_changes(self) -> list[str]:
        """Return the ids of the changes in the store, in order."""
        values = self.world.store.model.snapshot()
        keys = sorted(key for key in values if key.startswith(CHANGES_PREFIX))
        return [decode_change(values[key].value).change_id for key in keys]

    def back_up_store(self) -> StoreBackup:
        """Return a backup of the store's present state."""
        return self.world.store.model.backup()

    def restore_store(self, backup: StoreBackup) -> None:
        """Restore the store from a backup."""
        self._begin_disturbance("restore", "", frozenset({Topic.CONFIGURATION}))
        self.world.store.restore(backup)
        self._end_disturbance("restore")

    def set_engine_faults(self, name: str, faults: EngineFaults) -> None:
        """Induce faults at an engine, in place of its earlier ones."""
        self.world.engines.set_faults(self.back_end(name).address, faults)

    def crash(self, name: str) -> None:
        """Crash an engine; it restarts empty."""
        self.set_engine_faults(name, EngineFaults(crash=True))

    def engine_leaves(self, name: str) -> None:
        """Make an engine report that it is leaving."""
        self.set_engine_faults(name, EngineFaults(leaving=True))
        self._note_leaving(name, 0.0)

    def machine_list_shows_leaving(
        self, *names: str, lag_seconds: float = 0.0, flapping: bool = False
    ) -> None:
        """Show engines as leaving in the machine list; the engines don't report it themselves.

        Args:
            *names: The engines.
            lag_seconds: Lag of the list, as set before.
            flapping: Whether every second answer lacks them.
        """
        if flapping:
            self.world.flapping.update(self.back_end(name).address for name in names)
        self.world.show_leaving(frozenset(self.back_end(name).address for name in names))
        for name in names:
            self._note_leaving(name, lag_seconds)

    async def edit(self, item: NamedItem, section: Section) -> SubmitOutcome | None:
        """Replace one item of the configuration, as an operator does.

        Returns:
            Outcome reported to the operator; None when the store fails.
        """
        store = self._operator_store()
        try:
            base = (await store.read_history()).latest.revision
            number = next(self._changes)
            edits = (Edit(section, item.name, item),)
            change = Change(f"c{number}", "operator", "", base, edits)
            outcome = await submit_change(store, change)
        except StoreError:
            return None
        if outcome.status is SubmitStatus.ACCEPTED:
            self.accepted_changes.add(change.change_id)
        return outcome

    async def ask(
        self,
        router: str,
        call: Call,
        *,
        disconnect_after_tokens: int | None = None,
        seconds_per_part: float = 0.0,
    ) -> Answer:
        """Send a call to a router and return the record of its answer.

        Args:
            router: Name of the router.
            call: The call.
            disconnect_after_tokens: Tokens after which the caller disconnects; None for never.
            seconds_per_part: Time that the caller takes to read each part.
        """
        answer = Answer(next(self._sendings), call, router, trio.current_time())
        self.history.answers.append(answer)
        await ask(self.routers[router], answer, disconnect_after_tokens, seconds_per_part)
        return answer

    async def ask_until_complete(self, routers: tuple[str, ...], call: Call) -> Answer:
        """Send a call to the routers in turn until its response is complete."""
        for router in itertools.cycle(routers):
            answer = await self.ask(router, call)
            if answer.outcome is Outcome.COMPLETE:
                return answer
            await trio.sleep(max(answer.retry_after_seconds, 0.1))
        raise AssertionError("unreachable")

    def end_faults(self) -> None:
        """End every fault but those of routers that were killed or stopped."""
        self.heal()
        self.order_platform_faults(NO_FAULTS)
        self.world.show_leaving(frozenset())
        self.world.flapping.clear()
        for address in self.world.engine_addresses:
            self.world.engines.set_down(address, False)
            self.world.engines.set_faults(address, EngineFaults())
        for router in self.routers.values():
            if router.gate.paused:
                self.resume(router.name)
        self._end_leaving()

    async def stop_router(self, name: str) -> None:
        """Stop a router as planned and return when its process has ended."""
        router = self.routers[name]
        router.stop()
        await router.ended.wait()

    def finish(self) -> None:
        """End every router and every disturbance, before the oracle checks the history."""
        for router in self.routers.values():
            if router.running:
                router.kill()
        for name in list(self._disturbances):
            self._end_disturbance(name)

    def _settings(self, name: str) -> RouterSettings:
        """Return the settings of a router."""
        routers = self.router_back_ends()
        back_end = next(item for item in routers if item.name == name)
        seeds = tuple(item.address for item in routers)
        return RouterSettings(
            name=name,
            address=back_end.address,
            zone=back_end.labels["zone"],
            labels=back_end.labels,
            peers=PeerSettings(seeds=seeds),
            drain_seconds=DRAIN_SECONDS,
        )

    def _operator_store(self) -> ConfigurationStore:
        """Return a new connection of an operator to the store."""
        return ConfigurationStore(InMemoryStore(self.world.store), self.world.generator)

    def _note_leaving(self, name: str, lag_seconds: float) -> None:
        known_at = trio.current_time() + lag_seconds
        self.history.leaving.append(Leaving(self.back_end(name).address, known_at))

    def _end_leaving(self) -> None:
        now = trio.current_time()
        self.history.leaving = [
            item if item.until <= now else Leaving(item.address, item.known_at, now)
            for item in self.history.leaving
        ]

    def _cut(self, one: str, other: str) -> None:
        self.world.links.cut_one_way(one, other)
        self.world.links.cut_one_way(other, one)

    def _begin_disturbance(
        self, name: str, router: str, topics: frozenset[Topic] = frozenset(Topic)
    ) -> None:
        began_at = trio.current_time()
        if name not in self._disturbances:
            interval = Interval(began_at, float("inf"), router, topics)
            self._disturbances[name] = interval
            self.history.disturbances.append(interval)

    def _end_disturbance(self, name: str) -> None:
        interval = self._disturbances.pop(name, None)
        if interval is None:
            return
        self.history.disturbances.remove(interval)
        ended = msgspec.structs.replace(interval, ended_at=trio.current_time())
        self.history.disturbances.append(ended)


Body = Callable[[SimulatedCluster], Awaitable[None]]


def run_simulation(
    body: Body,
    *,
    seed: int = 1,
    deployment: Configuration | None = None,
    engine_config: EngineConfig | None = None,
    settle_seconds: float = SETTLE_SECONDS,
) -> SimulatedCluster:
    """Start a cluster, run ``body`` on it in virtual time and return it after its end.

    Args:
        body: Scenario to run.
        seed: Seed of all random choices, including the order in which tasks run.
        deployment: First configuration; None for the sample.
        engine_config: Sizes and speeds of every engine.
        settle_seconds: Time before the body begins.
    """
    history = History()
    ended: list[SimulatedCluster] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = SimulatedCluster(nursery, seed, history, deployment, engine_config)
            ended.append(cluster)
            try:
                await cluster.start(settle_seconds)
                await body(cluster)
            finally:
                cluster.runs = cluster.world.runs()
                cluster.finish()
            nursery.cancel_scope.cancel()

    with structlog.testing.capture_logs((history.note_log,)):
        run_in_virtual_time(main, seed=seed)
    return ended[0]
