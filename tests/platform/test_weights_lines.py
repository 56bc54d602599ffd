"""A weights version in the first line of an event is found, however a stream is chunked."""

import unittest

from hopstep.platform.weights_lines import WeightsVersionScanner

STREAM = b"id: 0\ndata: a\n\nweight-versions: 12\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"
STREAMS_WITHOUT_VERSION = (
    b"id: 0\ndata: weight-versions: 3\n\n",
    b"id: 0\nweight-versions: 3\ndata: a\n\n",
    b"id: 0\ndata: a\n\nweight-versions: x\nid: 1\n\n",
    b"id: 0\ndata: a\n\nweight-versions: 3",
)


class WeightsLinesTest(unittest.TestCase):
    def test_the_version_is_found_however_the_stream_is_cut(self):
        for size in range(1, len(STREAM) + 1):
            scanner = WeightsVersionScanner()
            chunks = [STREAM[at : at + size] for at in range(0, len(STREAM), size)]
            self.assertEqual(max(scanner.scan(chunk) for chunk in chunks), 12, size)

    def test_the_first_event_may_tell_it(self):
        self.assertEqual(WeightsVersionScanner().scan(b"weight-versions: 4\nid: 0\ndata: a\n\n"), 4)

    def test_other_lines_tell_nothing(self):
        for stream in STREAMS_WITHOUT_VERSION:
            with self.subTest(stream):
                self.assertEqual(WeightsVersionScanner().scan(stream), 0)

    def test_a_line_is_found_once_it_is_whole(self):
        scanner = WeightsVersionScanner()
        self.assertEqual(scanner.scan(b"id: 0\n\nweight-versions: 1"), 0)
        self.assertEqual(scanner.scan(b"3\nid: 1\n\n"), 13)
