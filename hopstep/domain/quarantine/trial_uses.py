"""The trials that a refused subject has used, over all nodes.

A trial is claimed by a node's process and is open until that process has judged it. If the process
ends first, nobody knows the outcome; such a trial may be run again, within the bound on runs.
"""

from __future__ import annotations

import msgspec

MAX_REPEATED_TRIALS = 1
"""Maximum number of trials of one subject that are run again because their processes have ended."""

MAX_REQUEST_TERMINATIONS = 3
MAX_PART_TERMINATIONS = 4
"""Maximum numbers of terminations on record with which a lost trial is run again.

Operators allow three runs after the third termination under a request, and after the fifth under a
part. Terminations above these numbers may be due to such runs. With these numbers two of the three
are used at most: two trials of a request, and of three trials of a part the last two.
"""


class TrialUse(msgspec.Struct, frozen=True):
    """Trials of one subject.

    Attributes:
        used: Trials that the subject has used.
        claimant: Process that claimed the last one; empty once it has been judged.
        repeats: Trials that were run again in place of lost ones, in addition to those used.
    """

    used: int = 0
    claimant: str = ""
    repeats: int = 0

    def claimed(self, most: int, process: str) -> TrialUse:
        """Return the trials after one more is claimed.

        Args:
            most: Trials that may be used with this one; if all of them are, a lost one is repeated.
            process: Process that claims it.
        """
        if self.used < most:
            return TrialUse(most, process, self.repeats)
        return TrialUse(self.used, process, self.repeats + 1)

    def released(self) -> TrialUse:
        """Return the trials after the last one was inconclusive."""
        return TrialUse(max(0, self.used - 1), "", self.repeats)

    def judged(self) -> TrialUse:
        """Return the trials after the last one was conclusive."""
        return TrialUse(self.used, "", self.repeats)

    def may_be_repeated(self, most: int, terminations: int, *, is_part: bool) -> bool:
        """Return whether the last trial may be run again if its process has ended.

        Args:
            most: Trials that may be used with the one that is to run.
            terminations: Terminations on record under the subject, cleared ones included.
            is_part: Whether the subject is a part of prompts.
        """
        is_open = bool(self.claimant) and self.used <= most
        allowed = MAX_PART_TERMINATIONS if is_part else MAX_REQUEST_TERMINATIONS
        return is_open and self.repeats < MAX_REPEATED_TRIALS and terminations <= allowed

    def merge_older(self, known: TrialUse) -> TrialUse:
        """Return the trials of a backup's record, with those that are known from before a restore.

        Args:
            known: The trials known from before.
        """
        is_earlier = (known.used, known.repeats) >= (self.used, self.repeats)
        claimant = known.claimant if is_earlier else self.claimant
        return TrialUse(max(self.used, known.used), claimant, max(self.repeats, known.repeats))
