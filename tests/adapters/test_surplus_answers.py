"""Answers that a server sends twice, on the kept connections of the clients over ``httpx``."""

import contextlib
import unittest

import msgspec
import trio

from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.kept_connections import make_client
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.machine_list_http import HttpMachineList
from hopstep.domain.engines import CacheEvent, CacheEventBatch, CacheEventKind, EngineFacts
from hopstep.domain.store_position import ABSENT, StoreLease
from hopstep.exceptions import ErrorCode, HopstepError
from hopstep.ports.engine import AttemptStatus, EngineOrder, GenerateRequest
from hopstep.ports.machine_list import Machine, MachineState
from tests.stuttering_peer import IDLE_SECONDS, WHILE_IDLE, WITH_ANSWER, StutteringPeer, answer

SECONDS = 0.5
EVENTS = CacheEventBatch("i", (CacheEvent(1, CacheEventKind.STORED, (1,)),))
FACTS = EngineFacts("i", {}, fence=5)
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


# Case, two calls with the answers to them, and the outcome of the second call.
CASES = (
    (
        "a write after a write",
        (lambda p: p.store.compare_and_swap("a", ABSENT, b""), json_answer(7)),
        (lambda p: p.store.compare_and_swap("b", ABSENT, b""), conflict()),
        ErrorCode.STORE_CONFLICT,
    ),
    (
        "a read after a read of another key",
        (lambda p: p.store.get("a"), json_answer(STORED)),
        (lambda p: p.store.get("b"), json_answer(None)),
        None,
    ),
    (
        "a watch after a watch of other keys",
        (lambda p: p.store.watch("a", ABSENT, 0.0), json_answer({"revision": 3, "values": []})),
        (lambda p: p.store.watch("b", ABSENT, 0.0), conflict()),
        ErrorCode.STORE_CONFLICT,
    ),
    (
        "a lease after a lease",
        (lambda p: p.store.grant_lease(9.0), json_answer("l")),
        (lambda p: p.store.grant_lease(9.0), json_answer("m")),
        OTHER_LEASE,
    ),
    (
        "a renewal after a renewal",
        (lambda p: p.store.keep_alive(LEASE), json_answer(None)),
        (lambda p: p.store.keep_alive(OTHER_LEASE), conflict()),
        ErrorCode.STORE_CONFLICT,
    ),
    (
        "the machine list after an empty page of the store",
        (lambda p: p.store.list("a"), json_answer([])),
        (lambda p: p.machine_list.machines(), json_answer([MACHINE])),
        [MACHINE],
    ),
    (
        "an order after a probe",
        (lambda p: p.engine.probe(p.address), json_answer(EngineFacts("i", {}, fence=4))),
        (lambda p: p.engine.order(p.address, EngineOrder(3)), fenced_out()),
        ErrorCode.PRECONDITION_FAILED,
    ),
    (
        "a probe after a probe",
        (lambda p: p.engine.probe(p.address), json_answer(EngineFacts("i", {}, fence=4))),
        (lambda p: p.engine.probe(p.address), json_answer(FACTS)),
        FACTS,
    ),
    (
        "cache events after cache events",
        (
            lambda p: p.engine.cache_events(p.address, "i", 0),
            json_answer(CacheEventBatch("i", ())),
        ),
        (lambda p: p.engine.cache_events(p.address, "i", 0), json_answer(EVENTS)),
        EVENTS,
    ),
    (
        "a fence of the same nonce",
        (lambda p: p.engine.fence_nonce(p.address, "n", "i"), fence_answer("queued")),
        (lambda p: p.engine.fence_nonce(p.address, "n", "i"), fence_answer("finished")),
        AttemptStatus.FINISHED,
    ),
    (
        "an attempt after an attempt",
        (lambda p: p.generate("n"), frame("n")),
        (lambda p: p.generate("o"), frame("o")),
        [("o", 0)],
    ),
    (
        "a resume of the attempt",
        (lambda p: p.generate("n"), frame("n")),
        (lambda p: p.resume("n", 7), frame("n", 7)),
        [("n", 7)],
    ),
)


class SurplusAnswersTest(unittest.TestCase):
    """A call is given its own answer although the one before it was sent twice."""

    def check(self, moment, connections):
        for name, (call, answer_to_it), (next_call, next_answer), expected in CASES:
            peer = StutteringPeer([answer_to_it, next_answer], moment)

            async def main(peer=peer, call=call, next_call=next_call):
                async with ports_of(peer) as ports:
                    await call(ports)
                    await trio.sleep(IDLE_SECONDS)
                    return await outcome_of(next_call, ports)

            with self.subTest(name):
                self.assertEqual(trio.run(main), expected)
                self.assertEqual(peer.connections, connections)

    def test_an_answer_without_a_copy_keeps_its_connection(self):
        self.check(None, 1)

    def test_a_copy_read_with_the_answer_was_taken_for_the_next_answer(self):
        self.check(WITH_ANSWER, 2)

    def test_an_unread_copy_is_not_taken_for_the_next_answer(self):
        self.check(WHILE_IDLE, 2)


if __name__ == "__main__":
    unittest.main()
