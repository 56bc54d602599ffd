"""What is sent a second time of an answer, and when."""

from __future__ import annotations

import random

import msgspec

from emulator.soak.answer_faults import COPY_TIMES, CopyTime
from emulator.soak.answer_reader import HEAD_END

MAX_COPY_BYTES = 65_536
"""Longer answers are never repeated."""

SOON_SECONDS = 0.05
LATE_SECONDS = 2.0


class AnswerCopy(msgspec.Struct, frozen=True):
    """A copy of an answer; its parts are empty where nothing is sent at that time.

    Attributes:
        time: When the copy is sent.
        with_end: Bytes sent in one write with the end of the answer.
        at_next_request: Bytes sent as the next request arrives, before its answer.
        name: Name of the event of ``at_next_request``.
        delay_seconds: Time after which the whole copy is sent; None if it is sent otherwise.
    """

    time: CopyTime
    with_end: bytes = b""
    at_next_request: bytes = b""
    name: str = ""
    delay_seconds: float | None = None


def draw_copy(answer: bytes, generator: random.Random) -> AnswerCopy:
    """Return a random copy of a whole answer."""
    time = generator.choice(COPY_TIMES)
    match time:
        case CopyTime.AT_ONCE:
            return AnswerCopy(time, with_end=answer)
        case CopyTime.SPLIT:
            half = generator.randrange(1, len(answer))
            return AnswerCopy(time, answer[:half], answer[half:], "second half of a copy")
        case CopyTime.NEXT:
            return AnswerCopy(time, at_next_request=answer, name="copy at the next request")
        case CopyTime.CUT:
            end = generator.randrange(1, answer.index(HEAD_END))
            return AnswerCopy(time, at_next_request=answer[:end], name="cut copy")
    longest = SOON_SECONDS if time is CopyTime.SOON else LATE_SECONDS
    return AnswerCopy(time, delay_seconds=generator.uniform(0.0, longest))
