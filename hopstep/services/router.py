"""All services of one router, composed over ports that are passed in.

The process and the simulation share this composition: the process passes adapters, the
simulation passes emulated ports on a virtual clock.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Callable

import msgspec
import trio
from prometheus_client import CollectorRegistry

from hopstep.clock import time_of_day_seconds
from hopstep.domain.rendezvous import hash_name
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.domain.stop_schedule import StopSchedule
from hopstep.ports.engine import EnginePort
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.machine_list import MachineListPort
from hopstep.ports.peer_configuration import PeerConfigurationPort
from hopstep.ports.peer_transport import PeerTransport
from hopstep.services.background_tasks import BackgroundTasks
from hopstep.services.claim_sweeper import ClaimSweeper
from hopstep.services.claims import ClaimService
from hopstep.services.cluster import Cluster
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.store import ConfigurationStore
from hopstep.services.configuration.sync import ConfigurationSync
from hopstep.services.engine_watch import EngineWatch
from hopstep.services.leaving_watch import LeavingWatch
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.limit_leases import LimitLeaseService
from hopstep.services.membership import MembershipService
from hopstep.services.membership_metrics import MembershipMetrics
from hopstep.services.quarantine.crash_entries import CrashEntries
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.quarantine.reader import QuarantineReader
from hopstep.services.quarantine.records import QuarantineRecords
from hopstep.services.requests.admission import AdmissionService
from hopstep.services.requests.attempt_factory import new_nonce
from hopstep.services.requests.dispatcher import Dispatcher
from hopstep.services.requests.request_metrics import RequestMetrics
from hopstep.services.requests.tenant_limits import TenantLimitService
from hopstep.services.rollout import Rollout
from hopstep.settings import RouterSettings


class RouterPorts(msgspec.Struct, frozen=True):
    """Ports to everything outside the process.

    Attributes:
        engines: Calls to engines.
        store: Platform's key-value service.
        machine_list: Platform's machine list; None to run without it.
        peer_transport: Datagrams between routers.
        peer_configuration: Transfers of configuration revisions between routers.
        generator: Source of random choices.
        wall_clock: Returns seconds since the epoch.
        make_nonce: Returns a nonce that no other attempt of any router has.
    """

    engines: EnginePort
    store: KeyValueStorePort
    machine_list: MachineListPort | None
    peer_transport: PeerTransport
    peer_configuration: PeerConfigurationPort
    generator: random.Random
    wall_clock: Callable[[], float] = time_of_day_seconds
    make_nonce: Callable[[], str] = new_nonce


class RouterServices:
    """The services of one router; ``run`` starts them."""

    def __init__(
        self,
        settings: RouterSettings,
        ports: RouterPorts,
        *,
        incarnation: int,
        registry: CollectorRegistry,
    ) -> None:
        """Compose the services. Must be called inside the event loop.

        Args:
            settings: Settings of the router.
            ports: Ports to everything outside the process.
            incarnation: Unix time of the start in milliseconds.
            registry: Registry that takes the metrics.
        """
        self._settings = settings
        self._ports = ports
        self.holder = ConfigurationHolder()
        self.lifecycle = Lifecycle(self.holder, StopSchedule(0.0, settings.drain_seconds))
        self.background = BackgroundTasks(self.lifecycle)
        self.table = RoutingTable(ports.generator)
        self.holder.subscribe(self.table.update_configuration)
        self.membership = MembershipService(
            settings,
            ports.peer_transport,
            incarnation=incarnation,
            generator=ports.generator,
            metrics=MembershipMetrics(registry),
        )
        self.cluster = Cluster(self.membership, self.holder)
        self.limit_leases = LimitLeaseService(self.membership, self.holder)
        self.limits = TenantLimitService(self.holder, self.limit_leases.part)
        self.synchronization = self._make_synchronization()
        self.watch = self._make_engine_watch()
        self.leaving = self._make_leaving_watch()
        self.cluster.attach(self.watch, self.leaving, self.synchronization)
        self.quarantine = Quarantine(settings.name)
        self.crash_entries = CrashEntries(self.quarantine, self.membership)
        self.dispatcher = self._make_dispatcher(RequestMetrics(registry))

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Do the router's background work until cancelled."""
        ports = self._ports
        rollout = Rollout(ports.engines, self.table, self.holder, self.cluster.leads_rollout)
        records, reader = self._make_quarantine_records()
        sweeper = ClaimSweeper(ports.store, ports.engines, ports.generator, ports.wall_clock)
        tasks = (
            functools.partial(self.limit_leases.run, self.limits),
            self.synchronization.run,
            self.watch.run,
            self.leaving.run,
            rollout.run,
            sweeper.run,
            self.quarantine.run,
            records.run,
            reader.run,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self.background.run_started, self.membership.run)
            await self.background.run(tasks, task_status)

    async def wait_drained(self) -> None:
        """Wait for a planned stop, announce it to peers, and return when no request is active."""
        await self.lifecycle.wait_stopping()
        self.membership.leave()
        await self.lifecycle.drain()

    def is_partitioned(self) -> bool:
        """Return whether contact with the store and with a majority is lost for too long.

        The configuration may have become stricter since, without reaching this router.
        """
        limit = self._settings.isolation_seconds
        if limit == 0 or self.synchronization.seconds_since_confirmed() <= limit:
            return False
        return self.membership.is_partitioned(trio.current_time())

    def peer_address(self, name: str) -> str | None:
        """Return the callers' address of another router, or None when it isn't known."""
        return self.cluster.http_address(name)

    def _make_dispatcher(self, metrics: RequestMetrics) -> Dispatcher:
        """Return the dispatcher with its admission and claims."""
        ports = self._ports
        admission = AdmissionService(self.holder, self.table)
        claims = ClaimService(ports.store, ports.engines, self._settings.name, ports.wall_clock)
        metrics.watch_state(
            lambda: admission.queued,
            lambda: self.table.prefix_heads,
            lambda: self.holder.revision,
        )
        return Dispatcher(
            ports.engines,
            self.table,
            self.holder,
            admission,
            claims,
            self.limits,
            ports.make_nonce,
            metrics,
            self.quarantine,
        )

    def _make_quarantine_records(self) -> tuple[QuarantineRecords, QuarantineReader]:
        """Return writer and reader of the stored records of requests that crash engines."""
        store = self._ports.store
        generator = random.Random(hash_name(self._settings.name))  # noqa: S311 - spreads calls only
        records = QuarantineRecords(self.quarantine, store, generator)
        reads = self.cluster.reads_quarantine
        return records, QuarantineReader(records, store, reads, generator)

    def _make_synchronization(self) -> ConfigurationSync:
        """Return the service that synchronizes the configuration."""
        return ConfigurationSync(
            self.holder,
            ConfigurationStore(self._ports.store, self._ports.generator),
            self._ports.peer_configuration,
            self.cluster.reads_store,
            self.cluster.live_peers,
            self._ports.generator,
        )

    def _make_engine_watch(self) -> EngineWatch:
        """Return the service that keeps the engines' facts up to date."""
        return EngineWatch(
            self._ports.engines,
            self.table,
            self.holder,
            self.cluster.watches_engine,
            self.cluster.publish_engine,
            self._settings.engine_event_bytes_per_second,
        )

    def _make_leaving_watch(self) -> LeavingWatch:
        """Return the service that gives no new work to back ends that are shutting down."""
        return LeavingWatch(
            self._ports.machine_list,
            self.table,
            self.cluster.reads_machine_list,
            self.cluster.live_routers,
            self.cluster.publish_leaving,
            self.cluster.leaving_by_peers,
        )
