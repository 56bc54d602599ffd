"""Composition of one node that carries routed exchanges, over ports that are given from outside."""

from __future__ import annotations

import random
import signal
from pathlib import Path

import msgspec
import trio
from prometheus_client import CollectorRegistry, generate_latest

from hopstep import log_events
from hopstep.adapters.exchange_server import (
    AsgiApp,
    ListenerSwitch,
    OperatorsListeners,
    serve_exchanges,
)
from hopstep.domain.exchanges.freshness import freshness_limits
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.nodes import MESSAGE_FORM, NodeRecord
from hopstep.domain.exchanges.repeat_budget import RepeatBounds
from hopstep.domain.exchanges.store_contact import ENTRY_LAPSE_SECONDS
from hopstep.domain.exchanges.weights import WeightsBook, WeightsBounds
from hopstep.domain.limits.quota_ledger import QuotaBounds
from hopstep.early_listeners import Listeners
from hopstep.exchange_settings import ExchangeSettings
from hopstep.logs import emit
from hopstep.ports.cache_events import CacheEvents
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.node_exchange import NodeExchange
from hopstep.ports.serving_directory import ServingDirectory
from hopstep.ports.weights_orders import WeightsOrders
from hopstep.services.exchanges.directory.directory_follower import DirectoryFollower
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.registration import Registration
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.instances.connection_reaper import ConnectionReaper
from hopstep.services.exchanges.instances.engine_cache_watch import EngineCacheWatch
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.crash_news import CrashNews
from hopstep.services.exchanges.peers.fleet_hints import FleetHints
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.permit_sharing import PermitSharing
from hopstep.services.exchanges.peers.relaying import Relaying
from hopstep.services.exchanges.peers.urgent_box import UrgentBox
from hopstep.services.exchanges.requests.quotas import Quotas
from hopstep.services.exchanges.requests.service import ExchangeService
from hopstep.services.exchanges.weights.rollout_lease import RolloutLease
from hopstep.services.exchanges.weights.weights_rollout import WeightsRollout
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.quarantine.records import QUARANTINE_PREFIX, QuarantineRecords
from hopstep.settings_loader import SettingsError, load_exchange_settings

MILLISECONDS = 1_000.0
ACCEPT_SECONDS = 2.8
"""A stopping node serves for so long: load balancers notice within two questions."""

CLOSING_SECONDS = 1.0
"""Part of the grace time that is left for closing connections."""


FIRST_TELLING_SECONDS = 0.6
"""A node that has just started hears of instances from other nodes within three messages."""


class ExchangePorts(msgspec.Struct, frozen=True):
    """Everything outside the process.

    Attributes:
        store: Key-value store.
        directory: What operators and instances publish.
        calls: Requests to instances.
        orders: Orders to engines.
        nodes: Datagrams between nodes.
        cache_events: What cache stores and engines keep.
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
    """The services of one node; ``run`` starts them. The process and the tests share this."""

    def __init__(
        self, settings: ExchangeSettings, ports: ExchangePorts, node_key: bytes = b""
    ) -> None:
        """Join the services. Must be called inside the event loop.

        Args:
            settings: Settings of the node.
            ports: Everything outside.
            node_key: Signs the messages of this process to other nodes.
        """
        record = node_record(settings, node_key)
        bounds = settings.bounds
        generator = ports.generator
        self.registry = CollectorRegistry()
        self.weights = WeightsBook(WeightsBounds(bounds.weights_ms / MILLISECONDS))
        self.knowledge = ServingKnowledge(
            settings.name,
            record,
            InstanceTable(),
            self.weights,
            bounds.revocation_ms / MILLISECONDS,
        )
        self.knowledge.table.first_telling.expect(trio.current_time() + FIRST_TELLING_SECONDS)
        limits = freshness_limits(min(bounds.configuration_ms, bounds.drain_ms) / MILLISECONDS)
        self.pauses = PauseWatch(generator)
        self.pauses.on_pause(self.knowledge.table.excuse)
        self.follower = DirectoryFollower(
            self.knowledge, ports.directory, generator, limits, self.pauses
        )
        self.lifecycle = Lifecycle(
            self.knowledge,
            max(0.0, bounds.grace_seconds - CLOSING_SECONDS),
            min(ACCEPT_SECONDS, bounds.grace_seconds / 3),
        )
        urgent = UrgentBox()
        self.quarantine = Quarantine(settings.name)
        self.knowledge.instances.follow_ends(
            lambda life, evidence: self.quarantine.note_ended(str(life), evidence)
        )
        self.quarantine.follow_ends(self._suspend_ended)
        self.quarantine_records = QuarantineRecords(self.quarantine, ports.store, generator)
        self.knowledge.records.follow(
            QUARANTINE_PREFIX,
            lambda record: self.quarantine_records.take(record.key, record.value, record.version),
        )
        self.crash_news = CrashNews(self.quarantine, urgent)
        self.metrics = self._make_metrics()
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
        )
        self.exchanges = ExchangeService(
            self.knowledge,
            self.lifecycle,
            ports.calls,
            self.sharing,
            self.store_watch,
            self.pauses,
            self.quarantine,
            self.quotas,
            self.notices,
            self.limits,
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

    def _suspend_ended(self, life: str) -> None:
        """Send nothing to an instance that has ended, until its entry lapses.

        Without this each other node finds that out by a request of its own.
        """
        view = self.knowledge.table.of_life(life)
        if view is not None:
            view.suspend(trio.current_time() + ENTRY_LAPSE_SECONDS)

    def _make_metrics(self) -> ExchangeMetrics:
        """Return the metrics, with gauges of what the node knows."""
        metrics = ExchangeMetrics(self.registry)
        knowledge = self.knowledge
        knowledge.follow_rejections(
            lambda reason: metrics.rejected_entries.labels(reason.value).inc()
        )
        metrics.watch(
            "hopstep_knowledge_age_seconds",
            "Age of what is known of configuration, keys and instances.",
            lambda: knowledge.keys.age_seconds,
        )
        metrics.watch(
            "hopstep_store_silence_seconds",
            "Time since the store last answered this node or whoever told it.",
            lambda: trio.current_time() - knowledge.contact.heard_at,
        )
        metrics.watch(
            "hopstep_store_era",
            "How often the store had been restored from a copy, by the newest answer; -1 for none.",
            lambda: knowledge.place.era,
        )
        metrics.watch(
            "hopstep_serving_configuration_version",
            "Version of the operators' configuration in force; 0 for none.",
            lambda: knowledge.current.version if knowledge.current is not None else 0,
        )
        metrics.watch(
            "hopstep_exchanges_active",
            "Requests under way.",
            lambda: self.lifecycle.active_requests,
        )
        metrics.watch(
            "hopstep_quarantined_requests",
            "Requests that are refused since several instances have ended under them.",
            lambda: self.quarantine.refused_requests,
        )
        metrics.watch(
            "hopstep_limited_instances",
            "Listed instances that take only so many requests from all nodes together.",
            lambda: len(self.notices.limited()),
        )
        metrics.watch(
            "hopstep_instance_limits_per_second",
            "Requests a second that these instances take, in all.",
            lambda: sum(limited.per_second for limited in self.notices.limited()),
        )
        metrics.watch(
            "hopstep_limited_sends",
            "What this node has sent them within the window that limits are counted over.",
            lambda: sum(each.sends.sent(trio.current_time()) for each in self.notices.limited()),
        )
        metrics.watch(
            "hopstep_send_permits",
            "Permits to send to them that this node holds.",
            lambda: sum(
                each.sends.permits.held(trio.current_time()) for each in self.notices.limited()
            ),
        )
        metrics.watch(
            "hopstep_rollout_fencing_token",
            "Fencing token while this node holds the rollout lease; else 0.",
            lambda: self.lease.fencing_token,
        )
        return metrics

    @property
    def is_ready(self) -> bool:
        """Whether a request sent here would be served."""
        return self.lifecycle.ready and self.knowledge.keys.is_fresh

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Do the background work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pauses.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.relaying.run)
            nursery.start_soon(self.store_watch.run)
            nursery.start_soon(self.engine_watch.run)
            nursery.start_soon(self.quarantine.run)
            nursery.start_soon(self.quarantine_records.run)
            nursery.start_soon(self.crash_news.run)
            nursery.start_soon(self.registration.run)
            nursery.start_soon(self.reaper.run)
            nursery.start_soon(self.lease.run)
            nursery.start_soon(self.rollout.run)
            task_status.started()

    async def wait_drained(self) -> None:
        """Wait for a planned stop, and return when no request is active."""
        await self.lifecycle.wait_stopping()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lease.release)
            await self.lifecycle.drain()


def node_record(settings: ExchangeSettings, node_key: bytes) -> NodeRecord:
    """Return a node's entry for other nodes."""
    capacity = settings.processor_share * settings.processor_cores
    address = settings.peer_public_address or settings.peer_address
    return NodeRecord(address, settings.zone, node_key, capacity, MESSAGE_FORM)


async def run_exchange_node(
    settings: ExchangeSettings,
    settings_path: Path,
    services: ExchangeServices,
    clients: AsgiApp,
    listeners: Listeners,
) -> None:
    """Serve until a planned stop has ended.

    Args:
        settings: Settings of the node.
        settings_path: File that is read again on SIGHUP.
        services: The node's services.
        clients: Application for clients.
        listeners: Those that are open already.
    """
    app = ListenerSwitch(
        clients,
        OperatorsListeners(
            settings.readiness_address,
            settings.metrics_address,
            lambda: services.is_ready,
            lambda: generate_latest(services.registry),
        ),
    )
    addresses = (settings.address, settings.readiness_address, settings.metrics_address)
    async with trio.open_nursery() as nursery:
        await nursery.start(_follow_signals, settings, settings_path, services.lifecycle)
        await nursery.start(services.run)
        async with trio.open_nursery() as serving:
            await serving.start(
                serve_exchanges,
                app,
                tuple(filter(None, addresses)),
                listeners,
                services.wait_drained,
                services.metrics.failed_connections.inc,
            )
            emit(
                log_events.PROCESS_STARTED,
                address=settings.address,
                zone=settings.zone,
                incarnation="",
            )
        nursery.cancel_scope.cancel()
    emit(log_events.PROCESS_STOPPED)


async def _follow_signals(
    settings: ExchangeSettings,
    settings_path: Path,
    lifecycle: Lifecycle,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Turn SIGTERM and SIGINT into a planned stop, SIGHUP into another look at the settings."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                settings = _reload(settings, settings_path)
            else:
                lifecycle.stop()


def _reload(settings: ExchangeSettings, path: Path) -> ExchangeSettings:
    """Read the settings again and say what has changed; it takes effect with the next start."""
    try:
        changed = load_exchange_settings(path)
    except SettingsError as error:
        emit(log_events.SETTINGS_REJECTED, reason=error.message)
        return settings
    fields = [
        field
        for field in settings.__struct_fields__
        if getattr(settings, field) != getattr(changed, field)
    ]
    emit(log_events.SETTINGS_RELOADED, changed=fields)
    return changed
