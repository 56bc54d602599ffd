"""Copies of earlier batches of cache events on the kept connection of later calls."""

import json
import unittest

import trio

from hopstep.platform.cache_events import PlatformCacheEvents
from hopstep.platform.http_client import HttpClient
from tests.repeating_peer import (
    BEFORE_NEXT,
    IDLE_SECONDS,
    WHILE_IDLE,
    WITH_ANSWER,
    RepeatingPeer,
    answer,
)


def batch(position, *numbers):
    events = [[number, "+", "s", f"segment {number}", 8, "m"] for number in numbers]
    return answer(json.dumps({"epoch": 1, "nextPageToken": position, "events": events}).encode())


class CacheEventAnswersTest(unittest.TestCase):
    def read(self, peer, *positions):
        """Return the segments of each batch; after the first one the connection rests."""

        async def main():
            async with trio.open_nursery() as nursery:
                client = HttpClient()
                events = PlatformCacheEvents(client)
                address = await peer.serve(nursery)
                batches = []
                for position in positions:
                    read = await events.read(address, position, 0.1)
                    batches.append([int(event.segment_id.split()[1]) for event in read.events])
                    if len(batches) == 1:
                        await trio.sleep(IDLE_SECONDS)
                await client.aclose()
                nursery.cancel_scope.cancel()
                return batches

        return trio.run(main)

    def test_a_copy_of_a_later_batch_came_in_place_of_the_first_one(self):
        for moment in (None, WITH_ANSWER, WHILE_IDLE, BEFORE_NEXT):
            with self.subTest(moment):
                peer = RepeatingPeer([batch(8, 8), batch(8, 1, 8)], moment)
                self.assertEqual(self.read(peer, 7, 0), [[8], [1, 8]])

    def test_later_batches_come_over_one_connection(self):
        peer = RepeatingPeer([batch(1, 1), batch(2, 2), batch(3, 3)], None)
        self.assertEqual(self.read(peer, 0, 1, 2), [[1], [2], [3]])
        self.assertEqual(peer.connections, 2)


if __name__ == "__main__":
    unittest.main()
