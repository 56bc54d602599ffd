"""The dispatcher over emulated engines: complete answers, claims, preconditions, slow callers."""

import contextlib
import unittest
from unittest import mock

import msgspec
import trio

from emulator.engine.faults import EngineFaults, RefusalFault
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from hopstep.domain.configuration.document import BackEnd, BackEndKind, RoutingPolicy
from hopstep.domain.inference import AnswerFinish, AnswerPart
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.services.claims import ClaimService
from hopstep.services.requests.answer_stream import MAX_BUFFERED_TOKENS, AnswerStream
from tests.services.requests.request_path import RequestPath, configuration, oracle, run, tokens_of


@contextlib.contextmanager
def recorded_requests(path):
    """Record the requests that the engines receive."""
    generate = path.engines.generate
    seen = []

    def record(address, request):
        seen.append((address, request))
        return generate(address, request)

    with mock.patch.object(path.engines, "generate", record):
        yield seen


class DispatcherTest(unittest.TestCase):
    def test_answer_is_whole_and_in_order_with_usage(self):
        async def scenario():
            path = RequestPath()
            request = path.request()
            parts = await path.answer(request)
            self.assertEqual(tokens_of(parts), oracle(request))
            self.assertEqual(parts[-1].finish, AnswerFinish.LENGTH)
            self.assertEqual(parts[-1].usage.completion_tokens, 20)
            self.assertEqual(path.runs(request), 1)
            self.assertEqual(path.admission.slots.total(), 0)

        run(scenario)

    def test_errors_of_the_caller_leave_the_block_unwrapped(self):
        async def scenario():
            path = RequestPath()
            with self.assertRaises(ZeroDivisionError):
                async with path.dispatcher.run(path.request()) as stream:
                    await anext(stream)
                    raise ZeroDivisionError
            self.assertEqual(path.admission.slots.total(), 0)

        run(scenario)

    def test_preconditions(self):
        async def scenario():
            path = RequestPath(configuration(engines=1))
            with recorded_requests(path) as seen:
                await path.answer(path.request("once"))
                await path.answer(path.request("quick"))
            (_, once), (_, quick) = seen
            self.assertEqual(once.incarnation, path.models()[0].incarnation)
            self.assertEqual(quick.incarnation, "")
            self.assertEqual({once.weights_version, quick.weights_version}, {"v1"})

        run(scenario)

    def test_kv_cache_store_of_the_engines_zone_is_named_only_when_imports_pay(self):
        stores = tuple(
            BackEnd(f"kv-{zone}", f"10.0.0.{number}:1", BackEndKind.KV_CACHE_STORE, {"zone": zone})
            for number, zone in enumerate(("b", "a"))
        )

        async def scenario(speed, expected):
            routing = RoutingPolicy(import_tokens_per_second=speed)
            document = configuration(engines=1, routing=routing)
            document = msgspec.structs.replace(document, back_ends=document.back_ends + stores)
            path = RequestPath(document)
            with recorded_requests(path) as seen:
                await path.answer(path.request())
            self.assertEqual(seen[0][1].kv_cache_store, expected)

        run(lambda: scenario(0.0, ""))
        run(lambda: scenario(60_000.0, "10.0.0.1:1"))

    def test_idempotency_key_runs_once_and_is_claimed_again_after_a_proved_refusal(self):
        async def scenario(refusals):
            shared = SharedStore()
            path = RequestPath()
            claims = ClaimService(InMemoryStore(shared), path.engines, "r1")
            path.dispatcher._factory._claims = claims
            await path.learn_facts()
            for address in ("127.0.0.1:9000", "127.0.0.1:9001"):
                fault = RefusalFault(ErrorCode.INTERNAL, Execution.NOT_RUN, count=refusals)
                path.engines.set_faults(address, EngineFaults(refusal=fault))
            request = path.request("once", idempotency_key="renew-7")
            self.assertEqual(tokens_of(await path.answer(request)), oracle(request))
            again = msgspec.structs.replace(request, request_id="again")
            with self.assertRaises(ServiceError) as caught:
                await path.answer(again)
            self.assertEqual(caught.exception.code, ErrorCode.ALREADY_CLAIMED)
            self.assertEqual(caught.exception.execution, Execution.UNKNOWN)
            self.assertEqual(path.runs(request), 1)
            self.assertEqual(path.admission.slots.total(), 0)

        for refusals in (0, 1):
            with self.subTest(refusals=refusals):
                run(lambda r=refusals: scenario(r))

    def test_without_claims_a_keyed_single_run_is_refused_as_not_run(self):
        async def scenario():
            path = RequestPath()
            request = path.request("once", idempotency_key="renew-7")
            with self.assertRaises(ServiceError) as caught:
                await path.answer(request)
            self.assertEqual(caught.exception.code, ErrorCode.CLAIMS_UNAVAILABLE)
            self.assertEqual(caught.exception.execution, Execution.NOT_RUN)
            self.assertEqual(path.runs(request), 0)

        run(scenario)


class AnswerStreamTest(unittest.TestCase):
    def test_slow_caller_holds_the_engine_back_and_gets_joined_parts(self):
        async def scenario():
            stream = AnswerStream()
            sent = []

            async def fill():
                for sequence in range(3 * MAX_BUFFERED_TOKENS):
                    finish = AnswerFinish.STOP if sequence == 3 * MAX_BUFFERED_TOKENS - 1 else None
                    await stream.put(AnswerPart(sequence, (str(sequence),), "e", finish))
                    sent.append(sequence)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(fill)
                await trio.sleep(1)
                self.assertEqual(len(sent), MAX_BUFFERED_TOKENS)
                parts = [part async for part in stream]
            self.assertEqual(tokens_of(parts), tuple(map(str, range(3 * MAX_BUFFERED_TOKENS))))
            self.assertLess(len(parts), 10)

        run(scenario)

    def test_error_comes_after_the_parts_before_it(self):
        async def scenario():
            stream = AnswerStream()
            await stream.put(AnswerPart(0, ("a",), "e"))
            stream.fail(ServiceError(ErrorCode.STREAM_INTERRUPTED, "cut"))
            self.assertEqual((await anext(stream)).tokens, ("a",))
            with self.assertRaises(ServiceError):
                await anext(stream)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
