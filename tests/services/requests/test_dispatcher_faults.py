"""Faults of request handling: complete answers or errors with the proved execution."""

import contextlib
import unittest
from unittest import mock

import trio

from emulator.engine.faults import EngineFaults, RefusalFault, StreamFault
from hopstep.domain import attempts
from hopstep.domain.attempts import Action, Decision, FrameCheck, FrameVerdict
from hopstep.domain.configuration.document import RoutingPolicy
from hopstep.domain.retry_budget import MAX_SAVED_RETRIES, RetryBudget
from hopstep.exceptions import EngineError, ErrorCode, Execution, ServiceError
from hopstep.services.requests import request_execution
from tests.services.requests.request_path import RequestPath, configuration, oracle, run, tokens_of

TOKENS = 20

STREAM_FAULTS = {
    "cut before the first token": StreamFault(cut_after_tokens=0),
    "cut after the first token": StreamFault(cut_after_tokens=1),
    "cut in the middle": StreamFault(cut_after_tokens=10),
    "cut before the last token": StreamFault(cut_after_tokens=TOKENS - 1),
    "cut after the last token": StreamFault(cut_after_tokens=TOKENS),
    "cut twice": StreamFault(cut_after_tokens=3, streams=2),
    "duplicated": StreamFault(duplicate_frames=True),
    "reordered": StreamFault(reorder_frames=True),
    "late": StreamFault(late_seconds=0.2),
    "crossed": StreamFault(foreign_nonce="another"),
    "a frame of another attempt before each": StreamFault(injected_nonce="another"),
}

POINTS = {"first": 1, "middle": 10, "last": TOKENS - 1}


class Outcome:
    """The parts and the error that a caller got."""

    def __init__(self):
        self.parts = []
        self.error = None

    @property
    def tokens(self):
        return tokens_of(self.parts)


async def attempt_answer(path, request, at=None, induce=None):
    """Collect an answer; call ``induce(address)`` once after ``at`` tokens have arrived."""
    outcome = Outcome()

    def watch(parts):
        outcome.parts = list(parts)
        if induce is not None and at is not None and len(tokens_of(parts)) >= at:
            address = next(
                b.address
                for b in path.holder.require().configuration.back_ends
                if b.name == parts[0].engine
            )
            if not outcome.induced:
                outcome.induced = True
                induce(address)

    outcome.induced = False
    try:
        outcome.parts = await path.answer(request, watch)
    except ServiceError as error:
        outcome.error = error
    return outcome


class FaultTest(unittest.TestCase):
    def check_complete(self, path, request, outcome, runs):
        self.assertIsNone(outcome.error, outcome.error and outcome.error.code)
        self.assertEqual(outcome.tokens, oracle(request))
        sequences = [part.sequence for part in outcome.parts]
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertIsNotNone(outcome.parts[-1].finish)
        self.assertEqual(outcome.parts[-1].usage.completion_tokens, TOKENS)
        self.check_clean(path)
        self.assertIn(path.runs(request), runs)

    def check_clean(self, path):
        self.assertEqual(path.admission.slots.total(), 0)
        self.assertEqual(path.admission.queued, 0)

    def check_failure(self, path, request, outcome):
        self.assertIsNotNone(outcome.error)
        self.assertEqual(outcome.tokens, oracle(request)[: len(outcome.tokens)])
        if path.runs(request):
            self.assertEqual(outcome.error.execution, Execution.UNKNOWN)
        self.check_clean(path)

    def test_stream_faults(self):
        async def scenario(fault, class_name):
            path = RequestPath()
            await path.learn_facts()
            for model in ("127.0.0.1:9000", "127.0.0.1:9001"):
                path.engines.set_faults(model, EngineFaults(stream=fault))
            request = path.request(class_name)
            outcome = await attempt_answer(path, request)
            self.check_complete(path, request, outcome, {1})

        for name, fault in STREAM_FAULTS.items():
            for class_name in ("quick", "once"):
                with self.subTest(fault=name, request_class=class_name):
                    run(lambda f=fault, c=class_name: scenario(f, c))

    def test_engine_dies_at_a_token(self):
        async def scenario(at, class_name):
            path = RequestPath()
            await path.learn_facts()
            request = path.request(class_name)

            def die(address):
                path.engines.set_faults(address, EngineFaults(crash=True))

            outcome = await attempt_answer(path, request, at, die)
            if class_name == "quick":
                self.check_complete(path, request, outcome, {2})
                return
            self.check_failure(path, request, outcome)
            self.assertEqual(outcome.error.code, ErrorCode.STREAM_INTERRUPTED)
            self.assertEqual(path.runs(request), 1)

        for name, at in POINTS.items():
            for class_name in ("quick", "once"):
                with self.subTest(at=name, request_class=class_name):
                    run(lambda a=at, c=class_name: scenario(a, c))

    def test_engine_freezes_at_a_token(self):
        async def scenario(at, class_name, thaw_after):
            path = RequestPath()
            await path.learn_facts()
            request = path.request(class_name)
            async with trio.open_nursery() as nursery:

                async def thaw(address):
                    await trio.sleep(thaw_after)
                    path.engines.set_faults(address, EngineFaults())

                def freeze(address):
                    path.engines.set_faults(address, EngineFaults(frozen=True))
                    nursery.start_soon(thaw, address)

                outcome = await attempt_answer(path, request, at, freeze)
            runs = {1} if class_name == "once" else {1, 2}
            self.check_complete(path, request, outcome, runs)

        for name, at in POINTS.items():
            for class_name in ("quick", "once"):
                for thaw_after in (0.5, 6.0):
                    with self.subTest(at=name, request_class=class_name, thaw_after=thaw_after):
                        run(lambda a=at, c=class_name, t=thaw_after: scenario(a, c, t))

    def test_refusals_and_lost_answers(self):
        not_run = RefusalFault(ErrorCode.OVERLOADED, Execution.NOT_RUN)
        unknown = RefusalFault(ErrorCode.INTERNAL, Execution.UNKNOWN)
        cases = {
            "refused as not run": EngineFaults(refusal=not_run),
            "refused as unknown": EngineFaults(refusal=unknown),
            "the answer to the dispatch is lost": EngineFaults(lost_answers=1),
        }

        async def scenario(fault, class_name):
            path = RequestPath()
            await path.learn_facts()
            for address in ("127.0.0.1:9000", "127.0.0.1:9001"):
                path.engines.set_faults(address, fault)
            request = path.request(class_name)
            self.check_complete(path, request, await attempt_answer(path, request), {1})

        for name, fault in cases.items():
            for class_name in ("quick", "once"):
                with self.subTest(fault=name, request_class=class_name):
                    run(lambda f=fault, c=class_name: scenario(f, c))

    def test_unreachable_engine_is_left_for_another(self):
        async def scenario(class_name):
            path = RequestPath()
            await path.learn_facts()
            request = path.request(class_name)
            first = path.table.choose(
                request, path.holder.require().configuration.back_ends, frozenset(), 0.0
            )
            path.engines.set_down(first.back_end.address, True)
            self.check_complete(path, request, await attempt_answer(path, request), {1})

        for class_name in ("quick", "once"):
            with self.subTest(request_class=class_name):
                run(lambda c=class_name: scenario(c))

    def test_request_lost_in_transit_and_arriving_late(self):
        async def scenario(class_name, late):
            path = RequestPath()
            await path.learn_facts()
            request = path.request(class_name)
            async with trio.open_nursery() as nursery:
                with lose_next_dispatch(path.engines, nursery, late):
                    outcome = await attempt_answer(path, request)
                await trio.sleep(20)
            self.check_complete(path, request, outcome, {1} if class_name == "once" else {1, 2})

        for class_name in ("quick", "once"):
            for late in (None, 0.005, 5.0):
                with self.subTest(request_class=class_name, late=late):
                    run(lambda c=class_name, x=late: scenario(c, x))

    def test_every_engine_down_is_refused_as_not_run(self):
        async def scenario(class_name):
            path = RequestPath()
            await path.learn_facts()
            for model in ("127.0.0.1:9000", "127.0.0.1:9001"):
                path.engines.set_down(model, True)
            request = path.request(class_name)
            outcome = await attempt_answer(path, request)
            self.check_failure(path, request, outcome)
            self.assertEqual(outcome.error.execution, Execution.NOT_RUN)
            self.assertGreater(outcome.error.retry_after_seconds, 0)

        for class_name in ("quick", "once"):
            with self.subTest(request_class=class_name):
                run(lambda c=class_name: scenario(c))

    def test_crash_between_routing_and_dispatch_never_relies_on_lost_cache(self):
        async def scenario(class_name):
            path = RequestPath()
            await path.learn_facts()
            request = path.request(class_name)
            await path.answer(request)
            for address in ("127.0.0.1:9000", "127.0.0.1:9001"):
                path.engines.set_faults(address, EngineFaults(crash=True))
            again = path.request(class_name)
            again = again.__class__(**{**as_fields(again), "prompt": request.prompt})
            outcome = await attempt_answer(path, again)
            self.assertEqual(outcome.tokens, oracle(again))
            self.assertEqual(outcome.parts[-1].usage.cached_tokens, 0)

        for class_name in ("quick", "once"):
            with self.subTest(request_class=class_name):
                run(lambda c=class_name: scenario(c))

    def test_deadline_error_states_the_proved_execution(self):
        async def scenario(frozen, expected):
            path = RequestPath(configuration(engines=1))
            await path.learn_facts()
            if frozen:
                path.engines.set_faults("127.0.0.1:9000", EngineFaults(frozen=True))
            else:
                path.engines.set_down("127.0.0.1:9000", True)
            request = path.request("once", deadline=trio.current_time() + 1.0)
            with mock.patch.object(request_execution, "BACKOFF_SECONDS", 30.0):
                outcome = await attempt_answer(path, request)
            self.check_failure(path, request, outcome)
            self.assertEqual(outcome.error.code, ErrorCode.DEADLINE_EXCEEDED)
            self.assertEqual(outcome.error.execution, expected)

        run(lambda: scenario(True, Execution.UNKNOWN))
        run(lambda: scenario(False, Execution.NOT_RUN))

    def test_caller_leaves(self):
        async def scenario(after_tokens):
            path = RequestPath(configuration(engines=1))
            await path.learn_facts()
            request = path.request(max_tokens=200)
            with trio.move_on_after(60) as scope:
                async with path.dispatcher.run(request) as stream:
                    if after_tokens is None:
                        scope.cancel()
                        await trio.lowlevel.checkpoint()
                    async for part in stream:
                        if part.sequence + len(part.tokens) >= after_tokens:
                            scope.cancel()
            self.check_clean(path)
            await trio.sleep(30)
            load = path.models()[0].load(trio.current_time())
            self.assertEqual((load.running, load.waiting), (0, 0))
            model = path.models()[0]
            self.assertLessEqual(len(model.runs(trio.current_time())), 1)

        for after in (None, 1, 50):
            with self.subTest(after=after):
                run(lambda a=after: scenario(a))

    def test_relabelled_engine_gets_no_retry(self):
        async def scenario():
            path = RequestPath()
            await path.learn_facts()
            request = path.request()

            def die_and_relabel(address):
                path.engines.set_faults(address, EngineFaults(crash=True))
                path.apply(configuration(leaving=True))

            outcome = await attempt_answer(path, request, 5, die_and_relabel)
            self.check_failure(path, request, outcome)
            self.assertEqual(outcome.error.code, ErrorCode.STREAM_INTERRUPTED)
            self.assertEqual(path.runs(request), 1)

        run(scenario)

    def outage_excess(self):
        """Return the dispatches during an outage minus the bound of the retry budget."""

        async def scenario():
            path = RequestPath(configuration(routing=RoutingPolicy(retry_ratio=0.1)))
            await path.learn_facts()
            dispatches = 0
            generate = path.engines.generate

            def count(address, request):
                nonlocal dispatches
                dispatches += 1
                return generate(address, request)

            fault = RefusalFault(ErrorCode.INTERNAL, Execution.NOT_RUN, count=10_000)
            for address in ("127.0.0.1:9000", "127.0.0.1:9001"):
                path.engines.set_faults(address, EngineFaults(refusal=fault))
            with mock.patch.object(path.engines, "generate", count):
                for _ in range(200):
                    outcome = await attempt_answer(path, path.request())
                    self.assertEqual(outcome.error.execution, Execution.NOT_RUN)
            return dispatches - (200 * 1.1 + MAX_SAVED_RETRIES + trio.current_time() * 0.5)

        return run(scenario)

    def test_outage_is_not_amplified(self):
        self.assertLessEqual(self.outage_excess(), 0)
        with mock.patch.object(RetryBudget, "allows", lambda self, now: True):
            self.assertGreater(self.outage_excess(), 0)

    def test_crash_under_many_streams_cuts_none_whatever_the_budget(self):
        async def scenario():
            routing = RoutingPolicy(retry_ratio=0.0)
            document = configuration(engines=3, routing=routing, max_concurrent_requests=64)
            path = RequestPath(document)
            await path.learn_facts()
            requests = [path.request() for _ in range(96)]
            outcomes = {}

            async def ask(request):
                outcomes[request.request_id] = await attempt_answer(path, request)

            async with trio.open_nursery() as nursery:
                for request in requests:
                    nursery.start_soon(ask, request)
                await trio.sleep(0.9)
                address = path.holder.require().configuration.back_ends[0].address
                self.assertGreater(path.admission.slots.in_flight(address), 15)
                path.engines.set_faults(address, EngineFaults(crash=True))
            for request in requests:
                self.check_complete(path, request, outcomes[request.request_id], {1, 2})

        run(scenario)

    def test_hedge_answers_for_a_slow_engine(self):
        async def scenario():
            routing = RoutingPolicy(hedge_after_seconds=0.3)
            path = RequestPath(configuration(routing=routing))
            await path.learn_facts()
            request = path.request("hedged")
            first = path.table.choose(
                request, path.holder.require().configuration.back_ends, frozenset(), 0.0
            )
            path.engines.set_faults(first.back_end.address, EngineFaults(frozen=True))
            outcome = await attempt_answer(path, request)
            self.assertLess(trio.current_time(), 5.0)
            self.check_complete(path, request, outcome, {1, 2})
            self.assertNotEqual(outcome.parts[0].engine, first.back_end.name)

        run(scenario)


class WrongVariantTest(unittest.TestCase):
    """The checks above detect these wrong variants of hopstep."""

    def test_checker_that_ignores_the_nonce_is_detected(self):
        def careless(self, nonce, incarnation, sequence, token_count, last):
            skip = max(0, self.next_sequence - sequence)
            self.next_sequence = max(self.next_sequence, sequence + token_count)
            return FrameCheck(FrameVerdict.ACCEPT, skip)

        async def scenario():
            path = RequestPath()
            await path.learn_facts()
            for address in ("127.0.0.1:9000", "127.0.0.1:9001"):
                fault = STREAM_FAULTS["a frame of another attempt before each"]
                path.engines.set_faults(address, EngineFaults(stream=fault))
            request = path.request()
            outcome = await attempt_answer(path, request)
            self.assertNotEqual(outcome.tokens, oracle(request))

        with mock.patch.object(attempts.FrameChecker, "check", careless):
            run(scenario)

    def test_retry_of_a_single_run_on_unknown_is_detected(self):
        def careless(snapshot):
            decision = attempts.decide_next(snapshot)
            if decision.action in (Action.RESUME, Action.SETTLE, Action.FAIL):
                return Decision(Action.RETRY)
            return decision

        async def scenario():
            path = RequestPath()
            await path.learn_facts()
            for address in ("127.0.0.1:9000", "127.0.0.1:9001"):
                path.engines.set_faults(address, EngineFaults(lost_answers=1))
            request = path.request("once")
            await attempt_answer(path, request)
            self.assertGreater(path.runs(request), 1)

        with mock.patch.object(request_execution, "decide_next", careless):
            run(scenario)


@contextlib.contextmanager
def lose_next_dispatch(engines, nursery, late):
    """Lose one dispatch; it reaches its engine ``late`` seconds later, or never (None)."""
    generate = engines.generate
    lost = []

    async def arrive(address, request):
        await trio.sleep(late)
        with contextlib.suppress(EngineError):
            async with generate(address, request) as frames:
                async for _ in frames:
                    pass

    @contextlib.asynccontextmanager
    async def lossy(address, request):
        if not lost:
            lost.append(request.nonce)
            if late is not None:
                nursery.start_soon(arrive, address, request)
            raise EngineError(ErrorCode.ENGINE_UNREACHABLE, "no answer came", Execution.UNKNOWN)
        async with generate(address, request) as frames:
            yield frames

    with mock.patch.object(engines, "generate", lossy):
        yield


def as_fields(request):
    return {name: getattr(request, name) for name in request.__struct_fields__}


if __name__ == "__main__":
    unittest.main()
