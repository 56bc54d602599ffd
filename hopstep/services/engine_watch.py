"""Keeps the routing table's facts of engines up to date, and reads their cache events.

Each router probes the engines that it owns, and shares their facts through ``publish``. The facts
of engines that it doesn't own come in by ``take_published``. Nothing here waits for the
configuration store: the engines of the configuration in force are watched while it is down.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.configuration.document import BackEnd, BackEndKind
from hopstep.domain.engines import CacheEventBatch, EngineFacts
from hopstep.domain.routing.event_budget import EventBudget
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.error_reports import describe_unexpected
from hopstep.exceptions import EngineError
from hopstep.log_events.instances import (
    CACHE_EVENTS_LOST,
    ENGINE_INCARNATION_SEEN,
    ENGINE_LEAVING,
    ENGINE_REACHABLE,
    ENGINE_UNREACHABLE,
)
from hopstep.logs import emit
from hopstep.ports.engine import EnginePort
from hopstep.services.configuration.holder import ConfigurationHolder

PROBE_SECONDS = 0.5
"""Shortest time between two probes of an engine."""

MAX_PROBES_PER_SECOND = 12.0
"""Limit on the probes of all engines together: a probe costs 1 to 2 ms of processor time, and a
node has 26 ms a second for all control work."""

PROBE_TIMEOUT_SECONDS = 2.0
"""Longest wait for a probe or for cache events."""

PUBLISH_SECONDS = 5.0
"""Shortest time between two publications of an engine's facts that haven't changed."""

MAX_PUBLICATIONS_PER_SECOND = 2.5
"""Limit on the publications of unchanged facts of all engines, by one owner of each engine: every
router receives them, and a node has 3 KB a second for all control work. Changes are published at
once."""

Publish = Callable[[str, EngineFacts], None]


def probe_interval(watched: int) -> float:
    """Return the seconds between two probes of an engine.

    Args:
        watched: Engines that this router probes.
    """
    return max(PROBE_SECONDS, watched / MAX_PROBES_PER_SECOND)


def publish_interval(engines: int) -> float:
    """Return the seconds between two publications of unchanged facts of an engine.

    Args:
        engines: Engines of the configuration in force.
    """
    return max(PUBLISH_SECONDS, engines / MAX_PUBLICATIONS_PER_SECOND)


class EngineWatch:
    """Watches engines for one router."""

    def __init__(
        self,
        engine_port: EnginePort,
        routing_table: RoutingTable,
        configuration_holder: ConfigurationHolder,
        owns: Callable[[str], bool],
        publish: Publish,
        event_bytes_per_second: float,
    ) -> None:
        """Prepare the watch; ``run`` does the work.

        Args:
            engine_port: Calls to engines.
            routing_table: Takes the engines' facts, failures and cache events.
            configuration_holder: Names the engines.
            owns: Whether this router probes the engine with the given address.
            publish: Called with an owned engine's address and facts, for the other routers:
                at once when something but its load changed, else every few seconds.
            event_bytes_per_second: Budget for reading cache events; 0 reads none.
        """
        self._engine_port = engine_port
        self._table = routing_table
        self._holder = configuration_holder
        self._owns = owns
        self._publish = publish
        self._published_at: dict[str, float] = {}
        self._event_sequences: dict[str, int] = {}
        self._unreachable: set[str] = set()
        self._event_budget = EventBudget(event_bytes_per_second, trio.current_time())
        self._watched = 0
        self._configured = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._probe_engines()

    def take_published(self, address: str, facts: EngineFacts) -> None:
        """Take facts that another router published; own probes of an owned engine go first."""
        if self._owns(address) and self._table.facts(address) is not None:
            return
        self._table.update_facts(address, facts, trio.current_time())

    async def watch_once(self, address: str) -> None:
        """Probe one engine and read its new cache events."""
        before = self._table.facts(address)
        try:
            with trio.fail_after(PROBE_TIMEOUT_SECONDS):
                facts = await self._engine_port.probe(address)
                self._take_facts(address, before, facts)
                await self._read_events(address, facts)
        except (EngineError, trio.TooSlowError) as error:
            self._record_failure(address, type(error).__name__)
        except Exception as error:
            # What one engine reports can't be used; the others are watched on.
            self._record_failure(address, describe_unexpected(error))

    async def _probe_engines(self) -> None:
        """Probe the owned engines concurrently, each in its own loop."""
        watched: dict[str, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                wanted = {engine.address for engine in self._engines()}
                self._configured = len(wanted)
                wanted = {address for address in wanted if self._owns(address)}
                for address in sorted(set(watched) - wanted):
                    watched.pop(address).cancel()
                    self._forget(address)
                for address in sorted(wanted - set(watched)):
                    watched[address] = trio.CancelScope()
                    nursery.start_soon(self._probe_repeatedly, address, watched[address])
                self._watched = len(watched)
                await trio.sleep(PROBE_SECONDS)

    async def _probe_repeatedly(self, address: str, scope: trio.CancelScope) -> None:
        """Probe one engine until its scope is cancelled."""
        with scope:
            while True:
                await self.watch_once(address)
                await trio.sleep(probe_interval(self._watched))

    def _engines(self) -> list[BackEnd]:
        """Return the engines of the configuration in force."""
        accepted = self._holder.current
        if accepted is None:
            return []
        back_ends = accepted.configuration.back_ends
        return [item for item in back_ends if item.kind is BackEndKind.ENGINE]

    def _forget(self, address: str) -> None:
        """Drop the state of an engine that this router no longer watches."""
        self._published_at.pop(address, None)
        self._event_sequences.pop(address, None)
        self._unreachable.discard(address)

    def _take_facts(self, address: str, before: EngineFacts | None, facts: EngineFacts) -> None:
        """Pass facts to the table and, when they changed or are due, to the other routers."""
        now = trio.current_time()
        self._table.update_facts(address, facts, now)
        if address in self._unreachable:
            self._unreachable.discard(address)
            emit(ENGINE_REACHABLE, engine=address)
        if before is None or before.incarnation != facts.incarnation:
            # Reading starts at the present: older events concern blocks that aren't counted on.
            self._event_sequences[address] = facts.event_sequence
            emit(
                ENGINE_INCARNATION_SEEN,
                engine=address,
                incarnation=facts.incarnation,
                weights=facts.weights,
            )
        if facts.leaving and (before is None or not before.leaving):
            emit(ENGINE_LEAVING, engine=address)
        published_at = self._published_at.get(address, float("-inf"))
        if _has_changed(before, facts) or now - published_at >= publish_interval(self._configured):
            self._published_at[address] = now
            self._publish(address, facts)

    async def _read_events(self, address: str, facts: EngineFacts) -> None:
        """Read the cache events published since the last reading."""
        after = self._event_sequences.get(address, facts.event_sequence)
        if facts.event_sequence <= after:
            return
        if not self._event_budget.allows(trio.current_time()):
            # Answers update the cache index too, so that skipped events cost little.
            self._event_sequences[address] = facts.event_sequence
            return
        batch = await self._engine_port.cache_events(address, facts.incarnation, after)
        if batch.incarnation != facts.incarnation or not batch.events:
            return
        self._event_budget.spend(sum(len(event.block_keys) for event in batch.events))
        self._event_sequences[address] = batch.events[-1].sequence
        lost = _lost_events(after, batch)
        if lost:
            emit(CACHE_EVENTS_LOST, engine=address, lost=lost)
        self._table.record_events(address, batch)

    def _record_failure(self, address: str, reason: str) -> None:
        """Record that an engine gave no answer of use, and log the first such failure."""
        self._table.record_failure(address, trio.current_time())
        if address in self._unreachable:
            return
        self._unreachable.add(address)
        emit(ENGINE_UNREACHABLE, engine=address, reason=reason)


def _has_changed(before: EngineFacts | None, facts: EngineFacts) -> bool:
    """Return whether facts other than load and counters changed."""
    if before is None:
        return True
    earlier = (before.incarnation, before.weights, before.role, before.leaving)
    return earlier != (facts.incarnation, facts.weights, facts.role, facts.leaving)


def _lost_events(after: int, batch: CacheEventBatch) -> int:
    """Return how many sequence numbers a batch skips."""
    return batch.events[-1].sequence - after - len(batch.events)
