"""Unknown words are logged once a name and counted each time."""

import unittest
from collections import Counter

from structlog.testing import capture_logs

from hopstep.ports.unrecognized_values import UnrecognizedValue, ValueLocation
from hopstep.services.exchanges.instances.unknown_words import (
    MAX_NAME_LENGTH,
    MAX_NAMES,
    UnknownWords,
)


def word(name, place=ValueLocation.ANSWER_HEAD):
    return UnrecognizedValue(place, name, "10.0.0.1:80", 200)


class UnknownWordsTest(unittest.TestCase):
    def setUp(self):
        self.words = UnknownWords()
        self.counted = Counter()
        self.words.count_with(lambda place: self.counted.update([place]))

    def test_a_name_is_logged_once_and_counted_each_time(self):
        with capture_logs() as logs:
            for _time in range(3):
                self.words.note(word("server-mood"))
            self.words.note(word("server-mood", ValueLocation.ENTRY))
        self.assertEqual([entry["place"] for entry in logs], ["answer_head", "entry"])
        self.assertEqual(logs[0]["name"], "server-mood")
        self.assertEqual(self.counted, {"answer_head": 3, "entry": 1})

    def test_names_are_bounded(self):
        with capture_logs() as logs:
            for number in range(2 * MAX_NAMES):
                self.words.note(word(f"x-{number}"))
            self.words.note(word("y" * 10_000))
        self.assertEqual(len(logs), MAX_NAMES)
        self.assertEqual(self.counted["answer_head"], 2 * MAX_NAMES + 1)
        with capture_logs() as logs:
            UnknownWords().note(word("y" * 10_000))
        self.assertEqual(len(logs[0]["name"]), MAX_NAME_LENGTH)
