"""Callers that ignore refusals and the readiness of nodes.

They repeat a request that crashes each instance that begins it, sometimes several times at once,
send different requests that share a part of their prompts that does so, or requests with a revoked
key.
"""

from __future__ import annotations

import random

import trio

from emulator.exchange_platform.instance_requests import FATAL_PART_START
from emulator.soak.callers import KINDS, Callers, draw_request
from emulator.soak.deployment import Deployment
from emulator.soak.links import NodeLinks
from emulator.soak.operators import LASTING_KEY
from emulator.soak.request_records import RequestKind

SENDING_SECONDS = (8.0, 16.0)
"""Duration of the repeats; long enough to check requests over 3 s after the third crash."""

BETWEEN_SECONDS = (0.1, 0.6)
"""Time between two repeats, shortest and longest."""

AT_ONCE = (1, 1, 1, 2, 4)
"""Number of copies that are sent at once; one of these is drawn for each repeat."""


class HostileCallers:
    """Sends fatal requests, and requests with revoked keys."""

    def __init__(self, deployment: Deployment, callers: Callers, generator: random.Random) -> None:
        """Prepare without sending.

        Args:
            deployment: Nodes and history.
            callers: Sends the requests and records their outcomes.
            generator: Draws requests.
        """
        self._deployment = deployment
        self._callers = callers
        self._generator = generator

    async def repeat_fatal_request(self) -> None:
        """Repeat one fatal request for a while, at random nodes."""
        name = self._generator.randbytes(4).hex()
        await self._send_fatal(name, self._generator.choice(KINDS), has_part=False)

    async def share_fatal_part(self) -> None:
        """Send different requests that share a fatal part for a while, at random nodes."""
        part = FATAL_PART_START + self._generator.randbytes(4).hex()
        kind = self._generator.choice((RequestKind.STREAM, RequestKind.RESUMABLE))
        await self._send_fatal(part, kind, has_part=True)

    async def _send_fatal(self, name: str, kind: RequestKind, *, has_part: bool) -> None:
        """Send fatal requests with the key of one tenant.

        Args:
            name: Name of equal requests, or id of the part that different ones share.
            kind: Kind of the requests.
            has_part: Whether they differ.
        """
        generator = self._generator
        keys = [
            key for key in sorted(self._deployment.history.tenants) if key.endswith(LASTING_KEY)
        ]
        key = generator.choice(keys)
        until = trio.current_time() + generator.uniform(*SENDING_SECONDS)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                for _ in range(generator.choice(AT_ONCE)):
                    node = generator.choice(self._deployment.nodes)
                    request = draw_request(self._deployment, generator, kind, node)
                    request.key, request.fatal, request.has_fatal_part = key, name, has_part
                    nursery.start_soon(self._callers.send, request)
                await trio.sleep(generator.uniform(*BETWEEN_SECONDS))

    async def use_key(self, node: NodeLinks, key: str) -> None:
        """Send a node one request of each kind with the given key."""
        async with trio.open_nursery() as nursery:
            for kind in sorted(set(KINDS)):
                request = draw_request(self._deployment, self._generator, kind, node)
                request.key = key
                nursery.start_soon(self._callers.send, request)
