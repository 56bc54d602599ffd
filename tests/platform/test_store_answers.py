"""Answers of the store that don't fit the call on whose connection they come."""

import json
import unittest

import structlog.testing
import trio

from hopstep.domain.store_position import ABSENT, StoreLease, StorePosition
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.platform.http_client import HttpClient
from hopstep.platform.store import PlatformStore
from hopstep.ports.key_value_store import WatchBatch
from tests.repeating_peer import (
    BEFORE_NEXT,
    IDLE_SECONDS,
    WHILE_IDLE,
    WITH_ANSWER,
    RepeatingPeer,
    answer,
)

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


def item(key, revision):
    return {"privateKey": key, "value": "MQ==", "revision": revision}


def conflict_of(key, revision):
    return json_answer({"items": [item(key, revision)]}, 412)


def get(key):
    return lambda store: store.get(key)


def replace(key, revision):
    return lambda store: store.compare_and_swap(key, StorePosition(0, revision), b"2")


def list_after(prefix, after_key=""):
    return lambda store: store.list(prefix, after_key)


def watch(prefix, revision):
    return lambda store: store.watch(prefix, StorePosition(0, revision), 0.0)


def page(revision, *items):
    return json_answer({"atRevision": revision, "items": items})


def events(revision, *items):
    return json_answer({"atRevision": revision, "events": items})


UNKNOWN = ErrorCode.STORE_OUTCOME_UNKNOWN
CONFLICT = ErrorCode.STORE_CONFLICT
UNAVAILABLE = ErrorCode.STORE_UNAVAILABLE

# Case, two calls with the answers to them, the outcome of the second call, and its outcome where
# the answer to the first one comes to it.
COPIES = (
    (
        "a write after a write",
        (create("a"), json_answer({"revision": 7})),
        (create("b"), conflict_of("b", 5)),
        CONFLICT,
        UNKNOWN,
    ),
    (
        "a write after a read of the key",
        (get("a"), json_answer(item("a", 3))),
        (replace("a", 3), conflict_of("a", 5)),
        CONFLICT,
        UNKNOWN,
    ),
    (
        "a write after a refused one of another key",
        (create("a"), conflict_of("a", 5)),
        (create("b"), json_answer({"revision": 8})),
        StorePosition(0, 8),
        UNKNOWN,
    ),
    (
        "a write after a refused one of its key, with the revision named there",
        (create("a"), conflict_of("a", 5)),
        (replace("a", 5), json_answer({"revision": 8})),
        StorePosition(0, 8),
        UNKNOWN,
    ),
    (
        "a write after a key that isn't there",
        (get("a"), json_answer({}, 404)),
        (create("a"), json_answer({"revision": 8})),
        StorePosition(0, 8),
        UNKNOWN,
    ),
    (
        "a read of another key",
        (get("a"), json_answer(item("a", 3))),
        (get("b"), json_answer({}, 404)),
        None,
        UNAVAILABLE,
    ),
    (
        "a page of other keys",
        (list_after("a/"), page(5, item("a/1", 3))),
        (list_after("b/"), page(5)),
        [],
        UNAVAILABLE,
    ),
    (
        "the next page",
        (list_after("a/"), page(5, item("a/1", 3))),
        (list_after("a/", "a/1"), page(5)),
        [],
        UNAVAILABLE,
    ),
    (
        "a watch of other keys",
        (watch("a/", 3), events(5, item("a/1", 4))),
        (watch("b/", 3), events(5)),
        WatchBatch(StorePosition(0, 5), ()),
        UNAVAILABLE,
    ),
    (
        "a watch from a later position",
        (watch("a/", 3), events(5)),
        (watch("a/", 6), events(6)),
        WatchBatch(StorePosition(0, 6), ()),
        UNAVAILABLE,
    ),
    (
        "a lease after a lease",
        (grant, json_answer({"leaseId": 1})),
        (grant, json_answer({"leaseId": 2})),
        StoreLease("2", 0),
        UNKNOWN,
    ),
)


class StoreAnswersTest(unittest.TestCase):
    def check(self, moment, connections):
        for name, first, second, expected, _failure in COPIES:
            peer = RepeatingPeer([first[1], second[1]], moment)
            with self.subTest(name):
                self.assertEqual(outcomes(peer, first[0], second[0])[1:], [expected])
                self.assertEqual(peer.connections, connections)

    def test_an_answer_without_a_copy_keeps_its_connection(self):
        self.check(None, 1)

    def test_a_copy_before_the_next_call_is_not_taken_for_its_answer(self):
        self.check(WITH_ANSWER, 2)
        self.check(WHILE_IDLE, 2)

    def test_a_copy_after_the_next_call_was_taken_for_its_answer(self):
        for name, first, second, expected, failure in COPIES:
            peer = RepeatingPeer([first[1], second[1], second[1]], BEFORE_NEXT)
            with self.subTest(name), structlog.testing.capture_logs() as logs:
                found = outcomes(peer, first[0], second[0], second[0])
                self.assertEqual(found[1:], [failure, expected])
                self.assertEqual(peer.connections, 2)
                self.assertEqual([log["number"] for log in logs], ["HS6002"])

    def test_a_store_that_goes_back_is_followed(self):
        for name, eras, expected in (
            ("with its era", (0, 1, 1), [StorePosition(1, 4), StorePosition(1, 5)]),
            ("without", (0, 0, 0), [UNKNOWN, StorePosition(0, 5)]),
        ):
            answers = [
                json_answer({"revision": revision}, era=era)
                for revision, era in zip((9, 4, 5), eras, strict=True)
            ]
            with self.subTest(name):
                found = outcomes(RepeatingPeer(answers, None), *map(create, "abc"))
                self.assertEqual(found[1:], expected)

    def test_a_write_whose_answer_is_spoilt_was_reported_as_without_effect(self):
        for name, spoilt, expected in (
            ("no JSON", answer(b'{"revision'), UNKNOWN),
            ("no revision", json_answer({}), UNKNOWN),
            ("a fault of the store", json_answer({}, 500), UNKNOWN),
            ("a refusal", json_answer({}, 403), UNAVAILABLE),
            ("a refusal of a closed store", json_answer({}, 503), UNAVAILABLE),
        ):
            for call in (create("a"), grant):
                with self.subTest(name):
                    peer = RepeatingPeer([spoilt], None)
                    self.assertEqual(outcomes(peer, call), [expected])


if __name__ == "__main__":
    unittest.main()
