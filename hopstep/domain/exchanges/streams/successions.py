"""Which later incarnation of an instance may have begun a stream that is recorded as an earlier's.

An instance that starts again under its id answers before nodes have read its new entry. What they
send it meanwhile is recorded as begun by the earlier incarnation.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.streams.origin import StreamOrigin

ENTRY_DELAY_SECONDS = 2.0
"""Longest time from the start of an instance until nodes have read its entry: an instance's
heartbeat, every 1.2 s, and the propagation to all nodes."""

MAX_SUCCESSIONS = 4_096
"""Incarnations that are remembered: all restarts of four days in a large fleet."""


class Succession(msgspec.Struct, frozen=True):
    """An incarnation that was followed by another one under its id.

    Attributes:
        software_version: Version of the later one.
        seen_at: When its entry was read, by the steady clock in seconds.
    """

    software_version: str
    seen_at: float


class Successions:
    """Incarnations that were followed by others, the latest ones."""

    def __init__(self) -> None:
        """Start without any."""
        self._successions: OrderedDict[str, Succession] = OrderedDict()

    def note(self, earlier: Instance, later: Instance, now: float) -> None:
        """Note that an incarnation was followed by another one.

        Args:
            earlier: Its last entry.
            later: The entry of the other one.
            now: Steady clock, seconds.
        """
        key = str(earlier.incarnation)
        self._successions[key] = Succession(later.software_version, now)
        self._successions.move_to_end(key)
        if len(self._successions) > MAX_SUCCESSIONS:
            self._successions.popitem(last=False)

    def makes_doubtful(self, origin: StreamOrigin, began_at: float) -> bool:
        """Return whether a stream may have begun at a later incarnation of another version.

        Args:
            origin: What is recorded of the stream.
            began_at: When its first event came, by the steady clock in seconds.
        """
        succession = self._successions.get(origin.incarnation)
        if succession is None or succession.software_version == origin.software_version:
            return False
        return succession.seen_at <= began_at + ENTRY_DELAY_SECONDS
