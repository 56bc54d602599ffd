"""One or more exchange nodes on emulated ports and a virtual clock."""

import random
from collections import Counter

import msgspec
import trio

from emulator.exchange_platform.instances import EmulatedInstances
from emulator.exchange_platform.node_links import EmulatedNodeLinks, EmulatedTunnels
from emulator.exchange_platform.node_network import EmulatedNodeNetwork
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.platform.store_model import ABSENT_REVISION
from emulator.virtual_time import run_in_virtual_time, virtual_clock
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.request import Prompt, PromptSegment
from hopstep.domain.exchanges.serving import (
    EngineTraits,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    ServingConfiguration,
    Tenant,
)
from hopstep.domain.instance_notices import InstanceNotice, ignore_notice
from hopstep.exceptions import ServiceError
from hopstep.exchange_services import ExchangePorts, ExchangeServices
from hopstep.exchange_settings import ExchangeBounds, ExchangeSettings
from hopstep.ports.cache_events import CacheEventBatch, CacheEvents
from hopstep.ports.exchange_front import ClientAnswer, RequestHead
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    InstanceListed,
    InstanceRemoved,
    WeightsPublished,
)
from tests.services.exchanges.emulated_directory import (
    EmulatedDirectory,
    directory_key,
    encode_change,
    read_entry,
)

KEY = "key-1"
ISOLATED_KEY = "key-2"
MODEL = "m"
BOUNDS = ExchangeBounds()
HISTORY_LENGTH = 100_000
"""Number of past changes from which a watch can resume."""

SETTLING_SECONDS = 1.0
"""Seconds after which nodes have registered and listed each other, and watches wait for changes."""


def route(name, kind, **options):
    values = {
        "name": name,
        "host": "h",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_seconds": 3.0,
        "objective_seconds": 0.5,
        "priority": 0,
        "shares": (ServiceShare("plain"),),
    }
    return Route(**{**values, **options})


ROUTES = (
    route("safe", RequestKind.REPEATABLE, max_attempts=2),
    route("unsafe", RequestKind.AT_MOST_ONCE),
    route("unsafe2", RequestKind.AT_MOST_ONCE, max_attempts=2),
    route("stream", RequestKind.STREAM, shares=(ServiceShare("llm"),)),
    route(
        "resumable",
        RequestKind.STREAM,
        shares=(ServiceShare("llm"),),
        resumable=True,
        max_attempts=2,
    ),
    route("open", RequestKind.REPEATABLE, public=True),
    route("whole", RequestKind.REPEATABLE, shares=(ServiceShare("llm"),)),
)
SERVICES = (
    Service("plain"),
    Service("llm", engine=EngineTraits(8, 100_000, 1000.0, 1000.0, (MODEL,))),
)
TENANTS = (Tenant("t1", (KEY,), 1), Tenant("t2", (ISOLATED_KEY,), 0, isolated=True))


def configuration(version=1, routes=ROUTES, tenants=TENANTS):
    return ServingConfiguration(version, routes, SERVICES, tenants)


class EmulatedCacheEvents(CacheEvents):
    """Cache events by address; reads from addresses without any fail."""

    def __init__(self):
        self.events = {}
        self.born_ms = {}
        self.notices = {}
        self.readers = Counter()
        self.reads = Counter()
        self._added = trio.Event()

    def add(self, address, event):
        self.events[address].append(event)
        self._added.set()
        self._added = trio.Event()

    async def read(self, address, position, wait_seconds, on_notice=ignore_notice):
        self.readers[address] += 1
        self.reads[address] += 1
        try:
            with trio.move_on_after(wait_seconds):
                while len(self.events.get(address, ())) <= position:
                    await self._added.wait()
        finally:
            self.readers[address] -= 1
        on_notice(self.notices.get(address, InstanceNotice()))
        events = self.events.get(address)
        if events is None:
            return None
        born_ms = self.born_ms.get(address, 0)
        return CacheEventBatch(1, len(events), False, tuple(events[position:]), born_ms)


class RecordedAnswer(ClientAnswer):
    def __init__(self):
        self.status = None
        self.started_at = None
        self.headers = ()
        self.body = b""
        self.finished = False
        self.error = None

    async def start(self, status, headers, length):
        await trio.lowlevel.checkpoint()
        self.started_at = trio.current_time()
        self.status = status
        self.headers = headers

    async def send(self, data):
        await trio.lowlevel.checkpoint()
        self.body += data

    async def finish(self):
        await trio.lowlevel.checkpoint()
        self.finished = True

    @property
    def promised_not_run(self):
        return self.error is not None and self.error.execution.value == "not_run"


async def serve(exchanges, head, body, answer):
    """Have a node serve a request whose body comes in one part."""
    async with exchanges.begin(head, None) as request:
        request.add(body)
        await request.serve(answer)


class ExchangeWorld:
    """A store, instances and nodes."""

    def __init__(self, nodes=1, seed=1, zones=1, order_seed=None, bounds=BOUNDS):
        self.bounds = bounds
        self.shared = SharedStore(HISTORY_LENGTH)
        self.instances = EmulatedInstances()
        self.cache_events = EmulatedCacheEvents()
        self.instances.on_changed = self.relist
        self.listed = {}
        self.calls = 0
        self.clock = None
        self.nodes = []
        self.links = []
        self.directories = []
        self.stores = []
        self._node_scopes = []
        self._node_count = nodes
        self._seed = seed
        self._order_seed = seed if order_seed is None else order_seed
        self._zones = zones
        self._requests = 0
        self._restarts = 0
        self.tunnels = EmulatedTunnels()
        self.instances.check_passing = self.tunnels.check_passing
        self.network = EmulatedNodeNetwork(random.Random(seed))
        self.publish(ConfigurationPublished(configuration()))

    def add(self, instance_id, service="plain", **options):
        """Start and list an instance."""
        versions = {MODEL: 1} if service == "llm" else {}
        values = {"zone": "z1", "slots": 4, "versions": versions, "software_version": "v1"}
        values |= options
        instance = Instance(instance_id, service, f"10.0.0.1:{len(self.listed)}", **values)
        self.listed[instance_id] = instance
        self.publish(InstanceListed(instance))
        return self.instances.add(instance)

    def restart(self, instance_id, born_ms, **changes):
        """Terminate an instance, restart it under its id, and list its new incarnation."""
        changes = {"born_ms": born_ms, "order_sequence": 0, "draining": False, **changes}
        instance = msgspec.structs.replace(self.listed[instance_id], **changes)
        server = self.instances.restart(instance)
        self.publish(InstanceListed(instance))
        return server

    def relist(self, instance):
        """Write the changed entry of a listed instance, as instances do."""
        if instance.instance_id in self.listed:
            self.publish(InstanceListed(instance))

    def publish(self, change):
        """Write a change into the directory."""
        if isinstance(change, InstanceListed):
            self.listed[change.instance.instance_id] = change.instance
        if isinstance(change, InstanceRemoved):
            self.listed.pop(change.instance_id, None)
        key, model = directory_key(change), self.shared.model
        stored = model.apply(wire.Get(key), self._now)
        version = stored.version if stored is not None else ABSENT_REVISION
        if not isinstance(change, InstanceRemoved):
            write = wire.CompareAndSwap(key, version, encode_change(change))
        elif stored is not None:
            write = wire.Delete(key, version)
        else:
            return
        self.shared.write_directly(write, self._now)

    @property
    def revision(self):
        """Store revision of the last change."""
        return self.shared.model.revision

    @property
    def _now(self):
        """Time of the store; 0 before the world runs."""
        return self.clock.current_time() if self.clock is not None else 0.0

    @property
    def published_version(self):
        """Version of the configuration that the store holds."""
        key = directory_key(ConfigurationPublished(configuration()))
        stored = self.shared.model.apply(wire.Get(key), self._now)
        return read_entry(stored).change.configuration.version

    def name_weights(self, version):
        """Publish a weights version as operators do."""
        self.publish(WeightsPublished(NamedWeights(MODEL, version)))

    def run(self, script):
        """Run ``script(world)`` while the nodes run."""
        self.clock = virtual_clock()
        run_in_virtual_time(self._run, script, seed=self._order_seed, clock=self.clock)

    async def _run(self, script):
        async with trio.open_nursery() as nursery:
            for number in range(self._node_count):
                self.start_node(nursery, f"n{number}", self._zone(number))
            self.nursery = nursery
            await trio.sleep(SETTLING_SECONDS)
            await script(self)
            nursery.cancel_scope.cancel()

    def _zone(self, number):
        """Return the zone of a node."""
        return f"z{1 + number % self._zones}"

    def start_node(self, nursery, name, zone="z1", address="", key_suffix="", number=None):
        """Start a node, at an address of its own by default, and return its services.

        With a number it takes the place of the node with that number, which was killed.
        """
        key = f"key of {name}{key_suffix}".encode()
        address = address or f"127.0.0.1:{3 + len(self.nodes)}"
        directory = EmulatedDirectory(self)
        links = EmulatedNodeLinks(name, self.instances, self.tunnels)
        store = InMemoryStore(self.shared)
        ports = ExchangePorts(
            store=store,
            directory=directory,
            calls=links,
            orders=links,
            nodes=self.network.attach(name, address, key),
            cache_events=self.cache_events,
            generator=random.Random(self._seed + len(self.nodes)),
        )
        settings = ExchangeSettings(
            name=name,
            zone=zone,
            address="127.0.0.1:1",
            readiness_address="127.0.0.1:2",
            peer_address=address,
            store="127.0.0.1:9",
            bounds=self.bounds,
        )
        services = ExchangeServices(settings, ports, key)
        self.tunnels.attach(name, links, services.tunnel_gate)
        scope = trio.CancelScope()
        known = (self._node_scopes, self.nodes, self.links, self.directories, self.stores)
        for kept, part in zip(known, (scope, services, links, directory, store), strict=True):
            if number is None:
                kept.append(part)
            else:
                kept[number] = part
        nursery.start_soon(self._run_node, services, scope)
        return services

    async def _run_node(self, services, scope):
        """Run a node until it is killed."""
        with scope:
            await services.run()

    def kill_node(self, number):
        """Kill one node; its entry stays in the store."""
        self._node_scopes[number].cancel()
        self.tunnels.detach(self.nodes[number].knowledge.name)

    def restart_node(self, number):
        """Start a killed node again, as another process under its name and at its address."""
        killed = self.nodes[number]
        self._restarts += 1
        return self.start_node(
            self.nursery,
            killed.knowledge.name,
            self._zone(number),
            killed.knowledge.record.address,
            f" {self._restarts}",
            number,
        )

    def kill_nodes(self):
        """Kill all nodes at once; their entries stay in the store."""
        for scope in self._node_scopes:
            scope.cancel()
        for known in (self._node_scopes, self.nodes, self.links, self.directories, self.stores):
            known.clear()

    async def request(
        self,
        name,
        node=0,
        key=KEY,
        request_id="",
        resume_after="",
        patience=2.0,
        answer=None,
        body=b"body",
        usage_tokens=None,
        resumes="",
        segments=None,
    ):
        """Send a request to a node and return the client's answer."""
        answer = answer or RecordedAnswer()
        head = self.head(name, key, request_id, resume_after, patience, segments)
        head = msgspec.structs.replace(head, usage_tokens=usage_tokens, resumes=resumes)
        try:
            await serve(self.nodes[node].exchanges, head, body, answer)
        except ServiceError as error:
            answer.error = error
        return answer

    def head(self, name, key=KEY, request_id="", resume_after="", patience=2.0, segments=None):
        """Return the head of a request; its prompt has the given parts, or two by default."""
        self._requests += 1
        prompt = None
        if name in ("stream", "resumable", "whole"):
            segments = segments or (PromptSegment("a1", 3_000), PromptSegment("b2", 500))
            prompt = Prompt(MODEL, segments, 3_500, 50)
        return RequestHead(
            request_id=request_id or f"r{self._requests}",
            method=b"POST",
            host="h",
            path=f"/{name}/x",
            target=f"/{name}/x".encode(),
            headers=(),
            key=key,
            client_timeout_seconds=patience,
            prompt=prompt,
            resume_after=resume_after,
            received_at=trio.current_time(),
        )
