"""Documents of other writers that are large, or hold numbers that can't be meant, are rejected."""

import json
import time
import unittest

from hopstep.domain.store_position import StorePosition
from hopstep.platform import names
from hopstep.platform.directory import read_change
from hopstep.platform.documents import MAX_ENTRY_BYTES, MAX_MODELS
from hopstep.ports.key_value_store import StoredValue
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    InstanceListed,
    InstanceRejected,
    RejectReason,
    Unreadable,
    WeightsPublished,
)

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "callSequence": 0,
}
MANY_MODELS = 100_000
LONGEST_STEP_SECONDS = 0.010
HUGE = 10**400
"""Larger than any floating-point number."""


def read(key, document):
    value = json.dumps(document).encode()
    return read_change(StoredValue(key, value, StorePosition(0, 1)))


def models(count, name=""):
    return [{"name": f"{name}{number}", "version": 1} for number in range(count)]


class LargeDocumentsTest(unittest.TestCase):
    def read_entry(self, **changes):
        return read(names.INSTANCES_PREFIX + "i", {**ENTRY, **changes})

    def test_an_entry_with_too_many_models_names_the_field(self):
        change = self.read_entry(models=models(MAX_MODELS + 1))
        self.assertIsInstance(change, InstanceRejected)
        self.assertEqual((change.reason, change.field), (RejectReason.FIELD_VALUE, "models"))

    def test_an_entry_with_as_many_models_as_allowed_is_listed(self):
        change = self.read_entry(models=models(MAX_MODELS, "m" * 195))
        self.assertIsInstance(change, InstanceListed)
        self.assertEqual(len(change.instance.versions), MAX_MODELS)

    def test_a_large_entry_does_not_stop_the_loop(self):
        # 100,000 models took some 50 ms to decode, in which no other task ran.
        for name, changes in {
            "models": {"models": models(MANY_MODELS)},
            "address": {"address": "1." * (MAX_ENTRY_BYTES * 8)},
            "version": {"version": "v" * (MAX_ENTRY_BYTES * 16)},
        }.items():
            value = json.dumps({**ENTRY, **changes}).encode()
            stored = StoredValue(names.INSTANCES_PREFIX + "i", value, StorePosition(0, 1))
            with self.subTest(name):
                began_at = time.thread_time()
                change = read_change(stored)
                self.assertLess(time.thread_time() - began_at, LONGEST_STEP_SECONDS)
                self.assertIsInstance(change, InstanceRejected)
                self.assertIn(str(MAX_ENTRY_BYTES), change.detail)

    def test_a_number_that_no_clock_holds_is_rejected(self):
        # Such numbers were accepted, and raised OverflowError where they were used.
        route = {"name": "r", "hostname": "h", "pathPrefix": "/"}
        services = [{"name": "s", "connectionLimit": HUGE}]
        for name, key, document in (
            ("version", names.CONFIGURATION_KEY, {"version": HUGE}),
            ("limit", names.CONFIGURATION_KEY, {"version": 1, "services": services}),
            (
                "attempts",
                names.CONFIGURATION_KEY,
                {"version": 1, "routes": [{**route, "maxAttempts": HUGE}]},
            ),
            ("body", names.CONFIGURATION_KEY, {"version": 1, "limits": {"maxBodyBytes": HUGE}}),
            ("weights", names.WEIGHTS_PREFIX + "m", {"model": "m", "version": HUGE}),
            ("model", names.WEIGHTS_PREFIX + "m", {"model": "m" * 201, "version": 1}),
        ):
            with self.subTest(name):
                self.assertIsInstance(read(key, document), Unreadable)

    def test_usual_documents_are_read(self):
        configuration = read(names.CONFIGURATION_KEY, {"version": 2**53})
        self.assertIsInstance(configuration, ConfigurationPublished)
        weights = read(names.WEIGHTS_PREFIX + "m", {"model": "m", "version": 2**53})
        self.assertIsInstance(weights, WeightsPublished)


if __name__ == "__main__":
    unittest.main()
