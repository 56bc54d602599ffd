"""Callers that don't give up, whatever they are told, and don't ask whether a node is ready.

They send a request again and again which ends each instance that begins it, sometimes several times
at once, or send requests with a key that was taken away.
"""

from __future__ import annotations

import random

import trio

from emulator.soak.callers import KINDS, Callers, draw_request
from emulator.soak.deployment import Deployment, NodeLinks
from emulator.soak.operators import LASTING_KEY

SENDING_SECONDS = (8.0, 16.0)
"""Long enough for what happens later than three seconds after the third end."""

BETWEEN_SECONDS = (0.1, 0.6)
AT_ONCE = (1, 1, 1, 2, 4)
"""Drawn: how often it is sent at the same moment."""


class HostileCallers:
    """Sends such requests."""

    def __init__(self, deployment: Deployment, callers: Callers, generator: random.Random) -> None:
        """Send nothing yet.

        Args:
            deployment: Nodes and history.
            callers: Sends and records.
            generator: Draws requests.
        """
        self._deployment = deployment
        self._callers = callers
        self._generator = generator

    async def repeat_fatal_request(self) -> None:
        """Send one fatal request again and again for a while, at any node."""
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
        """Send a node one request of each kind with a key."""
        async with trio.open_nursery() as nursery:
            for kind in sorted(set(KINDS)):
                request = draw_request(self._deployment, self._generator, kind, node)
                request.key = key
                nursery.start_soon(self._callers.send, request)
