"""Contract tests of the engine port, for every adapter and stand-in."""

import contextlib
from collections import Counter

import msgspec
import trio

from emulator.engine.answers import expected_tokens, natural_answer_length, prompt_digest
from emulator.engine.config import EngineConfig
from emulator.engine.faults import EngineFaults, RefusalFault, StreamFault
from hopstep.domain.blocks import BLOCK_TOKENS, cache_salt
from hopstep.exceptions import EngineError, ErrorCode, Execution
from hopstep.ports.engine import (
    AttemptStatus,
    CacheEventKind,
    CancelOutcome,
    EngineOrder,
    EngineRole,
    FinishReason,
    GenerateRequest,
)

IDLE_TIMEOUT_SECONDS = 0.3
CONFIG = EngineConfig(
    block_count=512,
    max_batch_size=2,
    max_waiting_requests=2,
    decode_base_seconds=0.002,
    weight_load_seconds=0.05,
    event_delay_seconds=0.01,
    report_lag_seconds=0.01,
    heartbeat_seconds=0.05,
)
WEIGHTS = {"model": "v1"}
TOKENS = 12
LONG = 200
PROMPT = "catalogue rules " * 40
REQUEST = GenerateRequest("n", "model", PROMPT, TOKENS, 1, cache_salt("tenant", "v1"), "v1")

INTERRUPTED = (ErrorCode.STREAM_INTERRUPTED, Execution.UNKNOWN)
MISMATCH = (ErrorCode.PRECONDITION_FAILED, Execution.NOT_RUN)
UNPROVED = (ErrorCode.PRECONDITION_FAILED, Execution.UNKNOWN)

# Name, fault of the stream, error, number of tokens that arrive under the right nonce.
STREAM_FAULTS = (
    ("cut before the first token", StreamFault(cut_after_tokens=0), INTERRUPTED, 0),
    ("cut after the first token", StreamFault(cut_after_tokens=1), INTERRUPTED, 1),
    ("cut in the middle", StreamFault(cut_after_tokens=TOKENS // 2), INTERRUPTED, TOKENS // 2),
    ("cut after the last token", StreamFault(cut_after_tokens=TOKENS), INTERRUPTED, TOKENS),
    ("duplicate frames", StreamFault(duplicate_frames=True), None, TOKENS),
    ("reordered frames", StreamFault(reorder_frames=True), None, TOKENS),
    ("late frames", StreamFault(late_seconds=0.01), None, TOKENS),
    ("answer of another attempt", StreamFault(foreign_nonce="other"), INTERRUPTED, 0),
    ("frames of another attempt between", StreamFault(injected_nonce="other"), None, TOKENS),
)

# Name, changes of the request, faults of the engine, error.
REFUSALS = (
    ("other weights", {"weights_version": "v0"}, None, MISMATCH),
    ("other incarnation", {"incarnation": "other"}, None, MISMATCH),
    ("unknown model", {"model": "none"}, None, (ErrorCode.UNKNOWN_MODEL, Execution.NOT_RUN)),
    (
        "over-long prompt",
        {"prompt": "x" * 64 * CONFIG.block_count},
        None,
        (ErrorCode.PROMPT_TOO_LONG, Execution.NOT_RUN),
    ),
    ("shutting down", {}, EngineFaults(leaving=True), (ErrorCode.STOPPING, Execution.NOT_RUN)),
    (
        "refused as not run",
        {},
        EngineFaults(refusal=RefusalFault()),
        (ErrorCode.OVERLOADED, Execution.NOT_RUN),
    ),
    (
        "refused without proof",
        {},
        EngineFaults(refusal=RefusalFault(execution=Execution.UNKNOWN)),
        (ErrorCode.OVERLOADED, Execution.UNKNOWN),
    ),
)


class EngineFixture(msgspec.Struct):
    """A port, an engine behind it, and callables that inject faults and list its runs."""

    port: object
    address: str
    kv_cache_store: str
    set_faults: object
    runs: object


class EngineContract:
    """Mixin for ``unittest.TestCase``; ``fixture()`` yields an ``EngineFixture``."""

    @contextlib.asynccontextmanager
    async def fixture(self):
        raise NotImplementedError
        yield

    def run_async(self, test):
        raise NotImplementedError

    def check(self, test):
        async def body():
            async with self.fixture() as fixture:
                await test(fixture)

        self.run_async(body)

    @contextlib.contextmanager
    def assert_error(self, code, execution):
        with self.assertRaises(EngineError) as caught:
            yield
        self.assertEqual((caught.exception.code, caught.exception.execution), (code, execution))

    async def finish(self, fixture, **changes):
        """Run an attempt to its end; return its last frame, with the answer checked."""
        request = msgspec.structs.replace(REQUEST, **changes)
        tokens, first_usage, last = {}, None, None
        async with fixture.port.generate(fixture.address, request) as frames:
            async for frame in frames:
                self.assertEqual(frame.nonce, request.nonce)
                first_usage = first_usage or frame.usage
                tokens.update(enumerate(frame.tokens, frame.sequence))
                last = frame
        start = len(request.continued_text)
        answer = expected_tokens(request.prompt, request.max_tokens, request.continued_text)
        self.assertEqual(tokens, dict(enumerate(answer, start)))
        self.assertEqual(last.usage.completion_tokens, len(answer))
        self.assertEqual(first_usage.cached_tokens, last.usage.cached_tokens)
        return last

    async def occupy(self, fixture, stack, nonce):
        """Open a long stream; one whose nonce begins with ``r`` is running on return."""
        request = msgspec.structs.replace(REQUEST, nonce=nonce, max_tokens=LONG)
        frames = await stack.enter_async_context(fixture.port.generate(fixture.address, request))
        if nonce.startswith("r"):
            await anext(frames)
        return frames

    async def runs_by_nonce(self, fixture):
        return Counter(run.nonce for run in await fixture.runs())

    def test_whole_answers(self):
        prompts = (f"prompt {index}" for index in range(1000))
        brief = next(it for it in prompts if natural_answer_length(prompt_digest(it)) < 300)
        head = expected_tokens(brief, 7)

        async def test(fixture):
            for index, (changes, reason) in enumerate(
                (
                    ({}, FinishReason.LENGTH),
                    ({"prompt": ""}, FinishReason.LENGTH),
                    ({"prompt": brief, "max_tokens": 300}, FinishReason.STOP),
                    ({"prompt": brief, "continued_text": head}, FinishReason.LENGTH),
                    ({"prompt": brief, "continued_text": ("odd!",)}, FinishReason.LENGTH),
                )
            ):
                last = await self.finish(fixture, nonce=f"n{index}", **changes)
                self.assertEqual(last.finish_reason, reason)

        self.check(test)
        whole = expected_tokens(brief, 7 + TOKENS)
        self.assertEqual(whole[7:], expected_tokens(brief, TOKENS, head))
        self.assertNotEqual(whole[1 : 1 + TOKENS], expected_tokens(brief, TOKENS, ("odd!",)))

    def test_stream_faults(self):
        async def test(fixture):
            for index, (name, fault, error, arriving) in enumerate(STREAM_FAULTS):
                with self.subTest(name):
                    await fixture.set_faults(EngineFaults(stream=fault))
                    request = msgspec.structs.replace(REQUEST, nonce=f"n{index}")
                    tokens = {}
                    with self.assert_error(*error) if error else contextlib.nullcontext():
                        async with fixture.port.generate(fixture.address, request) as frames:
                            async for frame in frames:
                                if frame.nonce == request.nonce:
                                    tokens.update(enumerate(frame.tokens, frame.sequence))
                    self.assertEqual(tokens, dict(enumerate(expected_tokens(PROMPT, arriving))))
                    await self.finish(fixture, nonce=f"next{index}")

        self.check(test)

    def test_refusals_run_nothing(self):
        async def test(fixture):
            for name, changes, faults, error in REFUSALS:
                with self.subTest(name):
                    await fixture.set_faults(faults or EngineFaults())
                    with self.assert_error(*error):
                        await self.finish(fixture, **changes)
            self.assertEqual(await fixture.runs(), ())
            await fixture.set_faults(EngineFaults())
            await self.finish(fixture)

        self.check(test)

    def test_full_queue_is_refused_at_once(self):
        async def test(fixture):
            async with contextlib.AsyncExitStack() as stack:
                for nonce in ("r1", "r2", "q1", "q2"):
                    await self.occupy(fixture, stack, nonce)
                with self.assert_error(ErrorCode.OVERLOADED, Execution.NOT_RUN):
                    await self.finish(fixture)

        self.check(test)

    def test_a_nonce_never_runs_twice(self):
        async def test(fixture):
            await self.finish(fixture)
            with self.assert_error(ErrorCode.ALREADY_CLAIMED, Execution.UNKNOWN):
                await self.finish(fixture)
            await fixture.set_faults(EngineFaults(lost_answers=1))
            with self.assertRaises(EngineError) as caught:
                await self.finish(fixture, nonce="lost")
            self.assertEqual(caught.exception.execution, Execution.UNKNOWN)
            with self.assert_error(ErrorCode.ALREADY_CLAIMED, Execution.UNKNOWN):
                await self.finish(fixture, nonce="lost")
            self.assertEqual(await self.runs_by_nonce(fixture), {"n": 1, "lost": 1})

        self.check(test)

    def test_cancel_and_fence(self):
        async def test(fixture):
            port, address = fixture.port, fixture.address
            incarnation = (await port.probe(address)).incarnation
            for call in (port.cancel, port.fence_nonce):
                with self.assert_error(*UNPROVED):
                    await call(address, "n", "other")
            with self.assert_error(*UNPROVED):
                await port.cancel(address, "buried", "")
            unseen = await port.cancel(address, "unseen", incarnation)
            self.assertEqual(unseen, CancelOutcome.NOT_STARTED)
            for _ in range(2):
                status = await port.fence_nonce(address, "fenced", incarnation)
                self.assertEqual(status, AttemptStatus.NOT_SEEN)
            for nonce in ("buried", "unseen", "fenced"):
                with self.assert_error(ErrorCode.ALREADY_CLAIMED, Execution.NOT_RUN):
                    await self.finish(fixture, nonce=nonce)
            await self.finish(fixture)
            self.assertEqual(await port.cancel(address, "n", incarnation), CancelOutcome.FINISHED)
            status = await port.fence_nonce(address, "n", incarnation)
            self.assertEqual(status, AttemptStatus.FINISHED)
            self.assertEqual(await self.runs_by_nonce(fixture), {"n": 1})

        self.check(test)

    def test_cancel_of_running_and_queued_attempts(self):
        async def test(fixture):
            port, address = fixture.port, fixture.address
            incarnation = (await port.probe(address)).incarnation
            async with contextlib.AsyncExitStack() as stack:
                streams = {}
                for nonce in ("running", "r2", "queued"):
                    streams[nonce] = await self.occupy(fixture, stack, nonce)
                for nonce, status in (
                    ("running", AttemptStatus.RUNNING),
                    ("queued", AttemptStatus.QUEUED),
                ):
                    self.assertEqual(await port.fence_nonce(address, nonce, incarnation), status)
                # The queued attempt is cancelled first: a free slot would start it.
                for nonce, outcome in (
                    ("queued", CancelOutcome.NOT_STARTED),
                    ("running", CancelOutcome.CANCELLED),
                ):
                    for _ in range(2):
                        self.assertEqual(await port.cancel(address, nonce, incarnation), outcome)
                    frames = [frame async for frame in streams[nonce]]
                    self.assertEqual(frames[-1].finish_reason, FinishReason.CANCELLED)
            self.assertEqual(await self.runs_by_nonce(fixture), {"running": 1, "r2": 1})

        self.check(test)

    def test_resume_gives_the_rest(self):
        answer = expected_tokens(PROMPT, TOKENS)

        async def read(fixture, incarnation, start):
            tokens = {}
            async with fixture.port.resume(fixture.address, "n", incarnation, start) as frames:
                async for frame in frames:
                    tokens.update(enumerate(frame.tokens, frame.sequence))
            return tokens

        async def test(fixture):
            incarnation = (await fixture.port.probe(fixture.address)).incarnation
            await fixture.set_faults(EngineFaults(stream=StreamFault(cut_after_tokens=3)))
            with self.assert_error(*INTERRUPTED):
                await self.finish(fixture)
            for start in (3, 0, TOKENS):
                rest = await read(fixture, incarnation, start)
                self.assertEqual(rest, dict(enumerate(answer[start:], start)))
            with self.assert_error(ErrorCode.MALFORMED_REQUEST, Execution.UNKNOWN):
                await read(fixture, incarnation, TOKENS + 1)
            await fixture.set_faults(EngineFaults(crash=True))
            with self.assert_error(*UNPROVED):
                await read(fixture, incarnation, 3)
            self.assertEqual(await self.runs_by_nonce(fixture), {"n": 1})

        self.check(test)

    def test_frozen_engine(self):
        async def test(fixture):
            request = msgspec.structs.replace(REQUEST, max_tokens=LONG)
            async with fixture.port.generate(fixture.address, request) as frames:
                await anext(frames)
                await fixture.set_faults(EngineFaults(frozen=True))
                with self.assert_error(*INTERRUPTED):
                    async for _ in frames:
                        pass
            with self.assert_error(ErrorCode.ENGINE_UNREACHABLE, Execution.UNKNOWN):
                await self.finish(fixture, nonce="buffered")
            self.assertEqual(await self.runs_by_nonce(fixture), {"n": 1})
            await fixture.set_faults(EngineFaults())
            await trio.sleep(0.1)
            # The request in the socket's buffer runs later, so "unknown" was correct.
            self.assertEqual(await self.runs_by_nonce(fixture), {"n": 1, "buffered": 1})

        self.check(test)

    def test_crash_loses_everything(self):
        async def test(fixture):
            await self.finish(fixture, nonce="warm")
            before = await fixture.port.probe(fixture.address)
            request = msgspec.structs.replace(REQUEST, max_tokens=LONG)
            async with fixture.port.generate(fixture.address, request) as frames:
                await anext(frames)
                await fixture.set_faults(EngineFaults(crash=True))
                with self.assert_error(*INTERRUPTED):
                    async for _ in frames:
                        pass
            after = await fixture.port.probe(fixture.address)
            self.assertNotEqual(before.incarnation, after.incarnation)
            with self.assert_error(*MISMATCH):
                await self.finish(fixture, nonce="m", incarnation=before.incarnation)
            last = await self.finish(fixture, nonce="m", incarnation=after.incarnation)
            self.assertEqual(last.usage.cached_tokens, 0)

        self.check(test)

    def test_cached_prefix_is_bound_to_its_salt(self):
        whole_blocks = (len(PROMPT) // 4 - 1) // BLOCK_TOKENS * BLOCK_TOKENS

        async def test(fixture):
            for nonce, salt, cached in (
                ("a", REQUEST.cache_salt, 0),
                ("b", REQUEST.cache_salt, whole_blocks),
                ("c", cache_salt("other tenant", "v1"), 0),
                ("d", cache_salt("tenant", "v2"), 0),
            ):
                last = await self.finish(fixture, nonce=nonce, cache_salt=salt)
                self.assertEqual(last.usage.cached_tokens, cached)

        self.check(test)

    def test_import_from_the_kv_cache_store(self):
        whole_blocks = (len(PROMPT) // 4 - 1) // BLOCK_TOKENS * BLOCK_TOKENS
        store = {"kv_cache_store": None}

        async def test(fixture):
            store["kv_cache_store"] = fixture.kv_cache_store
            await self.finish(fixture, nonce="a", **store)
            await trio.sleep(0.1)
            for nonce, changes, imported in (
                ("b", {}, 0),
                ("c", {"cache_salt": cache_salt("tenant", "v0"), **store}, 0),
                ("d", store, whole_blocks),
            ):
                await fixture.set_faults(EngineFaults(crash=True))
                last = await self.finish(fixture, nonce=nonce, **changes)
                self.assertEqual(last.usage.imported_tokens, imported)

        self.check(test)

    def test_cache_events(self):
        async def test(fixture):
            facts = await fixture.port.probe(fixture.address)
            await self.finish(fixture, nonce="a")
            await trio.sleep(0.05)
            batch = await fixture.port.cache_events(fixture.address, facts.incarnation, 0)
            self.assertEqual({event.kind for event in batch.events}, {CacheEventKind.STORED})
            keys = [key for event in batch.events for key in event.block_keys]
            self.assertEqual(len(keys), len(PROMPT) // 4 // BLOCK_TOKENS)
            last = batch.events[-1].sequence
            await fixture.set_faults(EngineFaults(drop_events=True))
            await self.finish(fixture, nonce="b", prompt="y" * 640)
            await fixture.set_faults(EngineFaults(event_delay_seconds=0.0))
            await self.finish(fixture, nonce="c", prompt="z" * 640)
            batch = await fixture.port.cache_events(fixture.address, facts.incarnation, last)
            self.assertGreater(batch.events[0].sequence, last + 1)
            await fixture.set_faults(EngineFaults(event_delay_seconds=60.0))
            batch = await fixture.port.cache_events(fixture.address, facts.incarnation, 0)
            self.assertEqual(batch.events, ())
            await fixture.set_faults(EngineFaults(crash=True))
            batch = await fixture.port.cache_events(fixture.address, facts.incarnation, last)
            self.assertNotEqual(batch.incarnation, facts.incarnation)

        self.check(test)

    def test_orders_are_fenced_and_change_weights(self):
        async def test(fixture):
            port, address = fixture.port, fixture.address
            await self.finish(fixture, nonce="old")
            request = msgspec.structs.replace(REQUEST, nonce="running", max_tokens=LONG)
            async with port.generate(address, request) as frames:
                await anext(frames)
                facts = await port.order(address, EngineOrder(5, {"model": "v2"}))
                self.assertEqual((facts.weights, facts.fence), ({}, 5))
                with self.assert_error(ErrorCode.NOT_READY, Execution.NOT_RUN):
                    await self.finish(fixture)
                rest = [frame async for frame in frames]
                self.assertEqual(rest[-1].finish_reason, FinishReason.LENGTH)
            with self.assert_error(*MISMATCH):
                await port.order(address, EngineOrder(4, {"model": "v1"}))
            await trio.sleep(0.2)
            self.assertEqual((await port.probe(address)).weights, {"model": "v2"})
            with self.assert_error(*MISMATCH):
                await self.finish(fixture)
            # Nothing cached with the old weights is reused, even under the old salt.
            last = await self.finish(fixture, weights_version="v2")
            self.assertEqual(last.usage.cached_tokens, 0)
            await port.order(address, EngineOrder(5, role=EngineRole.STANDBY))
            with self.assert_error(ErrorCode.NOT_READY, Execution.NOT_RUN):
                await self.finish(fixture, nonce="m", weights_version="v2")

        self.check(test)

    def test_weights_changed_under_a_queued_attempt(self):
        async def test(fixture):
            async with contextlib.AsyncExitStack() as stack:
                for nonce in ("r1", "r2", "queued"):
                    frames = await self.occupy(fixture, stack, nonce)
                await fixture.port.order(fixture.address, EngineOrder(1, {"model": "v2"}))
                with self.assert_error(*MISMATCH):
                    async for _ in frames:
                        pass
            self.assertNotIn("queued", await self.runs_by_nonce(fixture))

        self.check(test)

    def test_load_reports_lag(self):
        async def test(fixture):
            request = msgspec.structs.replace(REQUEST, max_tokens=LONG)
            async with fixture.port.generate(fixture.address, request) as frames:
                await anext(frames)
                await fixture.set_faults(EngineFaults(report_lag_seconds=60.0))
                load = (await fixture.port.probe(fixture.address)).load
                self.assertEqual(load.running, 0)
                await fixture.set_faults(EngineFaults(report_lag_seconds=0.0))
                load = (await fixture.port.probe(fixture.address)).load
                self.assertEqual(load.running, 1)

        self.check(test)
