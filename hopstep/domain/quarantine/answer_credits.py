"""Complete responses to a subject, each of which disregards a later termination under it.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hopstep.domain.quarantine.crash_records import drop_oldest
from hopstep.domain.quarantine.fingerprint import is_part

MAX_DISREGARDED = 8
"""Maximum number of terminations, over all nodes, that earlier complete responses disregard, one
each. Otherwise a popular request would be refused for ten minutes when all instances of a service
terminate together. A request that was harmless before and terminates instances now terminates
eleven at the most.
"""

DISREGARDING_SECONDS = 2.0
"""Time in seconds. Terminations later than this after the first disregarded one count, until the
next complete response; and explanations by other requests later than this after a request was
refused change nothing. Operators count runs that are sent three seconds or more after the third
termination. Otherwise a request that had been answered often would terminate one instance after
the other.
"""

MAX_ANSWERED = 1_024
"""Maximum number of requests whose complete responses are kept, those answered last."""

MAX_ANSWERED_PARTS = 2_048
"""Maximum number of parts, kept apart from requests, most of which are sent once."""


class AnswerCredit(msgspec.Struct):
    """Complete responses to one subject.

    Attributes:
        left: Number of complete responses at this node that haven't been used.
        used: Terminations that any node has disregarded since the last complete response here.
        until: Time until which terminations are disregarded; infinite until the first one is.
    """

    left: int = 0
    used: int = 0
    until: float = float("inf")

    def renew(self) -> None:
        """Add a complete response, which shows that the subject terminates no instances now."""
        self.left = min(MAX_DISREGARDED, self.left + 1)
        self.reopen()

    def reopen(self) -> None:
        """Allow terminations to be disregarded again as if none had been."""
        self.used = 0
        self.until = float("inf")

    def use(self, now: float) -> bool:
        """Use one complete response; return False when none is left or valid."""
        if not self.left or self.used >= MAX_DISREGARDED or now > self.until:
            return False
        self.left -= 1
        self.note_used(now)
        return True

    def note_used(self, now: float) -> None:
        """Record a termination that is disregarded, here or at another node."""
        self.used += 1
        self.until = min(self.until, now + DISREGARDING_SECONDS)


class AnswerCredits:
    """The credits of the subjects that this node has seen answered last."""

    def __init__(self) -> None:
        """Start without any."""
        self._requests: OrderedDict[bytes, AnswerCredit] = OrderedDict()
        self._parts: OrderedDict[bytes, AnswerCredit] = OrderedDict()

    def find(self, fingerprint: bytes) -> AnswerCredit | None:
        """Return the credit of a subject, or None."""
        return self._kept(fingerprint).get(fingerprint)

    def renew(self, fingerprint: bytes) -> None:
        """Add a complete response to a subject."""
        kept = self._kept(fingerprint)
        kept.setdefault(fingerprint, AnswerCredit()).renew()
        kept.move_to_end(fingerprint)
        drop_oldest(kept, MAX_ANSWERED_PARTS if is_part(fingerprint) else MAX_ANSWERED)

    def _kept(self, fingerprint: bytes) -> OrderedDict[bytes, AnswerCredit]:
        """Return the credits of all subjects of one kind."""
        return self._parts if is_part(fingerprint) else self._requests
