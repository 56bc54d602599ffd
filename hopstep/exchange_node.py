"""Runs one node that forwards routed exchanges: listeners, signals, planned stop."""

from __future__ import annotations

import functools
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import trio
from prometheus_client import generate_latest

from hopstep.adapters.exchange_server import (
    AsgiApp,
    ListenerSwitch,
    OperatorListeners,
    serve_exchanges,
)
from hopstep.early_listeners import Listeners
from hopstep.exchange_services import ExchangeServices
from hopstep.exchange_settings import ExchangeSettings
from hopstep.log_events.process import (
    PROCESS_STARTED,
    PROCESS_STOPPED,
    SETTINGS_REJECTED,
    SETTINGS_RELOADED,
)
from hopstep.logs import emit
from hopstep.services.lifecycle import Lifecycle
from hopstep.settings_loader import SettingsError, load_exchange_settings

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that a node handles itself."""


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
        listeners: Listeners that are open already.
    """
    app = ListenerSwitch(
        clients,
        OperatorListeners(
            settings.readiness_address,
            settings.metrics_address,
            lambda: services.is_ready,
            lambda: generate_latest(services.registry),
        ),
    )
    with trio.open_signal_receiver(*SIGNALS) as received:
        follow = functools.partial(
            _follow_signals, received, settings, settings_path, services.lifecycle
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(services.background.run, (follow,))
            await nursery.start(services.run)
            await _serve(settings, services, app, listeners)
            nursery.cancel_scope.cancel()
    emit(PROCESS_STOPPED)


async def _serve(
    settings: ExchangeSettings,
    services: ExchangeServices,
    app: ListenerSwitch,
    listeners: Listeners,
) -> None:
    """Serve until a planned stop has drained the node."""
    addresses = (settings.address, settings.readiness_address, settings.metrics_address)
    async with trio.open_nursery() as serving:
        await serving.start(
            serve_exchanges,
            app,
            tuple(filter(None, addresses)),
            listeners,
            services.wait_drained,
            services.metrics.failed_connections.inc,
            services.lifecycle.active,
            services.lifecycle.schedule.close_seconds,
            services.exchanges.max_head_bytes,
        )
        emit(
            PROCESS_STARTED,
            address=settings.address,
            zone=settings.zone,
            incarnation="",
        )


async def _follow_signals(
    received: AsyncIterator[int],
    settings: ExchangeSettings,
    settings_path: Path,
    lifecycle: Lifecycle,
) -> None:
    """Start a planned stop on SIGTERM and SIGINT, read the settings again on SIGHUP."""
    async for number in received:
        if number == signal.SIGHUP:
            settings = _reload(settings, settings_path)
        else:
            lifecycle.stop()


def _reload(settings: ExchangeSettings, path: Path) -> ExchangeSettings:
    """Read the settings again and log changed fields, which take effect at the next start."""
    try:
        changed = load_exchange_settings(path)
    except SettingsError as error:
        emit(SETTINGS_REJECTED, reason=error.message)
        return settings
    fields = [
        field
        for field in settings.__struct_fields__
        if getattr(settings, field) != getattr(changed, field)
    ]
    emit(SETTINGS_RELOADED, changed=fields)
    return changed
