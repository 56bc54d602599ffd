"""Composition of one router: connects adapters and services."""

from __future__ import annotations

import functools
import random
import secrets
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import httpx
import trio
from prometheus_client import CollectorRegistry

from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.http_api.app import create_app
from hopstep.adapters.http_api.composition import make_api_context
from hopstep.adapters.http_api.context import ApiContext
from hopstep.adapters.http_api.server import serve_api
from hopstep.adapters.kept_connections import make_client
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.machine_list_http import HttpMachineList
from hopstep.adapters.pacing import Pacer
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_http import HttpPeerConfiguration, PeerHttpHandler
from hopstep.adapters.peer_keys import FilePeerKeys, PeerKeys
from hopstep.adapters.tls import TlsContexts, load_tls
from hopstep.adapters.udp_peer_transport import UdpPeerTransport
from hopstep.adapters.watched_files import WatchedFiles, follow_files
from hopstep.clock import time_of_day_seconds
from hopstep.log_events.process import PROCESS_STARTED, PROCESS_STOPPED
from hopstep.logs import emit
from hopstep.services.router import RouterPorts, RouterServices
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
        tls: TlsContexts,
    ) -> None:
        """Connect the parts; ``run`` starts them. Must be called inside the event loop.

        Args:
            settings: Settings of the node.
            client: HTTP client for the platform's services and for peers.
            codec: Signs and verifies messages between peers.
            transport: Open socket for messages between peers.
            tls: TLS contexts of the listener and of outgoing connections.
        """
        self._settings = settings
        self._client = client
        self._codec = codec
        self._tls = tls
        self._registry = CollectorRegistry()
        self._pacer = Pacer()
        self._engines = HttpEngine(
            idle_timeout_seconds=settings.engines_timeout_seconds,
            ssl_context=tls.engines,
            pause=self._pacer.interval,
        )
        self._services = RouterServices(
            settings,
            self._make_ports(transport),
            incarnation=codec.incarnation,
            registry=self._registry,
        )

    async def run(self, watched: tuple[WatchedFiles[Any], ...]) -> None:
        """Serve until a planned stop has ended.

        Args:
            watched: Files that are read again when they change.
        """
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            tasks = (
                functools.partial(self._follow_signals, received),
                functools.partial(follow_files, watched),
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(self._services.background.run, tasks)
                await nursery.start(self._services.run)
                await self._serve(nursery)
                await self._services.membership.stop()
                nursery.cancel_scope.cancel()
        await self._engines.aclose()
        emit(PROCESS_STOPPED)

    async def _serve(self, nursery: trio.Nursery) -> None:
        """Serve callers until a planned stop has drained the node."""
        app = create_app(self._make_context(nursery))
        async with trio.open_nursery() as serving:
            bound = await serving.start(
                serve_api,
                app,
                self._settings.address,
                self._tls.listener,
                self._services.wait_drained,
            )
            emit(
                PROCESS_STARTED,
                address=bound[0],
                zone=self._settings.zone,
                incarnation=str(self._codec.incarnation),
            )

    async def _follow_signals(self, received: AsyncIterator[int]) -> None:
        """Start a planned stop on the first signal; further ones have no effect."""
        async for _ in received:
            self._services.lifecycle.stop()

    def _make_ports(self, transport: UdpPeerTransport) -> RouterPorts:
        """Return the adapters to everything outside the process."""
        machine_list = self._settings.machine_list
        return RouterPorts(
            engines=self._engines,
            store=HttpKeyValueStore(self._settings.store, self._client),
            machine_list=HttpMachineList(machine_list, self._client) if machine_list else None,
            peer_transport=transport,
            peer_configuration=HttpPeerConfiguration(self._client, self._codec, self._peer_url),
            generator=random.Random(secrets.randbits(64)),  # noqa: S311 - spreads load only
        )

    def _make_context(self, nursery: trio.Nursery) -> ApiContext:
        """Return the context of the HTTP API."""
        transfer = self._services.synchronization.transfer
        return make_api_context(
            self._settings,
            self._services,
            incarnation=self._codec.incarnation,
            registry=self._registry,
            pacer=self._pacer,
            spawn=nursery.start_soon,
            handle_peer=PeerHttpHandler(self._codec, transfer).handle,
        )

    def _peer_url(self, name: str) -> str | None:
        """Return the base URL of another router."""
        address = self._services.peer_address(name)
        return f"{self._tls.peer_scheme}://{address}" if address else None


async def run_node(settings: RouterSettings) -> None:
    """Run one node until its planned stop has ended.

    Raises:
        PortError: When the peers' socket can't be bound, or a file that the settings name
            can't be used; ``field`` names the setting.
    """
    incarnation = int(time_of_day_seconds() * MILLISECONDS)
    tls = load_tls(settings.tls)
    keys, watched_keys = _load_keys(settings.peers)
    watched: tuple[WatchedFiles[Any], ...] = (*tls.watched, *watched_keys)
    codec = PeerCodec(settings.peers.cluster, settings.name, incarnation, keys)
    transport = await UdpPeerTransport.open(settings.peers.address, codec)
    try:
        async with make_client(tls.peers or True) as client:
            await Node(settings, client, codec, transport, tls).run(watched)
    finally:
        transport.close()


def _load_keys(peers: PeerSettings) -> tuple[PeerKeys, tuple[WatchedFiles[dict[str, bytes]], ...]]:
    """Return the cluster's keys, and their file to watch if there is one."""
    if not peers.key_file:
        return PeerKeys.derived(peers.cluster), ()
    keys = FilePeerKeys(Path(peers.key_file))
    return keys, (keys.watched,)
