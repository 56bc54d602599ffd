"""Checks of requests under way during changes report what they should, and nothing else."""

import random
import tempfile
import unittest
from pathlib import Path

import h11

from emulator.exchange_platform.instance_requests import PASSED_ON
from emulator.soak.change_checks import CHANGE_CHECKS, sent_request
from emulator.soak.checks import CHECKS
from emulator.soak.deployment import Deployment
from emulator.soak.disturbances import Disturbance
from emulator.soak.operator_changes import BodyLimit, IsolationChange, KeyMove, Redirect
from emulator.soak.recorder import digest_of
from emulator.soak.request_records import ReceivedRequest, RequestKind, Run
from emulator.soak.slow_callers import SlowCallers
from tests.emulator.soak.test_checks import BOUNDS, history, request, run_of

STREAM = RequestKind.STREAM
SEGMENT = f"{30:016x}"
"""Request ids that are 0 modulo the number of parts have the same part."""


def slow(**changes):
    return request("0a", sent_slowly=True, complete_at=100.0, **changes)


class ChangeChecksTest(unittest.TestCase):
    def broken(self, seen, checks=CHANGE_CHECKS):
        return {name for name, check in checks.items() if any(check(seen, BOUNDS))}

    def test_a_request_that_arrives_as_it_was_sent(self):
        sent = slow(padding=50, kind=STREAM)
        seen = history(sent, runs=[run_of(sent, received=sent_request(sent))])
        self.assertEqual(self.broken(seen), set())

    def test_a_changed_body_target_or_header(self):
        sent = slow(padding=50)
        whole = sent_request(sent)
        for other in (slow(padding=49), slow(path="/other/"), slow(kind=RequestKind.SAFE)):
            seen = history(sent, runs=[run_of(sent, received=sent_request(other))])
            self.assertEqual(self.broken(seen), {"unchanged requests"})
        self.assertIn(f"note of {sent.request_id}", whole.headers)

    def read_by_another(self, changes, node_fault=None):
        """Return what is broken as t2 reads a part that t1 made under the same salt."""
        first, second = request("00", STREAM, at=10.0), request(SEGMENT, STREAM, at=100.0)
        runs = [
            run_of(first, salt="s", tenant="t1"),
            run_of(second, salt="s", tenant="t"),
        ]
        seen = history(first, second, runs=runs, isolation_changes=changes)
        seen.disturbances += [node_fault] if node_fault else []
        return self.broken(seen)

    def test_a_part_of_an_isolated_tenant_that_another_reads(self):
        for changes, caught in (
            ([], False),
            ([IsolationChange("t1", True, 97.0)], True),
            ([IsolationChange("t", True, 97.0)], True),
            ([IsolationChange("t1", True, 99.0)], False),
            ([IsolationChange("t1", True, 50.0), IsolationChange("t1", False, 60.0)], False),
            ([IsolationChange("other", True, 50.0)], False),
        ):
            expected = {"isolated segments"} if caught else set()
            self.assertEqual(self.read_by_another(changes), expected, changes)
        fault = Disturbance("store link", "n0", 96.0, 99.0)
        self.assertEqual(self.read_by_another([IsolationChange("t1", True, 97.0)], fault), set())

    def test_other_salts_parts_and_incarnations_are_not_read(self):
        changes = [IsolationChange("t1", True, 50.0)]
        for change in ({"salt": "other"}, {"incarnation": "i1@2"}):
            first, second = request("00", STREAM, at=10.0), request(SEGMENT, STREAM, at=100.0)
            runs = [
                run_of(first, salt="s", tenant="t1"),
                run_of(second, **{"salt": "s", "tenant": "t", **change}),
            ]
            seen = history(first, second, runs=runs, isolation_changes=changes)
            self.assertEqual(self.broken(seen), set())

    def test_a_body_that_is_too_long_for_no_limit_or_runs_though_too_long_for_all(self):
        for limits, status, caught in (
            ([], 413, True),
            ([BodyLimit(50, 90.0)], 413, False),
            ([BodyLimit(50, 99.0)], 413, False),
            ([BodyLimit(50, 100.2)], 413, True),
            ([BodyLimit(50, 90.0)], 200, True),
            ([BodyLimit(50, 99.0)], 200, False),
            ([BodyLimit(50, 90.0), BodyLimit(500, 99.5)], 200, False),
        ):
            sent = slow(padding=100, status=status)
            runs = [run_of(sent)] if status == 200 else []
            seen = history(sent, runs=runs, body_limits=limits)
            expected = {"body limits"} if caught else set()
            self.assertEqual(self.broken(seen), expected, (limits, status))

    def test_a_refusal_for_a_change_that_was_not_made(self):
        refused = {"status": 503, "body": b"configuration_changed"}
        for change, caught in ((97.0, True), (99.0, False), (100.05, False), (100.2, True)):
            for field in (
                {"key_moves": [KeyMove("key", "t2", change)]},
                {"body_limits": [BodyLimit(50, change)]},
                {"redirects": [Redirect(RequestKind.UNSAFE, "other", change)]},
            ):
                seen = history(request(**refused), runs=[], **field)
                expected = {"refused for changes"} if caught else set()
                self.assertEqual(self.broken(seen), expected, field)


class ChangedHoldersTest(unittest.TestCase):
    def is_broken(self, run, **changes):
        sent = request()
        seen = history(sent, runs=[Run(**{**run_fields(run_of(sent)), **run})], **changes)
        return any(CHECKS["only what was sent"](seen, BOUNDS))

    def test_a_run_for_a_tenant_that_holds_the_key_no_more(self):
        for at, tenant, caught in (
            (90.0, "t2", False),
            (90.0, "t", True),
            (98.0, "t", False),
            (98.0, "t2", False),
            (101.0, "t2", True),
            (90.0, "", True),
        ):
            moves = [KeyMove("key", "t2", at)]
            self.assertEqual(self.is_broken({"tenant": tenant}, key_moves=moves), caught, at)

    def test_a_run_at_a_service_that_the_route_has_left(self):
        for at, service, caught in (
            (90.0, "other", False),
            (90.0, "plain", True),
            (99.0, "plain", False),
            (101.0, "other", True),
        ):
            redirects = [Redirect(RequestKind.UNSAFE, "other", at)]
            self.assertEqual(self.is_broken({"service": service}, redirects=redirects), caught, at)


def run_fields(run):
    return {name: getattr(run, name) for name in run.__struct_fields__}


class PlannedStopTest(unittest.TestCase):
    def test_a_request_that_is_sent_slowly_across_a_planned_stop(self):
        stop = Disturbance("stopped", "n0", 99.0, 104.0, planned=True)
        cut = {"status": None, "whole": False, "body": b"", "stamp": "", "sent_slowly": True}
        for complete_at, arrived, caught in (
            (None, False, False),
            (100.05, False, False),
            (99.8, False, True),
            (100.05, True, True),
        ):
            seen = history(request(**cut, complete_at=complete_at), disturbances=[stop])
            seen.arrivals = seen.arrivals if arrived else []
            broken = any(CHECKS["planned stop"](seen, BOUNDS))
            self.assertEqual(broken, caught, (complete_at, arrived))


class LateAnswersTest(unittest.TestCase):
    def test_an_answer_is_late_from_the_end_of_its_request_on(self):
        for complete_at, caught in ((104.0, True), (105.5, False), (None, True)):
            seen = history(request(sent_slowly=True, complete_at=complete_at, ended_at=106.0))
            broken = any(CHECKS["answers in time"](seen, BOUNDS))
            self.assertEqual(broken, caught, complete_at)


class SlowCallersTest(unittest.TestCase):
    def test_pieces_make_up_the_request_that_the_checks_expect(self):
        with tempfile.TemporaryDirectory() as directory:
            generator = random.Random(3)
            callers = SlowCallers(Deployment(Path(directory), generator), generator, None, 1)
            for padding in (0, 5_000):
                for _ in range(20):
                    sent = slow(padding=padding, kind=STREAM)
                    pieces = list(callers._pieces(h11.Connection(h11.CLIENT), sent))
                    self.assertEqual(received(b"".join(pieces)), sent_request(sent))


def received(data):
    """Return what an instance would record of the bytes of a request."""
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    head, body = server.next_event(), b""
    while isinstance(event := server.next_event(), h11.Data):
        body += bytes(event.data)
    found = {name.decode(): value.decode() for name, value in head.headers}
    return ReceivedRequest(
        head.method.decode(),
        head.target.decode(),
        digest_of(body),
        tuple(found.get(name.lower(), "") for name in PASSED_ON),
    )


if __name__ == "__main__":
    unittest.main()
