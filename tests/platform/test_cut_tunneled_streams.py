"""A stream that stopped on its way through another node never looks whole to a client."""

import unittest

from tests.platform.answer_cuts import (
    BY_CLOSE,
    IN_CHUNKS,
    STREAM,
    STREAM_CHUNKS,
    Kind,
    cuts,
    stream_ended_by_close,
)
from tests.platform.cut_answers_case import CutAnswersCase


class CutTunneledStreamsTest(CutAnswersCase):
    def test_a_stream_in_chunks(self):
        stream = IN_CHUNKS + STREAM_CHUNKS
        places = range(len(IN_CHUNKS), len(stream) + 1)
        self.play(cuts("", stream, STREAM, places=places, kind=Kind.STREAM), tunnel=True)

    def test_a_stream_that_ends_with_its_connection(self):
        stream = BY_CLOSE + STREAM
        places = range(len(BY_CLOSE), len(stream) + 1)
        options = {"bodies": stream_ended_by_close, "places": places, "kind": Kind.STREAM}
        self.play(cuts("", stream, STREAM, **options), tunnel=True)


if __name__ == "__main__":
    unittest.main()
