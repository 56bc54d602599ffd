"""Answers of the store that can't be meant: the call fails or goes on, and nothing else."""

import json
import unittest

from hopstep.domain.store_position import ABSENT, StoreLease, StorePosition
from hopstep.ports.key_value_store import StoreListing
from tests.platform.test_store_answers import CONFLICT, outcomes
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

    def test_a_lease_that_the_store_never_granted_is_not_renewed(self):
        # Its name became a part of the path of the call, or int() raised ValueError.
        for name in ("../kv-lease-end/1", "?", "a b", "\r\n", "\u00e9", "9" * ERA_DIGITS, ""):
            lease = StoreLease(name, 0)
            for call in (
                lambda store, lease=lease: store.keep_alive(lease),
                lambda store, lease=lease: store.compare_and_swap("k", ABSENT, b"", lease),
            ):
                with self.subTest(ascii(name)[:20]):
                    peer = RepeatingPeer([answer(b'{"revision": 3}')], None)
                    self.assertEqual(outcomes(peer, call), [CONFLICT])
                    self.assertEqual(peer.requests, [])


if __name__ == "__main__":
    unittest.main()
