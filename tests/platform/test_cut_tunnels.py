"""An answer that stopped on its way through another node never looks whole to a client."""

import unittest

from tests.platform.answer_cuts import (
    BODY,
    BY_CLOSE,
    BY_LENGTH,
    CHUNKS,
    IN_CHUNKS,
    STREAM,
    STREAM_CHUNKS,
    CutAnswersCase,
    Kind,
    cuts,
    ended_by_close,
    stream_ended_by_close,
)


class CutTunnelsTest(CutAnswersCase):
    def test_an_answer_with_a_length(self):
        self.play(cuts("by length", BY_LENGTH + BODY, BODY), tunnel=True)

    def test_an_answer_in_chunks(self):
        self.play(cuts("in chunks", IN_CHUNKS + CHUNKS, BODY), tunnel=True)

    def test_an_answer_that_ends_with_its_connection(self):
        self.play(cuts("by close", BY_CLOSE + BODY, BODY, bodies=ended_by_close), tunnel=True)

    def test_an_answer_to_a_head_request(self):
        self.play(cuts("HEAD", BY_LENGTH, b"", method="HEAD"), tunnel=True)


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
