"""Records under hopstep's own keys that another build or writer left end no node."""

import base64
import contextlib
import json
import unittest
from unittest import mock

import structlog.testing
import trio
from prometheus_client import generate_latest

from hopstep.adapters import key_value_store_wire as wire
from hopstep.services.exchanges.directory import known_nodes
from hopstep.services.exchanges.directory.records import NODES_PREFIX, STREAMS_PREFIX
from hopstep.services.quarantine import records as quarantine_records
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX
from tests.services.exchanges.exchange_world import ExchangeWorld

PROPAGATION_SECONDS = 3.0
NODES = 3
DIGITS = 400
"""More than the digits of the largest floating-point number."""

ORIGIN = ["a2V5", "s", "v", "i", 0, 0]


def origin(position, value):
    """Return the record of one stream's origin with a number replaced."""
    fields = [*ORIGIN]
    fields[position] = value
    return json.dumps([fields]).encode()


UNREADABLE_ORIGINS = {
    STREAMS_PREFIX + "x/1": origin(4, int("9" * DIGITS)),
    STREAMS_PREFIX + "x/2": origin(5, int("9" * DIGITS)),
}

NODE = {"address": "127.0.0.1:999", "zone": "z1", "key": "a2V5", "capacity": 64.0, "form": 5}
"""Has more cores than the nodes of the test, so that they ask it as a relay."""

UNUSABLE_NODES = {
    "a port out of range": {**NODE, "address": "127.0.0.1:70000"},
    "a port of many digits": {**NODE, "address": "127.0.0.1:" + "9" * 5_000},
    "no port": {**NODE, "address": "127.0.0.1"},
    "a host that is no address": {**NODE, "address": "\u00e9..:1"},
    "a key that signs nothing": {**NODE, "key": base64.b64encode(b"k" * 65).decode()},
    "a key without bytes": {**NODE, "key": ""},
}


class UnreadableRecordsTest(unittest.TestCase):
    def leave(self, world, key, value):
        world.shared.write_directly(wire.CompareAndSwap(key, 0, value), world._now)

    def run_beside(self, records, *, before_start=False):
        """Run nodes beside records; return the lines of rejected ones, and the nodes' metrics."""
        found = []

        async def script(world):
            for key, value in records.items() if not before_start else ():
                self.leave(world, key, value)
            world.add("late")
            await trio.sleep(PROPAGATION_SECONDS)
            for node in world.nodes:
                self.assertIsNotNone(node.knowledge.table.get("late"))
                self.assertEqual(node.knowledge.count_nodes(), NODES)
            found.extend(generate_latest(node.registry).decode() for node in world.nodes)

        world = ExchangeWorld(NODES)
        world.add("i0")
        for key, value in records.items() if before_start else ():
            self.leave(world, key, value)
        with structlog.testing.capture_logs() as lines:
            world.run(script)
        rejected = [line for line in lines if line["event"] == "directory_entry_rejected"]
        return rejected, found

    def test_a_number_that_no_clock_holds_ends_no_node(self):
        # An age of 400 digits raised OverflowError, which ended every node that read the record.
        for before_start in (False, True):
            with self.subTest(before_start=before_start):
                rejected, metrics = self.run_beside(UNREADABLE_ORIGINS, before_start=before_start)
                keys = {line["key"] for line in rejected}
                self.assertEqual(keys, UNREADABLE_ORIGINS.keys())
                self.assertEqual({line["reason"] for line in rejected}, {"unreadable"})
                counted = 'hopstep_rejected_entries_total{reason="unreadable"} 2.0'
                # Nodes don't pass these keys on, so only those that read the store have them.
                self.assertTrue(any(counted in text for text in metrics))

    def test_a_reader_that_raises_an_undeclared_error_ends_no_node(self):
        # Such an error ended the task that reads the store, and so the process.
        def overflow(_value):
            raise OverflowError("too large")

        records = {NODES_PREFIX + "x": json.dumps(NODE).encode()}
        for before_start in (False, True):
            real = known_nodes.decode_node

            def decode(value, real=real):
                return overflow(value) if b"127.0.0.1:999" in value else real(value)

            rejected_records = mock.patch.object(known_nodes, "decode_node", decode)
            with self.subTest(before_start=before_start), rejected_records:
                rejected, metrics = self.run_beside(records, before_start=before_start)
                self.assertEqual({line["key"] for line in rejected}, records.keys())
                self.assertEqual({line["reason"] for line in rejected}, {"unexpected"})
                self.assertIn("OverflowError at overflow", rejected[0]["detail"])
                counted = 'hopstep_rejected_entries_total{reason="unexpected"} 1.0'
                self.assertTrue(any(counted in text for text in metrics))

    def test_a_record_of_a_request_that_cannot_be_read_is_counted(self):
        # It was logged, but not counted; an undeclared error ended the router that read it.
        records = {
            QUARANTINE_PREFIX + "00": b'{"trials": "1"}',
            QUARANTINE_PREFIX + "not hexadecimal": b"{}",
        }
        undeclared = mock.patch.object(quarantine_records, "read_stored", side_effect=OverflowError)
        for reason, counts, faulty in (
            ("unreadable", 2, contextlib.nullcontext()),
            ("unexpected", 1, undeclared),
        ):
            with self.subTest(reason), faulty:
                rejected, metrics = self.run_beside(records)
                self.assertEqual({line["key"] for line in rejected}, records.keys())
                counted = f'hopstep_rejected_entries_total{{reason="{reason}"}} {counts}.0'
                self.assertTrue(any(counted in text for text in metrics))

    def test_a_record_of_a_node_that_cannot_be_sent_to_or_verified_names_no_node(self):
        # Sending to it, or verifying a message in its name, raised ValueError or OverflowError.
        records = {
            f"{NODES_PREFIX}x{number}": json.dumps(record).encode()
            for number, record in enumerate(UNUSABLE_NODES.values())
        }
        for before_start in (False, True):
            with self.subTest(before_start=before_start):
                rejected, _metrics = self.run_beside(records, before_start=before_start)
                self.assertEqual({line["key"] for line in rejected}, records.keys())
                self.assertEqual({line["reason"] for line in rejected}, {"unreadable"})


if __name__ == "__main__":
    unittest.main()
