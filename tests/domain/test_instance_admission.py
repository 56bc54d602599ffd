"""Whether something may be sent to an instance, for each purpose and barrier."""

import unittest

from hopstep.domain.announced_state import AnnouncedState
from hopstep.domain.instance_admission import (
    NEVER,
    AskedInstance,
    Barrier,
    Purpose,
    admission,
)
from hopstep.domain.instance_notices import InstanceNotice, LimitNotice

NOW = 10.0
REQUESTS = {Purpose.REQUEST, Purpose.LAST_REQUEST, Purpose.RESUME}
EVERYTHING = set(Purpose)


def announced_state(**notice):
    made = AnnouncedState()
    made.take(InstanceNotice(**notice), NOW, NOW - 0.1)
    return made


CASES = (
    ("nothing", AskedInstance(AnnouncedState()), None, set()),
    (
        "its entry says that it is shutting down",
        AskedInstance(AnnouncedState(), Barrier.DRAINING),
        Barrier.DRAINING,
        EVERYTHING - {Purpose.CACHE_EVENTS},
    ),
    (
        "its entry says so since lately, and no other instance of a stream's version serves",
        AskedInstance(
            AnnouncedState(),
            Barrier.DRAINING,
            last_requests_seconds=1.0,
            draining_since=NOW - 0.9,
        ),
        Barrier.DRAINING,
        EVERYTHING - {Purpose.CACHE_EVENTS, Purpose.RESUME, Purpose.RESUME_SENDING},
    ),
    (
        "its entry has said that for longer",
        AskedInstance(
            AnnouncedState(),
            Barrier.DRAINING,
            last_requests_seconds=1.0,
            draining_since=NOW - 1.0,
        ),
        Barrier.DRAINING,
        EVERYTHING - {Purpose.CACHE_EVENTS},
    ),
    (
        "it has ended",
        AskedInstance(AnnouncedState(), Barrier.ENDED, draining_since=NOW),
        Barrier.ENDED,
        EVERYTHING - {Purpose.CACHE_EVENTS},
    ),
    (
        "its notices say that it is shutting down",
        AskedInstance(announced_state(leaving=True)),
        Barrier.LEAVING,
        EVERYTHING - {Purpose.CACHE_EVENTS},
    ),
    (
        "its notices say that it is shutting down, and no other instance serves",
        AskedInstance(announced_state(leaving=True), last_requests_seconds=1.0),
        Barrier.LEAVING,
        EVERYTHING
        - {
            Purpose.CACHE_EVENTS,
            Purpose.LAST_SENDING,
            Purpose.LAST_REQUEST,
            Purpose.RESUME,
            Purpose.RESUME_SENDING,
        },
    ),
    (
        "it asked for a backoff",
        AskedInstance(announced_state(backoff_seconds=3.0)),
        Barrier.BACKING_OFF,
        EVERYTHING,
    ),
    (
        "it has a limit",
        AskedInstance(announced_state(limit=LimitNotice(1.5))),
        Barrier.LIMITED,
        REQUESTS | {Purpose.ORDER, Purpose.CACHE_EVENTS},
    ),
    (
        "this node has just started, and one request is in progress",
        AskedInstance(AnnouncedState(), active=1, reports_due_by=NOW + 0.5),
        Barrier.STATE_UNKNOWN,
        REQUESTS,
    ),
    (
        "this node has just started, and the instance has answered",
        AskedInstance(announced_state(limit=LimitNotice()), active=1, reports_due_by=NOW + 0.5),
        None,
        set(),
    ),
)


class AdmissionTest(unittest.TestCase):
    def test_each_barrier_applies_to_its_purposes(self):
        for name, asked, barrier, barred in CASES:
            for purpose in Purpose:
                with self.subTest(name, purpose=purpose):
                    answer = admission(asked, purpose, NOW)
                    self.assertIs(answer.barrier, barrier if purpose in barred else None)
                    self.assertEqual(answer.is_open, purpose not in barred)

    def test_only_a_backoff_has_a_known_end(self):
        backing_off = admission(
            AskedInstance(announced_state(backoff_seconds=3.0)), Purpose.REQUEST, NOW
        )
        self.assertEqual(backing_off.until, NOW + 3.0)
        leaving = admission(AskedInstance(announced_state(leaving=True)), Purpose.REQUEST, NOW)
        self.assertEqual(leaving.until, NEVER)

    def test_a_free_permit_admits_a_request_that_has_not_waited(self):
        limited = announced_state(limit=LimitNotice(1.5))
        limited.sends.receive(1, NOW + 1.0, NOW)
        self.assertTrue(admission(AskedInstance(limited), Purpose.REQUEST, NOW).is_open)
        limited.sends.claimed = 1
        self.assertFalse(admission(AskedInstance(limited), Purpose.REQUEST, NOW).is_open)

    def test_no_limit_needs_no_permit(self):
        limited = announced_state(limit=LimitNotice(1.5))
        limited.take(InstanceNotice(limit=LimitNotice()), NOW + 2.0, NOW + 1.0)
        self.assertTrue(admission(AskedInstance(limited), Purpose.REQUEST, NOW + 2.0).is_open)
