"""Where an answer stops."""

from __future__ import annotations

import random

import msgspec

from emulator.soak.answer_reader import HEAD_END

STOP_BYTES = 300
"""Answers that stop in their head do so before this byte; an instance's head has some 250 bytes."""

BODY_STOP_BYTES = 40
"""Answers that stop in their body do so before this byte of it; short bodies have some 20 bytes."""


class AnswerStop(msgspec.Struct, frozen=True):
    """Where an answer stops: a byte of the answer, or one of its body.

    Attributes:
        is_in_body: Whether ``byte`` counts from the beginning of the body.
        byte: Number of bytes before the stop.
    """

    is_in_body: bool
    byte: int

    @classmethod
    def draw(cls, generator: random.Random) -> AnswerStop:
        """Return a random stop, in the body as often as in the head."""
        if generator.random() < 0.5:
            return cls(is_in_body=True, byte=generator.randrange(BODY_STOP_BYTES))
        return cls(is_in_body=False, byte=generator.randrange(1, STOP_BYTES))

    def position(self, recorded: bytes) -> int | None:
        """Return the number of bytes that are sent before it; None if that isn't known yet."""
        if not self.is_in_body:
            return self.byte
        head_bytes = recorded.find(HEAD_END)
        return None if head_bytes < 0 else head_bytes + len(HEAD_END) + self.byte

    def bytes_before(self, recorded: bytes, sent: int) -> int | None:
        """Return how many bytes behind those sent precede the stop; None if it isn't among them.

        Args:
            recorded: The answer as far as it has been read.
            sent: Number of these bytes that have been sent.
        """
        position = self.position(recorded)
        if position is None or not sent <= position < len(recorded):
            return None
        return position - sent
