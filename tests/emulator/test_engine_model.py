"""The engine model without I/O: timing, order and retained nonces; fuzzed against an oracle."""

import random
import unittest
from collections import Counter

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from emulator.engine.attempts import AttemptState
from emulator.engine.config import EngineConfig
from emulator.engine.model import EngineModel
from emulator.engine.refusal import EngineRefusalError
from emulator.engine.scheduler import NoticeKind
from emulator.kv_cache_store.model import KvCacheStoreModel
from emulator.weight_store.model import LoadRefusedError, WeightStoreModel
from hopstep.domain.blocks import cache_salt
from hopstep.exceptions import Execution
from hopstep.ports.engine import CancelOutcome, EngineOrder, GenerateRequest
from tests import fuzz_settings

CONFIG = EngineConfig(
    block_count=64,
    max_batch_size=2,
    max_waiting_requests=3,
    prefill_chunk_tokens=64,
    prefill_tokens_per_second=1000.0,
    decode_base_seconds=0.1,
    decode_seconds_per_request=0.0,
    import_tokens_per_second=16_000.0,
    retained_attempts=2,
    retained_nonces=4,
)
END_OF_TIME = 1e6


def request(nonce, prompt_tokens=64, max_tokens=3, priority=1, **changes):
    prompt = (f"{nonce:4.4}" * prompt_tokens)[: 4 * prompt_tokens]
    message = GenerateRequest(nonce, "m", prompt, max_tokens, priority, cache_salt("t", "v1"), "v1")
    return msgspec.structs.replace(message, **changes)


def new_model(**changes):
    return EngineModel(msgspec.structs.replace(CONFIG, **changes), {"m": "v1"})


def drive(model, until=END_OF_TIME):
    """Advance a model from event to event until ``until``; return its notices."""
    notices = []
    while (event_time := model.next_event_time()) <= until:
        notices += model.advance(event_time)
    return notices + model.advance(until)


def summary(notices):
    return [(it.kind, it.attempt.nonce, round(it.time, 6)) for it in notices]


class EngineModelTest(unittest.TestCase):
    def test_times_of_prefill_and_decode(self):
        model = new_model()
        model.submit(request("a", prompt_tokens=128), 1.0)
        model.submit(request("b", prompt_tokens=64), 1.0)
        self.assertEqual(
            summary(drive(model)),
            [
                (NoticeKind.STARTED, "a", 1.0),
                (NoticeKind.PREFILLED, "a", 1.128),
                (NoticeKind.STARTED, "b", 1.128),
                # b's chunk and a's second token share a step.
                (NoticeKind.PREFILLED, "b", 1.292),
                (NoticeKind.FINISHED, "a", 1.392),
                (NoticeKind.FINISHED, "b", 1.492),
            ],
        )

    def test_lower_priority_numbers_go_first_even_before_a_begun_prompt(self):
        model = new_model()
        model.submit(request("slow", prompt_tokens=256, priority=9), 0.0)
        model.submit(request("late", priority=5), 0.0)
        model.submit(request("quick", priority=1), 0.0)
        kind = NoticeKind.PREFILLED
        order = [it.attempt.nonce for it in drive(model) if it.kind is kind]
        self.assertEqual(order, ["quick", "late", "slow"])

    def test_the_moments_of_advancing_change_nothing(self):
        for seed in range(20):
            rng = random.Random(seed)
            arrivals = sorted(rng.uniform(0, 3) for _ in range(12))
            requests = [
                request(f"n{at}", rng.randrange(1, 300), rng.randrange(6), rng.randrange(3))
                for at in range(12)
            ]
            outcomes = []
            for in_small_steps in (False, True):
                model = new_model(max_waiting_requests=20, retained_nonces=99)
                notices = []
                for message, arrival in zip(requests, arrivals, strict=True):
                    if in_small_steps:
                        steps = sorted(rng.uniform(arrival - 0.5, arrival) for _ in range(9))
                        for now in steps:
                            notices += model.advance(max(now, arrivals[0]))
                    model.submit(message, arrival)
                outcomes.append(summary(notices + drive(model)))
            self.assertEqual(outcomes[0], outcomes[1])

    def test_every_wake_up_at_a_step_shows_one_more_token(self):
        rng = random.Random(1)
        for start in (rng.uniform(0, 1e6) for _ in range(50)):
            model = new_model()
            attempt = model.submit(request("a", max_tokens=8), start)
            now = start
            for token in range(1, 9):
                now = model.next_step_time(now)
                model.advance(now)
                self.assertEqual(model.generated(attempt, now), token)
            self.assertTrue(attempt.ended)

    def test_a_cancelled_attempt_makes_room_at_the_next_step(self):
        model = new_model(max_batch_size=1)
        model.submit(request("long", max_tokens=200), 0.0)
        attempt = model.submit(request("next"), 0.0)
        drive(model, 1.0)
        model.cancel("long", model.incarnation, 1.0)
        drive(model)
        self.assertAlmostEqual(attempt.first_token_at, 0.064 + 1.0 + 0.064)

    def test_a_cancelled_import_makes_room_at_once(self):
        model = new_model(max_batch_size=1, import_tokens_per_second=1.0)
        model.submit(request("import", kv_cache_store="s"), 0.0, importable_blocks=3)
        attempt = model.submit(request("next"), 0.0)
        model.cancel("import", model.incarnation, 1.0)
        drive(model)
        self.assertAlmostEqual(attempt.first_token_at, 1.064)

    def test_same_prompt_waits_for_the_first_and_is_cached(self):
        model = new_model()
        first = model.submit(request("a", prompt_tokens=128), 0.0)
        second = model.submit(request("b", prompt=request("a", prompt_tokens=128).prompt), 0.0)
        drive(model)
        # The last token is always computed, so the last whole block is too.
        self.assertEqual((first.cached_tokens, second.cached_tokens), (0, 112))

    def test_load_begins_only_when_the_batch_has_ended(self):
        model = new_model()
        model.submit(request("a", max_tokens=1), 0.0)
        model.order(EngineOrder(1, {"m": "v2"}), 0.03)
        self.assertEqual(model.weights.next_ready_time(), float("inf"))
        drive(model, 0.07)
        self.assertAlmostEqual(model.weights.next_ready_time(), 0.564)
        model.freeze(0.1)
        model.thaw(1.1)
        drive(model)
        self.assertEqual(model.facts(END_OF_TIME).weights, {"m": "v2"})

    def test_freeze_moves_everything_later(self):
        model = new_model()
        attempt = model.submit(request("a", max_tokens=2), 0.0)
        model.freeze(0.01)
        model.advance(5.0)
        self.assertEqual(model.next_event_time(), float("inf"))
        model.thaw(7.01)
        drive(model)
        self.assertAlmostEqual(attempt.ended_at, 7.164)

    def test_imported_blocks_cost_their_time_and_are_exported_once(self):
        model = new_model()
        message = request("a", prompt_tokens=129, kv_cache_store="s")
        attempt = model.submit(message, 0.0, importable_blocks=4)
        drive(model)
        self.assertEqual(attempt.imported_tokens, 64)
        self.assertAlmostEqual(attempt.first_token_at, 0.004 + 0.065)
        (export,) = model.executions.take_exports()
        self.assertEqual(export.block_keys, tuple(attempt.prompt.block_keys[4:]))
        self.assertFalse(model.executions.has_exports)

    def test_stores(self):
        store = KvCacheStoreModel(3)
        store.write([1, 2, 3])
        self.assertEqual(store.held_prefix([1, 2, 9]), 2)
        store.write([4])
        self.assertEqual([store.held_prefix([key]) for key in (1, 2, 3, 4)], [1, 1, 0, 1])
        weights = WeightStoreModel(0.5, 3, loads_per_second=5)
        seconds = [weights.begin_load(0.0) for _ in range(5)]
        self.assertEqual(seconds[:3], [0.5] * 3)
        self.assertLess(0.5, seconds[3])
        self.assertLess(seconds[3], seconds[4])
        with self.assertRaises(LoadRefusedError):
            weights.begin_load(0.9)
        self.assertEqual(weights.begin_load(1.1), 0.5)


class EngineMachine(RuleBasedStateMachine):
    """Random calls; the oracle has the accepted attempts, and the nonces that must not run."""

    retained_nonces = 1000

    def __init__(self):
        super().__init__()
        self.model = new_model(retained_nonces=self.retained_nonces)
        self.now = 0.0
        self.accepted = {}
        self.fenced_nonces = set()

    def nonce_of(self, number):
        return f"{number:03d}@{self.model.incarnation}"

    @rule(number=st.integers(0, 30), tokens=st.integers(1, 200), output=st.integers(0, 5))
    def submit(self, number, tokens, output):
        nonce = self.nonce_of(number)
        try:
            attempt = self.model.submit(request(nonce, tokens, output), self.now)
        except EngineRefusalError as error:
            if error.refusal.execution is Execution.NOT_RUN and nonce in self.accepted:
                assert self.accepted[nonce].state in (AttemptState.CANCELLED, AttemptState.REFUSED)
            return
        assert nonce not in self.accepted
        assert nonce not in self.fenced_nonces
        self.accepted[nonce] = attempt

    @rule(seconds=st.floats(0, 0.5))
    def advance(self, seconds):
        self.now += seconds
        self.model.advance(self.now)

    @rule(number=st.integers(0, 30))
    def cancel(self, number):
        nonce = self.nonce_of(number)
        outcome = self.model.cancel(nonce, self.model.incarnation, self.now)
        if outcome is CancelOutcome.NOT_STARTED:
            self.fenced_nonces.add(nonce)

    @rule(number=st.integers(0, 30))
    def fence(self, number):
        nonce = self.nonce_of(number)
        if self.model.fence_nonce(nonce, self.model.incarnation, self.now) == "not_seen":
            self.fenced_nonces.add(nonce)

    @rule(version=st.sampled_from(("v1", "v2")))
    def order(self, version):
        self.model.order(EngineOrder(0, {"m": version}), self.now)

    @rule()
    def crash(self):
        self.model.crash(self.now)

    @rule(seconds=st.floats(0, 1))
    def freeze(self, seconds):
        self.model.freeze(self.now)
        self.now += seconds
        self.model.thaw(self.now)

    @invariant()
    def runs_match_accepted_attempts(self):
        runs = Counter(run.nonce for run in self.model.runs(self.now))
        assert set(runs.values()) <= {1}
        assert not set(runs) & self.fenced_nonces
        load = self.model.load(self.now)
        live = Counter(it.state for it in self.accepted.values() if not it.ended)
        assert load.waiting == live.pop(AttemptState.WAITING, 0)
        assert load.running == live.total() <= CONFIG.max_batch_size
        assert load.waiting_prefill_tokens >= 0
        if not live:
            assert load.free_block_ratio == 1.0
        for attempt in self.accepted.values():
            if attempt.state is AttemptState.FINISHED:
                assert self.model.generated(attempt, self.now) == attempt.token_limit

    @precondition(lambda self: not self.model.weights.busy)
    @rule()
    def settle(self):
        self.now += 1e4
        drive(self.model, self.now)
        assert all(attempt.ended for attempt in self.accepted.values())


class ForgetfulMachine(EngineMachine):
    """Deliberate fault: drops nonces while their callers still rely on them."""

    retained_nonces = 1


class EngineMachineTest(unittest.TestCase):
    def test_random_calls(self):
        fuzz_settings.run_machine(EngineMachine)

    def test_an_engine_that_forgets_nonces_is_caught(self):
        self.assertTrue(fuzz_settings.is_caught(ForgetfulMachine))


if __name__ == "__main__":
    unittest.main()
