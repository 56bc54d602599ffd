"""Entries of the largest size that the store takes stop no node from following it."""

import contextlib
import json
import signal
import unittest

import httpx
import trio

from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT
from tests.processes.test_exchange_node import CONFIGURATION, NodeProcessCase

VALUE_BYTES = 1 << 20
"""Longest value that the store takes."""

ENTRIES = 16
"""As base64 text they have 22 MB: more than one answer of the store may have."""

FOLLOWED_SECONDS = 10.0
CONFIGURATION_KEY = "op/config"
SERVED = 200


class LargestEntriesTest(NodeProcessCase):
    async def leave_entries(self, count, name="large"):
        for number in range(count):
            key = f"servers/{name}{number}"
            value = b"\xff" * VALUE_BYTES
            await self.shared.execute(wire.CompareAndSwap(key, ABSENT.revision, value))

    async def publish_version(self, version):
        """Publish a configuration with a key that names its version."""
        known = await self.shared.execute(wire.Get(CONFIGURATION_KEY))
        tenants = [{"name": "t", "apiKeys": [f"key-{version}"]}]
        document = {**CONFIGURATION, "version": version, "tenants": tenants}
        value = json.dumps(document).encode()
        await self.shared.execute(wire.CompareAndSwap(CONFIGURATION_KEY, known.version, value))

    async def is_served(self, client, url, version):
        with trio.move_on_after(FOLLOWED_SECONDS):
            while True:
                with contextlib.suppress(httpx.TransportError):
                    response = await self.request(client, url, key=f"key-{version}")
                    if response.status_code == SERVED:
                        return True
                await trio.sleep(0.1)
        return False

    def test_a_node_follows_the_store_beside_the_largest_entries(self):
        # Their changes exceed one answer: the node asked for them again and again.
        async def script(client, url, process, _instances):
            for version, count in ((2, 1), (3, ENTRIES)):
                if count > 1:
                    process.send_signal(signal.SIGSTOP)
                await self.leave_entries(count, f"large{version}-")
                await self.publish_version(version)
                process.send_signal(signal.SIGCONT)
                self.assertTrue(await self.is_served(client, url, version), count)

        self.run_node(script)

    def test_a_node_starts_beside_the_largest_entries(self):
        async def script(client, url, process, _instances):
            process.kill()
            process.wait()
            await self.leave_entries(ENTRIES)
            await self.publish_version(2)
            self.start()
            self.assertTrue(await self.is_served(client, url, 2))

        self.run_node(script)


if __name__ == "__main__":
    unittest.main()
