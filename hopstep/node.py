"""Composition of one node: the only place that joins adapters and services."""

from __future__ import annotations

import random
import secrets
import signal
import time
from pathlib import Path

import httpx
import trio
from prometheus_client import CollectorRegistry

from hopstep import log_events
from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.http_api.app import create_app
from hopstep.adapters.http_api.authentication import Authenticator
from hopstep.adapters.http_api.context import ApiContext, NodeHealth
from hopstep.adapters.http_api.metrics import ApiMetrics
from hopstep.adapters.http_api.pacing import Pacer
from hopstep.adapters.http_server import serve_http
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.machine_list_http import HttpMachineList
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_http import HttpPeerConfiguration, PeerHttpHandler
from hopstep.adapters.peer_keys import FilePeerKeys, PeerKeys
from hopstep.adapters.udp_peer_transport import UdpPeerTransport
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.logs import emit
from hopstep.services.admission import AdmissionService
from hopstep.services.claim_sweeper import ClaimSweeper
from hopstep.services.claims import ClaimService
from hopstep.services.cluster import Cluster
from hopstep.services.configuration_holder import ConfigurationHolder
from hopstep.services.configuration_store import ConfigurationStore
from hopstep.services.configuration_sync import ConfigurationSync
from hopstep.services.dispatcher import Dispatcher
from hopstep.services.engine_watch import EngineWatch
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.membership import MembershipService
from hopstep.services.membership_metrics import MembershipMetrics
from hopstep.services.rollout import Rollout
from hopstep.services.tenant_limits import TenantLimitService
from hopstep.settings import PeerSettings, RouterSettings

MILLISECONDS = 1_000


class Node:
    """One router process."""

    def __init__(
        self,
        settings: RouterSettings,
        client: httpx.AsyncClient,
        codec: PeerCodec,
        transport: UdpPeerTransport,
    ) -> None:
        """Join the parts; ``run`` starts them. Must be called inside the event loop.

        Args:
            settings: Settings of the node.
            client: HTTP client for the platform's services and for peers.
            codec: Signs and checks peers' messages.
            transport: Opened socket for peers' messages.
        """
        self._settings = settings
        self._client = client
        self._codec = codec
        self._registry = CollectorRegistry()
        self._random = random.Random(secrets.randbits(64))  # noqa: S311 - spreads load only
        self._holder = ConfigurationHolder()
        self._lifecycle = Lifecycle(self._holder, settings.drain_seconds)
        self._engines = HttpEngine(idle_timeout_seconds=settings.engines_timeout_seconds)
        self._table = RoutingTable(self._random)
        self._holder.subscribe(self._table.update_configuration)
        self._store = HttpKeyValueStore(settings.store, client)
        self._membership = MembershipService(
            settings,
            transport,
            incarnation=codec.incarnation,
            generator=self._random,
            metrics=MembershipMetrics(self._registry),
        )
        self._cluster = Cluster(self._membership, self._holder)
        self._limits = self._make_limits()
        self._synchronization = self._make_synchronization()
        self._watch = self._make_engine_watch()
        self._cluster.attach(self._watch, self._synchronization, self._limits)
        self._dispatcher = self._make_dispatcher()

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        rollout = Rollout(self._engines, self._table, self._holder, self._cluster.leads_rollout)
        sweeper = ClaimSweeper(self._store, self._engines, self._random)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow_signals)
            await nursery.start(self._membership.run)
            nursery.start_soon(self._cluster.run)
            nursery.start_soon(self._synchronization.run)
            nursery.start_soon(self._watch.run)
            nursery.start_soon(rollout.run)
            nursery.start_soon(sweeper.run)
            await self._serve(nursery)
            await self._membership.stop()
            nursery.cancel_scope.cancel()
        await self._engines.aclose()
        emit(log_events.PROCESS_STOPPED)

    async def _serve(self, nursery: trio.Nursery) -> None:
        """Serve callers until drained."""
        app = create_app(self._make_context(nursery))
        async with trio.open_nursery() as serving:
            bound = await serving.start(
                serve_http, app, self._settings.address, None, self._wait_drained
            )
            emit(
                log_events.PROCESS_STARTED,
                address=bound[0],
                zone=self._settings.zone,
                incarnation=str(self._codec.incarnation),
            )

    async def _wait_drained(self) -> None:
        """Return when the listener should close."""
        await self._lifecycle.wait_stopping()
        self._membership.leave()
        await self._lifecycle.drain()

    async def _follow_signals(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Turn SIGTERM and SIGINT into a planned stop; further ones change nothing."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            task_status.started()
            async for _ in received:
                self._lifecycle.stop()

    def _make_limits(self) -> TenantLimitService:
        """Return the service that holds tenants to their limits."""
        return TenantLimitService(
            self._settings.name,
            self._holder,
            self._cluster.live_routers,
            self._cluster.usage_by_router,
        )

    def _make_dispatcher(self) -> Dispatcher:
        """Return the dispatcher with its admission and claims."""
        admission = AdmissionService(self._holder, self._table)
        claims = ClaimService(self._store, self._engines, self._settings.name)
        return Dispatcher(self._engines, self._table, self._holder, admission, claims, self._limits)

    def _make_synchronization(self) -> ConfigurationSync:
        """Return the service that keeps the configuration."""
        return ConfigurationSync(
            self._holder,
            ConfigurationStore(self._store, self._random),
            HttpPeerConfiguration(self._client, self._codec, self._peer_url),
            self._cluster.reads_store,
            self._cluster.live_peers,
            self._random,
        )

    def _make_engine_watch(self) -> EngineWatch:
        """Return the service that keeps the engines' facts."""
        machine_list = self._settings.machine_list
        return EngineWatch(
            self._engines,
            self._table,
            self._holder,
            self._cluster.watches_engine,
            self._cluster.publish_engine,
            HttpMachineList(machine_list, self._client) if machine_list else None,
        )

    def _make_context(self, nursery: trio.Nursery) -> ApiContext:
        """Return what the HTTP API needs."""
        authenticator = Authenticator()
        self._holder.subscribe(authenticator.follow)
        health = NodeHealth(
            is_isolated=self._is_isolated,
            seconds_since_confirmed=self._synchronization.seconds_since_confirmed,
            member_count=lambda: len(self._cluster.live_routers()),
        )
        return ApiContext(
            settings=self._settings,
            incarnation=str(self._codec.incarnation),
            holder=self._holder,
            runner=self._dispatcher,
            lifecycle=self._lifecycle,
            authenticator=authenticator,
            metrics=ApiMetrics(self._registry),
            pacer=Pacer(),
            health=health,
            spawn=nursery.start_soon,
            handle_peer=PeerHttpHandler(self._codec, self._synchronization.transfer).handle,
        )

    def _is_isolated(self) -> bool:
        """Return whether neither the store nor a majority was heard for too long.

        Then the configuration may have tightened without this node's knowledge.
        """
        limit = self._settings.isolation_seconds
        if limit == 0 or self._synchronization.seconds_since_confirmed() <= limit:
            return False
        return self._membership.is_isolated(trio.current_time())

    def _peer_url(self, name: str) -> str | None:
        """Return the base URL of another router."""
        address = self._cluster.http_address(name)
        return f"http://{address}" if address else None


async def run_node(settings: RouterSettings) -> None:
    """Run one node until its planned stop has ended.

    Raises:
        PortError: When the peers' socket can't be bound.
        PeerMessageError: When the cluster's keys can't be read.
    """
    incarnation = int(time.time() * MILLISECONDS)
    codec = PeerCodec(
        settings.peers.cluster, settings.name, incarnation, _load_keys(settings.peers)
    )
    transport = await UdpPeerTransport.open(settings.peers.address, codec)
    try:
        async with httpx.AsyncClient(trust_env=False) as client:
            await Node(settings, client, codec, transport).run()
    finally:
        transport.close()


def _load_keys(peers: PeerSettings) -> PeerKeys:
    """Return the cluster's keys."""
    if peers.key_file:
        return FilePeerKeys(Path(peers.key_file))
    return PeerKeys.derived(peers.cluster)
