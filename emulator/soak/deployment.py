"""The parts of a soak: store, instances and nodes, behind proxies, and their recorded events."""

from __future__ import annotations

import json
import random
import signal
import time
from pathlib import Path

import trio

from emulator.exchange_platform.http_instance import HttpInstance
from emulator.exchange_platform.instance_traits import InstanceTraits
from emulator.exchange_platform.store import create_store_app
from emulator.fleet.ports import free_addresses
from emulator.fleet.processes import ProcessGroup
from emulator.local_server import serve, serve_in_scope
from emulator.platform.shared_store import SharedStore
from emulator.soak import suspendable_node
from emulator.soak.answer_faults import AnswerEvent
from emulator.soak.answer_proxy import FaultyAnswerProxy
from emulator.soak.decoy import create_decoy
from emulator.soak.disturbances import Disturbance
from emulator.soak.history import History
from emulator.soak.instance_records import (
    FatalTermination,
    IncarnationPeriod,
    InstanceAnswerEvent,
    LinkSilence,
    ListedInstance,
)
from emulator.soak.links import InstanceLinks, NodeLinks
from emulator.soak.order_checks import logged_orders
from emulator.soak.proxies import TcpProxy, UdpProxy
from emulator.soak.recorder import DirectStore, Recorder
from emulator.soak.restores import Restores
from emulator.soak.suspendable_node import CUT_ARGUMENT, FILE_ARGUMENT

ZONES = ("z1", "z2", "z3")
PLAIN, ENGINES, MODEL = "plain", "engines", "m"
OTHER_PLAIN = "other"
"""Service without instances unless routes are redirected to it."""

HOST = "soak.example"
CONFIGURATION_KEY = "op/config"
GRACE_SECONDS = 4.0
NODE_MODULE = "emulator.soak.suspendable_node"

FIRST_BORN_MS = 1_700_000_000_000
FATAL_SECONDS = (0.05, 0.15)
"""Time from the start of a fatal request to the instance's crash, shortest and longest."""

RESTART_SECONDS = (0.5, 3.0)
FIRST_SOFTWARE = "v1"

SAME_ID_SHARE = 0.6
"""Share of crashed instances that start again under their former id."""


class Deployment:
    """Starts the parts, and gives callers, operator and faults access to them."""

    def __init__(
        self, directory: Path, generator: random.Random, other_build: Path | None = None
    ) -> None:
        """Prepare without starting anything.

        Args:
            directory: Directory for settings and logs of the nodes.
            generator: Draws start times, faults and restarts.
            other_build: Root of a checkout of another version, on which all nodes start; None to
                run this one only.
        """
        self.other_build = other_build
        self.history = History()
        self.shared = SharedStore()
        self.store = DirectStore(self.shared)
        self.recorder = Recorder(self.history, self.store)
        self.restores = Restores(self.shared, self.store, generator)
        self.nodes: list[NodeLinks] = []
        self.instances: list[InstanceLinks] = []
        self.decoy = ""
        self.software_versions: tuple[str, ...] = (FIRST_SOFTWARE,)
        self.redirects_routes = False
        self.has_answer_faults = False
        self._directory = directory
        self._generator = generator
        self._started = 0
        self._started_at_unix = time.time()
        self._born_ms = FIRST_BORN_MS
        self.recorder.on_fatal = self._schedule_fatal_termination

    async def start(self, nursery: trio.Nursery, processes: ProcessGroup, nodes: int) -> None:
        """Start store, instances and nodes.

        Args:
            nursery: Runs the parts of this process.
            processes: Runs the nodes' processes.
            nodes: Number of nodes.
        """
        self._processes = processes
        self._nursery = nursery
        store_address = free_addresses(1)[0]
        await nursery.start(serve, create_store_app(self.shared), store_address)
        self.decoy = free_addresses(1)[0]
        await nursery.start(serve, create_decoy(self.history), self.decoy)
        for zone in ZONES:
            await self.add_instance(PLAIN, zone)
            await self.add_instance(ENGINES, zone)
            await self.add_instance(ENGINES, zone)
            if self.redirects_routes:
                await self.add_instance(OTHER_PLAIN, zone)
        for number in range(nodes):
            await self._add_node(f"n{number}", ZONES[number % len(ZONES)], store_address)

    def draw_software(self, service: str) -> str:
        """Return the software version of an instance that starts: for engines any of those used."""
        if service != ENGINES or len(self.software_versions) == 1:
            return FIRST_SOFTWARE
        return self._generator.choice(self.software_versions)

    async def add_instance(
        self,
        service: str,
        zone: str,
        version: int = 1,
        instance_id: str = "",
        port: int = 0,
        software_version: str = "",
    ) -> InstanceLinks:
        """Start an instance behind a proxy, and list it.

        Args:
            service: Its service.
            zone: Its zone.
            version: Its weights version.
            instance_id: Id under which it starts again; a new one if empty.
            port: Port at which it is reached; a free one if 0.
            software_version: Version of its software; any of those used if empty.
        """
        self._started += 1
        self._born_ms += self._generator.randrange(1, 5_000)
        model = MODEL if service == ENGINES else ""
        traits = InstanceTraits(
            instance_id or f"i{self._started}",
            service,
            zone,
            model=model,
            born_ms=self._born_ms,
            software_version=software_version or self.draw_software(service),
        )
        instance = HttpInstance(traits, self.recorder, self._generator)
        instance.use_nursery(self._nursery)
        if model:
            instance.version = version
        address = free_addresses(1)[0]
        scope = await self._nursery.start(serve_in_scope, instance.app, address)
        answers = None
        target = address
        if self.has_answer_faults:
            target = free_addresses(1)[0]
            answers = self._answer_proxy(instance, address)
            await self._nursery.start(answers.run, target)
        proxy = TcpProxy(target)
        listed = await self._nursery.start(proxy.run, port)
        self.recorder.addresses[traits.instance_id] = listed
        self.recorder.current_instances[traits.instance_id] = instance
        links = InstanceLinks(instance, proxy, scope, trio.current_time(), answers)
        self.instances.append(links)
        self.history.instances.append(
            IncarnationPeriod(
                traits.incarnation,
                service,
                trio.current_time(),
                is_plain=not model,
                software_version=traits.software_version,
            )
        )
        self.recorder.entry_changed(instance)
        return links

    def _answer_proxy(self, instance: HttpInstance, address: str) -> FaultyAnswerProxy:
        """Return a proxy for the answers of an instance, whose events are recorded."""

        def record(event: AnswerEvent) -> None:
            self.history.answer_events.append(
                InstanceAnswerEvent(instance.traits.incarnation, event)
            )

        return FaultyAnswerProxy(address, self._generator, record)

    def terminate_instance(self, links: InstanceLinks, *, unlisted: bool) -> None:
        """Terminate an instance at once; optionally remove its entry too."""
        instance_id = links.instance.traits.instance_id
        links.scope.cancel()
        links.proxy.close()
        if links.answers is not None:
            links.answers.close()
        incarnation = links.instance.traits.incarnation
        ended = next(time for time in self.history.instances if time.incarnation == incarnation)
        ended.until = trio.current_time()
        self.instances.remove(links)
        self.recorder.addresses.pop(instance_id)
        self.recorder.current_instances.pop(instance_id)
        if unlisted:
            self.store.remove(f"servers/{instance_id}")

    def record_listed(self) -> None:
        """Record the instances that accept requests now."""
        self.history.listed = [
            ListedInstance(
                links.instance.traits.instance_id,
                links.instance.traits.service,
                links.since,
                links.instance.version,
            )
            for links in self.instances
            if not (links.instance.draining or links.instance.notices.leaving)
        ]

    def _schedule_fatal_termination(self, instance: HttpInstance, request: str) -> None:
        """Schedule the crash and restart of an instance that has begun a fatal request."""
        self._nursery.start_soon(self._terminate_and_restart, instance, request)

    async def _terminate_and_restart(self, instance: HttpInstance, request: str) -> None:
        """Crash an instance under a request; it restarts after a pause, mostly under its id."""
        traits = instance.traits
        await trio.sleep(self._generator.uniform(*FATAL_SECONDS))
        links = next((links for links in self.instances if links.instance is instance), None)
        if links is None:
            return
        self.history.fatal_terminations.append(
            FatalTermination(request, traits.incarnation, trio.current_time())
        )
        self.terminate_instance(links, unlisted=False)
        await trio.sleep(self._generator.uniform(*RESTART_SECONDS))
        own_id = self._generator.random() < SAME_ID_SHARE
        if not own_id:
            self.store.remove(f"servers/{traits.instance_id}")
        await self.add_instance(
            traits.service, traits.zone, instance.version, traits.instance_id if own_id else ""
        )

    def start_node(self, node: NodeLinks) -> None:
        """Start a node's process."""
        arguments = [
            f"{FILE_ARGUMENT}{node.suspended}",
            f"{CUT_ARGUMENT}{node.cut_file}",
            f"--node_settings={node.settings}",
        ]
        if node.other_build and self.other_build is not None:
            script = Path(suspendable_node.__file__)
            self._processes.start_script(node.name, script, arguments, self.other_build)
        else:
            self._processes.start(node.name, NODE_MODULE, arguments)
        node.running = True
        node.started_at = trio.current_time()

    def cut_instances(self, node: NodeLinks, kind: str) -> None:
        """Let a node's new connections fail, except those to the store and to other nodes."""
        proxies = [node.store, *(other.tunnels for other in self.nodes)]
        ports = [int(proxy.address.rpartition(":")[2]) for proxy in proxies]
        written = node.cut_file.with_suffix(".new")
        written.write_text(json.dumps({"kind": kind, "open_ports": ports}))
        written.rename(node.cut_file)

    def restore_instances(self, node: NodeLinks) -> None:
        """Let a node's connections to instances work again."""
        node.cut_file.unlink(missing_ok=True)

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

    def read_logged_orders(self) -> None:
        """Record the orders in the logs of the nodes; a log may hold those of an earlier soak."""
        for node in self.nodes:
            path = self._processes.log_path(node.name)
            orders = logged_orders(path.read_text(errors="replace"))
            self.history.logged_orders += [
                order for order in orders if order.at_unix >= self._started_at_unix
            ]

    def disturb(self, what: str, subject: str, *, planned: bool = False) -> Disturbance:
        """Record the start of a fault and return its record."""
        disturbance = Disturbance(what, subject, trio.current_time(), planned=planned)
        self.history.disturbances.append(disturbance)
        return disturbance

    def silence(self, links: InstanceLinks) -> LinkSilence:
        """Record the start of a time in which an instance's link is silent; return its record."""
        silence = LinkSilence(links.instance.traits.incarnation, trio.current_time())
        self.history.silences.append(silence)
        return silence

    async def _add_node(self, name: str, zone: str, store_address: str) -> None:
        """Set a node up behind its proxies, and start it."""
        address, readiness, peer, metrics = free_addresses(4)
        store = TcpProxy(store_address)
        clients = TcpProxy(address)
        peers = UdpProxy(peer, self._generator)
        store_proxy = await self._nursery.start(store.run)
        await self._nursery.start(clients.run)
        tunnels = TcpProxy(peer)
        public = await self._nursery.start(tunnels.run)
        await self._nursery.start(peers.run, int(public.rpartition(":")[2]))
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
        suspended = self._directory / f"{name}.suspended"
        cut_file = self._directory / f"{name}.cut"
        node = NodeLinks(
            name, zone, clients, store, peers, tunnels, readiness, path, suspended, cut_file
        )
        node.other_build = self.other_build is not None
        self.nodes.append(node)
        self.start_node(node)
