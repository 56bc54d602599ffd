"""An answer that stopped on its way through another node never looks whole to a client."""

import unittest

from tests.platform.answer_cuts import (
    BODY,
    BY_CLOSE,
    BY_LENGTH,
    CHUNKS,
    IN_CHUNKS,
    cuts,
    ended_by_close,
)
from tests.platform.cut_answers_case import CutAnswersCase


class CutTunnelsTest(CutAnswersCase):
    def test_an_answer_with_a_length(self):
        self.play(cuts("by length", BY_LENGTH + BODY, BODY), tunnel=True)

    def test_an_answer_in_chunks(self):
        self.play(cuts("in chunks", IN_CHUNKS + CHUNKS, BODY), tunnel=True)

    def test_an_answer_that_ends_with_its_connection(self):
        self.play(cuts("by close", BY_CLOSE + BODY, BODY, bodies=ended_by_close), tunnel=True)

    def test_an_answer_to_a_head_request(self):
        self.play(cuts("HEAD", BY_LENGTH, b"", method="HEAD"), tunnel=True)


if __name__ == "__main__":
    unittest.main()
