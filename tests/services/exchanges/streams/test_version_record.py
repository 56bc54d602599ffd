"""The record of software versions, as another writer may leave it in the store."""

import unittest

import msgspec
import trio

from emulator.platform.store_model import ABSENT_REVISION
from hopstep.adapters import key_value_store_wire as wire
from hopstep.services.exchanges.directory.records import VERSIONS_KEY, decode_versions
from tests.services.exchanges.exchange_world import ExchangeWorld

ODD_RECORDS = (
    b"",
    b"{",
    b"[]",
    b'{"versions": ["v1"]}',
    b'{"versions": {"llm": ["v1"]}}',
    b'{"versions": {"llm": {"v1": {"era": "a", "revision": 1}}}}',
    b'{"stream_seconds": 0}',
    b'{"stream_seconds": -30}',
    b'{"stream_seconds": 1e300}',
    b'{"era": 1.5}',
)


class VersionRecordTest(unittest.TestCase):
    def test_an_odd_record_is_refused(self):
        # A node doubled a time of 0 without end.
        for value in ODD_RECORDS:
            with self.subTest(value=value), self.assertRaises(msgspec.DecodeError):
                decode_versions(value)

    def test_nodes_put_their_own_record_in_the_place_of_an_odd_one(self):
        # Nothing would outlast the nodes as long as it lies there.
        for value in ODD_RECORDS[1:]:
            with self.subTest(value=value):
                world = ExchangeWorld(3)
                write = wire.CompareAndSwap(VERSIONS_KEY, ABSENT_REVISION, value)
                world.shared.write_directly(write, 0.0)
                world.add("e0", "llm")
                stored = []

                async def script(world, stored=stored):
                    await trio.sleep(2.0)
                    found = world.shared.model.apply(wire.Get(VERSIONS_KEY), trio.current_time())
                    stored.append(decode_versions(found.value))

                world.run(script)
                self.assertEqual(list(stored[0].versions["llm"]), ["v1"])
