"""Submission of changes, with a proved outcome: accepted, rejected or unknown.

A change is sent at the next revision only after another change was seen at its former revision. So
it can't be accepted twice: not when an answer is lost, not when a request arrives late, and not
when the same ``change_id`` is submitted by two processes at once.
"""

from __future__ import annotations

import enum

import msgspec
import trio

from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    Conflict,
    apply_change,
    conflicts_with,
    rebase,
)
from hopstep.domain.configuration.problems import Problem
from hopstep.domain.configuration.validation import validate
from hopstep.exceptions import ErrorCode, StoreError, StoreOutcomeUnknownError
from hopstep.services.configuration.store import ConfigurationHistory, ConfigurationStore

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 2.0
SUBMIT_TIMEOUT_SECONDS = 30.0


class SubmitStatus(enum.StrEnum):
    """Outcome of a submitted change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class SubmitOutcome(msgspec.Struct, frozen=True):
    """The proved outcome of a submitted change.

    Attributes:
        status: Accepted; rejected, which means that it is not in the sequence and this call
            will not add it; or unknown.
        revision: Revision of the change, when accepted.
        conflicts: Items that other accepted changes edited differently.
        problems: Validation rules that the document would violate.
        message: Explanation for the operator.
    """

    status: SubmitStatus
    revision: int = 0
    conflicts: tuple[Conflict, ...] = ()
    problems: tuple[Problem, ...] = ()
    message: str = ""


async def submit_change(
    store: ConfigurationStore, change: Change, timeout_seconds: float = SUBMIT_TIMEOUT_SECONDS
) -> SubmitOutcome:
    """Append a change, rebased if others came first, and return its proved outcome.

    While the store is down the call waits, up to the timeout. Submitting the same ``change_id``
    with the same base again determines the outcome of the first call.

    Args:
        store: Accepted sequence.
        change: Change with at most one edit for each item.
        timeout_seconds: Longest time for reaching an outcome.

    Raises:
        StoreError: When no outcome was reached in time and this call had no effect.
    """
    submission = _Submission(store, change)
    with trio.move_on_after(timeout_seconds):
        return await submission.run()
    if submission.pending is None:
        raise StoreError(
            ErrorCode.STORE_UNAVAILABLE, "the store is not available; this call changed nothing"
        )
    return SubmitOutcome(
        SubmitStatus.UNKNOWN, message="the store's answer was lost; submit the same change again"
    )


class _Submission:
    """One run of ``submit_change``.

    Attributes:
        pending: The change as it was sent, until another change is seen at its revision.
    """

    def __init__(self, store: ConfigurationStore, change: Change) -> None:
        self._store = store
        self._change = change
        self.pending: Change | None = None

    async def run(self) -> SubmitOutcome:
        """Repeat until the outcome is known."""
        delay = RETRY_SECONDS
        while True:
            outcome = await self._try_once()
            if outcome is not None:
                return outcome
            await trio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_SECONDS)

    async def _try_once(self) -> SubmitOutcome | None:
        """Read the sequence, then accept, reject or append; None to try again."""
        try:
            history = await self._store.read_history()
        except StoreError:
            return None
        if self.pending is not None and history.latest.revision <= self.pending.base_revision:
            return await self._append(self.pending)
        found = history.find(self._change.change_id)
        if found is not None:
            return self._outcome_of(found)
        oldest_base = min(item.base_revision for item in (self._change, self.pending) if item)
        if oldest_base < history.base.revision:
            return _too_old(history)
        if self._change.base_revision > history.latest.revision:
            # Stale answer: older than the one that the base was taken from.
            return None
        # Other changes have all revisions after the base: the pending change has failed.
        self.pending = None
        rejection = self._reject(history)
        if rejection is not None:
            return rejection
        return await self._append(rebase(self._change, history.latest.revision))

    async def _append(self, change: Change) -> SubmitOutcome | None:
        """Send the change; None when its revision is taken or the answer was lost."""
        pending_before = self.pending
        # Set first: a timeout may cancel the call after the store has accepted the change.
        self.pending = change
        try:
            revision = await self._store.append(change)
        except StoreOutcomeUnknownError:
            return None
        except StoreError:
            # This request had no effect, but an earlier one at the same revision may have had.
            self.pending = pending_before
            return None
        return SubmitOutcome(SubmitStatus.ACCEPTED, revision)

    def _outcome_of(self, found: AcceptedChange) -> SubmitOutcome:
        """Return the outcome of a change whose identity is in the sequence."""
        if found.change.edits == self._change.edits:
            return SubmitOutcome(SubmitStatus.ACCEPTED, found.revision)
        return SubmitOutcome(
            SubmitStatus.REJECTED,
            message=f"revision {found.revision} has this change_id and other edits",
        )

    def _reject(self, history: ConfigurationHistory) -> SubmitOutcome | None:
        """Return why the change can't be rebased on the latest revision, or None."""
        later = history.after(self._change.base_revision)
        conflicts = conflicts_with(self._change, history.latest.configuration, later)
        if conflicts:
            return SubmitOutcome(
                SubmitStatus.REJECTED,
                conflicts=conflicts,
                message="other accepted changes edited the same items",
            )
        candidate = apply_change(
            history.latest, rebase(self._change, history.latest.revision)
        ).configuration
        problems = validate(candidate)
        if problems:
            return SubmitOutcome(
                SubmitStatus.REJECTED,
                problems=problems,
                message=f"the document is not valid on revision {history.latest.revision}",
            )
        return None


def _too_old(history: ConfigurationHistory) -> SubmitOutcome:
    """Return the outcome of a change that may have been accepted before the retained sequence."""
    return SubmitOutcome(
        SubmitStatus.UNKNOWN,
        message=(
            f"the base is older than revision {history.base.revision}, the oldest kept one: this "
            "call changed nothing, an earlier one may have; compare with show, then submit again"
        ),
    )
