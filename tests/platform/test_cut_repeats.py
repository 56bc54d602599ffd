"""Where another instance may go on after a cut answer, clients get the whole of it."""

import unittest

from tests.platform.answer_cuts import (
    BODY,
    BY_CLOSE,
    BY_LENGTH,
    IN_CHUNKS,
    STREAM,
    STREAM_CHUNKS,
    Kind,
    cuts,
)
from tests.platform.cut_answers_case import CutAnswersCase


def always_whole(whole):
    """Return bodies for an answer that another instance completes."""
    return lambda _cut, _ending: (whole,)


class CutRepeatsTest(CutAnswersCase):
    def test_a_stream_that_another_instance_goes_on_with(self):
        stream = IN_CHUNKS + STREAM_CHUNKS
        options = {"kind": Kind.RESUMABLE, "second": BY_CLOSE + STREAM}
        self.play(cuts("", stream, STREAM, bodies=always_whole(STREAM), **options))

    def test_a_request_that_is_sent_to_another_instance(self):
        options = {"kind": Kind.SAFE, "second": BY_LENGTH + BODY}
        self.play(cuts("", BY_LENGTH + BODY, BODY, bodies=always_whole(BODY), **options))


if __name__ == "__main__":
    unittest.main()
