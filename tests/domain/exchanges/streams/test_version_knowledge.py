"""Which versions may have begun a running stream, and when a single one is known to all nodes."""

import unittest

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.streams.listed_versions import (
    MAX_RETENTION_SECONDS,
    MIN_RETENTION_SECONDS,
    ListedVersions,
)
from hopstep.domain.exchanges.streams.version_claims import VersionClaim, sole_version

V1 = VersionClaim(("v1",), is_complete=True, is_fresh=True)
NOTHING = VersionClaim()


def instance(version, instance_id="i1"):
    return Instance(instance_id, "llm", "10.0.0.1:80", "z", 4, software_version=version)


class ListedVersionsTest(unittest.TestCase):
    def test_a_version_counts_as_long_as_a_stream_of_it_may_run(self):
        # Its last instance was gone, its clients weren't.
        versions = ListedVersions()
        versions.replace(None, instance("v1"), 0.0)
        versions.replace(None, instance("v2", "i2"), 0.0)
        versions.replace(instance("v1"), None, 5.0)
        self.assertEqual(versions.listed("llm"), {"v2"})
        self.assertTrue(versions.is_mixed("llm", 5.0 + MIN_RETENTION_SECONDS))
        self.assertFalse(versions.is_mixed("llm", 5.1 + MIN_RETENTION_SECONDS))

    def test_it_counts_longer_where_clients_hold_streams_for_longer(self):
        versions = ListedVersions()
        versions.replace(None, instance("v1"), 0.0)
        versions.replace(instance("v1"), instance("v2"), 0.0)
        versions.note_stream_seconds(100.0)
        self.assertEqual(versions.recent("llm", 99.0), {"v1", "v2"})
        versions.note_stream_seconds(float("inf"))
        self.assertEqual(versions.retention_seconds, MAX_RETENTION_SECONDS)

    def test_entries_that_change_in_place_count_once(self):
        versions = ListedVersions()
        versions.replace(None, instance("v1"), 0.0)
        for _ in range(3):
            versions.replace(instance("v1"), instance("v1"), 1.0)
        self.assertEqual(versions.count("llm", "v1"), 1)
        self.assertFalse(versions.is_mixed("llm", 1.0))

    def test_an_unknown_version_may_be_any(self):
        versions = ListedVersions()
        versions.replace(None, instance(""), 0.0)
        self.assertTrue(versions.is_mixed("llm", 0.0))


class SoleVersionTest(unittest.TestCase):
    def test_it_is_known_only_from_a_current_view_or_from_complete_views_of_all_nodes(self):
        # A recent view, or one of half of the nodes, lacks the version of a stream begun since.
        stale = VersionClaim(("v1",), is_complete=True)
        short = VersionClaim(("v1",), is_fresh=True)
        current = VersionClaim(("v1",), is_complete=True, is_fresh=True, is_current=True)
        short_current = VersionClaim(("v1",), is_fresh=True, is_current=True)
        mixed = VersionClaim(("v1", "v2"), is_complete=True, is_fresh=True)
        unknown = VersionClaim(("",), is_complete=True, is_fresh=True, is_current=True)
        cases = (
            (V1, [], 0, "v1"),
            (V1, [], 6, ""),
            (current, [], 6, "v1"),
            (current, [mixed], 6, ""),
            (V1, [mixed], 6, ""),
            (short, [NOTHING], 1, ""),
            (short, [stale], 6, ""),
            (short_current, [], 6, ""),
            (short_current, [stale], 6, ""),
            (stale, [short_current], 6, ""),
            (NOTHING, [V1], 6, ""),
            (NOTHING, [current], 6, "v1"),
            (stale, [], 6, ""),
            (V1, [V1, V1, V1], 6, ""),
            (stale, [stale] * 5, 6, ""),
            (stale, [stale] * 6, 6, "v1"),
            (stale, [*[stale] * 5, NOTHING], 6, ""),
            (stale, [*[stale] * 5, short], 6, ""),
            (unknown, [], 0, ""),
            (NOTHING, [], 0, ""),
        )
        for own, others, nodes, expected in cases:
            with self.subTest(own=own, others=others, nodes=nodes):
                self.assertEqual(sole_version(own, others, nodes), expected)
