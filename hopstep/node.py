"""Composition of one node: the only place that joins adapters and services."""

from __future__ import annotations

import random
import secrets
import signal
from collections.abc import Sequence

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
from hopstep.domain.configuration_log import ConfigurationTransfer
from hopstep.domain.engines import EngineFacts
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import ErrorCode, PeerMessageError
from hopstep.logs import emit
from hopstep.ports.peer_configuration import PeerConfigurationPort
from hopstep.services.admission import AdmissionService
from hopstep.services.claims import ClaimService
from hopstep.services.configuration_holder import ConfigurationHolder
from hopstep.services.configuration_store import ConfigurationStore
from hopstep.services.configuration_sync import ConfigurationSync
from hopstep.services.dispatcher import Dispatcher
from hopstep.services.engine_watch import EngineWatch
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.rollout import Rollout
from hopstep.services.tenant_limits import TenantLimitService
from hopstep.settings import RouterSettings

INCARNATION_BYTES = 8


class NoPeers(PeerConfigurationPort):
    """Peers of a node that has none."""

    async def fetch(self, peer: str, after_revision: int) -> ConfigurationTransfer:
        """Refuse: there is no peer."""
        raise PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, "this node has no peers")


def _publish_to_nobody(address: str, facts: EngineFacts) -> None:
    """Drop the facts of an engine: there is no peer."""


def _no_live_peers() -> Sequence[str]:
    """Return no peer."""
    return ()


class Node:
    """One router process."""

    def __init__(self, settings: RouterSettings, client: httpx.AsyncClient) -> None:
        """Join the parts; ``run`` starts them. Must be called inside the event loop.

        Args:
            settings: Settings of the node.
            client: HTTP client for the platform's services.
        """
        self._settings = settings
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._random = random.Random(secrets.randbits(64))  # noqa: S311 - spreads load only
        self._holder = ConfigurationHolder()
        self._lifecycle = Lifecycle(self._holder, settings.drain_seconds)
        self._engines = HttpEngine(idle_timeout_seconds=settings.engines_timeout_seconds)
        self._table = RoutingTable(self._random)
        self._holder.subscribe(self._table.update_configuration)
        self._store = HttpKeyValueStore(settings.store, client)
        self._dispatcher = self._make_dispatcher()
        self._synchronization = self._make_synchronization()
        self._watch = self._make_engine_watch(client)
        self._rollout = Rollout(self._engines, self._table, self._holder, lambda: True)

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow_signals)
            nursery.start_soon(self._synchronization.run)
            nursery.start_soon(self._watch.run)
            nursery.start_soon(self._rollout.run)
            await self._serve(nursery)
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
                incarnation=self._incarnation,
            )

    async def _wait_drained(self) -> None:
        """Return when the listener should close."""
        await self._lifecycle.wait_stopping()
        await self._lifecycle.drain()

    async def _follow_signals(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Turn SIGTERM and SIGINT into a planned stop; further ones change nothing."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            task_status.started()
            async for _ in received:
                self._lifecycle.stop()

    def _make_dispatcher(self) -> Dispatcher:
        """Return the dispatcher with its limits, admission and claims."""
        admission = AdmissionService(self._holder, self._table)
        claims = ClaimService(self._store, self._engines, self._settings.name)
        limits = TenantLimitService(self._settings.name, self._holder)
        return Dispatcher(self._engines, self._table, self._holder, admission, claims, limits)

    def _make_synchronization(self) -> ConfigurationSync:
        """Return the service that keeps the configuration."""
        return ConfigurationSync(
            self._holder,
            ConfigurationStore(self._store, self._random),
            NoPeers(),
            lambda: True,
            _no_live_peers,
            self._random,
        )

    def _make_engine_watch(self, client: httpx.AsyncClient) -> EngineWatch:
        """Return the service that keeps the engines' facts."""
        machine_list = self._settings.machine_list
        return EngineWatch(
            self._engines,
            self._table,
            self._holder,
            lambda address: True,
            _publish_to_nobody,
            HttpMachineList(machine_list, client) if machine_list else None,
        )

    def _make_context(self, nursery: trio.Nursery) -> ApiContext:
        """Return what the HTTP API needs."""
        authenticator = Authenticator()
        self._holder.subscribe(authenticator.follow)
        health = NodeHealth(
            is_isolated=lambda: False,
            seconds_since_confirmed=self._synchronization.seconds_since_confirmed,
            member_count=lambda: 1,
        )
        return ApiContext(
            settings=self._settings,
            incarnation=self._incarnation,
            holder=self._holder,
            runner=self._dispatcher,
            lifecycle=self._lifecycle,
            authenticator=authenticator,
            metrics=ApiMetrics(CollectorRegistry()),
            pacer=Pacer(),
            health=health,
            spawn=nursery.start_soon,
        )


async def run_node(settings: RouterSettings) -> None:
    """Run one node until its planned stop has ended."""
    async with httpx.AsyncClient(trust_env=False) as client:
        await Node(settings, client).run()
