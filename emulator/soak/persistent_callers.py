"""Callers that keep one connection and use it until it is closed, also while the node stops.

Load balancers direct new connections away from a node that stops or fails; open ones stay there.
"""

from __future__ import annotations

import httpcore
import trio

from emulator.soak.caller_group import CallerGroup
from emulator.soak.callers import (
    KINDS,
    LATEST_ANSWER_SECONDS,
    PATIENCE_SECONDS,
    body_of,
    draw_request,
    headers_of,
    path_of,
)
from emulator.soak.links import NodeLinks
from emulator.soak.request_records import SentRequest

THINK_SECONDS = (0.0, 0.3)
"""Time between the end of a response and the caller's next request, shortest and longest."""

CONNECT_SECONDS = 1.0
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable)


class PersistentCallers(CallerGroup):
    """A number of callers with one connection each."""

    async def _keep_calling(self) -> None:
        """Open a new connection whenever the last one has ended."""
        while True:
            nodes = self._readiness.usable(self._deployment.nodes)
            await self._use(self._generator.choice(nodes))
            await trio.sleep(self._generator.uniform(*THINK_SECONDS))

    async def _use(self, node: NodeLinks) -> None:
        """Send requests sequentially on one connection until it is closed."""
        host, _, port = node.clients.address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.AsyncHTTPConnection(origin)
        try:
            while not connection.is_closed() and connection.is_available():
                kind = self._generator.choice(KINDS)
                request = draw_request(self._deployment, self._generator, kind, node)
                await self._send(connection, origin, request)
                await trio.sleep(self._generator.uniform(*THINK_SECONDS))
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def _send(
        self,
        connection: httpcore.AsyncHTTPConnection,
        origin: httpcore.Origin,
        request: SentRequest,
    ) -> None:
        """Send a request and record its outcome."""
        with trio.move_on_after(PATIENCE_SECONDS + LATEST_ANSWER_SECONDS):
            await self._exchange(connection, origin, request)
        request.ended_at = trio.current_time()

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        origin: httpcore.Origin,
        request: SentRequest,
    ) -> None:
        """Send a request, and read as much of the response as arrives."""
        body = body_of(request)
        call = httpcore.Request(
            b"POST",
            httpcore.URL(
                scheme=origin.scheme,
                host=origin.host,
                port=origin.port,
                target=path_of(request).encode(),
            ),
            headers=[*headers_of(request).items(), ("Content-Length", str(len(body)))],
            content=body,
            extensions={"timeout": {"connect": CONNECT_SECONDS}},
        )
        try:
            response = await connection.handle_async_request(call)
            found = {name.lower(): value for name, value in response.headers}
            request.status = response.status
            request.stamp = found.get(b"response-stamp", b"").decode()
            async for data in response.aiter_stream():
                request.body += data
            request.whole = True
            await response.aclose()
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            request.refused_connection = True
        except BROKEN:
            return
