"""Unrecognized values are logged once for each name and counted each time."""

import unittest
from collections import Counter

from structlog.testing import capture_logs

from hopstep.ports.unrecognized_values import UnrecognizedValue, ValueLocation
from hopstep.services.exchanges.instances.unknown_words import (
    MAX_NAME_LENGTH,
    MAX_NAMES,
    UnrecognizedValues,
)


def unrecognized(name, place=ValueLocation.ANSWER_HEAD):
    return UnrecognizedValue(place, name, "10.0.0.1:80", 200)


class UnknownWordsTest(unittest.TestCase):
    def setUp(self):
        self.values = UnrecognizedValues()
        self.counted = Counter()
        self.values.count_with(lambda place: self.counted.update([place]))

    def test_a_name_is_logged_once_and_counted_each_time(self):
        with capture_logs() as logs:
            for _time in range(3):
                self.values.note(unrecognized("server-mood"))
            self.values.note(unrecognized("server-mood", ValueLocation.ENTRY))
        self.assertEqual([entry["place"] for entry in logs], ["answer_head", "entry"])
        self.assertEqual(logs[0]["name"], "server-mood")
        self.assertEqual(self.counted, {"answer_head": 3, "entry": 1})

    def test_names_are_bounded(self):
        with capture_logs() as logs:
            for number in range(2 * MAX_NAMES):
                self.values.note(unrecognized(f"x-{number}"))
            self.values.note(unrecognized("y" * 10_000))
        self.assertEqual(len(logs), MAX_NAMES)
        self.assertEqual(self.counted["answer_head"], 2 * MAX_NAMES + 1)
        with capture_logs() as logs:
            UnrecognizedValues().note(unrecognized("y" * 10_000))
        self.assertEqual(len(logs[0]["name"]), MAX_NAME_LENGTH)
