"""Tells all nodes at once of requests under which this node has seen instances end.

Datagrams may be lost, so each piece of news is told three times. What reaches nobody that way is
in the store, once more than one instance has ended under the request.
"""

from __future__ import annotations

import math

import trio

from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue
from hopstep.services.quarantine.quarantine import Quarantine

REPEAT_SECONDS = (0.3, 0.9)
"""After the first time: beyond a node's short pauses, and within the three seconds in which all
nodes should know of an end.
"""

MAX_REPEATS = 512
"""Waiting; further ones are told once."""


class CrashReports:
    """Puts what was seen into the box of urgent news, and again later."""

    def __init__(self, quarantine: Quarantine, urgent: UrgentQueue) -> None:
        """Follow what this node sees.

        Args:
            quarantine: Tells what it sees.
            urgent: Takes what all nodes are told at once.
        """
        self._urgent = urgent
        self._repeats: list[tuple[float, bytes]] = []
        self._added = trio.Event()
        quarantine.subscribe(self._tell)

    def _tell(self, fingerprint: bytes) -> None:
        """Tell of a request now and later."""
        self._urgent.put_request(fingerprint)
        if len(self._repeats) < MAX_REPEATS:
            now = trio.current_time()
            self._repeats += [(now + seconds, fingerprint) for seconds in REPEAT_SECONDS]
            self._added.set()

    async def run(self) -> None:
        """Tell again what is due, until cancelled."""
        while True:
            now = trio.current_time()
            due = {fingerprint for at, fingerprint in self._repeats if at <= now}
            self._repeats = [repeat for repeat in self._repeats if repeat[0] > now]
            for fingerprint in due:
                self._urgent.put_request(fingerprint)
            self._added = trio.Event()
            with trio.move_on_at(min((at for at, _ in self._repeats), default=math.inf)):
                await self._added.wait()
