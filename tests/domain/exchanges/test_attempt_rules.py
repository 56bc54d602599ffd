import itertools
import unittest

from hopstep.domain.exchanges.attempt_rules import ExchangeProgress, NextStep, decide_step
from hopstep.exceptions import Execution


def progress(**options):
    values = {
        "idempotent": False,
        "resumable": False,
        "answer_started": False,
        "last": Execution.NOT_RUN,
        "may_have_run": False,
        "attempts": 1,
        "max_attempts": 2,
        "within_budget": True,
        "remaining_seconds": 1.0,
    }
    return ExchangeProgress(**{**values, **options})


class DecideStepTest(unittest.TestCase):
    def test_every_state_keeps_the_invariants(self):
        flags = (False, True)
        for idempotent, resumable, started, ran, budget, attempts, left in itertools.product(
            flags, flags, flags, flags, flags, (0, 1, 2, 3), (0.0, 1.0)
        ):
            state = progress(
                idempotent=idempotent,
                resumable=resumable,
                answer_started=started,
                may_have_run=ran,
                within_budget=budget,
                attempts=attempts,
                remaining_seconds=left,
            )
            step = decide_step(state)
            with self.subTest(state):
                self.check(state, step)

    def check(self, state, step):
        if step in (NextStep.RETRY, NextStep.RESUME):
            self.assertLess(state.attempts, state.max_attempts)
            self.assertGreater(state.remaining_seconds, 0.0)
            self.assertTrue(state.within_budget or state.attempts == 0)
        if step is NextStep.RETRY and state.may_have_run:
            self.assertTrue(state.idempotent)
        if step is NextStep.REFUSE:
            self.assertFalse(state.may_have_run)
        if step is NextStep.RESUME:
            self.assertTrue(state.resumable)
        self.assertEqual(step in (NextStep.RESUME, NextStep.CUT), state.answer_started)

    def test_a_request_that_was_never_sent_is_retried_without_a_budget(self):
        state = progress(attempts=0, max_attempts=1, within_budget=False)
        self.assertIs(decide_step(state), NextStep.RETRY)
