"""Shares what a router sees of requests that end engines with all routers, by gossip.

Each router tells the ends that it has seen itself, and those that no longer count; the others join
that to what they know. Entries are small enough for a datagram, and as many as there are slots: a
withdrawn entry is kept by all members, so subjects may not grow without bound.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict

from hopstep.domain.membership import Action, EntryChanged
from hopstep.domain.peer_message import CrashEntry, EntryKind
from hopstep.domain.quarantine.crashes import RequestCrashes
from hopstep.services.membership import MembershipService
from hopstep.services.quarantine.quarantine import Quarantine

SLOTS = 64
"""Requests that a router tells of: at some 250 bytes each 16 kB a member, at the very most."""

MAX_TOLD = 4
"""Ends in one entry: one more than it takes to have a request refused."""


class CrashEntries:
    """Joins a router's quarantine with the entries of its membership."""

    def __init__(self, quarantine: Quarantine, membership: MembershipService) -> None:
        """Follow what is seen here and what others tell.

        Args:
            quarantine: What this router knows.
            membership: Shared entries.
        """
        self._quarantine = quarantine
        self._membership = membership
        self._slots: OrderedDict[bytes, int] = OrderedDict()
        self._free = itertools.count()
        quarantine.subscribe(self._publish)
        membership.subscribe(self._take)

    def _publish(self, fingerprint: bytes) -> None:
        """Tell of a request; the one that was told the longest ago makes room for it."""
        slot = self._slots.pop(fingerprint, None)
        if slot is None:
            full = len(self._slots) >= SLOTS
            slot = self._slots.popitem(last=False)[1] if full else next(self._free)
        self._slots[fingerprint] = slot
        known = self._quarantine.known_crashes(fingerprint)
        cleared = known.cleared[-MAX_TOLD:]
        told = [
            crash
            for crash in known.crashes
            if crash.node == self._quarantine.node or crash.life in cleared
        ]
        entry = CrashEntry(RequestCrashes(fingerprint, tuple(told[-MAX_TOLD:]), cleared))
        self._membership.publish(EntryKind.CRASHES, str(slot), entry)

    def _take(self, action: Action) -> None:
        """Take what another router tells."""
        if not isinstance(action, EntryChanged):
            return
        entry = action.entry
        if isinstance(entry.value, CrashEntry) and entry.owner != self._membership.own.name:
            self._quarantine.merge_reports([entry.value.request])
