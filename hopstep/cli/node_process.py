"""The command that ``hopstep.cli.node`` runs once its listeners are open."""

from __future__ import annotations

import functools
import os
import random
import secrets
import sys
from collections.abc import Sequence
from pathlib import Path

import trio
from absl import flags

from hopstep.adapters.http1_only import speak_http1_only
from hopstep.adapters.log_output import NonBlockingOutput
from hopstep.adapters.node_datagrams import NodeDatagrams
from hopstep.adapters.tunnel_client import TunnelClient
from hopstep.adapters.tunnel_server import TunnelServer
from hopstep.cli.command import run_command
from hopstep.clock import SuspensionClock
from hopstep.early_listeners import Listeners
from hopstep.exchange_node import run_exchange_node
from hopstep.exchange_services import ExchangePorts, ExchangeServices
from hopstep.exchange_settings import ExchangeSettings
from hopstep.garbage_collection import configure_garbage_collection
from hopstep.library_logs import capture_library_logs
from hopstep.logs import configure_logging
from hopstep.platform.cache_events import PlatformCacheEvents
from hopstep.platform.directory import PlatformDirectory
from hopstep.platform.front import ExchangeFront
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.platform.names import SETTINGS_VARIABLE
from hopstep.platform.store import PlatformStore
from hopstep.services.exchanges.instances.surplus_answers import SurplusAnswers
from hopstep.services.exchanges.instances.unknown_words import UnrecognizedValues
from hopstep.services.exchanges.node_gauges import watch_tunnels
from hopstep.settings_loader import EXIT_BAD_SETTINGS, SettingsError, load_exchange_settings

NODE_KEY_BYTES = 16

flags.DEFINE_string(
    "node_settings", None, "TOML settings file; by default the one that the platform names."
)


async def run_node(settings: ExchangeSettings, path: Path, listeners: Listeners) -> None:
    """Connect the platform's adapters with the node's services, and serve.

    Args:
        settings: Settings of the node.
        path: Settings file.
        listeners: Listeners that are open already.
    """
    surplus_answers = SurplusAnswers()
    platform_client = HttpClient(on_surplus=surplus_answers.note)
    unknown_words = UnrecognizedValues()
    store = PlatformStore(settings.store, platform_client, on_unrecognized=unknown_words.note)
    node_key = secrets.token_bytes(NODE_KEY_BYTES)
    instance_client = HttpClient(
        short_reads=settings.memory_mb > 0,
        tunnels=TunnelClient(settings.name, node_key),
        on_surplus=surplus_answers.note,
    )
    instances = HttpInstances(instance_client, unknown_words.note)
    nodes = await NodeDatagrams.open(settings.peer_address, settings.name, node_key)
    ports = ExchangePorts(
        store=store,
        directory=PlatformDirectory(store, unknown_words.note),
        calls=instances,
        orders=instances,
        nodes=nodes,
        cache_events=PlatformCacheEvents(platform_client, unknown_words.note),
        generator=random.Random(secrets.randbits(64)),  # noqa: S311 - spreads load only
    )
    services = ExchangeServices(settings, ports, node_key)
    unknown_words.count_with(lambda place: services.metrics.unknown_words.labels(place).inc())
    surplus_answers.count_with(lambda place: services.metrics.surplus_answers.labels(place).inc())
    front = ExchangeFront(services.exchanges, lambda: services.lifecycle.stopping)
    tunnel_server = TunnelServer(
        settings.name,
        node_key,
        lambda: services.knowledge.nodes,
        services.tunnel_gate,
        services.lifecycle,
    )
    watch_tunnels(services.metrics, lambda: tunnel_server.open_tunnels)
    try:
        async with trio.open_nursery() as nursery:
            serve_tunnels = functools.partial(tunnel_server.run, settings.peer_address)
            nursery.start_soon(services.background.run, (serve_tunnels,))
            await run_exchange_node(settings, path, services, front, listeners)
            nursery.cancel_scope.cancel()
    finally:
        nodes.close()


def run(listeners: Listeners, arguments: Sequence[str]) -> int:
    """Run one node and return the exit code.

    Args:
        listeners: Listeners that are open already.
        arguments: Command line after flags were taken out, the program's name first.
    """
    if len(arguments) > 1:
        print(f"unexpected argument {arguments[1]!r}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    path = Path(flags.FLAGS.node_settings or os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_exchange_settings(path)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logging(settings.log_level, settings.name, NonBlockingOutput(sys.stdout.fileno()))
    capture_library_logs()
    configure_garbage_collection()
    speak_http1_only()
    trio.run(run_node, settings, path, listeners, clock=SuspensionClock())
    return 0


def main(listeners: Listeners, documentation: str) -> None:
    """Run the command.

    Args:
        listeners: Listeners that are open already.
        documentation: What ``--help`` prints before the flags.
    """
    run_command(functools.partial(run, listeners), documentation, EXIT_BAD_SETTINGS)
