"""Versions at which streams may have begun, and what ended processes leave unknown."""

import unittest

from hopstep.domain.exchanges.streams.recorded_versions import (
    MAX_RECORDING_SECONDS,
    RecordedVersions,
    VersionsRecord,
)
from hopstep.domain.store_position import NO_POSITION, StorePosition

STREAM_SECONDS = 30.0
JOINED_AT = StorePosition(1, 10)
RECORD = VersionsRecord({"llm": {"v1": NO_POSITION, "v2": JOINED_AT}}, era=1)


def at(revision, era=1):
    return StorePosition(era, revision)


class RecordedVersionsTest(unittest.TestCase):
    def setUp(self):
        self.versions = RecordedVersions()

    def start(self, record, position, now=0.0):
        self.versions.apply(record)
        self.versions.start(position, now, STREAM_SECONDS)

    def ended(self, now=1.0):
        return self.versions.of_ended_processes("llm", now)

    def test_a_process_that_ended_before_a_version_joined_has_begun_no_stream_at_it(self):
        # All streams of before a loss were refused once another version had joined.
        self.start(VersionsRecord({"llm": {"v1": NO_POSITION}}, era=1), at(8))
        self.versions.apply(RECORD)
        self.versions.note_ended(at(9), 1.0, STREAM_SECONDS)
        self.assertEqual(self.ended(), {"v1"})

    def test_a_process_that_ended_after_a_version_joined_may_have_begun_streams_at_it(self):
        # Its streams would have gone on at the other version.
        self.start(VersionsRecord({"llm": {"v1": NO_POSITION}}, era=1), at(8))
        self.versions.apply(RECORD)
        self.versions.note_ended(at(11), 1.0, STREAM_SECONDS)
        self.assertEqual(self.ended(), {"v1", "v2"})

    def test_processes_that_ended_before_the_first_reading_may_have_begun_at_all_versions(self):
        # A node that has just started can't know when they ended.
        self.start(RECORD, at(12))
        self.assertEqual(self.ended(), {"v1", "v2"})

    def test_nothing_is_concluded_from_a_record_of_before_a_restore(self):
        # A version that was recorded in the lost seconds isn't in it.
        self.start(VersionsRecord({"llm": {"v1": NO_POSITION}}, era=1), at(8, era=2))
        self.assertEqual(self.ended(), frozenset())
        self.assertFalse(self.versions.is_complete(STREAM_SECONDS - 0.1))
        self.assertTrue(self.versions.is_complete(STREAM_SECONDS))

    def test_versions_of_ended_processes_are_dropped_once_no_client_holds_their_streams(self):
        # Streams would be refused for ever after each restart of a node.
        self.start(RECORD, at(12))
        self.assertEqual(self.ended(STREAM_SECONDS + 0.1), frozenset())

    def test_new_streams_wait_only_so_long_for_the_record_of_their_version(self):
        # Instances of a new version would stay unused for as long as the store is away.
        self.versions.apply(VersionsRecord({"llm": {"v1": NO_POSITION}}))
        self.assertTrue(self.versions.may_begin("llm", "v1", 0.0))
        self.assertTrue(self.versions.may_begin("llm", "", 0.0))
        self.assertFalse(self.versions.may_begin("llm", "v2", 0.0))
        self.assertFalse(self.versions.may_begin("llm", "v2", MAX_RECORDING_SECONDS))
        self.assertTrue(self.versions.may_begin("llm", "v2", MAX_RECORDING_SECONDS + 0.1))
