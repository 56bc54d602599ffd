"""Callers of a soak: they send requests of every kind, cancel some, and record all outcomes."""

from __future__ import annotations

import json
import random
import socket
import ssl
from collections import deque

import httpx
import msgspec
import trio

from emulator.exchange_platform.instance_requests import TRY_HEADER
from emulator.soak.deployment import ENGINES, HOST, MODEL, PLAIN, Deployment
from emulator.soak.links import NodeLinks
from emulator.soak.operators import LASTING_KEY
from emulator.soak.request_records import RequestKind, SentRequest

PATIENCE_SECONDS = 4.0
"""Deadline of a request, counted from its sending."""

LEAVING_SHARE = 0.03
"""Share of the requests whose callers disconnect early."""

LEAVING_EVENTS = 150
"""Events of a stream whose caller disconnects; it takes 3 s, so that an early end is visible."""

LATEST_ANSWER_SECONDS = 6.0
"""Time for which a caller waits beyond its deadline, to measure how late a response is."""

READINESS_SECONDS = 0.5
MISSES = 2
"""Failed readiness checks in a row after which a node gets no callers."""

READINESS_TIMEOUT_SECONDS = 0.5
SEGMENTS = 30
UNUSED_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Passed to each client, as loading the machine's certificates is slow; all is plain HTTP here."""

KINDS = (
    RequestKind.SAFE,
    RequestKind.UNSAFE,
    RequestKind.UNSAFE,
    RequestKind.STREAM,
    RequestKind.RESUMABLE,
)
SERVICES = {
    RequestKind.SAFE: PLAIN,
    RequestKind.UNSAFE: PLAIN,
    RequestKind.STREAM: ENGINES,
    RequestKind.RESUMABLE: ENGINES,
}


class Readiness(msgspec.Struct):
    """The nodes' readiness as a load balancer sees it.

    Attributes:
        misses: Failed readiness checks in a row, by node.
    """

    misses: dict[str, int] = {}

    def usable(self, nodes: list[NodeLinks]) -> list[NodeLinks]:
        """Return the ready nodes; all nodes when fewer than half are ready."""
        ready = [node for node in nodes if self.misses.get(node.name, MISSES) < MISSES]
        return ready if 2 * len(ready) >= len(nodes) else nodes


class Callers:
    """Sends requests at a given mean rate."""

    def __init__(self, deployment: Deployment, generator: random.Random, rate: float) -> None:
        """Prepare without sending.

        Args:
            deployment: Nodes and history.
            generator: Draws requests.
            rate: Requests per second.
        """
        self.recent: deque[str] = deque(maxlen=100)
        self._deployment = deployment
        self._generator = generator
        self._rate = rate
        self.readiness = Readiness()
        self._clients: dict[str, httpx.AsyncClient] = {}

    async def run(self) -> None:
        """Send until cancelled."""
        async with trio.open_nursery() as nursery:
            for node in self._deployment.nodes:
                nursery.start_soon(self._check_readiness, node)
            while True:
                await trio.sleep(self._generator.expovariate(self._rate))
                nursery.start_soon(self._send_or_leave, self._draw())

    def _draw(self) -> SentRequest:
        """Return a new random request."""
        generator = self._generator
        kind = generator.choice(KINDS)
        nodes = self.readiness.usable(self._deployment.nodes)
        return draw_request(self._deployment, generator, kind, generator.choice(nodes))

    async def send(self, request: SentRequest) -> None:
        """Send a request of a caller that doesn't disconnect, and record its outcome."""
        with trio.CancelScope(deadline=request.deadline_at + LATEST_ANSWER_SECONDS):
            await self._exchange(request)
        request.ended_at = trio.current_time()

    async def _send_or_leave(self, request: SentRequest) -> None:
        """Send a request and record its outcome; some callers disconnect early."""
        leaves = self._generator.random() < LEAVING_SHARE
        patience = self._generator.uniform(0.05, 0.6) if leaves else float("inf")
        if leaves:
            request.events = LEAVING_EVENTS
        limit = min(patience, PATIENCE_SECONDS + LATEST_ANSWER_SECONDS)
        with trio.move_on_after(limit) as scope:
            await self._exchange(request)
        request.left = leaves and scope.cancelled_caught
        request.ended_at = trio.current_time()

    async def _exchange(self, request: SentRequest) -> None:
        """Send a request, and read as much of the response as arrives."""
        client = self._client(request.node)
        try:
            async with client.stream(
                "POST", path_of(request), headers=headers_of(request), content=body_of(request)
            ) as response:
                request.head_at = trio.current_time()
                request.status = response.status_code
                request.stamp = response.headers.get("response-stamp", "")
                async for data in response.aiter_raw():
                    request.body += data
            request.whole = True
        except httpx.ConnectError:
            request.refused_connection = True
        except httpx.TransportError:
            return

    def _client(self, node: str) -> httpx.AsyncClient:
        """Return the HTTP client for a node."""
        client = self._clients.get(node)
        if client is None:
            links = next(links for links in self._deployment.nodes if links.name == node)
            client = self._clients[node] = httpx.AsyncClient(
                base_url=f"http://{links.clients.address}",
                timeout=httpx.Timeout(None, connect=1.0),
                transport=httpx.AsyncHTTPTransport(
                    verify=UNUSED_TLS, socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]
                ),
            )
        return client

    async def _check_readiness(self, node: NodeLinks) -> None:
        """Ask a node whether it is ready, from time to time."""
        async with httpx.AsyncClient(
            timeout=READINESS_TIMEOUT_SECONDS, verify=UNUSED_TLS
        ) as client:
            while True:
                ready = False
                try:
                    probe_response = await client.get(f"http://{node.readiness}/readiness")
                    ready = probe_response.status_code == httpx.codes.OK
                except httpx.TransportError:
                    pass
                misses = self.readiness.misses
                misses[node.name] = 0 if ready else misses.get(node.name, 0) + 1
                await trio.sleep(READINESS_SECONDS)


def draw_request(
    deployment: Deployment,
    generator: random.Random,
    kind: RequestKind,
    node: NodeLinks,
    path: str = "",
) -> SentRequest:
    """Return a new request that is recorded in the history.

    Args:
        deployment: Keys and history.
        generator: Draws id, key and number of events.
        kind: Kind of the request.
        node: Node to which it is sent.
        path: Path of a configuration probe; the path of the kind if empty.
    """
    history = deployment.history
    keys = [key for key in sorted(history.tenants) if not path or key.endswith(LASTING_KEY)]
    now = trio.current_time()
    request = SentRequest(
        request_id=generator.randbytes(8).hex(),
        kind=kind,
        service=SERVICES[kind],
        key=generator.choice(keys),
        node=node.name,
        sent_at=now,
        deadline_at=now + PATIENCE_SECONDS,
        events=generator.randrange(1, 40),
        path=path,
    )
    history.requests[request.request_id] = request
    return request


def path_of(request: SentRequest) -> str:
    """Return a request's path, and the query of one that is sent slowly."""
    query = f"?n={request.request_id}&e=%20%2F" if request.sent_slowly else ""
    return f"{request.path or f'/{request.kind}/'}x{query}"


def shared_part(request: SentRequest) -> str:
    """Return the id of the first part of a prompt, which many requests have."""
    return f"{int(request.attempt_id, 16) % SEGMENTS:04x}"


def headers_of(request: SentRequest) -> dict[str, str]:
    """Return a request's headers."""
    headers = {
        "Host": HOST,
        "Attempt-Id": request.attempt_id,
        "X-Api-Key": request.key,
        "Deadline-Ms": str(max(1, round((request.deadline_at - request.sent_at) * 1_000))),
        "Tenant": "forged",
        "Cache-Salt": "forged",
    }
    if request.service == ENGINES:
        shared = shared_part(request)
        headers["Model"] = MODEL
        headers["Token-Usage"] = "2000,50"
        fatal = f"{request.fatal}:300," if request.has_fatal_part else ""
        headers["Prompt-Prefix"] = f"{shared}:1800,{fatal}{request.attempt_id}:200"
    if request.try_number:
        headers[TRY_HEADER] = request.try_number
    if request.sent_slowly:
        headers["X-Note"] = f"note of {request.request_id}"
    if request.resumes:
        headers["Resumes"] = request.resumes
        headers["Last-Event-Id"] = str(request.first_event - 1)
    return headers


def body_of(request: SentRequest) -> bytes:
    """Return a request's body, which tells the instance what to do."""
    if request.fatal and not request.has_fatal_part:
        return json.dumps({"fatal": request.fatal}).encode()
    # No two requests with a part that crashes instances are alike, nor like one without it.
    name = request.attempt_id if request.has_fatal_part else request.name
    named = {"name": name} if name else {}
    padded = {"padding": _padding(request)} if request.padding else {}
    if request.service == ENGINES:
        return json.dumps({"events": request.events, **named, **padded}).encode()
    return json.dumps({"work_ms": request.work_ms, **padded}).encode()


def _padding(request: SentRequest) -> str:
    """Return characters that lengthen a request's body."""
    repeats = request.padding // len(request.request_id) + 1
    return (request.request_id * repeats)[: request.padding]
