"""Callers that ignore refusals and the readiness of nodes.

They repeat a request that crashes each instance that begins it, sometimes several times at once, or
send requests with a revoked key.
"""

from __future__ import annotations

import random

import trio

from emulator.soak.callers import KINDS, Callers, draw_request
from emulator.soak.deployment import Deployment, NodeLinks
from emulator.soak.operators import LASTING_KEY

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
        generator = self._generator
        name = generator.randbytes(4).hex()
        kind = generator.choice(KINDS)
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
                    request.key, request.fatal = key, name
                    nursery.start_soon(self._callers.send, request)
                await trio.sleep(generator.uniform(*BETWEEN_SECONDS))

    async def use_key(self, node: NodeLinks, key: str) -> None:
        """Send a node one request of each kind with the given key."""
        async with trio.open_nursery() as nursery:
            for kind in sorted(set(KINDS)):
                request = draw_request(self._deployment, self._generator, kind, node)
                request.key = key
                nursery.start_soon(self._callers.send, request)
