"""Cluster keys are replaced one file at a time, while the routers gossip."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import structlog.testing
import trio
import trio.testing

from emulator.virtual_time import run_in_virtual_time
from hopstep.adapters.peer_keys import FilePeerKeys
from hopstep.adapters.watched_files import follow_files
from tests.services.test_membership import World

OLD, NEW = f"old:{bytes(range(32)).hex()}", f"new:{bytes(range(32, 64)).hex()}"
STEPS = ((OLD, NEW), (NEW, OLD), (NEW,))
ROUTERS = 4
GOSSIP_SECONDS = 15
"""Virtual time between two changes of files; longer than a suspicion lasts."""


class PeerKeyRotationTest(unittest.TestCase):
    def rotate(self, steps) -> tuple[list[dict], set[str]]:
        """Return the log lines since membership was complete, and the final signing keys' ids."""
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        paths = [directory / f"router-{number}" for number in range(ROUTERS)]
        logs = self.enterContext(structlog.testing.capture_logs())

        async def main() -> set[str]:
            async with trio.open_nursery() as nursery:
                world = World(nursery, loss=0.0)
                keys = []
                for number, path in enumerate(paths):
                    path.write_text(OLD)
                    keys.append(FilePeerKeys(path))
                    await world.start(number, keys=keys[-1])
                nursery.start_soon(follow_files, [each.watched for each in keys])
                await trio.sleep(GOSSIP_SECONDS)
                self.assertEqual(set(map(len, world.views().values())), {ROUTERS})
                logs.clear()
                for step in steps:
                    for path in paths:
                        path.write_text("\n".join(step))
                        await trio.sleep(GOSSIP_SECONDS)
                nursery.cancel_scope.cancel()
            return {each.signing()[0] for each in keys}

        signing = run_in_virtual_time(main)
        return logs, signing

    def test_no_member_is_lost_and_no_message_rejected(self) -> None:
        logs, signing = self.rotate(STEPS)
        self.assertEqual(signing, {"new"})
        numbers = [line["number"] for line in logs]
        self.assertEqual(numbers, ["HS1024"] * ROUTERS * len(STEPS))

    def test_signing_by_a_key_that_others_lack_loses_members(self) -> None:
        logs, _ = self.rotate(STEPS[1:])
        lost = [line for line in logs if line["event"] == "member_changed"]
        self.assertIn("dead", {line["state"] for line in lost})
        self.assertIn("HS5003", {line["number"] for line in logs})


if __name__ == "__main__":
    unittest.main()
