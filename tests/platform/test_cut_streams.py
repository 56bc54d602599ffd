"""A stream that stopped never looks whole to a client.

A stream that ends inside an event has been broken off, whatever ends it. One with neither a length
nor chunks is whole when its instance closes behind a complete event.
"""

import unittest

from tests.platform.answer_cuts import (
    BY_CLOSE,
    BY_LENGTH,
    IN_CHUNKS,
    STREAM,
    STREAM_CHUNKS,
    Kind,
    cuts,
    stream_ended_by_close,
)
from tests.platform.cut_answers_case import CutAnswersCase

STREAM_BY_LENGTH = BY_LENGTH.replace(b": 4", b": 30") + STREAM
HAS_BROKEN_OFF = (200, False)


class CutStreamsTest(CutAnswersCase):
    def test_a_stream_in_chunks(self):
        results = self.play(cuts("", IN_CHUNKS + STREAM_CHUNKS, STREAM, kind=Kind.STREAM))
        self.assertGreater(results[HAS_BROKEN_OFF], 0)

    def test_a_stream_with_a_length(self):
        results = self.play(cuts("", STREAM_BY_LENGTH, STREAM, kind=Kind.STREAM))
        self.assertGreater(results[HAS_BROKEN_OFF], 0)

    def test_a_stream_that_ends_with_its_connection(self):
        stream = BY_CLOSE + STREAM
        results = self.play(
            cuts("", stream, STREAM, bodies=stream_ended_by_close, kind=Kind.STREAM)
        )
        self.assertGreater(results[HAS_BROKEN_OFF], 0)

    def test_a_stream_for_a_client_of_an_older_version(self):
        """Guards against a broken stream whose end looks like that of a whole one."""
        stream = IN_CHUNKS + STREAM_CHUNKS
        places = range(len(IN_CHUNKS), len(stream) + 1)
        options = {"places": places, "kind": Kind.STREAM, "version": b"1.0"}
        results = self.play(cuts("", stream, STREAM, **options))
        self.assertGreater(results[HAS_BROKEN_OFF], 0)


if __name__ == "__main__":
    unittest.main()
