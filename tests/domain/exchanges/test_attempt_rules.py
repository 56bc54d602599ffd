import itertools
import unittest

from hopstep.domain.exchanges.attempt_rules import (
    MAX_UNSENT_ATTEMPTS,
    MAX_UNSENT_SECONDS,
    ExchangeProgress,
    NextStep,
    UnsentAttempts,
    decide_step,
)


def progress(**options):
    values = {
        "idempotent": False,
        "resumable": False,
        "answer_started": False,
        "may_have_run": False,
        "attempts": 1,
        "max_attempts": 2,
        "may_connect": True,
        "within_budget": True,
        "remaining_seconds": 1.0,
    }
    return ExchangeProgress(**{**values, **options})


class DecideStepTest(unittest.TestCase):
    def test_every_state_keeps_the_invariants(self):
        flags = (False, True)
        for (
            idempotent,
            resumable,
            started,
            ran,
            connect,
            budget,
            attempts,
            left,
        ) in itertools.product(flags, flags, flags, flags, flags, flags, (0, 1, 2, 3), (0.0, 1.0)):
            state = progress(
                idempotent=idempotent,
                resumable=resumable,
                answer_started=started,
                may_have_run=ran,
                may_connect=connect,
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
            self.assertTrue(state.may_connect)
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


class UnsentAttemptsTest(unittest.TestCase):
    def attempts(self, count, seconds):
        unsent = UnsentAttempts()
        for _ in range(count):
            unsent.note(seconds / count)
        return unsent

    def test_a_few_instances_may_be_unreachable_whatever_is_known_of_others(self):
        unsent = self.attempts(MAX_UNSENT_ATTEMPTS - 1, 2 * MAX_UNSENT_SECONDS)
        self.assertTrue(unsent.allow_another(others_respond=False))

    def test_more_are_tried_only_while_others_respond_and_time_is_left(self):
        for respond, seconds, allowed in (
            (True, 0.5 * MAX_UNSENT_SECONDS, True),
            (True, MAX_UNSENT_SECONDS, False),
            (False, 0.5 * MAX_UNSENT_SECONDS, False),
        ):
            with self.subTest(respond=respond, seconds=seconds):
                unsent = self.attempts(MAX_UNSENT_ATTEMPTS, seconds)
                self.assertIs(unsent.allow_another(others_respond=respond), allowed)
