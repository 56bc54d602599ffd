"""Where an answer stops, while it arrives in pieces."""

import unittest

from emulator.soak.answer_stops import AnswerStop

HEAD = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n"
ANSWER = HEAD + b"body"


def bytes_sent(stop, size):
    """Return the bytes before the stop if pieces of a size arrive; None if it isn't reached."""
    for sent in range(0, len(ANSWER), size):
        last = stop.bytes_before(ANSWER[: sent + size], sent)
        if last is not None:
            return sent + last
    return None


class AnswerStopTest(unittest.TestCase):
    # Guards against a stop at the edge of a piece that is skipped.
    def test_the_sizes_of_pieces_do_not_move_a_stop(self):
        for byte in range(1, len(ANSWER)):
            for size in (1, 7, len(ANSWER)):
                with self.subTest(byte=byte, size=size):
                    self.assertEqual(bytes_sent(AnswerStop(False, byte), size), byte)

    def test_a_stop_in_the_body_counts_from_its_beginning(self):
        for byte in range(4):
            for size in (1, 7, len(ANSWER)):
                with self.subTest(byte=byte, size=size):
                    self.assertEqual(bytes_sent(AnswerStop(True, byte), size), len(HEAD) + byte)

    def test_an_answer_that_ends_before_its_stop_is_whole(self):
        for stop in (AnswerStop(False, len(ANSWER)), AnswerStop(True, 4)):
            self.assertIsNone(bytes_sent(stop, 7))
