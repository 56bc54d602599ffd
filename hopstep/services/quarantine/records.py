"""Records of requests that crash instances, kept in the store for all nodes.

There is a key for each request under which more than one instance has terminated. So the records
outlast every node, even if all stop at once, and nodes that start later read them with the other
keys. The keys are bound to a lease: the record of a request that isn't sent again expires.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

import msgspec
import trio

from hopstep.domain.quarantine.crash_records import MAX_REQUESTS, drop_oldest
from hopstep.domain.quarantine.crashes import RequestCrashes
from hopstep.domain.quarantine.fingerprint import is_part
from hopstep.domain.quarantine.trial_uses import TrialUse
from hopstep.domain.store_position import ABSENT, StorePosition
from hopstep.error_reports import describe_unexpected
from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.log_events.configuration import DIRECTORY_ENTRY_REJECTED
from hopstep.log_events.requests import QUARANTINED_REQUEST_NOT_TRIED
from hopstep.logs import emit
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.serving_directory import RejectReason
from hopstep.services.quarantine.known_records import KnownRecord, KnownRecords
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.quarantine.stored_requests import (
    encode_stored,
    read_fingerprint,
    read_stored,
    request_key,
)
from hopstep.services.short_lease import ShortLease

KEEP_SECONDS = 300.0
"""Time for which a key lasts at least: half of the platform's longest lease."""

LEASE_USE_SECONDS = 300.0
"""Age above which a lease isn't used for further keys."""

MIN_STORED_TERMINATIONS = 2
"""A single termination says little about a request: most requests that it interrupts didn't cause
it."""

MAX_TRIALS = 1
"""Trials of a refused request, over all nodes. Operators allow three runs after the third
termination: one may end in a termination that another request explains, and one may be in
progress.
"""

MAX_PART_TRIALS = 2
"""The same for a part of prompts: the last one is by a request that is refused for this part alone,
as one that several parts have refused may not show which of them is to blame.
"""

TRIAL_AFTER_SECONDS = 8.0
"""Wait after the last termination under a request: longer than instances take to restart. Otherwise
an ordinary request that is in progress while all instances of a service terminate three times is
refused for ten minutes.
"""

CLAIM_SECONDS = 0.5
"""Longest wait for the store's answer to a claim, while the request waits."""

MAX_RELEASE_ATTEMPTS = 3
"""Attempts to release a trial: writes of other nodes may conflict."""

TRIAL_RELEASED = "given_back"
"""Logged reason of a trial that its client abandoned, or that reached no instance."""

TRIAL_LOST = "lost"
"""Logged reason of a trial that is run again, as its process ended before it was judged."""

RETRY_SECONDS = 0.3
RECHECK_SECONDS = 1.0
OBSERVER_WRITE_SECONDS = 2.0
"""Time that the node which saw a termination has to write it; after that, others write it, as the
observer may be gone."""


MAX_DETAIL = 200
"""Characters of a logged detail; errors may repeat a part of the record."""


class NodeProcesses(Protocol):
    """The processes of the nodes, as their entries in the store show them."""

    @property
    def own_process(self) -> str:
        """Identifier of this process; empty while its entry isn't known."""

    def has_ended(self, process: str) -> bool:
        """Return whether the entry of a process was replaced or removed."""


class QuarantineRecords:
    """Writes and reads the records in the store."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: KeyValueStorePort,
        generator: random.Random,
        processes: NodeProcesses | None = None,
    ) -> None:
        """Connect the quarantine with the store; ``run`` writes the records.

        Args:
            quarantine: Terminations known to this node, by request.
            store: Key-value store.
            generator: Spreads the retries of many nodes.
            processes: The nodes' processes; without them no lost trial is run again.
        """
        self._processes = processes
        self._quarantine = quarantine
        self._store = store
        self._generator = generator
        self._known = KnownRecords()
        self._missing_since: dict[bytes, float] = {}
        self._succeeded: set[bytes] = set()
        self._judged: set[bytes] = set()
        self._unconfirmed: OrderedDict[bytes, TrialUse] = OrderedDict()
        self._lease = ShortLease(store, LEASE_USE_SECONDS)
        self._claiming: set[bytes] = set()
        self._count_rejected: Callable[[RejectReason], None] = lambda _reason: None
        quarantine.set_trials(self)

    def subscribe_rejections(self, listener: Callable[[RejectReason], None]) -> None:
        """Call a listener for each record that can't be read."""
        self._count_rejected = listener

    def wait_seconds(self, fingerprint: bytes, *, alone: bool = True) -> float:
        """Return the seconds until a trial may be claimed; infinite when none is left.

        Args:
            fingerprint: The refused subject.
            alone: Whether the request is refused for it only.
        """
        stored = self._known.get_held(fingerprint)
        most = _most_trials(fingerprint, alone=alone)
        if stored is None:
            return float("inf")
        if stored.use.used >= most and not self._may_repeat_trial(fingerprint, stored.use, most):
            return float("inf")
        due_at = self._quarantine.last_end_at(fingerprint) + TRIAL_AFTER_SECONDS
        return max(0.0, due_at - trio.current_time())

    async def claim(self, fingerprint: bytes, *, alone: bool = True) -> bool:
        """Claim a trial; return whether this node, and no other, may run a refused request once.

        The claim counts once the store has acknowledged it. Otherwise, or if the client leaves
        before that, nothing runs, and the claim is released if the store shows it later.
        """
        if self.wait_seconds(fingerprint, alone=alone) > 0 or fingerprint in self._claiming:
            return False
        self._claiming.add(fingerprint)
        try:
            with trio.move_on_after(CLAIM_SECONDS):
                process = self._processes.own_process if self._processes is not None else ""
                most = _most_trials(fingerprint, alone=alone)
                self._judged.discard(fingerprint)
                use = self._use(fingerprint)
                self._unconfirmed[fingerprint] = use.claimed(most, process)
                drop_oldest(self._unconfirmed, MAX_REQUESTS)
                await self._write(fingerprint, use.claimed(most, process))
                self._unconfirmed.pop(fingerprint, None)
                if use.used >= most:
                    self._log_not_tried(fingerprint, TRIAL_LOST)
                return True
        except StoreError as error:
            self._log_not_tried(fingerprint, error.code.value)
        finally:
            self._claiming.discard(fingerprint)
            if fingerprint in self._unconfirmed:
                self._quarantine.notify_changed()
        return False

    async def release_trial(self, fingerprint: bytes) -> None:
        """Allow a request another trial: the last one was inconclusive.

        Without the store's answer the request stays refused.
        """
        for _ in range(MAX_RELEASE_ATTEMPTS):
            stored = self._known.get_held(fingerprint)
            if stored is None or not stored.use.used:
                return
            try:
                await self._write(fingerprint, stored.use.released())
            except StoreConflictError:
                continue
            except StoreError as error:
                self._log_not_tried(fingerprint, error.code.value)
                return
            self._log_not_tried(fingerprint, TRIAL_RELEASED)
            return

    def note_succeeded(self, fingerprint: bytes) -> None:
        """Write the release of a subject at once, as its trial here got a complete response.

        If all nodes were lost before that, they would read that it is refused, without a trial.
        """
        self._succeeded.add(fingerprint)
        self.note_conclusive(fingerprint)

    def note_conclusive(self, fingerprint: bytes) -> None:
        """Have the store show that a trial here was judged, so that it isn't run again."""
        self._judged.add(fingerprint)
        self._quarantine.notify_changed()

    def _may_repeat_trial(self, fingerprint: bytes, use: TrialUse, most: int) -> bool:
        """Return whether the last trial was lost with its process, and may be run again.

        Args:
            fingerprint: The refused subject.
            use: The trials that it has used.
            most: Trials that it may have used with the one that is to run.
        """
        known = self._quarantine.known_crashes(fingerprint)
        on_record = {crash.incarnation for crash in known.crashes}.union(known.cleared)
        if not use.may_be_repeated(most, len(on_record), is_part=is_part(fingerprint)):
            return False
        return self._processes is not None and self._processes.has_ended(use.claimant)

    @staticmethod
    def _log_not_tried(fingerprint: bytes, reason: str) -> None:
        """Log that a refused request's trial didn't run or was inconclusive."""
        emit(
            QUARANTINED_REQUEST_NOT_TRIED,
            fingerprint=fingerprint.hex(),
            reason=reason,
        )

    def apply_stored(self, key: str, value: bytes, version: StorePosition) -> None:
        """Apply the record of a key in the store.

        Args:
            key: The key, under ``QUARANTINE_PREFIX``.
            value: Its value; empty when the key is gone.
            version: Store position of the change.
        """
        try:
            self._apply_stored(key, value, version)
        except msgspec.DecodeError as error:
            self._reject(key, RejectReason.UNREADABLE, str(error))
        except Exception as error:
            self._reject(key, RejectReason.UNEXPECTED, describe_unexpected(error))

    def _reject(self, key: str, reason: RejectReason, detail: str) -> None:
        """Log and count a record that can't be read; the others are applied."""
        self._count_rejected(reason)
        emit(
            DIRECTORY_ENTRY_REJECTED,
            key=key,
            reason=reason.value,
            field="",
            detail=detail[:MAX_DETAIL],
        )

    def _apply_stored(self, key: str, value: bytes, version: StorePosition) -> None:
        """Apply the record of a key; see ``apply_stored``.

        Raises:
            msgspec.DecodeError: The key or the value can't be read.
        """
        fingerprint = read_fingerprint(key)
        stored = read_stored(value) if value else None
        if stored is None:
            self._note_expiry(fingerprint)
            return
        recorded = RequestCrashes(fingerprint, stored.crashes, stored.cleared)
        self._note(fingerprint, KnownRecord(version, recorded, stored.use))
        if stored.lifted:
            self._quarantine.lift(fingerprint)
        else:
            self._quarantine.merge_reports([recorded])

    async def run(self) -> None:
        """Write the records that the store lacks, until cancelled."""
        while True:
            changed = self._quarantine.changed
            try:
                for fingerprint in self._due():
                    await self._write(fingerprint)
            except StoreError:
                self._lease.forget()
                await trio.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))
                continue
            if self._missing_since:
                with trio.move_on_after(RECHECK_SECONDS):
                    await changed.wait()
            else:
                await changed.wait()

    def _due(self) -> list[bytes]:
        """Return the requests whose records this node should write now."""
        now = trio.current_time()
        missing = {
            fingerprint: missing_here
            for fingerprint in self._quarantine.repeated()
            if (missing_here := self._missing(fingerprint)) is not None
        }
        self._missing_since = {
            fingerprint: self._missing_since.get(fingerprint, now) for fingerprint in missing
        }
        self._succeeded.intersection_update(missing)
        self._judged = {f for f in self._judged if self._has_open_trial(f)}
        due = [
            fingerprint
            for fingerprint, seen_here in missing.items()
            if seen_here or now - self._missing_since[fingerprint] >= OBSERVER_WRITE_SECONDS
        ]
        unused = [f for f in self._unconfirmed if self._is_unused_claim(f)]
        return list(dict.fromkeys((*due, *self._judged, *unused)))

    def _use(self, fingerprint: bytes) -> TrialUse:
        """Return the trials of a request that the store showed last."""
        record = self._known.get(fingerprint)
        return record.use if record is not None else TrialUse()

    def _is_unused_claim(self, fingerprint: bytes) -> bool:
        """Return whether the store shows a claim of this process whose acknowledgement was lost."""
        if fingerprint in self._claiming or not self._has_open_trial(fingerprint):
            return False
        return self._use(fingerprint) == self._unconfirmed.get(fingerprint)

    def _has_open_trial(self, fingerprint: bytes) -> bool:
        """Return whether the store shows a trial of this process that hasn't been judged."""
        stored = self._known.get_held(fingerprint)
        if stored is None or self._processes is None:
            return False
        return bool(stored.use.claimant) and stored.use.claimant == self._processes.own_process

    def _missing(self, fingerprint: bytes) -> bool | None:
        """Return whether this node saw what a request's record lacks; None if it lacks nothing.

        Many nodes see answers to one subject, so only that to its trial counts as seen here.

        A record that expired in the store is written again by the nodes that saw its terminations,
        as long as they remember them: a lease may end early, during an outage. If the other nodes
        wrote it too, it would never expire.
        """
        stored = self._known.get(fingerprint)
        known = self._quarantine.known_crashes(fingerprint)
        in_store = stored.crashes if stored is not None else RequestCrashes(fingerprint)
        if stored is None and not self._is_worth_storing(fingerprint):
            return None
        lacking = set(known.crashes) - set(in_store.crashes)
        cleared = set(known.cleared) - set(in_store.cleared)
        own = any(crash.node == self._quarantine.node for crash in lacking)
        if stored is not None and stored.is_absent:
            own = any(crash.node == self._quarantine.node for crash in known.crashes)
            return True if own else None
        if not lacking and not cleared:
            return None
        return own or fingerprint in self._succeeded

    def _is_worth_storing(self, fingerprint: bytes) -> bool:
        """Return whether a subject may be to blame for several terminations."""
        if self._quarantine.terminations(fingerprint) < MIN_STORED_TERMINATIONS:
            return False
        return not self._quarantine.is_due_to_one_request(fingerprint)

    async def _write(self, fingerprint: bytes, use: TrialUse | None = None) -> None:
        """Write a request's record; on a conflict, apply the other node's record and raise.

        Args:
            fingerprint: Fingerprint of the request.
            use: Trials that it has used; None when that doesn't change.
        """
        key = request_key(fingerprint)
        stored = self._known.get(fingerprint)
        known = self._quarantine.known_crashes(fingerprint)
        subject = self._quarantine.subject(fingerprint)
        if use is None:
            use = self._use(fingerprint)
            if fingerprint in self._judged:
                use = use.judged()
            elif self._is_unused_claim(fingerprint):
                use = use.released()
        value = encode_stored(subject.caller, subject.route, known, use)
        lease = await self._lease.current(KEEP_SECONDS)
        expected = stored.version if stored is not None else ABSENT
        try:
            version = await self._store.compare_and_swap(key, expected, value, lease)
        except StoreConflictError:
            found = await self._store.get(key)
            if found is None:
                self._note_expiry(fingerprint)
            else:
                self.apply_stored(key, found.value, found.version)
            raise
        self._note(fingerprint, KnownRecord(version, known, use))

    def _note(self, fingerprint: bytes, record: KnownRecord) -> None:
        """Remember a stored record, unless a newer one is known."""
        is_restored = self._known.put(fingerprint, record)
        if is_restored or fingerprint in self._unconfirmed:
            self._quarantine.notify_changed()

    def _note_expiry(self, fingerprint: bytes) -> None:
        """Remember that the store no longer holds a request's record."""
        if self._known.expire(fingerprint):
            self._quarantine.notify_changed()


def _most_trials(fingerprint: bytes, *, alone: bool) -> int:
    """Return how many trials a subject may have used after one more.

    Args:
        fingerprint: The subject.
        alone: Whether the request that is to run is refused for it only.
    """
    return MAX_PART_TRIALS if alone and is_part(fingerprint) else MAX_TRIALS
