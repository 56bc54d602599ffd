"""Cut failures, answers without a body and long ones never look whole to a client of the node."""

import unittest

from tests.platform.answer_cuts import (
    BODY,
    BY_CLOSE,
    BY_LENGTH,
    FAILED,
    IN_CHUNKS,
    NO_CONTENT,
    Ending,
    cuts,
)
from tests.platform.cut_answers_case import CutAnswersCase

LONG_BODY = b"x" * 700_000
"""Longer than a node with little memory holds, so that it is relayed in parts."""

LONG_HEADS = (
    ("by length", BY_LENGTH.replace(b": 4", b": 700000"), LONG_BODY),
    ("in chunks", IN_CHUNKS, b"aae60\r\n" + LONG_BODY + b"\r\n0\r\n\r\n"),
)
LONG_CUTS = (1_000, 600_000, 699_999, 700_000)
LITTLE_MEMORY_MB = 65.0


class CutOtherAnswersTest(CutAnswersCase):
    def test_answers_to_head_requests(self):
        self.play(
            cuts("by length", BY_LENGTH, b"", method="HEAD"),
            cuts("in chunks", IN_CHUNKS, b"", method="HEAD"),
            cuts("by close", BY_CLOSE, b"", method="HEAD"),
        )

    def test_an_answer_on_a_connection_that_was_used_before(self):
        endings = (Ending.CLOSE, Ending.RESET)
        self.play(cuts("", BY_LENGTH + BODY, BODY, endings, is_kept=True))

    def test_an_answer_without_content(self):
        self.play(cuts("no content", NO_CONTENT, b"", status=204))

    def test_a_failure(self):
        self.play(cuts("failure", FAILED + BODY, BODY, status=500))

    def test_long_answers_that_are_relayed_in_parts(self):
        """Guards against an end that looks whole once the head has been passed on."""
        for name, head, body in LONG_HEADS:
            places = [len(head) + place for place in LONG_CUTS] + [len(head + body)]
            results = self.play(
                cuts(name, head + body, LONG_BODY, places=places),
                clients=1,
                memory_mb=LITTLE_MEMORY_MB,
            )
            self.assertGreater(results[200, False], 0)


if __name__ == "__main__":
    unittest.main()
