"""Decisions about attempts at engines that may fail at any time; an oracle counts the runs."""

import random
import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hopstep.domain import attempts
from hopstep.domain.attempts import (
    Action,
    AttemptState,
    Decision,
    FrameChecker,
    FrameVerdict,
    RequestSnapshot,
    decide_next,
)
from hopstep.exceptions import ErrorCode, Execution
from tests.fuzz_settings import run_machine

LENGTH = 6
DEADLINE = 100.0


class Engine:
    """The actual state of one attempt at one engine."""

    def __init__(self, start):
        self.arrived = False
        self.fenced = False
        self.generated = start
        self.lost = False
        self.ran = False

    def arrive(self):
        if not self.fenced and not self.lost:
            self.arrived = self.ran = True


class AttemptsMachine(RuleBasedStateMachine):
    """One request; rules draw the next events at its engines and in the network."""

    repeatable = True
    decide = staticmethod(decide_next)

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.engines = []
        self.delivered = 0
        self.earlier_ran = False
        self.ended = None
        self.dispatch(arrives=True, answers=True)

    def dispatch(self, arrives, answers):
        self.engine = Engine(self.delivered)
        self.engines.append(self.engine)
        self.resumes = 0
        self.settled = self.stream_lost = False
        if arrives:
            self.engine.arrive()
        self.state = AttemptState.RUNNING if arrives and answers else AttemptState.UNKNOWN

    def snapshot(self):
        return RequestSnapshot(
            now=self.now,
            deadline=DEADLINE,
            repeatable=self.repeatable,
            state=self.state,
            delivered_tokens=self.delivered,
            earlier_ran=self.earlier_ran,
            resumable=not self.stream_lost,
            fruitless_resumes=self.resumes,
            settled=self.settled,
            attempts=len(self.engines),
            retry_allowed=True,
        )

    @property
    def streaming(self):
        return self.ended is None and self.state is AttemptState.RUNNING

    @precondition(lambda self: self.streaming)
    @rule(tokens=st.integers(1, 3))
    def deliver(self, tokens):
        self.delivered = min(LENGTH, self.delivered + tokens)
        self.resumes = 0
        if self.delivered == LENGTH:
            self.state = AttemptState.DONE

    @precondition(lambda self: self.streaming)
    @rule(crash=st.booleans())
    def break_stream(self, crash):
        self.engine.lost |= crash
        self.state = AttemptState.UNKNOWN

    @precondition(lambda self: self.streaming and self.delivered == 0 and not self.earlier_ran)
    @rule()
    def refuse_in_queue(self):
        self.engine.ran = self.engine.arrived = False
        self.engine.fenced = True
        self.state = AttemptState.NOT_RUN

    @rule(seconds=st.floats(0, 30))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(number=st.integers(0, 10))
    def late_dispatch_arrives(self, number):
        engine = self.engines[number % len(self.engines)]
        if not engine.arrived:
            engine.arrive()

    @precondition(lambda self: self.ended is None and self.state is not AttemptState.RUNNING)
    @rule(works=st.booleans(), arrives=st.booleans(), answers=st.booleans())
    def act(self, works, arrives, answers):
        decision = self.decide(self.snapshot())
        if decision.action is Action.RESUME:
            self.resume(works)
        elif decision.action is Action.SETTLE:
            self.settle(works)
        elif decision.action in (Action.RETRY, Action.CONTINUE):
            assert (decision.action is Action.CONTINUE) == (self.delivered > 0)
            self.earlier_ran |= self.state is not AttemptState.NOT_RUN
            self.dispatch(arrives, answers)
        else:
            assert decision.action in (Action.FAIL, Action.FINISH)
            self.ended = decision

    def resume(self, works):
        known = self.engine.arrived and not self.engine.lost
        if works and known:
            self.state = AttemptState.RUNNING
            return
        self.resumes += 1
        self.stream_lost = works

    def settle(self, works):
        self.settled = True
        if not works or self.engine.lost:
            return
        if self.engine.arrived:
            self.stream_lost = False
            return
        self.engine.fenced = True
        self.state = AttemptState.NOT_RUN

    @invariant()
    def single_run_runs_at_most_once(self):
        assert self.repeatable or sum(engine.ran for engine in self.engines) <= 1

    @invariant()
    def failures_are_truthful(self):
        if self.ended is None or self.ended.action is not Action.FAIL:
            return
        assert self.delivered < LENGTH
        if self.ended.execution is Execution.NOT_RUN:
            assert not any(engine.ran for engine in self.engines)

    @invariant()
    def attempts_are_bounded(self):
        assert len(self.engines) <= attempts.MAX_ATTEMPTS


class SingleRunMachine(AttemptsMachine):
    repeatable = False


class RetryOnUnknownMachine(SingleRunMachine):
    @staticmethod
    def decide(snapshot):
        decision = decide_next(snapshot)
        lost = snapshot.state is AttemptState.UNKNOWN and not snapshot.delivered_tokens
        return Decision(Action.RETRY) if lost else decision


class ClaimsNotRunMachine(SingleRunMachine):
    @staticmethod
    def decide(snapshot):
        decision = decide_next(snapshot)
        return Decision(decision.action, decision.code, Execution.NOT_RUN)


def shuffled_frames(draw):
    """Return the frames (nonce, sequence, count, last) of one stream, with injected faults."""
    frames = []
    sequence = 0
    while sequence < 30:
        count = min(draw.randint(1, 4), 30 - sequence)
        frames.append(("own", sequence, count, sequence + count == 30))
        sequence += count
    for _ in range(draw.randint(0, 6)):
        frames.insert(draw.randrange(len(frames)), draw.choice(frames))
    for _ in range(draw.randint(0, 4)):
        foreign = ("other", draw.randrange(30), 3, draw.random() < 0.2)
        frames.insert(draw.randrange(len(frames)), foreign)
    if draw.random() < 0.5:
        first, second = draw.randrange(len(frames)), draw.randrange(len(frames))
        frames[first], frames[second] = frames[second], frames[first]
    return frames


def read(frames):
    """Return the delivered (nonce, index) pairs and whether the end was reached."""
    checker = FrameChecker("own", 0)
    delivered = []
    for nonce, sequence, count, last in frames:
        check = checker.check(nonce, "incarnation", sequence, count, last)
        if check.verdict is FrameVerdict.GAP:
            return delivered, False
        if check.verdict is FrameVerdict.ACCEPT:
            tokens = range(sequence + check.skip, sequence + count)
            delivered.extend((nonce, index) for index in tokens)
            if last:
                return delivered, True
    return delivered, False


class FrameCheckerTest(unittest.TestCase):
    def faults_seen(self):
        """Return whether some shuffled stream is delivered wrongly."""
        for seed in range(400):
            delivered, whole = read(shuffled_frames(random.Random(seed)))
            if delivered != [("own", index) for index in range(len(delivered))]:
                return True
            if whole and len(delivered) != 30:
                return True
        return False

    def test_delivers_each_token_once_and_in_order(self):
        self.assertFalse(self.faults_seen())

    def test_wrong_variants_are_seen(self):
        check = FrameChecker.check

        def ignore_nonce(self, nonce, incarnation, sequence, token_count, last):
            return check(self, self.nonce, incarnation, sequence, token_count, last)

        def ignore_gaps(self, nonce, incarnation, sequence, token_count, last):
            self.next_sequence = max(self.next_sequence, sequence)
            return check(self, nonce, incarnation, sequence, token_count, last)

        for variant in (ignore_nonce, ignore_gaps):
            with (
                self.subTest(variant=variant.__name__),
                mock.patch.object(FrameChecker, "check", variant),
            ):
                self.assertTrue(self.faults_seen())

    def test_verdicts(self):
        own = ("own", "i1")
        cases = (
            ("next", (*own, 5, 2, False), FrameVerdict.ACCEPT, 0),
            ("overlap", (*own, 3, 4, False), FrameVerdict.ACCEPT, 2),
            ("repeated", (*own, 3, 2, False), FrameVerdict.DUPLICATE, 0),
            ("repeated with the end", (*own, 3, 2, True), FrameVerdict.ACCEPT, 2),
            ("bare end", (*own, 5, 0, True), FrameVerdict.ACCEPT, 0),
            ("end before the delivered tokens", (*own, 2, 1, True), FrameVerdict.DUPLICATE, 0),
            ("gap", (*own, 6, 1, False), FrameVerdict.GAP, 0),
            ("end after a gap", (*own, 6, 0, True), FrameVerdict.GAP, 0),
            ("another nonce", ("other", "i1", 5, 1, False), FrameVerdict.FOREIGN, 0),
            ("another incarnation", ("own", "i2", 5, 1, False), FrameVerdict.FOREIGN, 0),
        )
        for name, frame, verdict, skip in cases:
            with self.subTest(frame=name):
                check = FrameChecker("own", 5, "i1").check(*frame)
                self.assertEqual((check.verdict, check.skip), (verdict, skip))


class AttemptsTest(unittest.TestCase):
    def test_repeatable_machine(self):
        run_machine(AttemptsMachine)

    def test_single_run_machine(self):
        run_machine(SingleRunMachine)

    def test_wrong_variants_are_seen(self):
        def lose_and_act(machine):
            machine.break_stream(crash=True)
            while machine.ended is None:
                machine.act(works=True, arrives=True, answers=False)
                machine.single_run_runs_at_most_once()
            machine.failures_are_truthful()

        lose_and_act(SingleRunMachine())
        for variant in (RetryOnUnknownMachine, ClaimsNotRunMachine):
            with self.subTest(variant=variant.__name__), self.assertRaises(AssertionError):
                lose_and_act(variant())

    def test_decisions(self):
        lost = {"state": AttemptState.UNKNOWN}
        refused = {"state": AttemptState.NOT_RUN, "cause": ErrorCode.OVERLOADED}
        cases = (
            ({"state": AttemptState.DONE}, Action.FINISH, Action.FINISH),
            ({"state": AttemptState.RUNNING}, Action.WAIT, Action.WAIT),
            ({**lost, "resumable": True, "delivered_tokens": 3}, Action.RESUME, Action.RESUME),
            ({**lost, "delivered_tokens": 3}, Action.CONTINUE, Action.FAIL),
            (lost, Action.RETRY, Action.SETTLE),
            ({**lost, "settled": True}, Action.RETRY, Action.FAIL),
            (refused, Action.RETRY, Action.RETRY),
            ({**refused, "earlier_ran": True}, Action.RETRY, Action.FAIL),
            ({**refused, "retry_allowed": False}, Action.FAIL, Action.FAIL),
            (
                {**lost, "retry_allowed": False, "progressed": True, "delivered_tokens": 3},
                Action.CONTINUE,
                Action.FAIL,
            ),
            ({**refused, "now": 200.0}, Action.FAIL, Action.FAIL),
            (
                {**lost, "resumable": True, "still_placed": False, "delivered_tokens": 1},
                Action.CONTINUE,
                Action.FAIL,
            ),
            ({**lost, "resumable": True, "engine_answers": False}, Action.RETRY, Action.RESUME),
        )
        for changes, repeatable, once in cases:
            for is_repeatable, expected in ((True, repeatable), (False, once)):
                with self.subTest(changes=changes, repeatable=is_repeatable):
                    fields = {"now": 1.0, "deadline": DEADLINE, "repeatable": is_repeatable}
                    snapshot = RequestSnapshot(**(fields | changes))
                    self.assertEqual(decide_next(snapshot).action, expected)

    def test_hedge_is_for_slow_repeatable_requests_within_the_budget(self):
        slow = {"hedge_after": 0.5, "waited": 0.6}
        cases = (
            (slow, Action.HEDGE),
            ({**slow, "waited": 0.4}, Action.WAIT),
            ({**slow, "delivered_tokens": 1}, Action.WAIT),
            ({**slow, "retry_allowed": False}, Action.WAIT),
            ({**slow, "repeatable": False}, Action.WAIT),
            ({**slow, "hedge_after": 0.0}, Action.WAIT),
        )
        for changes, expected in cases:
            with self.subTest(changes=changes):
                fields = {"now": 1.0, "deadline": DEADLINE, "repeatable": True}
                fields |= {"state": AttemptState.RUNNING} | changes
                self.assertEqual(decide_next(RequestSnapshot(**fields)).action, expected)


if __name__ == "__main__":
    unittest.main()
