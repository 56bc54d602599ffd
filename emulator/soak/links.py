"""Nodes and instances of a soak, with the proxies in front of them."""

from __future__ import annotations

from pathlib import Path

import msgspec
import trio

from emulator.exchange_platform.http_instance import HttpInstance
from emulator.soak.answer_proxy import FaultyAnswerProxy
from emulator.soak.proxies import TcpProxy, UdpProxy


class NodeLinks(msgspec.Struct):
    """A node's proxies and addresses.

    Attributes:
        name: Name of the node.
        zone: Its zone.
        clients: Proxy between callers and the node.
        store: Proxy between the node and the store.
        peers: Proxy for datagrams to the node.
        tunnels: Proxy for connections of other nodes to the node, at the same port.
        readiness: Address of the readiness endpoint.
        settings: Settings file.
        suspended: File with the total seconds for which its machine was suspended.
        cut_file: File that says how its links to instances are cut.
        running: Whether the process should be running.
        started_at: Time of the last start.
        suspended_seconds: Number of seconds in that file.
        other_build: Whether it runs the deployment's other build.
    """

    name: str
    zone: str
    clients: TcpProxy
    store: TcpProxy
    peers: UdpProxy
    tunnels: TcpProxy
    readiness: str
    settings: Path
    suspended: Path
    cut_file: Path
    running: bool = False
    started_at: float = 0.0
    suspended_seconds: float = 0.0
    other_build: bool = False


class InstanceLinks(msgspec.Struct):
    """An instance, the proxies in front of it, and the time when it was listed.

    The proxy of its answers is there only in profiles with faults of answers.
    """

    instance: HttpInstance
    proxy: TcpProxy
    scope: trio.CancelScope
    since: float
    answers: FaultyAnswerProxy | None = None
