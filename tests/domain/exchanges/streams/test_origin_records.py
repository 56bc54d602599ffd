"""Records of origins: bounded, expiring, and of one tenant's route."""

import unittest

from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.domain.exchanges.streams.origin_records import (
    MAX_RECORDS,
    OriginRecord,
    OriginRecords,
    stream_key,
)


def record(key, began_at=0.0, keep_until=10.0, version="v1"):
    return OriginRecord(key, StreamOrigin("llm", version), began_at, keep_until)


class StreamKeyTest(unittest.TestCase):
    def test_another_tenant_or_route_gets_nothing_by_an_id(self):
        # The id is the client's word: with it alone one tenant could ask about another's streams.
        keys = {
            stream_key(tenant, route, request_id)
            for tenant in ("a", "b", "")
            for route in ("r", "s")
            for request_id in ("1", "2")
        }
        keys.add(stream_key("a", "r1", ""))
        keys.add(stream_key("ar", "", "1"))
        self.assertEqual(len(keys), 14)


class OriginRecordsTest(unittest.TestCase):
    def test_a_record_is_kept_until_its_client_gives_up(self):
        records = OriginRecords()
        records.put(record(b"a"), 0.0)
        self.assertIsNotNone(records.get(b"a", 9.9))
        self.assertIsNone(records.get(b"a", 10.0))
        self.assertEqual(list(records.of_service("llm", 10.0)), [])
        records.put(record(b"b", 10.0, 20.0), 10.0)
        self.assertEqual(len(records), 1)

    def test_a_late_copy_of_an_earlier_stream_with_the_id_changes_nothing(self):
        # Clients may use an id again, and datagrams overtake each other.
        records = OriginRecords()
        self.assertTrue(records.put(record(b"a", 5.0, version="v2"), 5.0))
        self.assertFalse(records.put(record(b"a", 1.0, version="v1"), 5.0))
        self.assertEqual(records.get(b"a", 6.0).origin.software_version, "v2")

    def test_their_number_is_bounded(self):
        records = OriginRecords()
        for number in range(MAX_RECORDS + 10):
            records.put(record(number.to_bytes(4, "big")), 0.0)
        self.assertEqual(len(records), MAX_RECORDS)
        self.assertIsNone(records.get((9).to_bytes(4, "big"), 1.0))
