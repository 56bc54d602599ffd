"""Checks of instances' notices: each reports a history that breaks its promise."""

import unittest

import msgspec

from emulator.soak.answer_faults import AnswerEvent, HeadDelivery
from emulator.soak.disturbances import Disturbance
from emulator.soak.instance_records import InstanceAnswerEvent, LinkSilence, SentNotice
from emulator.soak.notice_checks import backoffs_are_kept, leaving_notices_are_obeyed
from emulator.soak.promises import Bounds
from emulator.soak.request_records import Arrival
from tests.emulator.soak.test_checks import history, request

BOUNDS = Bounds()
INCARNATION = "i1@1"
ANNOUNCED_AT = 100.1


class WordChecksTest(unittest.TestCase):
    def seen(self, backoff_seconds=0.0, **later):
        """Return a history: one response with a notice at 100 s, and requests by id and time."""
        first = request("told", at=100.0, head_at=ANNOUNCED_AT)
        followers = [request(name, at=at) for name, at in later.items()]
        found = history(first, *followers)
        found.arrivals = [
            Arrival(r.request_id, r.service, r.sent_at, INCARNATION) for r in followers
        ]
        found.notices = [
            SentNotice("told", INCARNATION, 100.0, not backoff_seconds, backoff_seconds)
        ]
        return found

    def test_requests_after_the_bound_are_caught(self):
        late = self.seen(a=ANNOUNCED_AT + BOUNDS.drain + 0.01)
        self.assertEqual(len(list(leaving_notices_are_obeyed(late, BOUNDS))), 1)

    def test_requests_within_the_bound_are_not(self):
        soon = self.seen(a=ANNOUNCED_AT + BOUNDS.drain - 0.01)
        self.assertEqual(list(leaving_notices_are_obeyed(soon, BOUNDS)), [])

    def test_another_life_and_another_node_are_not_bound(self):
        later_incarnation = self.seen(a=110.0)
        later_incarnation.arrivals = [
            msgspec.structs.replace(later_incarnation.arrivals[0], incarnation="i1@2")
        ]
        self.assertEqual(list(leaving_notices_are_obeyed(later_incarnation, BOUNDS)), [])
        elsewhere = self.seen(a=110.0)
        elsewhere.requests["a"].node = "n1"
        self.assertEqual(list(leaving_notices_are_obeyed(elsewhere, BOUNDS)), [])

    def test_an_answer_that_was_not_passed_on_binds_nobody(self):
        lost = self.seen(a=110.0)
        lost.requests["told"].head_at = None
        self.assertEqual(list(leaving_notices_are_obeyed(lost, BOUNDS)), [])

    def test_a_node_that_was_interrupted_is_excused(self):
        disregarded = self.seen(a=110.0)
        disregarded.disturbances = [Disturbance("killed", "n0", 105.0, 106.0)]
        self.assertEqual(list(leaving_notices_are_obeyed(disregarded, BOUNDS)), [])
        held = self.seen(a=110.0)
        held.disturbances = [Disturbance("outage", "store", 105.0, 106.0)]
        self.assertEqual(len(list(leaving_notices_are_obeyed(held, BOUNDS))), 1)

    def test_three_requests_within_a_rest_are_caught_and_two_are_not(self):
        three = self.seen(3.0, a=100.6, b=101.0, c=102.9)
        self.assertEqual(len(list(backoffs_are_kept(three, BOUNDS))), 1)
        two = self.seen(3.0, a=100.6, b=101.0)
        self.assertEqual(list(backoffs_are_kept(two, BOUNDS)), [])

    def test_requests_on_their_way_and_after_the_end_do_not_count(self):
        around = self.seen(3.0, a=100.1, b=100.4, c=100.5, d=103.0, e=103.1)
        self.assertEqual(list(backoffs_are_kept(around, BOUNDS)), [])

    def test_a_rest_binds_the_node_that_was_asked(self):
        other = self.seen(3.0, a=100.6, b=101.0, c=102.0)
        for name in "abc":
            other.requests[name].node = "n1"
        self.assertEqual(list(backoffs_are_kept(other, BOUNDS)), [])

    def test_a_cut_of_the_node_excuses_it(self):
        disregarded = self.seen(3.0, a=100.6, b=101.0, c=102.0)
        disregarded.disturbances = [Disturbance("callers' link", "n0", 101.0, 101.5)]
        self.assertEqual(list(backoffs_are_kept(disregarded, BOUNDS)), [])

    def passed_on(self, *heads, asked="told", incarnation=INCARNATION, since=100.01):
        """Return a broken backoff, with proxies that passed answers on in these ways."""
        disregarded = self.seen(3.0, a=100.6, b=101.0, c=102.0)
        events = [
            AnswerEvent(since + number / 10, 1, "answer", head=head, asked=asked)
            for number, head in enumerate(heads)
        ]
        disregarded.answer_events = [InstanceAnswerEvent(incarnation, each) for each in events]
        return list(backoffs_are_kept(disregarded, BOUNDS))

    def test_a_refusal_that_reached_its_node_binds_it(self):
        self.assertEqual(len(self.passed_on(HeadDelivery.WHOLE)), 1)
        self.assertIn("told", self.passed_on(HeadDelivery.WHOLE)[0])
        self.assertEqual(len(self.passed_on(HeadDelivery.COPY, HeadDelivery.WHOLE)), 1)
        self.assertEqual(len(self.passed_on(HeadDelivery.WHOLE, HeadDelivery.CUT)), 1)

    # A node can't obey a refusal that stopped in its head.
    def test_a_refusal_that_never_reached_its_node_binds_nobody(self):
        self.assertEqual(self.passed_on(HeadDelivery.CUT), [])
        self.assertEqual(self.passed_on(HeadDelivery.CUT, HeadDelivery.WHOLE), [])
        self.assertEqual(self.passed_on(HeadDelivery.COPY), [])

    def test_only_the_answer_with_the_notice_counts(self):
        self.assertEqual(self.passed_on(HeadDelivery.WHOLE, asked="other"), [])
        self.assertEqual(self.passed_on(HeadDelivery.WHOLE, incarnation="i1@2"), [])
        self.assertEqual(self.passed_on(HeadDelivery.WHOLE, since=99.0), [])

    def test_the_answer_to_another_try_of_the_same_id_says_nothing(self):
        for whole, broken in (("told#1", 1), ("told#2", 0)):
            disregarded = self.seen(3.0, a=100.6, b=101.0, c=102.0)
            disregarded.requests["told#1"] = disregarded.requests["told"]
            notice = disregarded.notices[0]
            disregarded.notices = [msgspec.structs.replace(notice, request_id="told#1")]
            heads = {"told#1": HeadDelivery.CUT, "told#2": HeadDelivery.CUT}
            heads[whole] = HeadDelivery.WHOLE
            disregarded.answer_events = [
                InstanceAnswerEvent(
                    INCARNATION, AnswerEvent(100.01, 1, "answer", head=head, asked=name)
                )
                for name, head in heads.items()
            ]
            self.assertEqual(len(list(backoffs_are_kept(disregarded, BOUNDS))), broken)

    # What was on its way as the link fell silent arrives in both directions once it works again.
    def test_a_refusal_that_a_silent_link_held_back_binds_from_its_end(self):
        for since, until, broken in (
            (100.02, 100.6, 0),
            (99.0, 100.6, 0),
            (100.02, 100.05, 1),
            (99.0, 99.9, 1),
            (100.2, 100.6, 1),
        ):
            disregarded = self.seen(3.0, a=100.61, b=100.62, c=100.63)
            disregarded.silences = [LinkSilence(INCARNATION, since, until)]
            self.assertEqual(len(list(backoffs_are_kept(disregarded, BOUNDS))), broken, since)
        later = self.seen(3.0, a=101.2, b=101.3, c=101.4)
        later.silences = [LinkSilence(INCARNATION, 100.02, 100.6)]
        self.assertEqual(len(list(backoffs_are_kept(later, BOUNDS))), 1)
        later.silences = [LinkSilence("i1@2", 100.02, 102.0)]
        self.assertEqual(len(list(backoffs_are_kept(later, BOUNDS))), 1)

    # A node ends its request to an instance as the client leaves.
    def test_a_refusal_that_came_after_its_client_had_left_binds_nobody(self):
        for left_at, broken in ((100.005, 0), (100.02, 1)):
            disregarded = self.seen(3.0, a=100.6, b=101.0, c=102.0)
            disregarded.requests["told"].left = True
            disregarded.requests["told"].ended_at = left_at
            answer = AnswerEvent(100.01, 1, "answer", asked="told")
            disregarded.answer_events = [InstanceAnswerEvent(INCARNATION, answer)]
            self.assertEqual(len(list(backoffs_are_kept(disregarded, BOUNDS))), broken)
