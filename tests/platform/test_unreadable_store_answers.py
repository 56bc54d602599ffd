"""Answers of the store that can't be meant: the call fails or goes on, and nothing else."""

import json
import unittest

from hopstep.domain.store_position import StorePosition
from hopstep.ports.key_value_store import StoreListing
from tests.platform.test_store_answers import outcomes
from tests.repeating_peer import RepeatingPeer, answer

ERA_DIGITS = 5_000


async def list_all(store):
    return await store.listing("")


class UnreadableStoreAnswersTest(unittest.TestCase):
    def test_an_era_of_thousands_of_digits_ends_no_reader_of_the_store(self):
        # int() raised ValueError, which no caller of the store expects.
        page = json.dumps({"atRevision": 1, "items": []}).encode()
        peer = RepeatingPeer([answer(page, "Store-Era: " + "9" * ERA_DIGITS)], None)
        self.assertEqual(outcomes(peer, list_all), [StoreListing(StorePosition(0, 1), ())])


if __name__ == "__main__":
    unittest.main()
