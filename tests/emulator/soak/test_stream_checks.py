"""The soak's checks of resumed streams see streams of two versions and resumes that don't go on."""

import unittest

from emulator.soak.disturbances import KILLED, Disturbance
from emulator.soak.history import History
from emulator.soak.instance_records import IncarnationPeriod
from emulator.soak.operator_changes import DrainStart
from emulator.soak.promises import Bounds
from emulator.soak.request_records import HeldStream, RequestKind, Run, SentRequest
from emulator.soak.stream_checks import (
    orphaned_streams_go_on,
    resumed_streams_go_on,
    stream_figures,
    streams_keep_their_version,
)

EVENTS = 5


class StreamChecksTest(unittest.TestCase):
    def setUp(self):
        self.history = History(
            requests={}, streams=[], runs=[], instances=[], disturbances=[], drain_starts=[]
        )
        for version in ("v1", "v2"):
            for number in range(2):
                name = f"{version}-{number}@1"
                self.history.instances.append(
                    IncarnationPeriod(name, "engines", 0.0, False, software_version=version)
                )

    def add_try(self, stream, runs, received, at=10.0):
        """Add a try of a stream that got events from runs of (version, first event)."""
        name = f"r{len(self.history.requests)}"
        request = SentRequest(
            name, RequestKind.RESUMABLE, "engines", "k", "n0", at, at + 4.0, EVENTS
        )
        request.ended_at, request.status = at + 0.5, 200 if received else 503
        request.body = b"x\n\n" * received
        request.first_event, request.resumes = stream.received, stream.origin
        request.whole = stream.received + received == EVENTS
        self.history.requests[name] = request
        for version, first in runs:
            run = Run(name, "i", "i@1", "engines", at, "t", 1, "", False, "", None, version, first)
            self.history.runs.append(run)
        stream.tries.append(name)
        stream.take(request)

    def add_stream(self, *tries):
        """Add a stream; each try is its runs and the number of events that the caller got."""
        stream = HeldStream(EVENTS, [])
        self.history.streams.append(stream)
        for runs, received in tries:
            self.add_try(stream, runs, received)

    def mixed(self):
        return list(streams_keep_their_version(self.history, Bounds()))

    def lost(self):
        return list(resumed_streams_go_on(self.history, Bounds()))

    def test_more_than_two_streams_of_two_versions_are_seen(self):
        self.add_stream(([("v1", 0)], 2), ([("v2", 2)], 3))
        self.add_stream(([("v1", 0), ("v2", 3)], 5))
        self.assertEqual(self.mixed(), [])
        self.add_stream(([("v1", 0)], 1), ([], 0), ([("v2", 1)], 4))
        self.assertEqual(len(self.mixed()), 1)
        figures = stream_figures(self.history)
        self.assertEqual((figures.mixed, figures.mixed_within), (3, 1))

    def test_events_that_the_caller_never_got_do_not_count(self):
        for _ in range(4):
            self.add_stream(([("v1", 0), ("v2", 0)], 5))
            self.add_stream(([("v1", 0)], 2), ([("v2", 2), ("v1", 2)], 3))
            self.add_stream(([("v1", 0), ("v2", 3)], 3))
        self.assertEqual(self.mixed(), [])

    def resume(self, count, goes_on):
        for number in range(count):
            if number < goes_on:
                self.add_stream(([("v1", 0)], 2), ([("v1", 2)], 3))
            else:
                self.add_stream(([("v1", 0)], 2), ([], 0))

    def test_resumes_that_do_not_go_on_are_seen(self):
        self.resume(12, 5)
        self.assertEqual(len(self.lost()), 1)

    def test_resumes_that_go_on_half_as_often_as_new_streams_begin_break_nothing(self):
        self.resume(12, 6)
        self.assertEqual(self.lost(), [])

    def test_resumes_count_only_while_two_instances_of_their_version_serve(self):
        self.resume(12, 0)
        self.history.drain_starts.append(DrainStart("v1-0@1", 9.0))
        self.assertEqual(self.lost(), [])

    def test_resumes_at_a_node_with_a_fault_do_not_count(self):
        self.resume(12, 0)
        self.history.disturbances.append(Disturbance("killed", "n0", 8.0, 9.0))
        self.assertEqual(self.lost(), [])

    def test_orphaned_streams_that_do_not_go_on_are_seen_among_others_that_do(self):
        self.resume(12, 0)
        for name in list(self.history.requests):
            request = self.history.requests[name]
            if request.resumes:
                request.node, request.sent_at, request.ended_at = "n1", 13.0, 13.5
        self.resume(40, 40)
        self.history.disturbances.append(Disturbance(KILLED, "n0", 11.0, 11.2))
        bounds = Bounds(settling=1.0)
        self.assertEqual(list(resumed_streams_go_on(self.history, bounds)), [])
        self.assertEqual(len(list(orphaned_streams_go_on(self.history, bounds))), 1)
        self.assertEqual(stream_figures(self.history).orphans, 12)
