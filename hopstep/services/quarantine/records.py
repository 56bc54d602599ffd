"""What nodes know of requests that end instances, kept in the store for all nodes.

A key for each request under which more than one instance has ended. So the knowledge outlasts any
node that has it, also all of them at once, and nodes that start later read it with the rest. The
keys are bound to a lease: nothing is left for good of a request that comes no more.
"""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec
import trio

from hopstep import log_events
from hopstep.domain.quarantine.crash_records import MAX_REQUESTS
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.domain.store_place import ABSENT, StoreLease, StorePlace
from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.logs import emit
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.serving_directory import RejectReason
from hopstep.services.quarantine.quarantine import Quarantine

QUARANTINE_PREFIX = "hopstep/quarantine/"
"""A key for each request: this prefix and its fingerprint in hexadecimal digits."""

LEASE_SECONDS = 600.0
"""The platform's longest. Keys last for half of it at least."""

LEASE_USE_SECONDS = 300.0
"""A lease that is older isn't used for another key."""

ENDS_TO_KEEP = 2
"""One end says nothing about a request: most of those that it broke off just were there."""

MAX_TRIALS = 1
"""Runs that a refused request is allowed, over all nodes. Operators allow three after the third
end: one may go to an end that another request explains, and one may be under way.
"""

TRIAL_AFTER_SECONDS = 8.0
"""After the last end under a request: longer than instances take to be back. An ordinary request
that was under way when all instances of a service ended three times was refused for ten minutes.
"""

CLAIM_SECONDS = 0.5
"""Longest wait for the store's answer to a claim, while the request waits."""

GIVE_BACK_TRIES = 3
"""Writes of others may come between."""

GIVEN_BACK = "given_back"
"""Reason of a run that its client left, or that reached no instance."""

RETRY_SECONDS = 0.3
RECHECK_SECONDS = 1.0
STAND_BACK_SECONDS = 2.0
"""So long a node leaves it to the one that saw an end to write it; that one may be gone by then."""


class StoredRequest(msgspec.Struct, frozen=True):
    """Value of a request's key; readable, since operators look here for the request.

    Attributes:
        tenant: Its caller.
        route: Its route.
        crashes: Ends of instances under it.
        cleared: Lives whose ends no longer count.
        lifted: Written by operators: nothing that is known so far counts any longer.
        trials: Runs that it was allowed although it is refused.
    """

    tenant: str = ""
    route: str = ""
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()
    lifted: bool = False
    trials: int = 0


class _Stored(msgspec.Struct, frozen=True):
    """What the store holds of a request; version ``ABSENT`` once the key has lapsed."""

    version: StorePlace
    crashes: RequestCrashes
    trials: int = 0


class QuarantineRecords:
    """Writes and reads the keys."""

    def __init__(
        self, quarantine: Quarantine, store: KeyValueStorePort, generator: random.Random
    ) -> None:
        """Join the parts.

        Args:
            quarantine: What this node knows.
            store: The store.
            generator: Spreads retries.
        """
        self._quarantine = quarantine
        self._store = store
        self._generator = generator
        self._stored: OrderedDict[bytes, _Stored] = OrderedDict()
        self._missing_since: dict[bytes, float] = {}
        self._lease: StoreLease | None = None
        self._lease_until = -float("inf")
        self._claiming: set[bytes] = set()
        quarantine.offer_trials(self)

    def wait_seconds(self, fingerprint: bytes) -> float:
        """Return for how long no run may be claimed; infinite when none is left."""
        stored = self._stored.get(fingerprint)
        if stored is None or stored.version == ABSENT or stored.trials >= MAX_TRIALS:
            return float("inf")
        due_at = self._quarantine.last_end_at(fingerprint) + TRIAL_AFTER_SECONDS
        return max(0.0, due_at - trio.current_time())

    async def claim(self, fingerprint: bytes) -> bool:
        """Return whether this node, and no other, may run a refused request once.

        The claim counts when the store has acknowledged it. Without an answer it may be used up
        for nothing; the request stays refused then, as it was.
        """
        if self.wait_seconds(fingerprint) > 0 or fingerprint in self._claiming:
            return False
        self._claiming.add(fingerprint)
        try:
            with trio.move_on_after(CLAIM_SECONDS):
                await self._write(fingerprint, trials=1)
                return True
        except StoreError as error:
            self._log_not_tried(fingerprint, error.code.value)
        finally:
            self._claiming.discard(fingerprint)
        return False

    async def give_back(self, fingerprint: bytes) -> None:
        """Allow a request one run more: the last one has shown nothing.

        Without the store's answer the request stays refused, as it was.
        """
        for _ in range(GIVE_BACK_TRIES):
            stored = self._stored.get(fingerprint)
            if stored is None or stored.version == ABSENT or not stored.trials:
                return
            try:
                await self._write(fingerprint, trials=-1)
            except StoreConflictError:
                continue
            except StoreError as error:
                self._log_not_tried(fingerprint, error.code.value)
                return
            self._log_not_tried(fingerprint, GIVEN_BACK)
            return

    @staticmethod
    def _log_not_tried(fingerprint: bytes, reason: str) -> None:
        """Log that a run that a refused request was allowed hasn't shown anything."""
        emit(
            log_events.QUARANTINED_REQUEST_NOT_TRIED,
            fingerprint=fingerprint.hex(),
            reason=reason,
        )

    def apply_stored(self, key: str, value: bytes, version: StorePlace) -> None:
        """Take a key as the store holds it.

        Args:
            key: The key, under ``QUARANTINE_PREFIX``.
            value: Its value; empty when it is gone.
            version: Place of the change.
        """
        try:
            fingerprint = bytes.fromhex(key.removeprefix(QUARANTINE_PREFIX))
            stored = msgspec.json.decode(value, type=StoredRequest) if value else None
        except (ValueError, msgspec.DecodeError) as error:
            reason = RejectReason.UNREADABLE.value
            emit(
                log_events.DIRECTORY_ENTRY_REJECTED,
                key=key,
                reason=reason,
                field="",
                detail=str(error),
            )
            return
        if stored is None:
            self._note_lapsed(fingerprint)
            return
        told = RequestCrashes(fingerprint, stored.crashes, stored.cleared)
        self._note_stored(fingerprint, _Stored(version, told, stored.trials))
        if stored.lifted:
            self._quarantine.lift(fingerprint)
        else:
            self._quarantine.merge_reports([told])

    async def run(self) -> None:
        """Write what the store lacks, until cancelled."""
        while True:
            changed = self._quarantine.changed
            try:
                for fingerprint in self._due():
                    await self._write(fingerprint)
            except StoreError:
                self._lease = None
                await trio.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))
                continue
            if self._missing_since:
                with trio.move_on_after(RECHECK_SECONDS):
                    await changed.wait()
            else:
                await changed.wait()

    def _due(self) -> list[bytes]:
        """Return the requests that this node should write now."""
        now = trio.current_time()
        missing = {
            fingerprint: missing_here
            for fingerprint in self._quarantine.repeated()
            if (missing_here := self._missing(fingerprint)) is not None
        }
        self._missing_since = {
            fingerprint: self._missing_since.get(fingerprint, now) for fingerprint in missing
        }
        return [
            fingerprint
            for fingerprint, seen_here in missing.items()
            if seen_here or now - self._missing_since[fingerprint] >= STAND_BACK_SECONDS
        ]

    def _missing(self, fingerprint: bytes) -> bool | None:
        """Return whether this node saw what the store lacks of a request; None for nothing.

        What has lapsed in the store is written again by those that saw it, as long as they know of
        it: a lease may end early, together with an outage. Others would keep it up for good.
        """
        stored = self._stored.get(fingerprint)
        known = self._quarantine.known_crashes(fingerprint)
        in_store = stored.crashes if stored is not None else RequestCrashes(fingerprint)
        if stored is None and self._quarantine.terminations(fingerprint) < ENDS_TO_KEEP:
            return None
        lacking = set(known.crashes) - set(in_store.crashes)
        cleared = set(known.cleared) - set(in_store.cleared)
        own = any(crash.node == self._quarantine.node for crash in lacking)
        if stored is not None and stored.version == ABSENT:
            own = any(crash.node == self._quarantine.node for crash in known.crashes)
            return True if own else None
        if not lacking and not cleared:
            return None
        return own

    async def _write(self, fingerprint: bytes, trials: int = 0) -> None:
        """Write all that is known of a request; what others wrote meanwhile is taken first.

        Args:
            fingerprint: The request.
            trials: Runs that it is allowed from now on, beside those of before.
        """
        key = QUARANTINE_PREFIX + fingerprint.hex()
        stored = self._stored.get(fingerprint)
        known = self._quarantine.known_crashes(fingerprint)
        name = self._quarantine.name(fingerprint)
        trials += stored.trials if stored is not None else 0
        value = StoredRequest(name.caller, name.route, known.crashes, known.cleared, trials=trials)
        lease = await self._current_lease()
        expected = stored.version if stored is not None else ABSENT
        try:
            version = await self._store.compare_and_swap(
                key, expected, msgspec.json.encode(value), lease
            )
        except StoreConflictError:
            found = await self._store.get(key)
            if found is None:
                self._note_lapsed(fingerprint)
            else:
                self.apply_stored(key, found.value, found.version)
            raise
        self._note_stored(fingerprint, _Stored(version, known, trials))

    async def _current_lease(self) -> StoreLease:
        """Return a lease that is young enough for one more key."""
        now = trio.current_time()
        if self._lease is None or now >= self._lease_until:
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
            self._lease_until = now + LEASE_USE_SECONDS
        return self._lease

    def _note_stored(self, fingerprint: bytes, stored: _Stored) -> None:
        """Note what the store holds, unless something newer is known."""
        known = self._stored.get(fingerprint)
        if known is not None and known.version > stored.version:
            return
        if known is not None and known.version.era < stored.version.era:
            stored = _restored(known, stored)
        self._stored[fingerprint] = stored
        self._stored.move_to_end(fingerprint)
        while len(self._stored) > MAX_REQUESTS:
            self._stored.popitem(last=False)

    def _note_lapsed(self, fingerprint: bytes) -> None:
        """Note that the store no longer holds a request."""
        known = self._stored.get(fingerprint)
        if known is not None:
            lapsed = _Stored(ABSENT, RequestCrashes(fingerprint), known.trials)
            self._stored[fingerprint] = lapsed
            self._quarantine.wake()


def _restored(known: _Stored, stored: _Stored) -> _Stored:
    """Return what a store that was restored holds: runs that were used up stay used up.

    Where it shows fewer of them it counts as lacking the rest too, so that it is written again.
    """
    if stored.trials >= known.trials:
        return stored
    return _Stored(stored.version, RequestCrashes(stored.crashes.fingerprint), known.trials)
