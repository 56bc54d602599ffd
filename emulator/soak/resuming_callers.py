"""Callers that hold streams and resume them at other nodes when they break.

Each names the request that brought the first event of its stream, as the platform's clients do.
"""

from __future__ import annotations

import random

import trio

from emulator.soak.callers import Callers, draw_request
from emulator.soak.deployment import Deployment
from emulator.soak.request_records import HeldStream, RequestKind, SentRequest

HOLD_SECONDS = (4.0, 10.0)
"""Times for which callers hold a stream; the longer one is more than a node takes to start."""

PAUSES_SECONDS = (0.05, 0.05, 0.2, 0.8, 1.6, 0.0)
"""Time after each try that reached a node; their number is that of the tries."""

REFUSED_PAUSE_SECONDS = 0.2
"""Time after a connection that was refused; such a try doesn't count."""

EVENTS = (10, 100)
"""Events of a stream, fewest and most; the longest lasts some two seconds."""

LEAVING_SHARE = 0.5
"""Share of tries in which the caller breaks its connection off."""

LEAVING_SECONDS = (0.1, 1.5)

LEAST_SECONDS = 0.05
"""Time that a try must have left before the caller gives up."""


class ResumingCallers:
    """A number of callers that hold one stream after the other."""

    def __init__(
        self, deployment: Deployment, callers: Callers, generator: random.Random, count: int
    ) -> None:
        """Prepare without streams.

        Args:
            deployment: Nodes and history.
            callers: Sends requests, and knows which nodes are ready.
            generator: Draws streams, nodes and broken connections.
            count: Number of callers.
        """
        self._deployment = deployment
        self._callers = callers
        self._generator = generator
        self._count = count

    async def run(self) -> None:
        """Hold streams until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._keep_streaming)

    async def _keep_streaming(self) -> None:
        """Hold one stream after the other."""
        while True:
            await self._hold()
            await trio.sleep(self._generator.uniform(0.0, 0.3))

    async def _hold(self) -> None:
        """Hold one stream over several tries, until it is complete or the caller gives up."""
        stream = HeldStream(self._generator.randrange(*EVENTS))
        self._deployment.history.streams.append(stream)
        give_up_at = trio.current_time() + self._generator.choice(HOLD_SECONDS)
        for pause in PAUSES_SECONDS:
            await self._try_until_received(stream, give_up_at)
            await trio.sleep(pause)
            if stream.complete or trio.current_time() >= give_up_at - LEAST_SECONDS:
                return

    async def _try_until_received(self, stream: HeldStream, give_up_at: float) -> None:
        """Make tries until one reaches a node."""
        while trio.current_time() < give_up_at - LEAST_SECONDS:
            request = self._next_try(stream, give_up_at)
            await self._send(request)
            stream.take(request)
            if not request.refused_connection:
                return
            await trio.sleep(REFUSED_PAUSE_SECONDS)

    def _next_try(self, stream: HeldStream, give_up_at: float) -> SentRequest:
        """Return the request of the next try, at any node."""
        nodes = self._callers.readiness.usable(self._deployment.nodes)
        request = draw_request(
            self._deployment, self._generator, RequestKind.RESUMABLE, self._generator.choice(nodes)
        )
        request.deadline_at = give_up_at
        request.events = stream.events
        request.first_event = stream.received
        request.resumes = stream.origin
        if stream.tries:
            first = self._deployment.history.requests[stream.tries[0]]
            request.key = first.key
        request.name = stream.tries[0] if stream.tries else request.request_id
        stream.tries.append(request.request_id)
        return request

    async def _send(self, request: SentRequest) -> None:
        """Send a request; in some cases the caller breaks its connection off."""
        leaves = self._generator.random() < LEAVING_SHARE
        seconds = self._generator.uniform(*LEAVING_SECONDS)
        with trio.move_on_after(seconds if leaves else float("inf")) as scope:
            await self._callers.send(request)
        request.left = leaves and scope.cancelled_caught
        request.ended_at = trio.current_time()
