"""A long answer that is relayed in parts never looks whole when another answer completes it."""

import unittest

from tests.platform.answer_cuts import BODY, BY_LENGTH, START, Ending, cuts
from tests.platform.cut_answers_case import CutAnswersCase

MEMORY_MB = 1
"""Memory with which a node relays an answer of ``LONG`` in parts."""

LONG = b"x" * 700_000
MISSING = (1, 20, 60)


class SplicedLongAnswersTest(CutAnswersCase):
    # The client had got all bytes of the length by the time the second answer was found.
    def test_the_end_of_a_body_is_held_back_when_it_belongs_to_another_answer(self):
        answer = START + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG
        places = [len(answer) - missing for missing in MISSING]
        options = {"places": places, "behind": BY_LENGTH + BODY}
        form = cuts("long", answer, LONG, (Ending.CLOSE, Ending.SILENCE), **options)
        self.play(form, memory_mb=MEMORY_MB, clients=1)


if __name__ == "__main__":
    unittest.main()
