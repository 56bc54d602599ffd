"""Answers that broke off at instances which haven't been found to have terminated.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from hopstep.domain.quarantine.crash_records import drop_oldest

MAX_INTERRUPTED_AGE_SECONDS = 20.0
"""Time in seconds: an answer that broke off earlier is unrelated to an instance's termination. An
unresponsive instance is unlisted within some four seconds, and an unlisted one is probed for at
most ten seconds.
"""

ABRUPT_TERMINATION_SECONDS = 1.0
"""Time in seconds. An instance may answer other requests between the breaking off of an answer,
because its client disconnected, and its own termination under that request: it terminates some
tenths of a second after it has begun the request. Without this bound, requests whose clients often
disconnect would be refused after three terminations of other causes.
"""

MAX_INTERRUPTED_INCARNATIONS = 512
MAX_INTERRUPTED_SUBJECTS = 128
"""Maximum number for each instance: twice as many as the largest engines process at once, as the
parts of their prompts are kept beside the requests."""


class _Interruption(msgspec.Struct):
    """A subject whose answer broke off, while its instance isn't found to have terminated.

    Attributes:
        at: When it broke off.
        survived: Whether the instance has answered a request that was sent later.
    """

    at: float
    survived: bool = False

    def may_have_terminated(self, seconds: float, *, abruptly: bool) -> bool:
        """Return whether an instance may have terminated under the subject.

        Args:
            seconds: Time from the breaking off of its answer until the termination was detected.
            abruptly: Whether the instance has terminated just then.
        """
        if self.survived:
            return abruptly and seconds <= ABRUPT_TERMINATION_SECONDS
        return seconds <= MAX_INTERRUPTED_AGE_SECONDS


class Interruptions:
    """The subjects, requests and parts of prompts, whose answers broke off, by instance."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_incarnation: OrderedDict[str, OrderedDict[bytes, _Interruption]] = OrderedDict()

    def note_broken(self, fingerprint: bytes, incarnation: str, now: float) -> None:
        """Record an answer that broke off."""
        interruptions = self._by_incarnation.setdefault(incarnation, OrderedDict())
        interruptions[fingerprint] = _Interruption(now)
        interruptions.move_to_end(fingerprint)
        self._by_incarnation.move_to_end(incarnation)
        drop_oldest(interruptions, MAX_INTERRUPTED_SUBJECTS)
        drop_oldest(self._by_incarnation, MAX_INTERRUPTED_INCARNATIONS)

    def note_answer(self, incarnation: str, sent_at: float) -> None:
        """Record an instance's answer to a request that was sent at a time."""
        for interruption in self._by_incarnation.get(incarnation, {}).values():
            interruption.survived = interruption.survived or interruption.at <= sent_at

    def take(self, incarnation: str, now: float, *, abruptly: bool) -> Iterator[bytes]:
        """Remove those of a terminated instance, and yield the subjects it may have ended under.

        Args:
            incarnation: Incarnation of the instance.
            now: The time.
            abruptly: Whether it has terminated just now, and not some time before.
        """
        for fingerprint, interruption in self._by_incarnation.pop(incarnation, {}).items():
            if interruption.may_have_terminated(now - interruption.at, abruptly=abruptly):
                yield fingerprint
