"""Callers that send an id several times to one node, over connections that they keep.

Tries of an id follow one another at once or later, after whatever the last one brought, overlap, or
follow a connection that the caller has broken off. Without repeated ids, each try has its own.
"""

from __future__ import annotations

import enum
import random

import httpcore
import trio

from emulator.soak.caller_group import CallerGroup
from emulator.soak.callers import (
    KINDS,
    LATEST_ANSWER_SECONDS,
    PATIENCE_SECONDS,
    Readiness,
    body_of,
    draw_request,
    headers_of,
    path_of,
)
from emulator.soak.deployment import Deployment
from emulator.soak.links import NodeLinks
from emulator.soak.request_records import RequestKind, SentRequest

THINK_SECONDS = (0.0, 0.2)
PAUSES_SECONDS = (0.0, 0.0, 0.01, 0.05, 0.3, 1.0, 2.2)
"""Time between two tries of an id; copies of answers come up to two seconds late."""

OVERLAP_SECONDS = 0.03
BREAK_SECONDS = (0.005, 0.08)
CONNECT_SECONDS = 1.0
EXCHANGES_PER_NODE = 60
"""Ids after which a caller turns to another node; its connections stay open."""

BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable)


class Pattern(enum.StrEnum):
    """How the tries of one id lie in time."""

    ONCE = "once"
    IN_TURN = "in turn"
    OVERLAPPING = "overlapping"
    BROKEN_OFF = "broken off"


class RepeatingCallers(CallerGroup):
    """A number of callers, each of which uses one node for a while."""

    def __init__(
        self,
        deployment: Deployment,
        generator: random.Random,
        readiness: Readiness,
        count: int,
        *,
        repeats_ids: bool,
    ) -> None:
        """Prepare callers without connections.

        Args:
            deployment: Nodes and history.
            generator: Draws requests, and how they are repeated.
            readiness: Nodes to which new connections may go.
            count: Number of callers.
            repeats_ids: Whether several tries have one id.
        """
        super().__init__(deployment, generator, readiness, count)
        self._repeats_ids = repeats_ids
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def _keep_calling(self) -> None:
        """Use one node after the other."""
        while True:
            nodes = self._readiness.usable(self._deployment.nodes)
            node = self._generator.choice(nodes)
            for _ in range(EXCHANGES_PER_NODE):
                await self._repeat(node)
                await trio.sleep(self._generator.uniform(*THINK_SECONDS))

    async def _repeat(self, node: NodeLinks) -> None:
        """Send one id in the way that is drawn for it."""
        generator = self._generator
        pattern = generator.choice(list(Pattern))
        first = self._next_try(node, None, 1)
        if pattern is Pattern.ONCE:
            await self._send(node, first)
            return
        if pattern is Pattern.OVERLAPPING:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, node, first)
                await trio.sleep(generator.uniform(0.0, OVERLAP_SECONDS))
                nursery.start_soon(self._send, node, self._next_try(node, first, 2))
            return
        timeout_seconds = float("inf")
        if pattern is Pattern.BROKEN_OFF:
            timeout_seconds = generator.uniform(*BREAK_SECONDS)
        await self._send(node, first, timeout_seconds)
        for number in range(2, generator.randrange(3, 6)):
            await trio.sleep(generator.choice(PAUSES_SECONDS))
            await self._send(node, self._next_try(node, first, number))

    def _next_try(self, node: NodeLinks, first: SentRequest | None, number: int) -> SentRequest:
        """Return a try, which is like the first one apart from its number."""
        history = self._deployment.history
        kind = first.kind if first is not None else self._generator.choice(KINDS)
        request = draw_request(self._deployment, self._generator, kind, node)
        if not self._repeats_ids:
            return request
        del history.requests[request.request_id]
        if first is not None:
            request.key, request.events = first.key, first.events
        attempt_id = request.request_id if first is None else first.attempt_id
        request.request_id = f"{attempt_id}#{number}"
        if kind in (RequestKind.STREAM, RequestKind.RESUMABLE):
            request.name = attempt_id
        history.requests[request.request_id] = request
        return request

    async def _send(
        self, node: NodeLinks, request: SentRequest, timeout_seconds: float = float("inf")
    ) -> None:
        """Send a try and record its outcome; the caller breaks off after ``timeout_seconds``."""
        request.sent_at = trio.current_time()
        request.deadline_at = request.sent_at + PATIENCE_SECONDS
        latest = PATIENCE_SECONDS + LATEST_ANSWER_SECONDS
        with trio.move_on_after(min(timeout_seconds, latest)) as scope:
            await self._exchange(node, request)
        request.left = scope.cancelled_caught and timeout_seconds < latest
        request.ended_at = trio.current_time()

    async def _exchange(self, node: NodeLinks, request: SentRequest) -> None:
        """Send a try, and read as much of the response as arrives."""
        body = body_of(request)
        url = httpcore.URL(f"http://{node.clients.address}{path_of(request)}")
        headers = [*headers_of(request).items(), ("Content-Length", str(len(body)))]
        extensions = {"timeout": {"connect": CONNECT_SECONDS}}
        try:
            async with self._pool(node).stream(
                "POST", url, headers=headers, content=body, extensions=extensions
            ) as response:
                found = {name.lower(): value for name, value in response.headers}
                request.head_at = trio.current_time()
                request.stamp = found.get(b"response-stamp", b"").decode()
                request.status = response.status
                async for data in response.aiter_stream():
                    request.body += data
            request.whole = True
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            request.refused_connection = True
        except BROKEN:
            return

    def _pool(self, node: NodeLinks) -> httpcore.AsyncConnectionPool:
        """Return the connections to a node."""
        if node.name not in self._pools:
            self._pools[node.name] = httpcore.AsyncConnectionPool(max_connections=50)
        return self._pools[node.name]
