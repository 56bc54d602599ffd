"""Shares the requests under which engines have crashed with all routers, by gossip.

Each router publishes the terminations that it has seen itself, and those that no longer count; the
others merge them into their own records. An entry fits into a datagram, and there is one for each
slot: all members keep a withdrawn entry, so that the number of subjects must be bounded.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict

from hopstep.domain.membership import Action, EntryChanged
from hopstep.domain.peer_message import CrashEntry, EntryKind
from hopstep.domain.quarantine.crashes import RequestCrashes
from hopstep.services.membership import MembershipService
from hopstep.services.quarantine.quarantine import Quarantine

MAX_PUBLISHED_REQUESTS = 64
"""Requests that a router publishes: at some 250 bytes each, at most 16 kB for each member."""

MAX_TERMINATIONS_PER_ENTRY = 4
"""Terminations in one entry: one more than the number that has a request refused."""


class CrashEntries:
    """Connects a router's quarantine with the shared entries of its membership."""

    def __init__(self, quarantine: Quarantine, membership: MembershipService) -> None:
        """Subscribe to the terminations seen here and to the entries of other routers.

        Args:
            quarantine: Terminations known to this router, by request.
            membership: Holds the shared entries.
        """
        self._quarantine = quarantine
        self._membership = membership
        self._slots: OrderedDict[bytes, int] = OrderedDict()
        self._free = itertools.count()
        quarantine.subscribe(self._publish)
        membership.subscribe(self._handle)

    def _publish(self, fingerprint: bytes) -> None:
        """Publish a request; when all slots are taken, replace the least recently published one."""
        slot = self._slots.pop(fingerprint, None)
        if slot is None:
            full = len(self._slots) >= MAX_PUBLISHED_REQUESTS
            slot = self._slots.popitem(last=False)[1] if full else next(self._free)
        self._slots[fingerprint] = slot
        known = self._quarantine.known_crashes(fingerprint)
        cleared = known.cleared[-MAX_TERMINATIONS_PER_ENTRY:]
        published = [
            crash
            for crash in known.crashes
            if crash.node == self._quarantine.node or crash.incarnation in cleared
        ]
        entry = CrashEntry(
            RequestCrashes(fingerprint, tuple(published[-MAX_TERMINATIONS_PER_ENTRY:]), cleared)
        )
        self._membership.publish(EntryKind.CRASHES, str(slot), entry)

    def _handle(self, action: Action) -> None:
        """Merge an entry of another router into the quarantine."""
        if not isinstance(action, EntryChanged):
            return
        entry = action.entry
        if isinstance(entry.value, CrashEntry) and entry.owner != self._membership.own.name:
            self._quarantine.merge_reports([entry.value.request])
