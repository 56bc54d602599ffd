"""An answer that stopped in its head or body never looks whole to a client of the node.

Whole, though its instance may have stopped: an answer with neither a length nor chunks that ends
by a close, with what has come until then. A reset or silence doesn't end it.
"""

import unittest

from tests.platform.answer_cuts import (
    BODY,
    BY_CLOSE,
    BY_LENGTH,
    CHUNKS,
    IN_CHUNKS,
    MODEL_HEADER,
    Ending,
    cuts,
    ended_by_close,
    written_by_close,
)
from tests.platform.cut_answers_case import CutAnswersCase


class CutAnswersTest(CutAnswersCase):
    def test_an_answer_with_a_length(self):
        self.play(cuts("by length", BY_LENGTH + BODY, BODY))

    def test_an_answer_in_chunks(self):
        self.play(cuts("in chunks", IN_CHUNKS + CHUNKS, BODY))

    def test_an_answer_that_ends_with_its_connection(self):
        self.play(cuts("by close", BY_CLOSE + BODY, BODY, bodies=ended_by_close))

    def test_an_answer_to_a_prompt_that_ends_with_its_connection(self):
        """Guards against an empty success of an engine that ended before it wrote a byte."""
        endings = (Ending.CLOSE, Ending.RESET)
        headers = (MODEL_HEADER,)
        self.play(
            cuts("", BY_CLOSE + BODY, BODY, endings, bodies=written_by_close, headers=headers)
        )


if __name__ == "__main__":
    unittest.main()
