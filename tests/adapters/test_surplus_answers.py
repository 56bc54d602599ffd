"""Answers that a server sends twice, on the kept connections of the clients over ``httpx``."""

import contextlib
import unittest

import msgspec
import structlog.testing
import trio

from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.kept_connections import make_client
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.machine_list_http import HttpMachineList
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_http import HttpPeerConfiguration, PeerHttpHandler
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.configuration.document import AcceptedConfiguration, Configuration
from hopstep.domain.configuration.log import ConfigurationTransfer
from hopstep.domain.engines import CacheEvent, CacheEventBatch, CacheEventKind, EngineFacts
from hopstep.domain.store_position import ABSENT, StoreLease
from hopstep.exceptions import ErrorCode, HopstepError
from hopstep.ports.engine import AttemptStatus, EngineOrder, GenerateRequest
from hopstep.ports.machine_list import Machine, MachineState
from tests.repeating_peer import (
    BEFORE_NEXT,
    IDLE_SECONDS,
    WHILE_IDLE,
    WITH_ANSWER,
    WITHIN_NEXT,
    RepeatingPeer,
    answer,
)

SECONDS = 3.0
EVENTS = CacheEventBatch("i", (CacheEvent(1, CacheEventKind.STORED, (1,)),))
FACTS = EngineFacts("i", {}, fence=5)
TRANSFER = ConfigurationTransfer(AcceptedConfiguration(7, Configuration()), ())
LEASE, OTHER_LEASE = StoreLease("l", 0), StoreLease("m", 0)
MACHINE = Machine("127.0.0.1:1", MachineState.LIVE)
STORED = {"key": "a", "value": "MQ==", "version": 3}


class Ports:
    """All clients, of one peer."""

    def __init__(self, address, client, engine):
        self.address = address
        self.store = HttpKeyValueStore(address, client, SECONDS)
        self.machine_list = HttpMachineList(address, client, SECONDS)
        self.engine = engine

    async def generate(self, nonce):
        request = GenerateRequest(nonce, "m", "p", 4, 0, "s", "w")
        async with self.engine.generate(self.address, request) as frames:
            return [(frame.nonce, frame.sequence) async for frame in frames]

    async def resume(self, nonce, sequence):
        async with self.engine.resume(self.address, nonce, "i", sequence) as frames:
            return [(frame.nonce, frame.sequence) async for frame in frames]


@contextlib.asynccontextmanager
async def ports_of(peer):
    async with (
        trio.open_nursery() as nursery,
        make_client() as client,
        contextlib.aclosing(
            HttpEngine(idle_timeout_seconds=SECONDS, call_timeout_seconds=SECONDS)
        ) as engine,
    ):
        yield Ports(await peer.serve(nursery), client, engine)
        nursery.cancel_scope.cancel()


async def fetch(port):
    return await port.fetch("b", 6)


async def outcome_of(call, ports):
    """Return the result of a call, or the code of its error."""
    try:
        return await call(ports)
    except HopstepError as error:
        return error.code


def json_answer(document, status=200):
    return answer(msgspec.json.encode(document), status=status)


def conflict():
    return json_answer({"code": "store_conflict", "message": "m"}, 409)


def fenced_out():
    return json_answer({"code": "precondition_failed", "message": "m", "execution": "not_run"}, 412)


def fence_answer(status):
    return json_answer({"nonce": "n", "status": status})


def frame(nonce, sequence=0):
    line = {"nonce": nonce, "incarnation": "i", "sequence": sequence, "finish_reason": "stop"}
    return answer(msgspec.json.encode(line) + b"\n")


# Case, two calls with the answers to them, the outcome of the second call, and its outcome where
# another answer comes to it.
CASES = (
    (
        "a write after a write",
        (lambda p: p.store.compare_and_swap("a", ABSENT, b""), json_answer(7)),
        (lambda p: p.store.compare_and_swap("b", ABSENT, b""), conflict()),
        ErrorCode.STORE_CONFLICT,
        ErrorCode.STORE_OUTCOME_UNKNOWN,
    ),
    (
        "a read after a read of another key",
        (lambda p: p.store.get("a"), json_answer(STORED)),
        (lambda p: p.store.get("b"), json_answer(None)),
        None,
        ErrorCode.STORE_UNAVAILABLE,
    ),
    (
        "a watch after a watch of other keys",
        (lambda p: p.store.watch("a", ABSENT, 0.0), json_answer({"revision": 3, "values": []})),
        (lambda p: p.store.watch("b", ABSENT, 0.0), conflict()),
        ErrorCode.STORE_CONFLICT,
        ErrorCode.STORE_UNAVAILABLE,
    ),
    (
        "a lease after a lease",
        (lambda p: p.store.grant_lease(9.0), json_answer("l")),
        (lambda p: p.store.grant_lease(9.0), json_answer("m")),
        OTHER_LEASE,
        ErrorCode.STORE_OUTCOME_UNKNOWN,
    ),
    (
        "a renewal after a renewal",
        (lambda p: p.store.keep_alive(LEASE), json_answer(None)),
        (lambda p: p.store.keep_alive(OTHER_LEASE), conflict()),
        ErrorCode.STORE_CONFLICT,
        ErrorCode.STORE_OUTCOME_UNKNOWN,
    ),
    (
        "the machine list after an empty page of the store",
        (lambda p: p.store.list("a"), json_answer([])),
        (lambda p: p.machine_list.machines(), json_answer([MACHINE])),
        [MACHINE],
        ErrorCode.STORE_UNAVAILABLE,
    ),
    (
        "an order after a probe",
        (lambda p: p.engine.probe(p.address), json_answer(EngineFacts("i", {}, fence=4))),
        (lambda p: p.engine.order(p.address, EngineOrder(3)), fenced_out()),
        ErrorCode.PRECONDITION_FAILED,
        ErrorCode.ENGINE_UNREACHABLE,
    ),
    (
        "a probe after a probe",
        (lambda p: p.engine.probe(p.address), json_answer(EngineFacts("i", {}, fence=4))),
        (lambda p: p.engine.probe(p.address), json_answer(FACTS)),
        FACTS,
        ErrorCode.ENGINE_UNREACHABLE,
    ),
    (
        "cache events after cache events",
        (
            lambda p: p.engine.cache_events(p.address, "i", 0),
            json_answer(CacheEventBatch("i", ())),
        ),
        (lambda p: p.engine.cache_events(p.address, "i", 0), json_answer(EVENTS)),
        EVENTS,
        ErrorCode.ENGINE_UNREACHABLE,
    ),
    (
        "a fence of the same nonce",
        (lambda p: p.engine.fence_nonce(p.address, "n", "i"), fence_answer("queued")),
        (lambda p: p.engine.fence_nonce(p.address, "n", "i"), fence_answer("finished")),
        AttemptStatus.FINISHED,
        ErrorCode.ENGINE_UNREACHABLE,
    ),
    (
        "an attempt after an attempt",
        (lambda p: p.generate("n"), frame("n")),
        (lambda p: p.generate("o"), frame("o")),
        [("o", 0)],
        ErrorCode.ENGINE_UNREACHABLE,
    ),
    (
        "a resume of the attempt",
        (lambda p: p.generate("n"), frame("n")),
        (lambda p: p.resume("n", 7), frame("n", 7)),
        [("n", 7)],
        ErrorCode.ENGINE_UNREACHABLE,
    ),
)


STREAM_FAILURES = {
    "an attempt after an attempt": ErrorCode.STREAM_INTERRUPTED,
    "a resume of the attempt": ErrorCode.STREAM_INTERRUPTED,
}
"""Outcomes of streams whose body is spoilt."""


class SurplusAnswersTest(unittest.TestCase):
    """A call is given its own answer although the one before it was sent twice."""

    def check(self, moment, connections):
        for name, first, second, expected, _failure in CASES:
            peer = RepeatingPeer([first[1], second[1]], moment)
            with self.subTest(name):
                self.assertEqual(self.outcomes(peer, first, second), [expected])
                self.assertEqual(peer.connections, connections)

    def check_late(self, moment, failures):
        numbers = []
        for name, first, second, expected, failure in CASES:
            peer = RepeatingPeer([first[1], second[1], second[1]], moment, repeats_ids=True)
            with self.subTest(name), structlog.testing.capture_logs() as logs:
                outcomes = self.outcomes(peer, first, second, second)
                self.assertEqual(outcomes, [failures.get(name, failure), expected])
                self.assertEqual(peer.connections, 2)
            numbers.append([log["number"] for log in logs])
        return numbers

    def outcomes(self, peer, first, *others):
        """Return the outcomes of all calls but the first."""

        async def main():
            async with ports_of(peer) as ports:
                await first[0](ports)
                await trio.sleep(IDLE_SECONDS)
                return [await outcome_of(call, ports) for call, _answer in others]

        return trio.run(main)

    def test_an_answer_without_a_copy_keeps_its_connection(self):
        self.check(None, 1)

    def test_a_copy_read_with_the_answer_was_taken_for_the_next_answer(self):
        self.check(WITH_ANSWER, 2)

    def test_an_unread_copy_is_not_taken_for_the_next_answer(self):
        self.check(WHILE_IDLE, 2)

    def test_a_copy_that_came_after_the_next_call_was_taken_for_its_answer(self):
        self.assertEqual(self.check_late(BEFORE_NEXT, {}), [["HS6002"]] * len(CASES))

    def test_a_copy_within_the_next_answer_spoils_it(self):
        self.check_late(WITHIN_NEXT, STREAM_FAILURES)

    def test_after_a_copy_each_answer_of_a_peer_came_to_the_next_call(self):
        own, peers = (
            PeerCodec("c", name, 1, PeerKeys({"k": bytes(32)}), lambda: 1_000.0) for name in "ab"
        )
        handler = PeerHttpHandler(peers, lambda _revision: TRANSFER)

        async def signed_answer(request):
            return answer(await handler.handle("configuration", request.partition(b"\r\n\r\n")[2]))

        for moment, expected in (
            (None, [TRANSFER] * 3),
            (WITH_ANSWER, [TRANSFER] * 3),
            (WHILE_IDLE, [TRANSFER] * 3),
            (BEFORE_NEXT, [TRANSFER, ErrorCode.PEER_MESSAGE_REJECTED, TRANSFER]),
        ):
            peer = RepeatingPeer([signed_answer] * 3, moment, repeats_ids=True)

            async def main(peer=peer):
                async with trio.open_nursery() as nursery, make_client() as client:
                    url = f"http://{await peer.serve(nursery)}"
                    port = HttpPeerConfiguration(client, own, {"b": url}.get)
                    outcomes = [await outcome_of(fetch, port)]
                    await trio.sleep(IDLE_SECONDS)
                    outcomes += [await outcome_of(fetch, port) for _ in range(2)]
                    nursery.cancel_scope.cancel()
                return outcomes

            with self.subTest(moment):
                self.assertEqual(trio.run(main), expected)
                self.assertEqual(peer.connections, 1 if moment is None else 2)


if __name__ == "__main__":
    unittest.main()
