"""Answers to requests whose ids are unusual are the clients' own, and no surplus ones."""

import unittest

from tests.platform.answer_cuts import BODY, WHOLE, Case, Ending
from tests.platform.cut_world import HOST, OK, CutWorld, ask

BEYOND_ASCII = (b"a\xe9b", b"\xa0a1", b"a1\x85")
BAD_REQUEST = 400


class IdWorld(CutWorld):
    """Sends one request for each list of ids."""

    def __init__(self, ids):
        case = Case("id", WHOLE, len(WHOLE), Ending.SILENCE)
        super().__init__([case] * len(ids), clients=1)
        self.ids = ids

    async def _play(self, address, number, limit, received):
        ids = [("Attempt-Id", value) for value in self.ids[number]]
        fields = [("Host", HOST), *ids, ("Deadline-Ms", "2000")]
        async with limit:
            received[number] = await ask(address, "POST", f"/c{number}/x", fields)


class UnusualIdsTest(unittest.TestCase):
    # The instance's answer repeated the id, was taken for another request's, and gave 502.
    def test_an_id_beyond_ascii_is_compared_byte_by_byte(self):
        world = IdWorld([[value] for value in BEYOND_ASCII])
        for value, received in zip(BEYOND_ASCII, world.run(), strict=True):
            with self.subTest(value):
                self.assertEqual((received.status, received.body), (OK, BODY))
                self.assertIn((b"attempt-id", value), received.headers)

    # Which of the ids an answer repeats isn't known: the answer to the first one gave 502.
    def test_a_request_with_two_ids_is_sent_to_no_instance(self):
        world = IdWorld([["a1", "a2"], ["a1", "a1"]])
        different, same = world.run()
        self.assertEqual((different.status, world.instances.arrivals[0]), (BAD_REQUEST, 0))
        self.assertEqual((same.status, same.body), (OK, BODY))


if __name__ == "__main__":
    unittest.main()
