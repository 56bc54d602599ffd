"""Addresses that an entry may name: calls to each that is accepted fail as calls do."""

import json
import unittest

import trio

from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.store_position import StorePosition
from hopstep.platform import names
from hopstep.platform.directory import read_change
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.key_value_store import StoredValue
from hopstep.ports.serving_directory import InstanceListed, InstanceRejected

SCOPES = {
    "too long for a label": "a" * 64,
    "very long": "a" * 5_000,
    "outside of ASCII": "\u00e9",
    "with NUL": "a\0",
    "with a line break": "a\r\nX: y",
}
USUAL_SCOPES = ("eth0", "br-lan.7", "1")


def entry_with(address):
    """Return the change that an entry with an address is read as."""
    entry = {
        "service": "s",
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "callSequence": 0,
    }
    value = json.dumps(entry).encode()
    return read_change(StoredValue(names.INSTANCES_PREFIX + "i", value, StorePosition(0, 1)))


class UnusualAddressesTest(unittest.TestCase):
    def call(self, instance):
        async def main():
            client = HttpClient()
            instances = HttpInstances(client)
            found = await instances.report(instance), await instances.probe_connection(instance)
            await client.aclose()
            return found

        return trio.run(main)

    def test_a_scope_that_names_no_interface_ends_no_caller(self):
        # A report or a probe raised UnicodeError or ValueError, which no caller expects.
        for name, scope in SCOPES.items():
            with self.subTest(name):
                change = entry_with(f"[fe80::1%{scope}]:80")
                if isinstance(change, InstanceListed):
                    report, probe = self.call(change.instance)
                    self.assertIsNone(report)
                    self.assertIsInstance(probe, InstanceProbeResult)
                self.assertIsInstance(change, InstanceRejected)
                self.assertEqual(change.field, "address")

    def test_a_usual_scope_is_accepted(self):
        for scope in USUAL_SCOPES:
            with self.subTest(scope):
                change = entry_with(f"[fe80::1%{scope}]:80")
                self.assertEqual(change.instance.address, f"[fe80::1%{scope}]:80")


if __name__ == "__main__":
    unittest.main()
