"""A soak's store is restored from a backup, documents are rewritten, and regressions reported."""

import random
import unittest

import trio

from emulator.platform.shared_store import SharedStore
from emulator.soak.checks import check_all
from emulator.soak.history import History
from emulator.soak.operator_changes import RouteChange
from emulator.soak.promises import Bounds
from emulator.soak.recorder import DirectStore
from emulator.soak.request_records import RequestKind, SentRequest
from emulator.soak.restores import EXPIRY_SECONDS, REWRITING_SECONDS, Restores
from emulator.virtual_time import run_in_virtual_time

PATH = "/added1/"
ADDED = RouteChange(PATH, present=True, at=90.0)


class RestoresTest(unittest.TestCase):
    def run_script(self, script):
        async def main():
            shared = SharedStore()
            documents = DirectStore(shared)
            restores = Restores(shared, documents, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restores.take_backups)
                await trio.sleep(1.0)
                await script(shared, documents, restores)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def values(self, shared):
        return {key: item.value for key, item in shared.model.snapshot().items()}

    def test_what_was_written_since_the_copy_is_gone_and_written_again(self):
        async def script(shared, documents, restores):
            revision = shared.model.revision
            for number in range(5):
                documents.put_bytes("op/config", b"%d" % number)
            documents.put_bytes("servers/i1", b"i1")
            written = self.values(shared)
            await restores.restore_backup()
            self.assertEqual((shared.model.revision, shared.model.era), (revision, 2))
            self.assertEqual(self.values(shared), {})
            started_at = trio.current_time()
            await restores.rewrite_missing()
            self.assertLessEqual(trio.current_time() - started_at, REWRITING_SECONDS)
            self.assertEqual(self.values(shared), written)

        self.run_script(script)

    def test_entries_of_instances_that_have_ended_since_are_there_again_and_lapse(self):
        async def script(shared, documents, restores):
            documents.put_bytes("servers/i1", b"i1")
            await trio.sleep(10.0)
            documents.remove("servers/i1")
            await restores.restore_backup()
            self.assertIn("servers/i1", self.values(shared))
            started_at = trio.current_time()
            await restores.rewrite_missing()
            self.assertGreaterEqual(trio.current_time() - started_at, EXPIRY_SECONDS[0])
            self.assertNotIn("servers/i1", self.values(shared))

        self.run_script(script)

    def test_a_document_that_changes_meanwhile_is_not_written_as_it_was(self):
        async def script(shared, documents, restores):
            documents.put_bytes("op/config", b"1")
            await restores.restore_backup()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restores.rewrite_missing)
                await trio.sleep(0.0)
                documents.put_bytes("op/config", b"2")
            self.assertEqual(self.values(shared), {"op/config": b"2"})

        self.run_script(script)


class RegressCheckTest(unittest.TestCase):
    def probe(self, at, status, node="n0"):
        sent = SentRequest(f"p{at}", RequestKind.SAFE, "plain", "key", node, at, at + 4.0, 5)
        sent.path, sent.status, sent.ended_at, sent.whole = PATH, status, at + 0.05, True
        return sent

    def broken(self, probes, changes=(ADDED,)):
        seen = History(requests={probe.request_id: probe for probe in probes})
        seen.route_changes = list(changes)
        return "never goes back" in {v.promise for v in check_all(seen, Bounds())}

    def test_a_route_that_was_there_and_is_gone_again_without_a_change(self):
        for second, node, caught in (
            (101.0, "n0", True),
            (101.0, "n1", False),
            (100.2, "n0", False),
        ):
            probes = [self.probe(100.0, 200), self.probe(second, 404, node)]
            self.assertEqual(self.broken(probes), caught, (second, node))

    def test_a_change_between_the_probes_explains_it(self):
        changes = [RouteChange(PATH, True, 90.0), RouteChange(PATH, False, 100.5)]
        self.assertFalse(self.broken([self.probe(100.0, 200), self.probe(101.0, 404)], changes))
        probes = [self.probe(101.0, 404), self.probe(102.0, 200)]
        self.assertTrue(self.broken(probes, changes))
