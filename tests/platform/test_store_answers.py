"""Answers of the store that don't fit the call on whose connection they come."""

import json
import unittest

import trio

from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.platform.http_client import HttpClient
from hopstep.platform.store import PlatformStore
from tests.stuttering_peer import IDLE_SECONDS, StutteringPeer, answer

SECONDS = 0.5


def json_answer(document, status=200, era=None):
    headers = [] if era is None else [f"Store-Era: {era}"]
    return answer(json.dumps(document).encode(), *headers, status=status)


def create(key):
    return lambda store: store.compare_and_swap(key, ABSENT, b"1")


async def grant(store):
    return await store.grant_lease(9.0)


async def outcome_of(call, store):
    """Return the result of a call, or the code of its error."""
    try:
        return await call(store)
    except StoreError as error:
        return error.code


def outcomes(peer, *calls):
    """Return the outcomes of calls; before the second one the connection is idle for a moment."""

    async def main():
        async with trio.open_nursery() as nursery:
            client = HttpClient()
            store = PlatformStore(await peer.serve(nursery), client, SECONDS)
            found = [await outcome_of(calls[0], store)]
            await trio.sleep(IDLE_SECONDS)
            found += [await outcome_of(call, store) for call in calls[1:]]
            await client.aclose()
            nursery.cancel_scope.cancel()
            return found

    return trio.run(main)


class StoreAnswersTest(unittest.TestCase):
    def test_a_write_whose_answer_is_spoilt_was_reported_as_without_effect(self):
        unknown = ErrorCode.STORE_OUTCOME_UNKNOWN
        for name, spoilt, expected in (
            ("no JSON", answer(b'{"revision'), unknown),
            ("no revision", json_answer({}), unknown),
            ("a fault of the store", json_answer({}, 500), unknown),
            ("a refusal", json_answer({}, 403), ErrorCode.STORE_UNAVAILABLE),
            ("a refusal of a closed store", json_answer({}, 503), ErrorCode.STORE_UNAVAILABLE),
        ):
            for call in (create("a"), grant):
                with self.subTest(name):
                    peer = StutteringPeer([spoilt], None)
                    self.assertEqual(outcomes(peer, call), [expected])


if __name__ == "__main__":
    unittest.main()
