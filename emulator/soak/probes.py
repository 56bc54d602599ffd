"""Probes that check on each node which routes are in force."""

from __future__ import annotations

import random

import httpx
import trio

from emulator.soak.callers import (
    PATIENCE_SECONDS,
    UNUSED_TLS,
    body_of,
    draw_request,
    headers_of,
    path_of,
)
from emulator.soak.deployment import Deployment
from emulator.soak.links import NodeLinks
from emulator.soak.request_records import RequestKind, SentRequest

PROBES_PER_SECOND = 40.0
"""Probes per second to all nodes together."""

RECENT_CHANGES = 8
"""Number of the latest route changes from which probes choose."""

CONNECT_SECONDS = 1.0


class Probes:
    """Requests recently added or removed routes from each node."""

    def __init__(self, deployment: Deployment, generator: random.Random) -> None:
        """Prepare without sending.

        Args:
            deployment: Nodes and history.
            generator: Draws routes.
        """
        self._deployment = deployment
        self._generator = generator

    async def run(self) -> None:
        """Send probes until cancelled."""
        interval = len(self._deployment.nodes) / PROBES_PER_SECOND
        async with trio.open_nursery() as nursery:
            for node in self._deployment.nodes:
                nursery.start_soon(self._probe_node, node, interval)

    async def _probe_node(self, node: NodeLinks, interval: float) -> None:
        """Send probes to one node, one after the other."""
        timeout = httpx.Timeout(PATIENCE_SECONDS, connect=CONNECT_SECONDS)
        url = f"http://{node.clients.address}"
        async with httpx.AsyncClient(base_url=url, timeout=timeout, verify=UNUSED_TLS) as client:
            while True:
                await trio.sleep(interval * self._generator.uniform(0.5, 1.5))
                changes = self._deployment.history.route_changes[-RECENT_CHANGES:]
                if changes and node.running:
                    path = self._generator.choice(changes).path
                    request = draw_request(
                        self._deployment, self._generator, RequestKind.SAFE, node, path
                    )
                    await self._send(client, request)

    async def _send(self, client: httpx.AsyncClient, request: SentRequest) -> None:
        """Send a probe and record its response."""
        try:
            response = await client.post(
                path_of(request), headers=headers_of(request), content=body_of(request)
            )
        except httpx.TransportError as error:
            request.refused_connection = isinstance(error, httpx.ConnectError)
        else:
            request.status = response.status_code
            request.stamp = response.headers.get("response-stamp", "")
            request.body = response.content
            request.whole = True
        request.ended_at = trio.current_time()
