"""No entry of the soak's other writer names an instance, and only what is wrong makes it so."""

import json
import random
import unittest

from emulator.soak.foreign_entries import foreign_entry
from hopstep.platform.directory import read_change
from hopstep.ports.key_value_store import StoredValue
from hopstep.ports.serving_directory import InstanceRejected

DECOY = "127.0.0.1:9"


class ForeignEntriesTest(unittest.TestCase):
    def test_all_of_them_are_rejected(self):
        generator = random.Random(1)
        reasons = set()
        for _ in range(2_000):
            value = foreign_entry(generator, "plain", "z1", DECOY)
            change = read_change(StoredValue("servers/foreign-1", value, 7))
            self.assertIsInstance(change, InstanceRejected, value)
            reasons.add((change.reason, change.field))
        self.assertGreater(len(reasons), 10)

    def test_most_lead_to_the_decoy(self):
        generator = random.Random(2)
        leading = 0
        for _ in range(500):
            value = foreign_entry(generator, "plain", "z1", DECOY)
            leading += DECOY.encode() in value and isinstance(json.loads(value), dict)
        self.assertGreater(leading, 250)


if __name__ == "__main__":
    unittest.main()
