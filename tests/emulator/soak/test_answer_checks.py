"""Checks of answers and orders report those that belong to another run, and nothing else."""

import json
import tempfile
import unittest
from pathlib import Path

from emulator.soak.answer_checks import ANSWER_CHECKS, count_answer_faults, write_answer_events
from emulator.soak.answer_faults import AnswerEvent
from emulator.soak.checks import CHECKS
from emulator.soak.instance_records import AnsweredOrder, InstanceAnswerEvent, LoggedOrder
from emulator.soak.order_checks import ORDER_CHECKS, logged_orders
from emulator.soak.recorder import digest_of
from emulator.soak.request_records import RequestKind
from tests.emulator.soak.test_checks import BOUNDS, history, request, run_of

ATTEMPT = "0a"
LOGGED = LoggedOrder("i1", "n0", 7, 2, "under_way", 100.1)
ANSWERED = AnsweredOrder("i1", "n0", 7, 2, 202, 100.0)


class AnswersOfRunsTest(unittest.TestCase):
    def broken(self, seen, checks=ANSWER_CHECKS):
        return [text for check in checks.values() for text in check(seen, BOUNDS)]

    def tries(self, **changes):
        """Return two tries of one id with their runs, the second one changed."""
        first, second = request(f"{ATTEMPT}#1", at=100.0), request(f"{ATTEMPT}#2", at=101.0)
        runs = [run_of(first), run_of(second)]
        for field, value in changes.items():
            setattr(second, field, value)
        return history(first, second, runs=runs)

    def test_the_answers_of_two_tries_of_one_id(self):
        self.assertEqual(self.broken(self.tries()), [])

    def test_an_answer_of_the_earlier_try(self):
        seen = self.tries(stamp=f"stamp-{ATTEMPT}#1")
        self.assertIn(f"the run of {ATTEMPT}#1", self.broken(seen)[0])
        self.assertIn("i1 answered 200 to it", self.broken(seen)[0])
        seen.runs.pop()
        self.assertIn("it never ran", self.broken(seen)[0])
        self.assertTrue(any(CHECKS["own and whole answers"](seen, BOUNDS)))

    def test_a_success_where_the_run_failed(self):
        sent = request()
        seen = history(sent, runs=[run_of(sent, status=500)])
        self.assertIn("i1 answered 500", self.broken(seen)[0])

    def test_a_failure_where_the_run_succeeded(self):
        sent = request()
        runs = [run_of(sent)]
        sent.status = 500
        self.assertIn("i1 answered 200", self.broken(history(sent, runs=runs))[0])

    def test_a_success_where_the_run_never_answered(self):
        sent = request()
        seen = history(sent, runs=[run_of(sent, status=None)])
        self.assertIn("i1 answered None", self.broken(seen)[0])

    def test_a_success_without_a_signature_even_if_it_broke_off(self):
        for whole in (True, False):
            seen = self.tries(stamp="", whole=whole)
            self.assertIn("without a signature", self.broken(seen)[0])

    def test_a_signature_of_no_run(self):
        self.assertIn("of no run", self.broken(self.tries(stamp="forged"))[0])

    def test_a_run_that_began_before_the_request_was_sent(self):
        sent = request(at=100.0)
        seen = history(sent, runs=[run_of(sent, at=99.5)])
        self.assertIn("began 0.500 s before", self.broken(seen)[0])

    def test_another_body_than_the_instance_sent(self):
        sent = request(body=b"own")
        for body, count in ((b"own", 0), (b"other", 1)):
            seen = history(sent, runs=[run_of(sent, body_digest=digest_of(body))])
            self.assertEqual(len(self.broken(seen)), count)

    def test_refusals_of_the_node_and_requests_without_an_answer_are_left_out(self):
        refused = request("r1", status=503, stamp="")
        unanswered = request("r2", status=None, stamp="")
        seen = history(refused, unanswered, runs=[])
        self.assertEqual(self.broken(seen), [])

    def test_a_stream_that_broke_off_has_the_signature_of_its_run(self):
        sent = request(kind=RequestKind.STREAM, whole=False, body=b"id: 0\n")
        self.assertEqual(self.broken(history(sent)), [])


class OutcomesOfOrdersTest(unittest.TestCase):
    def broken(self, logged, *answered):
        seen = history(logged_orders=logged, answered_orders=list(answered))
        return [text for check in ORDER_CHECKS.values() for text in check(seen, BOUNDS)]

    def changed(self, record, **changes):
        fields = {name: getattr(record, name) for name in record.__struct_fields__}
        return type(record)(**{**fields, **changes})

    def test_outcomes_that_instances_answered(self):
        for outcome, status in (
            ("under_way", 202),
            ("holds_already", 200),
            ("busy_or_moved_on", 409),
            ("fenced", 412),
        ):
            answered = self.changed(ANSWERED, status=status)
            self.assertEqual(self.broken([self.changed(LOGGED, outcome=outcome)], answered), [])

    def test_an_outcome_that_the_instance_did_not_answer(self):
        logged = self.changed(LOGGED, outcome="holds_already")
        self.assertIn(
            "answered [409]", self.broken([logged], self.changed(ANSWERED, status=409))[0]
        )

    def test_an_outcome_without_any_answer(self):
        others = (
            self.changed(ANSWERED, instance_id="i2"),
            self.changed(ANSWERED, holder="n1"),
            self.changed(ANSWERED, token=6),
            self.changed(ANSWERED, version=3),
            self.changed(ANSWERED, at_unix=97.0),
            self.changed(ANSWERED, at_unix=101.0),
        )
        self.assertIn("answered []", self.broken([LOGGED], *others)[0])

    def test_one_answer_is_the_outcome_of_one_order(self):
        self.assertEqual(len(self.broken([LOGGED, LOGGED], ANSWERED)), 1)

    def test_outcomes_that_show_no_answer_are_left_out(self):
        for outcome in ("unknown", "rejected"):
            self.assertEqual(self.broken([self.changed(LOGGED, outcome=outcome)]), [])

    def test_orders_are_read_from_a_log_with_other_lines(self):
        line = {
            "event": "weights_order_sent",
            "instance": "i1",
            "node": "n0",
            "fencing_token": 7,
            "version": 2,
            "outcome": "under_way",
            "timestamp": "1970-01-01T00:01:40.100000Z",
        }
        log = f'no JSON, weights_order_sent\n{json.dumps(line)}\n{{"event": "other"}}\n'
        self.assertEqual(logged_orders(log), [LOGGED])


class AnswerEventsTest(unittest.TestCase):
    def test_faults_are_counted_without_the_delays_of_copies(self):
        kinds = ("answer", "copy 0.100 s late", "copy 0.200 s late", "stopped, reset")
        events = [InstanceAnswerEvent("i1@1", AnswerEvent(1.0, 1, what)) for what in kinds]
        seen = history(answer_events=events)
        expected = {"answer": 1, "copy late": 2, "stopped, reset": 1}
        self.assertEqual(count_answer_faults(seen), expected)

    def test_events_runs_and_requests_are_written_as_lines(self):
        event = InstanceAnswerEvent("i1@1", AnswerEvent(1.0, 1, "answer", 200, ATTEMPT, "s"))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "answers.jsonl"
            write_answer_events(history(request(), answer_events=[event]), path, 7.0)
            lines = [json.loads(line) for line in path.read_text().splitlines()]
        self.assertEqual(lines[0], {"clock_offset": 7.0})
        self.assertEqual(lines[1]["event"]["attempt_id"], ATTEMPT)
        self.assertEqual([line["request_id"] for line in lines[2:]], ["r", "r"])
