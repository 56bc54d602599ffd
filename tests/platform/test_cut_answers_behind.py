"""A cut answer with the bytes of another one behind it never looks whole to a client of the node.

A body that ends with its connection is the exception: nothing tells that what stands behind the cut
belongs to another answer.
"""

import unittest

from tests.platform.answer_cuts import (
    BODY,
    BY_LENGTH,
    CHUNKS,
    FAILED,
    ID,
    IN_CHUNKS,
    START,
    STREAM,
    STREAM_CHUNKS,
    Ending,
    Kind,
    cuts,
)
from tests.platform.cut_answers_case import CutAnswersCase

OTHER_BODY = b"other"
OTHER_LENGTH = b"Content-Length: 5\r\n\r\n" + OTHER_BODY
BEHIND = (
    ("the same answer", BY_LENGTH + BODY),
    ("a failure of the same request", FAILED.replace(b": 4", b": 5") + OTHER_BODY),
    ("an answer to another request", START.replace(ID, b"b00000") + OTHER_LENGTH),
    ("an answer without an id", b"HTTP/1.1 200 OK\r\n" + OTHER_LENGTH),
)
ENDINGS = (Ending.CLOSE, Ending.SILENCE)
TRAILER_NAME = b"T:"


class CutHeadsTest(CutAnswersCase):
    def test_a_head_before_another_answer(self):
        """Guards against a success with the body of a failure, or with two ids or signatures."""
        self.play_heads()

    def test_a_head_before_another_answer_through_another_node(self):
        self.play_heads(tunnel=True)

    def play_heads(self, **world):
        """Cut a head after each of its bytes but the last, with each other answer behind it."""
        places = range(1, len(BY_LENGTH))
        for name, behind in BEHIND:
            with self.subTest(name):
                own = (BODY,) if behind == BY_LENGTH + BODY else ()
                options = {"places": places, "behind": behind, "is_certain": False}

                def answers(_cut, _ending, own=own):
                    return own

                self.play(
                    cuts(name, BY_LENGTH, BODY, (Ending.CLOSE,), bodies=answers, **options), **world
                )


class CutBodiesTest(CutAnswersCase):
    def test_a_body_with_a_length(self):
        for name, behind in BEHIND:
            answer = BY_LENGTH + BODY

            def framed(cut, _ending, answer=answer):
                return (BODY,) if cut == len(answer) else ()

            places = range(len(BY_LENGTH), len(answer) + 1)
            options = {"bodies": framed, "places": places, "behind": behind}
            self.play(cuts(name, answer, BODY, ENDINGS, **options))

    def test_a_body_in_chunks(self):
        answer = IN_CHUNKS + CHUNKS
        trailer = answer.index(TRAILER_NAME) + len(TRAILER_NAME)

        def ended(cut, _ending):
            # What follows is read as the rest of the trailer's value, behind a whole body.
            return (BODY,) if cut >= trailer else ()

        places = range(len(IN_CHUNKS), len(answer) + 1)
        for name, behind in BEHIND:
            options = {
                "bodies": ended,
                "places": places,
                "behind": behind,
                "is_certain": False,
            }
            self.play(cuts(name, answer, BODY, ENDINGS, **options))

    def test_a_stream_in_chunks(self):
        answer = IN_CHUNKS + STREAM_CHUNKS
        places = range(len(IN_CHUNKS), len(answer) + 1)
        for name, behind in BEHIND:
            options = {"places": places, "behind": behind, "kind": Kind.STREAM}
            self.play(cuts(name, answer, STREAM, ENDINGS, **options))


if __name__ == "__main__":
    unittest.main()
