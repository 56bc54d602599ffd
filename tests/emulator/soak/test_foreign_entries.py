"""No invalid entry that the soak writes leads to an instance that is used."""

import json
import random
import unittest

import msgspec

from emulator.soak.foreign_entries import foreign_entry, unreadable_entry, valid_document
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition
from hopstep.platform.directory import read_change
from hopstep.ports.key_value_store import StoredValue
from hopstep.ports.serving_directory import InstanceListed, InstanceRejected, RejectReason

DECOY = "127.0.0.1:9"


class ForeignEntriesTest(unittest.TestCase):
    def test_all_of_them_are_rejected(self):
        generator = random.Random(1)
        reasons = set()
        for _ in range(2_000):
            value = foreign_entry(generator, "plain", "z1", DECOY)
            change = read_change(
                StoredValue("servers/foreign-1", value, StorePosition(UNSPECIFIED_ERA, 7))
            )
            if isinstance(change, InstanceListed):
                # Without a start it isn't used while other instances have one (see next test).
                self.assertEqual(change.instance.born_ms, 0, value)
                continue
            self.assertIsInstance(change, InstanceRejected, value)
            reasons.add((change.reason, change.field))
        self.assertGreater(len(reasons), 10)

    def test_one_without_a_start_is_not_used_beside_others(self):
        entry = json.dumps(valid_document("plain", "z1", DECOY)).encode()
        with_start = read_change(
            StoredValue("servers/i-1", entry, StorePosition(UNSPECIFIED_ERA, 7))
        ).instance
        table = InstanceTable()
        table.put(with_start)
        table.put(msgspec.structs.replace(with_start, instance_id="foreign-1", born_ms=0))
        usable = [view.instance.instance_id for view in table.of_service("plain")]
        self.assertEqual(usable, ["i-1"])

    def test_all_that_cannot_be_read_are_rejected(self):
        generator = random.Random(3)
        reasons = set()
        for _ in range(100):
            value = unreadable_entry(generator, "plain", "z1", DECOY)
            change = read_change(
                StoredValue("servers/foreign-1", value, StorePosition(UNSPECIFIED_ERA, 7))
            )
            self.assertIsInstance(change, InstanceRejected, value[:100])
            self.assertNotEqual(change.reason, RejectReason.UNEXPECTED)
            reasons.add((change.reason, change.field))
        self.assertGreater(len(reasons), 2)

    def test_most_lead_to_the_decoy(self):
        generator = random.Random(2)
        leading = 0
        for _ in range(500):
            value = foreign_entry(generator, "plain", "z1", DECOY)
            leading += DECOY.encode() in value and isinstance(json.loads(value), dict)
        self.assertGreater(leading, 250)


if __name__ == "__main__":
    unittest.main()
