"""The parts of a soak: store, instances and nodes, each behind proxies, and what they tell."""

from __future__ import annotations

import json
import random
import signal
from pathlib import Path

import hypercorn
import hypercorn.trio
import msgspec
import trio

from emulator.exchange_platform.http_instance import HttpInstance, InstanceTraits, RunHeaders
from emulator.exchange_platform.store import create_store_app
from emulator.fleet.processes import ProcessGroup, free_addresses
from emulator.platform.shared_store import SharedStore
from emulator.soak.history import Arrival, Disturbance, History, Run, TakenOrder
from emulator.soak.proxies import TcpProxy, UdpProxy
from hopstep.adapters import key_value_store_wire as wire
from hopstep.ports.key_value_store import ABSENT, StoredValue

ZONES = ("z1", "z2", "z3")
PLAIN, ENGINES, MODEL = "plain", "engines", "m"
HOST = "soak.example"
CONFIGURATION_KEY = "op/config"
GRACE_SECONDS = 4.0
NODE_MODULE = "hopstep.cli.node"


class Recorder:
    """Writes what instances do into the history."""

    def __init__(self, history: History, store: DirectStore) -> None:
        """Record.

        Args:
            history: Where to.
            store: Where instances list themselves.
        """
        self._history = history
        self._store = store
        self.addresses: dict[str, str] = {}

    def arrived(self, instance: HttpInstance, request_id: str) -> None:
        """Record an arrival."""
        arrival = Arrival(request_id, instance.traits.service, trio.current_time())
        self._history.arrivals.append(arrival)

    def began(self, instance: HttpInstance, headers: RunHeaders, stamp: str) -> None:
        """Record a run."""
        self._history.runs.append(
            Run(
                request_id=headers.request_id,
                instance_id=instance.traits.instance_id,
                service=instance.traits.service,
                at=trio.current_time(),
                tenant=headers.tenant,
                version=instance.version,
                salt=headers.salt,
                key_shown=headers.key_shown,
                stamp=stamp,
            )
        )

    def ended(self, instance: HttpInstance, stamp: str) -> None:
        """Record the end of a run."""
        run = next((x for x in reversed(self._history.runs) if x.stamp == stamp), None)
        if run is not None:
            run.ended_at = trio.current_time()

    def ordered(self, instance: HttpInstance, holder: str, token: int) -> None:
        """Record an order."""
        order = TakenOrder(instance.traits.instance_id, holder, token, trio.current_time())
        self._history.orders.append(order)

    def changed(self, instance: HttpInstance) -> None:
        """Write an instance's entry."""
        instance_id = instance.traits.instance_id
        address = self.addresses.get(instance_id)
        if address is not None:
            self._store.put(f"servers/{instance_id}", instance.entry(address))


class DirectStore:
    """Writes of the operator and of instances, which the store's faults don't touch."""

    def __init__(self, shared: SharedStore) -> None:
        """Use a store.

        Args:
            shared: The store.
        """
        self._shared = shared

    def put(self, key: str, document: object) -> None:
        """Write a document."""
        stored = self._shared.model.apply(wire.Get(key), trio.current_time())
        version = stored.version if isinstance(stored, StoredValue) else ABSENT
        value = json.dumps(document).encode()
        self._shared.write_directly(wire.CompareAndSwap(key, version, value))

    def remove(self, key: str) -> None:
        """Remove a key that may exist."""
        stored = self._shared.model.apply(wire.Get(key), trio.current_time())
        if isinstance(stored, StoredValue):
            self._shared.write_directly(wire.Delete(key, stored.version))


class NodeLinks(msgspec.Struct):
    """A node's proxies and addresses.

    Attributes:
        name: Name of the node.
        zone: Its zone.
        clients: Between callers and the node.
        store: Between the node and the store.
        peers: Before the node's datagrams.
        readiness: Address that is asked whether the node is ready.
        settings: Settings file.
        running: Whether the process should run.
        started_at: When it was started last.
    """

    name: str
    zone: str
    clients: TcpProxy
    store: TcpProxy
    peers: UdpProxy
    readiness: str
    settings: Path
    running: bool = False
    started_at: float = 0.0


class InstanceLinks(msgspec.Struct):
    """An instance and the proxy before it."""

    instance: HttpInstance
    proxy: TcpProxy
    scope: trio.CancelScope


class Deployment:
    """Starts the parts, and holds them for callers, operator and faults."""

    def __init__(self, directory: Path, generator: random.Random) -> None:
        """Start nothing yet.

        Args:
            directory: Settings and logs of the nodes.
            generator: Draws ids.
        """
        self.history = History()
        self.shared = SharedStore()
        self.store = DirectStore(self.shared)
        self.recorder = Recorder(self.history, self.store)
        self.nodes: list[NodeLinks] = []
        self.instances: list[InstanceLinks] = []
        self._directory = directory
        self._generator = generator
        self._started = 0

    async def start(self, nursery: trio.Nursery, processes: ProcessGroup, nodes: int) -> None:
        """Start store, instances and nodes.

        Args:
            nursery: Runs the parts of this process.
            processes: Takes the nodes.
            nodes: How many.
        """
        self._processes = processes
        self._nursery = nursery
        store_address = free_addresses(1)[0]
        await nursery.start(_serve, create_store_app(self.shared), store_address)
        for zone in ZONES:
            await self.add_instance(PLAIN, zone)
            await self.add_instance(ENGINES, zone)
            await self.add_instance(ENGINES, zone)
        for number in range(nodes):
            await self._add_node(f"n{number}", ZONES[number % len(ZONES)], store_address)

    async def add_instance(self, service: str, zone: str, version: int = 1) -> InstanceLinks:
        """Start an instance behind a proxy, and list it."""
        self._started += 1
        model = MODEL if service == ENGINES else ""
        traits = InstanceTraits(f"i{self._started}", service, zone, model=model)
        instance = HttpInstance(traits, self.recorder, self._generator)
        instance.use_nursery(self._nursery)
        if model:
            instance.version = version
        address = free_addresses(1)[0]
        scope = await self._nursery.start(_serve_in_scope, instance.app, address)
        proxy = TcpProxy(address)
        listed = await self._nursery.start(proxy.run)
        self.recorder.addresses[traits.instance_id] = listed
        links = InstanceLinks(instance, proxy, scope)
        self.instances.append(links)
        self.recorder.changed(instance)
        return links

    def end_instance(self, links: InstanceLinks, *, unlisted: bool) -> None:
        """End an instance at once."""
        instance_id = links.instance.traits.instance_id
        links.scope.cancel()
        self.instances.remove(links)
        self.recorder.addresses.pop(instance_id)
        if unlisted:
            self.store.remove(f"servers/{instance_id}")

    def start_node(self, node: NodeLinks) -> None:
        """Start a node's process."""
        self._processes.start(node.name, NODE_MODULE, [f"--node_settings={node.settings}"])
        node.running = True
        node.started_at = trio.current_time()

    def signal_node(self, node: NodeLinks, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self._processes.signal(node.name, number)

    def node_exit_code(self, node: NodeLinks) -> int | None:
        """Return the exit code of a node's process; None while it runs."""
        return self._processes.process(node.name).poll()

    async def wait_node_end(self, node: NodeLinks) -> None:
        """Wait until a node's process has ended."""
        await trio.to_thread.run_sync(
            self._processes.process(node.name).wait, abandon_on_cancel=True
        )

    def disturb(self, what: str, subject: str, *, planned: bool = False) -> Disturbance:
        """Record that a fault begins."""
        disturbance = Disturbance(what, subject, trio.current_time(), planned=planned)
        self.history.disturbances.append(disturbance)
        return disturbance

    async def _add_node(self, name: str, zone: str, store_address: str) -> None:
        """Set a node up behind its proxies, and start it."""
        address, readiness, peer, metrics = free_addresses(4)
        store = TcpProxy(store_address)
        clients = TcpProxy(address)
        peers = UdpProxy(peer, self._generator)
        store_proxy = await self._nursery.start(store.run)
        await self._nursery.start(clients.run)
        public = await self._nursery.start(peers.run)
        path = self._directory / f"{name}.toml"
        values = {
            "name": name,
            "zone": zone,
            "address": address,
            "readiness_address": readiness,
            "metrics_address": metrics,
            "peer_address": peer,
            "peer_public_address": public,
            "store": store_proxy,
        }
        lines = [f"{field} = {json.dumps(value)}" for field, value in values.items()]
        path.write_text("\n".join(lines) + f"\n[bounds]\ngrace_seconds = {GRACE_SECONDS}\n")
        node = NodeLinks(name, zone, clients, store, peers, readiness, path)
        self.nodes.append(node)
        self.start_node(node)


async def _serve(
    app: object, address: str, *, task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve an application until cancelled."""
    config = hypercorn.Config()
    config.bind = [address]
    config.loglevel = "CRITICAL"
    config.accesslog = None
    config.errorlog = None
    await hypercorn.trio.serve(app, config, task_status=task_status, mode="asgi")  # type: ignore[arg-type]


async def _serve_in_scope(
    app: object,
    address: str,
    *,
    task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the scope, which is told once the listener is open, is cancelled."""
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(_serve, app, address)
            task_status.started(scope)
            await trio.sleep_forever()
