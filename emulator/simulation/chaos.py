"""A seeded schedule of faults, which may overlap and repeat."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import msgspec
import trio

from emulator.engine.faults import EngineFaults, RefusalFault, StreamFault
from emulator.platform.faults import FaultOrder
from emulator.simulation.cluster import NO_FAULTS, SimulatedCluster
from emulator.simulation.deployment import MODEL, ZONES
from hopstep.domain.configuration.document import BackEnd, Model
from hopstep.domain.configuration.log import Section

Fault = Callable[[], Awaitable[None]]

STREAM_FAULTS = (
    StreamFault(streams=3, cut_after_tokens=0),
    StreamFault(streams=3, cut_after_tokens=1),
    StreamFault(streams=3, cut_after_tokens=7),
    StreamFault(streams=3, duplicate_frames=True),
    StreamFault(streams=3, reorder_frames=True),
    StreamFault(streams=3, late_seconds=0.4),
    StreamFault(streams=3, foreign_nonce="another"),
    StreamFault(streams=3, injected_nonce="another"),
    StreamFault(streams=3, duplicate_frames=True, injected_nonce="another", cut_after_tokens=5),
)

PLATFORM_FAULTS = (
    FaultOrder(outage=True),
    FaultOrder(slow_seconds=1.0),
    FaultOrder(slow_seconds=3.0),
    FaultOrder(lost_answers=3),
    FaultOrder(lost_requests=3),
    FaultOrder(stale_reads=5),
    FaultOrder(dropped_changes=5),
    FaultOrder(requests_per_second=2.0),
    FaultOrder(machine_list_outage=True),
    FaultOrder(machine_list_outage=True, outage=True),
)


class Chaos:
    """Draws random faults and ends each after a while; several are active at once."""

    def __init__(
        self, cluster: SimulatedCluster, seed: int, mean_seconds_between: float = 2.0
    ) -> None:
        """Create the schedule; ``run`` induces its faults.

        Args:
            cluster: Cluster in which faults are induced.
            seed: Seed of the schedule.
            mean_seconds_between: Mean time between two faults.
        """
        self._cluster = cluster
        self._generator = random.Random(seed)
        self._mean_seconds_between = mean_seconds_between
        self._busy: set[str] = set()
        self.induced: list[str] = []
        self._faults: tuple[Fault, ...] = (
            self._kill_router,
            self._kill_all_routers,
            self._pause_router,
            self._stop_router,
            self._crash_engine,
            self._freeze_engine,
            self._close_engine,
            self._break_streams,
            self._lose_engine_answers,
            self._refuse_attempts,
            self._drop_cache_events,
            self._engine_leaves,
            self._machine_leaves,
            self._cut_engine_link,
            self._cut_router_off,
            self._break_platform,
            self._break_platform,
            self._relabel_engine,
            self._relabel_engine,
            self._race_edits,
            self._roll_weights,
        )

    async def run(self, seconds: float) -> None:
        """Induce faults for ``seconds``; return when all have ended."""
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                fault = self._generator.choice(self._faults)
                nursery.start_soon(self._induce, fault)
                wait = self._generator.expovariate(1 / self._mean_seconds_between)
                await trio.sleep(wait)

    async def recover(self) -> None:
        """End the remaining faults and start the routers that are down."""
        self._cluster.end_faults()
        for name, router in self._cluster.routers.items():
            if not router.running:
                await self._cluster.start_router(name)

    async def _induce(self, fault: Fault) -> None:
        self.induced.append(fault.__name__)
        await fault()

    async def _wait_random(self, longest: float = 12.0) -> None:
        await trio.sleep(self._generator.uniform(0.2, longest))

    def _pick_router(self) -> str | None:
        """Return a running router without a fault, or None."""
        routers = self._cluster.routers
        names = sorted(set(routers) - self._busy)
        running = [name for name in names if routers[name].running]
        return self._generator.choice(running) if running else None

    def _pick_engine(self) -> str | None:
        """Return an engine without a fault, or None."""
        names = [item.name for item in self._cluster.deployment.back_ends if item.models]
        free = [name for name in names if name not in self._busy]
        return self._generator.choice(free) if free else None

    async def _kill_router(self) -> None:
        name = self._pick_router()
        if name is None:
            return
        self._busy.add(name)
        self._cluster.routers[name].kill()
        await self._wait_random()
        await self._cluster.start_router(name)
        self._busy.discard(name)

    async def _kill_all_routers(self) -> None:
        names = sorted(set(self._cluster.routers) - self._busy)
        running = [name for name in names if self._cluster.routers[name].running]
        await self._cluster.restart(*running)

    async def _pause_router(self) -> None:
        name = self._pick_router()
        if name is None:
            return
        self._busy.add(name)
        self._cluster.pause(name)
        await self._wait_random(15.0)
        self._cluster.resume(name)
        self._busy.discard(name)

    async def _stop_router(self) -> None:
        name = self._pick_router()
        if name is None:
            return
        self._busy.add(name)
        await self._cluster.stop_router(name)
        await self._wait_random(3.0)
        await self._cluster.start_router(name)
        self._busy.discard(name)

    async def _crash_engine(self) -> None:
        await self._fault_engine(EngineFaults(crash=True), longest=0.5)

    async def _freeze_engine(self) -> None:
        await self._fault_engine(EngineFaults(frozen=True))

    async def _break_streams(self) -> None:
        await self._fault_engine(EngineFaults(stream=self._generator.choice(STREAM_FAULTS)))

    async def _lose_engine_answers(self) -> None:
        await self._fault_engine(EngineFaults(lost_answers=2))

    async def _refuse_attempts(self) -> None:
        await self._fault_engine(EngineFaults(refusal=RefusalFault(count=3)))

    async def _drop_cache_events(self) -> None:
        await self._fault_engine(EngineFaults(drop_events=True, report_lag_seconds=5.0))

    async def _fault_engine(self, faults: EngineFaults, longest: float = 8.0) -> None:
        name = self._pick_engine()
        if name is None:
            return
        self._busy.add(name)
        self._cluster.set_engine_faults(name, faults)
        await self._wait_random(longest)
        self._cluster.set_engine_faults(name, EngineFaults())
        self._busy.discard(name)

    async def _close_engine(self) -> None:
        name = self._pick_engine()
        if name is None:
            return
        self._busy.add(name)
        address = self._cluster.back_end(name).address
        self._cluster.world.engines.set_down(address, True)
        await self._wait_random(5.0)
        self._cluster.world.engines.set_down(address, False)
        self._busy.discard(name)

    async def _engine_leaves(self) -> None:
        name = self._pick_engine()
        if name is None:
            return
        self._busy.add(name)
        self._cluster.engine_leaves(name)

    async def _machine_leaves(self) -> None:
        if "machine list" in self._busy:
            return
        name = self._pick_engine()
        if name is None or self._cluster.world.machine_list.faults.outage:
            return
        self._busy.add("machine list")
        flapping = self._generator.random() < 0.5
        self._cluster.machine_list_shows_leaving(name, flapping=flapping)

    async def _cut_engine_link(self) -> None:
        name = self._pick_engine()
        router = self._generator.choice(sorted(self._cluster.routers))
        if name is None or "links" in self._busy:
            return
        self._busy.add("links")
        self._cluster.cut_engine(router, name)
        await self._wait_random()
        self._cluster.heal()
        self._busy.discard("links")

    async def _cut_router_off(self) -> None:
        if "links" in self._busy:
            return
        self._busy.add("links")
        cut = self._generator.choice(
            (self._cluster.cut_router, self._cluster.cut_peers, self._cluster.cut_platform)
        )
        cut(self._generator.choice(sorted(self._cluster.routers)))
        await self._wait_random(20.0)
        self._cluster.heal()
        self._busy.discard("links")

    async def _break_platform(self) -> None:
        if {"platform", "machine list"} & self._busy:
            return
        self._busy.add("platform")
        self._cluster.order_platform_faults(self._generator.choice(PLATFORM_FAULTS))
        await self._wait_random(20.0)
        self._cluster.order_platform_faults(NO_FAULTS)
        self._busy.discard("platform")

    async def _relabel_engine(self) -> None:
        await self._cluster.edit(self._edited_engine(), Section.BACK_ENDS)

    async def _race_edits(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                engine = self._edited_engine()
                nursery.start_soon(self._cluster.edit, engine, Section.BACK_ENDS)

    def _edited_engine(self) -> BackEnd:
        """Return an engine with a random zone and leaving state."""
        engines = [item for item in self._cluster.deployment.back_ends if item.models]
        engine = self._generator.choice(engines)
        zone = self._generator.choice(ZONES)
        leaving = self._generator.random() < 0.2
        return msgspec.structs.replace(engine, labels={"zone": zone}, leaving=leaving)

    async def _roll_weights(self) -> None:
        version = self._generator.choice(("v1", "v2", "v3"))
        await self._cluster.edit(Model(MODEL, version), Section.MODELS)
