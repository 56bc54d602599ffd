"""The services of one node that forwards routed exchanges, built on ports passed by the caller."""

from __future__ import annotations

import random

import msgspec
import trio
from prometheus_client import CollectorRegistry

from hopstep.domain.byte_budget import byte_limit
from hopstep.domain.exchanges.freshness import freshness_limits
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.nodes import MESSAGE_FORMAT_VERSION, NodeRecord
from hopstep.domain.exchanges.repeat_budget import RepeatBounds
from hopstep.domain.exchanges.store_contact import ENTRY_LAPSE_SECONDS
from hopstep.domain.exchanges.weights import NamedWeightsTable, WeightsBounds
from hopstep.domain.limits.quota_ledger import QuotaBounds
from hopstep.domain.stop_schedule import StopSchedule
from hopstep.exchange_settings import ExchangeSettings
from hopstep.ports.cache_events import CacheEvents
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.node_exchange import NodeExchange
from hopstep.ports.serving_directory import ServingDirectory
from hopstep.ports.weights_orders import WeightsOrders
from hopstep.services.background_tasks import BackgroundTask, BackgroundTasks
from hopstep.services.exchanges.directory.current_view import CurrentView
from hopstep.services.exchanges.directory.directory_follower import DirectoryFollower
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.registration import Registration
from hopstep.services.exchanges.directory.sending_view import SendingView
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.instance_gauges import watch_capacity
from hopstep.services.exchanges.instances.connection_reaper import ConnectionReaper
from hopstep.services.exchanges.instances.engine_cache_watch import EngineCacheWatch
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.node_gauges import (
    watch_held_bytes,
    watch_knowledge,
    watch_limits,
    watch_links,
    watch_loop,
    watch_rollout,
    watch_work,
)
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.crash_reports import CrashReports
from hopstep.services.exchanges.peers.fleet_hints import FleetHints
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.permit_sharing import PermitSharing
from hopstep.services.exchanges.peers.relaying import Relaying
from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue
from hopstep.services.exchanges.reachability.instance_paths import InstancePaths
from hopstep.services.exchanges.reachability.suspicion_checks import SuspicionChecks
from hopstep.services.exchanges.reachability.tunnel_gate import InstanceTunnelGate
from hopstep.services.exchanges.requests.intake.held_bytes import HeldBytes
from hopstep.services.exchanges.requests.intake.quotas import Quotas
from hopstep.services.exchanges.requests.service import ExchangeService
from hopstep.services.exchanges.streams.stream_gauges import watch_streams
from hopstep.services.exchanges.streams.stream_origins import StreamOrigins
from hopstep.services.exchanges.streams.version_recording import VersionRecording
from hopstep.services.exchanges.weights.rollout_lease import RolloutLease
from hopstep.services.exchanges.weights.weights_rollout import WeightsRollout
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.quarantine.records import QuarantineRecords
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX

MILLISECONDS = 1_000.0
FIRST_REPORT_SECONDS = 0.6
"""Seconds in which a node that has just started receives other nodes' reports of instances.

Three messages take this long.
"""


class ExchangePorts(msgspec.Struct, frozen=True):
    """Ports to everything outside the process.

    Attributes:
        store: Key-value store.
        directory: Configuration and entries that operators and instances publish.
        calls: Requests to instances.
        orders: Orders to engines.
        nodes: Datagrams between nodes.
        cache_events: Cache contents that cache stores and engines report.
        generator: Source of random choices.
    """

    store: KeyValueStorePort
    directory: ServingDirectory
    calls: InstanceCalls
    orders: WeightsOrders
    nodes: NodeExchange
    cache_events: CacheEvents
    generator: random.Random


class ExchangeServices:
    """The services of one node; ``run`` starts them. Used by the process and by tests."""

    def __init__(
        self, settings: ExchangeSettings, ports: ExchangePorts, node_key: bytes = b""
    ) -> None:
        """Create and connect the services. Must be called inside the event loop.

        Args:
            settings: Settings of the node.
            ports: Ports to everything outside the process.
            node_key: Key that signs this process's messages to other nodes.
        """
        record = node_record(settings, node_key)
        bounds = settings.bounds
        generator = ports.generator
        self.registry = CollectorRegistry()
        self.weights = NamedWeightsTable(WeightsBounds(bounds.weights_ms / MILLISECONDS))
        self.knowledge = ServingKnowledge(
            settings.name,
            record,
            InstanceTable(),
            self.weights,
            bounds.revocation_ms / MILLISECONDS,
        )
        self.knowledge.table.first_peer_report.expect(trio.current_time() + FIRST_REPORT_SECONDS)
        limits = freshness_limits(min(bounds.configuration_ms, bounds.drain_ms) / MILLISECONDS)
        self.pauses = PauseWatch(generator)
        self.pauses.on_pause(self.knowledge.table.discount_pause)
        self.follower = DirectoryFollower(
            self.knowledge, ports.directory, generator, limits, self.pauses
        )
        self.lifecycle = Lifecycle(self.knowledge, StopSchedule.within(bounds.grace_seconds))
        self.background = BackgroundTasks(self.lifecycle)
        urgent = UrgentQueue()
        self.quarantine = Quarantine(settings.name)
        self.knowledge.instances.subscribe_terminations(
            lambda incarnation, evidence: self.quarantine.note_terminated(
                str(incarnation), evidence
            )
        )
        self.quarantine.subscribe_terminations(self._suspend_terminated)
        self.quarantine_records = QuarantineRecords(
            self.quarantine, ports.store, generator, self.knowledge.registered_nodes
        )
        self.knowledge.records.subscribe_records(
            QUARANTINE_PREFIX,
            lambda record: self.quarantine_records.apply_stored(
                record.key, record.value, record.version
            ),
        )
        self.crash_reports = CrashReports(self.quarantine, urgent)
        self.metrics = ExchangeMetrics(self.registry)
        self.quarantine_records.subscribe_rejections(
            lambda reason: self.metrics.rejected_entries.labels(reason.value).inc()
        )
        self.held_bytes = HeldBytes(byte_limit(settings.memory_mb), self.metrics)
        self.notices = InstanceNotices(
            self.knowledge.table,
            lambda kind, source: self.metrics.notices.labels(kind, source).inc(),
        )
        self.limits = InstanceLimits(self.knowledge, self.notices, generator)
        self.permits = PermitSharing(self.knowledge, self.notices, self.limits)
        self.sharing = LoadSharing(self.knowledge, urgent, self.notices)
        self.store_watch = CacheStoreWatch(self.knowledge, ports.cache_events, self.pauses)
        self.engine_watch = EngineCacheWatch(
            self.knowledge, ports.cache_events, self.sharing, self.pauses, self.notices
        )
        self.quotas = Quotas(
            self.knowledge,
            QuotaBounds(bounds.quota_window_seconds, bounds.quota_overshoot, bounds.quota_slack),
            generator,
        )
        self.recording = VersionRecording(self.knowledge, ports.store)
        self.origins = StreamOrigins(
            self.knowledge,
            ports.nodes,
            ports.store,
            CurrentView(self.knowledge, ports.directory, self.pauses),
            self.recording,
        )
        self.sending_view = SendingView(
            self.knowledge,
            CurrentView(self.knowledge, ports.directory, self.pauses),
            self.follower,
            self.pauses,
            limits.sending_age,
        )
        self.relaying = Relaying(
            self.knowledge,
            self.sharing,
            self.store_watch,
            self.follower,
            urgent,
            self.quarantine,
            FleetHints(self.sharing, self.quotas, self.permits),
            ports.nodes,
            self.pauses,
            limits,
            self.origins,
        )
        self.paths = InstancePaths(ports.calls, self.knowledge, settings.zone, self.pauses)
        self.tunnel_gate = InstanceTunnelGate(
            ports.calls,
            self.knowledge,
            self.paths.links,
            self.lifecycle,
            self.sending_view,
            bounds.drain_ms / MILLISECONDS,
        )
        self.suspicion_checks = SuspicionChecks(self.paths, self.sharing.suspicions)
        self.exchanges = ExchangeService(
            self.knowledge,
            self.sending_view,
            self.lifecycle,
            self.paths,
            self.suspicion_checks,
            self.sharing,
            self.store_watch,
            self.pauses,
            self.quarantine,
            self.quotas,
            self.notices,
            self.limits,
            self.origins,
            self.held_bytes,
            RepeatBounds(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_seconds),
            self.metrics,
            generator,
            settings.zone,
            bounds.other_zone_ms / MILLISECONDS,
            bounds.drain_ms / MILLISECONDS,
        )
        self.lease = RolloutLease(
            settings.name,
            ports.store,
            self.knowledge,
            generator,
            bounds.lease_ms / MILLISECONDS,
            lambda: not self.paths.links.is_partitioned,
        )
        self.rollout = WeightsRollout(
            settings.name,
            self.knowledge,
            self.lease,
            ports.orders,
            self.sharing,
            self.notices,
            self.limits,
        )
        self.reaper = ConnectionReaper(ports.calls, self.knowledge.table, self.pauses)
        self.registration = Registration(record, ports.store, self.knowledge, generator)
        self._register_gauges()

    def _suspend_terminated(self, incarnation: str) -> None:
        """Send nothing to a terminated instance until its entry expires.

        Otherwise each node would find out by a failed request of its own.
        """
        view = self.knowledge.table.of_incarnation(incarnation)
        if view is not None:
            view.suspend(trio.current_time() + ENTRY_LAPSE_SECONDS)

    def _register_gauges(self) -> None:
        """Publish the node's state as metrics."""
        watch_knowledge(self.metrics, self.knowledge)
        watch_work(self.metrics, self.lifecycle, self.quarantine, self.lease)
        watch_limits(self.metrics, self.notices)
        watch_links(self.metrics, self.paths.links)
        watch_loop(self.metrics, self.pauses)
        watch_capacity(self.metrics, self.registry, self.knowledge.table)
        watch_rollout(self.metrics, self.rollout)
        watch_held_bytes(self.metrics, self.held_bytes.budget)
        versions = self.knowledge.instances.versions
        watch_streams(self.metrics, self.registry, versions, self.origins)

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests."""
        is_current = self.knowledge.keys.is_fresh and not self.sending_view.is_too_late
        return self.lifecycle.ready and is_current

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Do the background work until cancelled."""
        tasks: list[BackgroundTask] = [
            self.pauses.run,
            self.lifecycle.cancel_remaining,
            self.follower.run,
            self.relaying.run,
            self.recording.run,
            self.origins.run,
            self.sending_view.run,
            self.exchanges.queue.run,
            self.store_watch.run,
            self.engine_watch.run,
            self.quarantine.run,
            self.quarantine_records.run,
            self.crash_reports.run,
            self.registration.run,
            self.reaper.run,
            self.paths.run,
            self.suspicion_checks.run,
            self.lease.run,
            self.rollout.run,
        ]
        if self.held_bytes.budget.limit_bytes:
            tasks.append(self.held_bytes.run)
        await self.background.run(tuple(tasks), task_status)

    async def wait_drained(self) -> None:
        """Wait for a planned stop, then until no request is active."""
        await self.lifecycle.wait_stopping()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.background.run_to_end, self.lease.release)
            await self.lifecycle.drain()


def node_record(settings: ExchangeSettings, node_key: bytes) -> NodeRecord:
    """Return the entry that announces a node to other nodes."""
    capacity = settings.processor_share * settings.processor_cores
    address = settings.peer_public_address or settings.peer_address
    return NodeRecord(address, settings.zone, node_key, capacity, MESSAGE_FORMAT_VERSION)
