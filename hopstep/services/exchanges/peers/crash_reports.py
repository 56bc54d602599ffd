"""Reports requests under which this node has seen instances crash to all nodes at once.

Datagrams may be lost, so each report is sent several times. A report that reaches no node is still
in the store, once more than one instance has crashed under the request.
"""

from __future__ import annotations

import math

import trio

from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue
from hopstep.services.quarantine.quarantine import Quarantine

REPEAT_SECONDS = (0.3, 0.9, 2.0, 4.0)
"""Times after the first report at which it is repeated.

The first three outlast a node's short pauses, and lie within the three seconds in which all nodes
should have received the report of a crash. The last one is for a node that can't reach the store
either while datagrams are lost.
"""

MAX_REPEATS = 512
"""Most pending repeats; further reports are sent only once."""


class CrashReports:
    """Puts reports of crashes into the queue of urgent updates, and repeats them later."""

    def __init__(self, quarantine: Quarantine, urgent: UrgentQueue) -> None:
        """Subscribe to the crashes that this node sees.

        Args:
            quarantine: Provides the crashes that this node sees.
            urgent: Receives the updates that are sent to all nodes at once.
        """
        self._urgent = urgent
        self._repeats: list[tuple[float, bytes]] = []
        self._added = trio.Event()
        quarantine.subscribe(self._report)

    def _report(self, fingerprint: bytes) -> None:
        """Report a request now, and schedule its repeats."""
        self._urgent.put_request(fingerprint)
        if len(self._repeats) < MAX_REPEATS:
            now = trio.current_time()
            self._repeats += [(now + seconds, fingerprint) for seconds in REPEAT_SECONDS]
            self._added.set()

    async def run(self) -> None:
        """Repeat reports that are due, until cancelled."""
        while True:
            now = trio.current_time()
            due = {fingerprint for at, fingerprint in self._repeats if at <= now}
            self._repeats = [repeat for repeat in self._repeats if repeat[0] > now]
            for fingerprint in due:
                self._urgent.put_request(fingerprint)
            self._added = trio.Event()
            with trio.move_on_at(min((at for at, _ in self._repeats), default=math.inf)):
                await self._added.wait()
