"""Nodes in this process between raw clients and instances whose answers are cut, by real sockets.

Each case has a route, a service and instances of its own, so that what a node concludes from one
cut answer has no effect on the other cases. All instances share one listener: each has another
address of the loopback network.
"""

import contextlib
import functools
import json
import re
import socket
import struct
from collections import Counter
from pathlib import Path
from unittest import mock

import h11
import hypercorn
import hypercorn.trio
import msgspec
import trio

from emulator.exchange_platform.store import create_store_app
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.cli import node_process
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import ErrorCode, Execution
from hopstep.exchange_settings import ExchangeSettings
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCallError
from tests.platform.answer_cuts import (
    ID,
    MODEL_HEADER,
    WHOLE,
    Case,
    Ending,
    Kind,
)

HOST = "h.example"
START_SECONDS = 20.0
"""Bounds failures only."""

CLIENTS_AT_ONCE = 50
TRIES = 20
RETRY_SECONDS = 0.2
"""A request that no instance has received is sent again: a busy machine may delay a connection."""

MODELS = [{"name": "m", "version": 1}]
REPORT = json.dumps({"busy": False, "callSequence": 0, "models": MODELS}).encode()
REPORT_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(REPORT), REPORT)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ADDRESSES_PER_NETWORK = 250
OK = 200

EARLIER = b"earlier"
"""End of the path of a request that is answered whole, and leaves a connection for the next."""

ROUTE_FIELDS = {
    Kind.UNSAFE: {"kind": "unsafe", "maxAttempts": 1},
    Kind.SAFE: {"kind": "safe", "maxAttempts": 2},
    Kind.STREAM: {"kind": "streaming", "maxAttempts": 1},
    Kind.RESUMABLE: {"kind": "streaming", "maxAttempts": 2, "resumable": True},
}


class Received(msgspec.Struct):
    """What a client received.

    Attributes:
        status: Status; 0 without a complete head.
        headers: Headers of the answer.
        body: Bytes of the body.
        framed: Whether the answer is complete by its framing.
    """

    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    framed: bool = False


class UnreachableInstances(HttpInstances):
    """Calls of a node whose own links to all instances are cut."""

    @contextlib.asynccontextmanager
    async def open(self, call):
        if call.gateway is None:
            raise InstanceCallError(
                ErrorCode.ENGINE_UNREACHABLE, "link is cut", Execution.NOT_RUN, sent=False
            )
        async with super().open(call) as answer:
            yield answer

    async def probe_connection(self, _instance):
        await trio.lowlevel.checkpoint()
        return InstanceProbeResult.NO_ANSWER


class CutInstances:
    """The instances of all cases.

    Attributes:
        arrivals: Requests that have arrived, by the number of their case.
        kept: Cases whose request came on a connection that had brought a whole answer.
    """

    def __init__(self, cases):
        self.arrivals = Counter()
        self.kept = set()
        self.cases = cases

    async def handle(self, stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with stream:
                await self._serve(stream)

    async def _serve(self, stream, kept=None):
        """Serve one request; ``kept`` is the case to which the connection has brought an answer."""
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.receive_some()
            if not data:
                return
            received += data
        head = received.partition(b"\r\n\r\n")[0]
        if head.startswith(b"GET /report"):
            await stream.send_all(REPORT_ANSWER)
        place = re.match(rb"[A-Z]+ /c(\d+)/", head)
        if place is None:
            return
        number = int(place[1])
        case = self.cases[number]
        request_id = re.search(rb"attempt-id: (\S+)", head.lower())[1]
        if EARLIER in head.partition(b"\r\n")[0]:
            await stream.send_all(WHOLE.replace(ID, request_id))
            await self._serve(stream, number)
            return
        if kept == number:
            self.kept.add(number)
        self.arrivals[number] += 1
        is_first = self.arrivals[number] == 1
        if not is_first and not case.second:
            return
        answer = case.answer if is_first else _continued(case.second, head)
        sent = answer[: case.cut] + case.behind if is_first else answer
        await stream.send_all(sent.replace(ID, request_id))
        if is_first and case.tunnel_cut is None:
            await end(stream, case.ending)


async def end(stream, ending):
    """End a connection that is closed afterwards, by silence until the other side closes it."""
    if ending is Ending.RESET:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    elif ending is Ending.SILENCE:
        while await stream.receive_some():
            pass


def _continued(answer, head):
    """Return a whole answer, without the events that the client has already."""
    resumed = re.search(rb"last-event-id: (\d+)", head.lower())
    if resumed is None:
        return answer
    start, _, events = answer.partition(b"\r\n\r\n")
    numbered = re.findall(rb"(id: (\d+)\n.*?\n\n)", events, re.DOTALL)
    rest = [event for event, number in numbered if int(number) > int(resumed[1])]
    return start + b"\r\n\r\n" + b"".join(rest)


class CutTunnels:
    """Passes on the tunnels to a gateway, and cuts them.

    Attributes:
        gateway: Address of the gateway.
    """

    def __init__(self, cases):
        self.gateway = ""
        self._cases = cases

    async def handle(self, stream):
        host, _, port = self.gateway.rpartition(":")
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with stream, await trio.open_tcp_stream(host, int(port)) as gateway:
                await self._pass_on(stream, gateway)

    async def _pass_on(self, node, gateway):
        case = None

        async def pass_requests():
            nonlocal case
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while data := await node.receive_some():
                    place = re.match(rb"[A-Z]+ /c(\d+)/", data)
                    case = self._cases[int(place[1])] if place is not None else case
                    await gateway.send_all(data)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pass_requests)
            sent = 0
            while data := await gateway.receive_some():
                left = len(data)
                if case is not None and case.tunnel_cut is not None:
                    left = case.tunnel_cut - sent
                    sent += min(left, len(data))
                await node.send_all(data[:left])
                if left < len(data):
                    break
            nursery.cancel_scope.cancel()
        if case is not None and case.tunnel_cut is not None:
            await end(node, case.ending)


FIRST_CASE = Case("first", WHOLE, len(WHOLE), Ending.CLOSE, kind=Kind.SAFE, second=WHOLE)
"""Its answers show that a node serves requests, and knows its gateway."""


class CutWorld:
    """A node, or two of which the first reaches instances through the second only."""

    def __init__(self, cases, *, tunnel=False, clients=CLIENTS_AT_ONCE, **settings):
        self.cases = cases
        self._clients = clients
        self.instances = CutInstances([*cases, FIRST_CASE])
        self._tunnel = tunnel
        self._settings = settings

    def run(self):
        """Play all cases; return what the client of each received."""
        return trio.run(self._run)

    async def _run(self):
        received = [Received()] * len(self.cases)
        shared = SharedStore(100_000)
        async with trio.open_nursery() as nursery:
            serve = functools.partial(trio.serve_tcp, self.instances.handle, 0, host="0.0.0.0")  # noqa: S104
            listeners = await nursery.start(functools.partial(serve, backlog=1024))
            port = listeners[0].socket.getsockname()[1]
            await self._publish(shared, port)
            config = hypercorn.Config()
            config.bind = ["127.0.0.1:0"]
            config.loglevel = "CRITICAL"
            bound = await nursery.start(hypercorn.trio.serve, create_store_app(shared), config)
            store = bound[0].removeprefix("http://")
            if self._tunnel:
                await self._start_gateway(nursery, store)
                with mock.patch.object(node_process, "HttpInstances", UnreachableInstances):
                    address = (await self._start_node(nursery, "node", store))[0]
            else:
                address = (await self._start_node(nursery, "node", store))[0]
            last = len(self.cases)
            await _wait_answered(address, f"/c{last}/x", f"a{last:05}")
            limit = trio.CapacityLimiter(self._clients)
            async with trio.open_nursery() as clients:
                for number in range(len(self.cases)):
                    clients.start_soon(self._play, address, number, limit, received)
            nursery.cancel_scope.cancel()
        return received

    async def _publish(self, shared, port):
        routes, services, entries = [], [], []
        for number, case in enumerate((*self.cases, FIRST_CASE)):
            name = f"c{number}"
            fields = {"timeoutMs": 30_000, "targetLatencyMs": 300, **ROUTE_FIELDS[case.kind]}
            route = {"name": name, "hostname": HOST, "pathPrefix": f"/{name}/", "service": name}
            routes.append(route | fields)
            is_prompt = MODEL_HEADER in case.headers
            engine = {"engine": {"slots": 4, "kvCapacityTokens": 100_000, "models": MODELS}}
            services.append({"name": name} | (engine if is_prompt else {}))
            for _ in range(fields["maxAttempts"]):
                network, host = divmod(len(entries), ADDRESSES_PER_NETWORK)
                entry = {
                    "service": name,
                    "address": f"127.1.{network}.{host + 1}:{port}",
                    "zone": "z1",
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "callSequence": 0,
                    "models": MODELS if is_prompt else [],
                }
                entries.append((f"servers/i{len(entries)}", entry))
        document = {"version": 1, "routes": routes, "services": services}
        for key, value in (("op/config", document), *entries):
            data = json.dumps(value).encode()
            await shared.execute(wire.CompareAndSwap(key, ABSENT.revision, data))

    async def _start_gateway(self, nursery, store):
        """Start the gateway; the other node reaches it by what cuts tunnels, if any are cut."""
        if all(case.tunnel_cut is None for case in self.cases):
            await self._start_node(nursery, "gateway", store)
            return
        tunnels = CutTunnels(self.instances.cases)
        serve = functools.partial(trio.serve_tcp, tunnels.handle, 0, host="127.0.0.1")
        listeners = await nursery.start(functools.partial(serve, backlog=1024))
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        addresses = await self._start_node(nursery, "gateway", store, peer_public_address=address)
        tunnels.gateway = addresses[-1]

    async def _start_node(self, nursery, name, store, **settings):
        """Start a node and wait until it is ready; return its addresses."""
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        addresses = [f"127.0.0.1:{opened.getsockname()[1]}" for opened in sockets]
        for opened in sockets:
            opened.close()
        options = {"store": store, **self._settings, **settings}
        node = ExchangeSettings(name, "z1", *addresses, **options)
        nursery.start_soon(node_process.run_node, node, Path("unused"), {})
        await _wait_answered(addresses[1], "/readiness")
        return addresses

    async def _play(self, address, number, limit, received):
        case = self.cases[number]
        fields = [
            ("Host", HOST),
            ("Attempt-Id", f"a{number:05}"),
            ("Deadline-Ms", str(case.deadline_ms)),
            *case.headers,
        ]
        async with limit:
            if case.is_kept:
                earlier = [("Host", HOST), ("Attempt-Id", f"b{number:05}")]
                await ask(address, "POST", f"/c{number}/{EARLIER.decode()}", earlier)
            for _ in range(TRIES):
                path = f"/c{number}/x"
                received[number] = await ask(address, case.method, path, fields, case.version)
                if self.instances.arrivals[number]:
                    return
                await trio.sleep(RETRY_SECONDS)


async def _wait_answered(address, path, request_id=""):
    """Wait until an address answers requests for a path."""
    with trio.fail_after(START_SECONDS):
        while True:
            with contextlib.suppress(OSError):
                fields = [("Host", HOST), ("Attempt-Id", request_id)]
                if (await ask(address, "GET", path, fields)).status == OK:
                    return
            await trio.sleep(0.05)


async def ask(address, method, path, fields, version=b"1.1", body=b""):
    """Send a request on a connection of its own; return what came back, read strictly."""
    connection = h11.Connection(h11.CLIENT)
    host, _, port = address.rpartition(":")
    received = Received()
    if method not in ("GET", "HEAD"):
        fields = [*fields, ("Content-Length", str(len(body)))]
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        request = connection.send(h11.Request(method=method, target=path, headers=fields))
        request = request.replace(b" HTTP/1.1\r\n", b" HTTP/%s\r\n" % version, 1)
        await stream.send_all(request + (connection.send(h11.Data(body)) or b""))
        connection.send(h11.EndOfMessage())
        with contextlib.suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            while not received.framed:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some())
                elif isinstance(event, h11.Response):
                    received.status = event.status_code
                    received.headers = tuple(event.headers)
                elif isinstance(event, h11.Data):
                    received.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    received.framed = True
                elif isinstance(event, h11.ConnectionClosed):
                    break
    return received
