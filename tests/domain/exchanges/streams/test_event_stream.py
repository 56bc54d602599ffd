import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hopstep.domain.exchanges.streams.event_stream import (
    MAX_EVENT_BYTES,
    EventFramer,
    StreamOrderError,
)


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class EventFramerTest(unittest.TestCase):
    @given(st.integers(1, 8), st.lists(st.integers(1, 40)))
    def test_any_split_gives_the_same_complete_events(self, count, cuts):
        data = b"".join(event(number) for number in range(count))
        framer = EventFramer()
        out = b""
        rest = data
        for cut in cuts:
            out += framer.feed(rest[:cut])
            rest = rest[cut:]
            self.assertTrue(out == b"" or out.endswith(b"\n\n"))
        out += framer.feed(rest)
        self.assertEqual(out, data)
        self.assertEqual((framer.events, framer.last_id), (count, count - 1))
        self.assertFalse(framer.has_partial)

    @given(st.integers(0, 5), st.integers(1, 20))
    def test_another_instance_resumes_after_the_last_complete_event(self, whole, cut):
        framer = EventFramer()
        out = b"".join(framer.feed(event(number)) for number in range(whole))
        out += framer.feed(event(whole)[:cut])
        framer.restart()
        out += framer.feed(event(whole) + event(whole + 1))
        self.assertEqual(out, b"".join(event(number) for number in range(whole + 2)))

    def test_a_long_event_in_small_parts_is_not_copied_for_each(self):
        """Guards against an event without end whose parts each copy and search all before them."""
        framer = EventFramer()
        began_at = time.process_time()
        for _ in range(MAX_EVENT_BYTES // 16):
            self.assertEqual(framer.feed(b"x" * 16), b"")
        with self.assertRaises(StreamOrderError):
            framer.feed(b"x")
        self.assertLess(time.process_time() - began_at, 1.0)

    def test_a_part_that_is_refused_leaves_what_came_before_it(self):
        """Guards against an event that a refused part has changed."""
        framer = EventFramer()
        framer.feed(event(0) + b"id: 1\nda")
        with self.assertRaises(StreamOrderError):
            framer.feed(b"ta: x\n\n" + event(7))
        self.assertEqual(framer.feed(b"ta: x\n\n"), b"id: 1\ndata: x\n\n")

    def test_gaps_and_repeats_are_refused(self):
        for name, numbers in (("gap", (0, 2)), ("repeat", (0, 0)), ("back", (3, 1))):
            with self.subTest(name):
                framer = EventFramer()
                framer.feed(event(numbers[0]))
                with self.assertRaises(StreamOrderError):
                    framer.feed(event(numbers[1]))

    def test_ids_of_64_bits_are_followed(self):
        """Guards against a broken stream that is asked for again from its beginning."""
        first = 1_764_936_000 * 10**9
        framer = EventFramer()
        framer.feed(event(first) + event(first + 1))
        self.assertEqual(framer.last_id, first + 1)
        with self.assertRaises(StreamOrderError):
            framer.feed(event(first + 3))

    def test_an_event_with_two_ids_is_refused(self):
        """Guards against an event whose rest is another answer's head and first event."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        for name, behind in (("other", event(1)), ("same", event(6)), ("next", event(7))):
            with self.subTest(name):
                framer = EventFramer(5)
                with self.assertRaises(StreamOrderError):
                    framer.feed(b"id: 6\ndata: pa" + head + behind)
                self.assertEqual((framer.last_id, framer.events), (5, 0))

    def test_events_before_a_refused_one_are_not_counted_since_nobody_gets_them(self):
        framer = EventFramer()
        framer.feed(event(0))
        with self.assertRaises(StreamOrderError):
            framer.feed(event(1) + event(2) + event(4))
        self.assertEqual((framer.events, framer.last_id), (1, 0))
        framer.restart()
        self.assertEqual(framer.feed(event(1)), event(1))

    def test_the_first_event_follows_what_the_client_has(self):
        with self.assertRaises(StreamOrderError):
            EventFramer(last_id=3).feed(event(3))
        self.assertEqual(EventFramer(last_id=3).feed(event(4)), event(4))

    def test_an_event_that_is_too_long_is_refused(self):
        framer = EventFramer()
        with self.assertRaises(StreamOrderError):
            framer.feed(b"x" * (MAX_EVENT_BYTES + 1))

    def test_a_partial_event_is_reported(self):
        framer = EventFramer()
        framer.feed(event(0) + b"id: 1\nda")
        self.assertTrue(framer.has_partial)
