"""Each check of the soak accepts a clean history and reports one that breaks its promise."""

import unittest

from emulator.soak.answer_faults import AnswerEvent
from emulator.soak.checks import CHECKS, check_all, check_recovery, expected_body
from emulator.soak.disturbances import (
    LEASES_EXPIRED_EARLY,
    MACHINE,
    PEER_LINK_CUT,
    STORE,
    Disturbance,
)
from emulator.soak.history import History
from emulator.soak.instance_records import (
    FatalTermination,
    InstanceAnswerEvent,
    ListedInstance,
    TakenOrder,
)
from emulator.soak.operator_changes import DrainStart, Revocation, RouteChange, WeightsChange
from emulator.soak.promises import Bounds
from emulator.soak.request_records import Arrival, RequestKind, Run, SentRequest

BOUNDS = Bounds()


def request(request_id="r", kind=RequestKind.UNSAFE, at=100.0, **changes):
    service = "engines" if kind in (RequestKind.STREAM, RequestKind.RESUMABLE) else "plain"
    sent = SentRequest(request_id, kind, service, "key", "n0", at, at + 4.0, 5, ended_at=at + 0.1)
    sent.status, sent.stamp, sent.whole = 200, f"stamp-{request_id}", True
    sent.body = expected_body(sent)
    for field, value in changes.items():
        setattr(sent, field, value)
    return sent


def run_of(sent, **changes):
    version = 1 if sent.service == "engines" else 0
    run = Run(
        sent.request_id,
        "i1",
        "i1@1",
        sent.service,
        sent.sent_at,
        "t",
        version,
        "",
        False,
        sent.stamp,
        status=sent.status,
    )
    for field, value in changes.items():
        setattr(run, field, value)
    return run


def history(*requests, **changes):
    seen = History(
        requests={sent.request_id: sent for sent in requests},
        runs=[run_of(sent) for sent in requests],
        arrivals=[Arrival(sent.request_id, sent.service, sent.sent_at) for sent in requests],
        tenants={"key": "t", "key2": "t2"},
        isolated={"t2"},
    )
    for field, value in changes.items():
        setattr(seen, field, value)
    return seen


class ChecksTest(unittest.TestCase):
    def broken(self, seen):
        return {violation.promise for violation in check_all(seen, BOUNDS)}

    def test_a_clean_history_breaks_nothing(self):
        kinds = list(RequestKind)
        seen = history(*(request(f"r{n}", kinds[n % 4], 100.0 + n) for n in range(40)))
        self.assertEqual(self.broken(seen), set())

    def test_every_check_is_held_by_a_test(self):
        held = {
            "at most once",
            "not run is true",
            "own and whole answers",
            "only what was sent",
            "revocation",
            "configuration",
            "weights",
            "draining",
            "one holder",
            "isolation",
            "planned stop",
            "runs give whole answers",
            "clients that left",
            "answers in time",
            "retry budget",
            "fatal requests",
            "honest requests",
            "fatal parts",
            "sound requests beside fatal parts",
            "sound parts",
            "untrusted entries",
            "weights everywhere",
            "word of leaving",
            "rest",
            "software versions",
            "resumed streams",
            "orphaned streams",
            "limit",
            "limit used",
            "refused with room",
            "never goes back",
            "processes",
            "cut links",
            "unchanged requests",
            "isolated segments",
            "body limits",
            "refused for changes",
            "answers of runs",
            "outcomes of orders",
        }
        self.assertEqual(held, CHECKS.keys())

    def test_two_runs(self):
        for kind, caught in (
            (RequestKind.UNSAFE, True),
            (RequestKind.STREAM, True),
            (RequestKind.SAFE, False),
            (RequestKind.RESUMABLE, False),
        ):
            sent = request(kind=kind)
            seen = history(sent)
            seen.runs.append(run_of(sent, instance_id="i2"))
            self.assertEqual("at most once" in self.broken(seen), caught, kind)

    def test_a_refusal_of_what_ran(self):
        seen = history(request(status=503, stamp=""))
        self.assertIn("not run is true", self.broken(seen))

    def test_foreign_and_changed_answers(self):
        for change in ({"stamp": "other"}, {"body": b"done other"}):
            sent = request()
            seen = history(sent)
            seen.requests["r"] = request(**change)
            self.assertIn("own and whole answers", self.broken(seen), change)

    def test_a_stream_that_lacks_repeats_or_mixes_events(self):
        whole = request(kind=RequestKind.STREAM)
        events = whole.body.split(b"\n\n")[:-1]
        for wrong in (events[1:], events[:-1], [events[0], *events], events[::-1]):
            body = b"".join(event + b"\n\n" for event in wrong)
            seen = history(request(kind=RequestKind.STREAM))
            seen.requests["r"].body = body
            self.assertIn("own and whole answers", self.broken(seen))

    def test_a_cut_stream_that_does_not_look_whole_breaks_nothing(self):
        sent = request(kind=RequestKind.STREAM, whole=False, body=b"id: 0\n")
        self.assertEqual(self.broken(history(sent)), {"runs give whole answers"})
        fault = Disturbance("instance frozen", "i1", 100.0, 100.1)
        self.assertEqual(self.broken(history(sent, disturbances=[fault])), set())

    def test_unknown_requests_tenants_services_and_keys(self):
        for change in (
            {"request_id": "other"},
            {"tenant": "t2"},
            {"service": "engines"},
            {"key_shown": True},
        ):
            sent = request()
            seen = history(sent, runs=[run_of(sent, **change)])
            self.assertIn("only what was sent", self.broken(seen), change)

    def test_a_revoked_key(self):
        for at, caught in ((94.0, True), (96.0, False), (101.0, False)):
            seen = history(request(), revocations=[Revocation("key", at)])
            self.assertEqual("revocation" in self.broken(seen), caught, at)

    def test_old_weights(self):
        for at, caught in ((91.0, True), (93.0, False)):
            sent = request(kind=RequestKind.RESUMABLE)
            seen = history(sent, weights_changes=[WeightsChange(2, at)])
            self.assertEqual("weights" in self.broken(seen), caught, at)
            seen.disturbances.append(Disturbance("outage", STORE, at + 1.0, at + 2.0))
            self.assertNotIn("weights", self.broken(seen))

    def test_a_draining_instance(self):
        for at, caught in ((97.0, True), (99.0, False)):
            seen = history(request(), drain_starts=[DrainStart("i1@1", at)])
            self.assertEqual("draining" in self.broken(seen), caught, at)

    def test_a_draining_instance_that_comes_back_may_take_requests(self):
        sent = request()
        runs = [run_of(sent, incarnation="i1@2")]
        seen = history(sent, runs=runs, drain_starts=[DrainStart("i1@1", 90.0)])
        self.assertNotIn("draining", self.broken(seen))

    def test_losing_only_other_nodes_excuses_no_request_at_a_draining_instance(self):
        for what, caught in ((PEER_LINK_CUT, True), ("store link", False), ("paused", False)):
            seen = history(request(), drain_starts=[DrainStart("i1@1", 97.0)])
            seen.disturbances.append(Disturbance(what, "n0", 96.0, 98.0))
            self.assertEqual("draining" in self.broken(seen), caught, what)

    def test_a_draining_instance_long_after_trouble(self):
        seen = history(request(), drain_starts=[DrainStart("i1@1", 90.0)])
        seen.disturbances.append(Disturbance("outage", STORE, 89.0, 96.5))
        self.assertIn("draining", self.broken(seen))

    def probe(self, status, **changes):
        return request(kind=RequestKind.SAFE, path="/added1/", status=status, **changes)

    def test_a_route_that_is_not_in_force_in_time(self):
        for present, status, at, caught in (
            (True, 404, 97.9, True),
            (True, 401, 97.9, True),
            (True, 404, 98.1, False),
            (True, 503, 97.9, False),
            (True, 200, 97.9, False),
            (False, 200, 97.9, True),
            (False, 200, 98.1, False),
            (False, 404, 97.9, False),
        ):
            seen = history(self.probe(status))
            seen.route_changes.append(RouteChange("/added1/", present, at))
            self.assertEqual("configuration" in self.broken(seen), caught, (present, status, at))

    def test_a_route_that_is_removed_meanwhile_may_be_gone(self):
        seen = history(self.probe(404))
        seen.route_changes.append(RouteChange("/added1/", present=True, at=90.0))
        seen.route_changes.append(RouteChange("/added1/", present=False, at=99.0))
        self.assertNotIn("configuration", self.broken(seen))

    def test_what_excuses_a_configuration_that_is_late(self):
        for what, subject, until, caught in (
            ("store link", "n0", 97.5, False),
            ("store link", "n0", 96.5, True),
            ("store link", "n1", 99.0, True),
            (PEER_LINK_CUT, "n0", 99.0, True),
            ("outage", STORE, 97.5, False),
            ("outage", STORE, 96.5, True),
            ("stood still", MACHINE, 98.0, False),
        ):
            seen = history(self.probe(404))
            seen.route_changes.append(RouteChange("/added1/", present=True, at=96.0))
            seen.disturbances.append(Disturbance(what, subject, 90.0, until))
            self.assertEqual("configuration" in self.broken(seen), caught, (what, subject, until))

    def test_two_holders(self):
        for first, second, caught in (
            (TakenOrder("i1", "n0", 5, 10.0), TakenOrder("i2", "n1", 5, 90.0), True),
            (TakenOrder("i1", "n0", 5, 10.0), TakenOrder("i2", "n1", 6, 11.0), True),
            (TakenOrder("i1", "n0", 6, 10.0), TakenOrder("i2", "n1", 5, 90.0), True),
            (TakenOrder("i1", "n0", 5, 10.0), TakenOrder("i2", "n1", 6, 13.5), False),
            (TakenOrder("i1", "n0", 5, 10.0), TakenOrder("i2", "n0", 5, 10.1), False),
        ):
            seen = history(orders=[first, second])
            self.assertEqual("one holder" in self.broken(seen), caught, (first, second))

    def test_leases_that_end_before_their_time_excuse_turns_and_no_tokens(self):
        lapse = Disturbance(LEASES_EXPIRED_EARLY, STORE, 9.0, 9.0)
        turns = [TakenOrder("i1", "n0", 5, 10.0), TakenOrder("i2", "n1", 6, 12.9)]
        self.assertNotIn("one holder", self.broken(history(orders=turns, disturbances=[lapse])))
        lapse = Disturbance(LEASES_EXPIRED_EARLY, STORE, 6.9, 6.9)
        self.assertIn("one holder", self.broken(history(orders=turns, disturbances=[lapse])))
        lapse = Disturbance(LEASES_EXPIRED_EARLY, STORE, 9.0, 9.0)
        for second in (TakenOrder("i2", "n1", 5, 12.9), TakenOrder("i2", "n1", 4, 90.0)):
            seen = history(orders=[turns[0], second], disturbances=[lapse])
            self.assertIn("one holder", self.broken(seen))

    def test_shared_salts(self):
        first, second = request("a", RequestKind.STREAM), request("b", RequestKind.STREAM)
        for change in ({"tenant": "t2"}, {"version": 2}):
            runs = [run_of(first, salt="s"), run_of(second, salt="s", **change)]
            seen = history(first, second, runs=runs)
            self.assertIn("isolation", self.broken(seen), change)

    def test_a_planned_stop_that_cuts(self):
        stop = Disturbance("stopped", "n0", 99.0, 104.0, planned=True)
        cut = {"status": None, "whole": False, "body": b"", "stamp": ""}
        seen = history(request(**cut), disturbances=[stop])
        self.assertIn("planned stop", self.broken(seen))
        seen = history(request(**cut, refused_connection=True), disturbances=[stop])
        self.assertNotIn("planned stop", self.broken(seen))

    def test_a_request_that_crosses_the_close_of_a_planned_stop(self):
        stop = Disturbance("stopped", "n0", 99.0, 104.0, planned=True)
        cut = {"status": None, "whole": False, "body": b"", "stamp": ""}
        for ended_at, arrived, caught in (
            (100.1, False, False),
            (100.1, True, True),
            (100.3, False, True),
        ):
            seen = history(request(**cut, ended_at=ended_at), disturbances=[stop])
            seen.arrivals = seen.arrivals if arrived else []
            self.assertEqual("planned stop" in self.broken(seen), caught, (ended_at, arrived))

    def test_a_run_whose_caller_gets_no_whole_answer(self):
        # Guards against callers that stay, half-closed or not, and never hear of what was run.
        cuts = ({"status": None, "body": b""}, {"status": 200, "body": b"x"})
        for cut in cuts:
            sent = request(whole=False, **cut)
            self.assertIn("runs give whole answers", self.broken(history(sent)), cut)
            for changes in ({"left": True}, {"ended_at": 104.1}, {"fatal": "f"}):
                seen = history(request(whole=False, **cut, **changes))
                self.assertNotIn("runs give whole answers", self.broken(seen), changes)

    def test_what_excuses_a_run_without_a_whole_answer(self):
        sent = request(whole=False, status=None)
        for subject, planned, caught in (
            ("n0", False, False),
            ("n0", True, True),
            ("n1", False, True),
            ("i1", False, False),
            ("i2", False, True),
            (MACHINE, False, False),
            (STORE, False, True),
        ):
            fault = Disturbance("a fault", subject, 100.0, 100.2, planned=planned)
            found = self.broken(history(sent, disturbances=[fault]))
            self.assertEqual("runs give whole answers" in found, caught, (subject, planned))
        for at, caught in ((100.05, False), (101.0, True)):
            crash = FatalTermination("fatal", "i1@1", at)
            found = self.broken(history(sent, fatal_terminations=[crash]))
            self.assertEqual("runs give whole answers" in found, caught, at)

    def test_a_fault_of_its_answer_excuses_a_run_without_a_whole_answer(self):
        sent = request(whole=False, status=None)
        for what, incarnation, name, caught in (
            ("stopped, close", "i1@1", "r", False),
            ("answer", "i1@1", "r", True),
            ("stopped, close", "i2@1", "r", True),
            ("stopped, close", "i1@1", "other", True),
        ):
            event = InstanceAnswerEvent(incarnation, AnswerEvent(100.1, 1, what, attempt_id=name))
            found = self.broken(history(sent, answer_events=[event]))
            self.assertEqual("runs give whole answers" in found, caught, (what, incarnation, name))

    def test_a_request_behind_the_last_one_of_its_connection(self):
        # Guards against blaming a stop for what the response before said isn't read any more.
        stop = Disturbance("stopped", "n0", 99.0, 104.0, planned=True)
        cut = {"status": None, "whole": False, "body": b"", "stamp": "", "ended_at": 101.0}
        for behind_last, arrived, caught in (
            (True, False, False),
            (True, True, True),
            (False, False, True),
        ):
            seen = history(request(**cut, behind_last=behind_last), disturbances=[stop])
            seen.arrivals = seen.arrivals if arrived else []
            self.assertEqual("planned stop" in self.broken(seen), caught, (behind_last, arrived))

    def test_a_response_that_its_deadline_ends_during_a_planned_stop(self):
        stop = Disturbance("stopped", "n0", 99.0, 104.0, planned=True)
        cut = {"status": 200, "whole": False, "deadline_at": 101.0}
        for ended_at, head_at, caught in ((100.9, 100.2, True), (101.1, 100.2, False)):
            seen = history(request(**cut, ended_at=ended_at, head_at=head_at))
            seen.disturbances = [stop]
            self.assertEqual("planned stop" in self.broken(seen), caught, (ended_at, head_at))

    def test_a_response_that_ends_with_its_instance_during_a_planned_stop(self):
        # Guards against blaming a planned stop for a stream that its crashing instance broke off.
        stop = Disturbance("stopped", "n0", 99.0, 104.0, planned=True)
        sent = request(kind=RequestKind.STREAM, ended_at=101.0, whole=False)
        for incarnation, at, caught in (
            ("i1@1", 100.9, False),
            ("i2@1", 100.9, True),
            ("i1@1", 99.9, True),
            ("i1@1", 101.1, True),
        ):
            crash = FatalTermination("fatal", incarnation, at)
            seen = history(sent, disturbances=[stop], fatal_terminations=[crash])
            self.assertEqual("planned stop" in self.broken(seen), caught, (incarnation, at))
        seen.fatal_terminations = [FatalTermination("fatal", "i1@1", 100.5)]
        seen.runs.append(run_of(sent, at=100.7, incarnation="i3@1"))
        self.assertIn("planned stop", self.broken(seen), "a later run, at another instance")

    def test_callers_that_left_and_are_still_served(self):
        for kind, seconds, caught in (
            (RequestKind.STREAM, 0.6, True),
            (RequestKind.STREAM, 0.4, False),
            (RequestKind.UNSAFE, 0.6, False),
        ):
            sent = [request(f"r{n}", kind, at=100.0 + n, left=True) for n in range(8)]
            seen = history(*sent)
            for run, gone in zip(seen.runs, sent, strict=True):
                run.ended_at = gone.ended_at + seconds
            self.assertEqual("clients that left" in self.broken(seen), caught, (kind, seconds))

    def test_requests_that_arrive_for_callers_that_left(self):
        for count, caught in ((3, False), (4, True)):
            sent = [request(f"r{n}", at=100.0 + n, left=True) for n in range(count)]
            seen = history(*sent, runs=[])
            seen.arrivals = [
                Arrival(gone.request_id, "plain", gone.ended_at + 0.6) for gone in sent
            ]
            self.assertEqual("clients that left" in self.broken(seen), caught, count)

    def test_a_late_end(self):
        seen = history(request(ended_at=105.0))
        self.assertIn("answers in time", self.broken(seen))
        seen = history(request(ended_at=104.5))
        self.assertNotIn("answers in time", self.broken(seen))

    def test_too_many_repeats(self):
        sent = request(kind=RequestKind.SAFE)
        for count, caught in ((49, False), (60, True)):
            seen = history(sent)
            seen.arrivals += [Arrival("r", "plain", 100.0 + n / 10) for n in range(count)]
            self.assertEqual("retry budget" in self.broken(seen), caught, count)

    def fatal_history(self, ends=3, late=4, at=104.0, **changes):
        """Return crashes of instances by a fatal request around 100 s, and its later arrivals."""
        sent = [request(f"r{n}", at=at + n / 10, fatal="f", status=502) for n in range(late)]
        seen = history(*sent, runs=[])
        seen.fatal_terminations = [
            FatalTermination("f", f"i{n}@1", 100.0 + n / 10) for n in range(ends)
        ]
        for field, value in changes.items():
            setattr(seen, field, value)
        return seen

    def test_a_fatal_request_that_goes_on_reaching_instances(self):
        for ends, late, at, caught in (
            (3, 4, 104.0, True),
            (9, 9, 104.0, True),
            (3, 3, 104.0, False),
            (2, 9, 104.0, False),
            (3, 4, 102.5, False),
        ):
            seen = self.fatal_history(ends, late, at)
            self.assertEqual("fatal requests" in self.broken(seen), caught, (ends, late, at))

    def test_what_excuses_nodes_that_send_a_fatal_request(self):
        for what, subject, until, caught in (
            ("paused", "n0", 103.0, False),
            ("paused", "n0", 100.9, True),
            ("paused", "n1", 103.0, True),
            (PEER_LINK_CUT, "n0", 103.0, True),
            ("outage", STORE, 103.0, False),
        ):
            disturbance = Disturbance(what, subject, 99.0, until)
            seen = self.fatal_history(disturbances=[disturbance])
            self.assertEqual("fatal requests" in self.broken(seen), caught, (what, subject, until))

    def test_ends_of_two_fatal_requests_do_not_add_up(self):
        seen = self.fatal_history(2)
        seen.fatal_terminations.append(FatalTermination("g", "i9@1", 100.0))
        self.assertNotIn("fatal requests", self.broken(seen))

    def test_an_ordinary_request_that_is_refused_as_fatal(self):
        refused = {"status": 503, "stamp": "", "body": b"request_quarantined"}
        seen = history(request(**refused), runs=[])
        self.assertIn("honest requests", self.broken(seen))
        seen = history(request(**refused, fatal="f"), runs=[])
        self.assertNotIn("honest requests", self.broken(seen))

    def quarantined(self, answers=(), ends=3, faults=(), at=100.0):
        """Return whether the quarantine of an ordinary request is reported."""
        refused = request(
            "refused", at=at, status=503, stamp="", body=b"request_quarantined", whole=True
        )
        answered = [
            request(f"answered-{number}", at=answered_at)
            for number, answered_at in enumerate(answers)
        ]
        current_instances = [FatalTermination("f", f"i{number}@1", 99.0) for number in range(ends)]
        seen = history(
            refused, *answered, fatal_terminations=current_instances, disturbances=list(faults)
        )
        return "honest requests" in self.broken(seen)

    def test_an_ordinary_request_that_nobody_can_tell_from_a_fatal_one(self):
        killed = Disturbance("killed", "n0", 98.0, 98.5)
        self.assertFalse(self.quarantined())
        self.assertFalse(self.quarantined(answers=[97.0], faults=[killed]))
        self.assertFalse(self.quarantined(answers=[101.0]))

    def test_an_ordinary_request_that_a_node_has_answered_before(self):
        killed = Disturbance("killed", "n0", 98.0, 98.5)
        other = Disturbance("killed", "n1", 98.0, 98.5)
        self.assertTrue(self.quarantined(answers=[97.0]))
        self.assertTrue(self.quarantined(answers=[97.0], faults=[other]))
        self.assertTrue(self.quarantined(answers=[97.0, 99.0], faults=[killed]))

    def test_an_ordinary_request_that_is_refused_for_too_few_ends_or_too_long(self):
        self.assertTrue(self.quarantined(ends=2))
        self.assertTrue(self.quarantined(at=112.0))

    def test_what_an_untrusted_entry_leads_to(self):
        self.assertIn("untrusted entries", self.broken(history(decoy_requests=["/report"])))

    def test_engines_that_miss_the_newest_weights_for_good(self):
        for since, version, caught in (
            (50.0, 1, True),
            (102.0, 1, True),
            (104.0, 1, False),
            (50.0, 2, False),
            (50.0, 0, False),
        ):
            listed = [ListedInstance("i1", "engines", since, version)]
            seen = history(weights_changes=[WeightsChange(2, 100.0)], listed=listed)
            self.assertEqual("weights everywhere" in self.broken(seen), caught, (since, version))

    def test_a_process_that_ends(self):
        self.assertIn("processes", self.broken(history(unexpected_exits=["n0"])))

    def test_recovery_asks_for_no_fatal_request(self):
        served = [request(f"r{n}", at=100.0 + n / 10) for n in range(20)]
        refused = [
            request(f"f{n}", at=100.0 + n / 10, fatal="f", status=503, stamp="") for n in range(20)
        ]
        self.assertEqual(check_recovery(history(*served, *refused), 100.0, 110.0), [])
        self.assertTrue(check_recovery(history(*refused), 100.0, 110.0))

    def test_recovery_asks_for_served_requests(self):
        served = history(*(request(f"r{n}", at=100.0 + n / 10) for n in range(20)))
        self.assertEqual(check_recovery(served, 100.0, 110.0), [])
        for sent in served.requests.values():
            sent.status = 503
        self.assertTrue(check_recovery(served, 100.0, 110.0))
        self.assertTrue(check_recovery(history(), 100.0, 110.0))
