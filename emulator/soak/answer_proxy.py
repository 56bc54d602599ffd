"""A proxy in front of one instance whose answers are repeated, cut off, or followed by no end.

It reads the instance's answers with the rules of HTTP/1.1 and passes the bytes on unchanged. A
faulty answer is passed on twice, stops in its head or body, or is replaced by bytes that go on
until the caller closes the connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from emulator.soak.answer_connection import BROKEN, FaultyConnection
from emulator.soak.answer_faults import AnswerEvent, AnswerFaults
from emulator.soak.endless_answers import MAX_ENDLESS
from emulator.soak.proxies import LOOPBACK


class FaultyAnswerProxy:
    """Forwards connections to one instance; the shares of faults may change at any time.

    Attributes:
        faults: Shares of the faults.
        generator: Draws faults.
    """

    _endless_count = 0

    def __init__(
        self,
        target: str,
        generator: random.Random,
        on_event: Callable[[AnswerEvent], None] = lambda _event: None,
    ) -> None:
        """Forward without faults.

        Args:
            target: ``ip:port`` of the instance.
            generator: Draws faults.
            on_event: Called for each whole answer and each fault.
        """
        self.faults = AnswerFaults()
        self.generator = generator
        self._target = target
        self._on_event = on_event
        self._connections = 0
        self._scope = trio.CancelScope()

    async def run(
        self, address: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and forward until cancelled.

        Args:
            address: ``ip:port`` to listen at.
            task_status: Reports that the port is open.
        """
        port = int(address.rpartition(":")[2])
        listeners = await trio.open_tcp_listeners(port, host=LOOPBACK)
        with self._scope:
            task_status.started()
            await trio.serve_listeners(self._forward, listeners)

    def close(self) -> None:
        """Close the port and end all connections."""
        self._scope.cancel()

    def draw(self, share: float) -> bool:
        """Draw whether a fault occurs that has this share."""
        return share > 0 and self.generator.random() < share

    def begin_endless(self) -> bool:
        """Count an answer without end; return False if there are enough."""
        if FaultyAnswerProxy._endless_count >= MAX_ENDLESS:
            return False
        FaultyAnswerProxy._endless_count += 1
        return True

    def end_endless(self) -> None:
        """Count the end of an answer without end."""
        FaultyAnswerProxy._endless_count -= 1

    def report(self, event: AnswerEvent) -> None:
        """Report an event of a connection."""
        self._on_event(event)

    async def _forward(self, client: trio.SocketStream) -> None:
        """Forward one connection until it ends."""
        self._connections += 1
        host, _, port = self._target.rpartition(":")
        try:
            async with client, await trio.open_tcp_stream(host, int(port)) as server:
                await FaultyConnection(self, self._connections, client, server).run()
        except BROKEN:
            return
