"""Nodes of two versions in one fleet: the newer one applies hints of the earlier one."""

import json
import unittest

import structlog.testing

from hopstep.domain.exchanges.directory_change_log import LoggedChange
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.nodes import FORMAT_VERSION_WITH_ERAS, MESSAGE_FORMAT_VERSION
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition
from hopstep.ports.node_exchange import Hints, LoadingEngine, SegmentUpdate
from hopstep.ports.serving_directory import DirectoryEntry, RecordWritten
from hopstep.services.exchanges.directory.records import NODES_PREFIX
from hopstep.services.exchanges.streams.origin_holders import OriginHolders
from tests.services.exchanges.exchange_world import ExchangeWorld

SEGMENT = SegmentKey(7, 800)


class MixedVersionsTest(unittest.TestCase):
    def run_world(self, script):
        world = ExchangeWorld()
        world.add("e1", "llm", born_ms=5)
        world.run(script)

    def apply_hints(self, services, incarnation):
        """Apply hints on an engine from a relay of another version."""
        hints = Hints(
            (InstanceLoad(incarnation, 3, 400, 1),),
            (SegmentUpdate(incarnation, (SEGMENT,), 0),),
            (LoadingEngine(incarnation, 900),),
        )
        services.sharing.take_answer("n9", hints)
        services.sharing.refresh()

    def test_hints_that_name_no_start_are_of_the_listed_life(self):
        async def script(world):
            services = world.nodes[0]
            now = world.clock.current_time()
            view = services.knowledge.table.get("e1")
            self.apply_hints(services, "e1")
            self.assertEqual(view.total_active(now), 3)
            self.assertEqual(view.total_pending_tokens(now), 400)
            self.assertEqual(view.avoided_by(now), 1)
            self.assertGreater(view.loading_until, now)
            self.assertEqual(view.segments.cached_tokens((SEGMENT,)), 800)

        self.run_world(script)

    def test_hints_of_another_life_are_not(self):
        async def script(world):
            services = world.nodes[0]
            now = world.clock.current_time()
            view = services.knowledge.table.get("e1")
            self.apply_hints(services, "e1@4")
            self.assertEqual(view.total_active(now), 0)
            self.assertEqual(view.loading_until, 0.0)
            self.assertEqual(view.segments.cached_tokens((SEGMENT,)), 0)

        self.run_world(script)

    def test_nodes_that_know_no_origins_of_streams_get_no_messages_about_them(self):
        # They would reject each as malformed, and a record that they were to keep would be lost.
        async def script(world):
            knowledge = world.nodes[0].knowledge
            for name, form in (("n8", MESSAGE_FORMAT_VERSION), ("n9", FORMAT_VERSION_WITH_ERAS)):
                fields = {"address": "10.0.0.9:1", "zone": "z1", "key": "aw==", "form": form}
                position = StorePosition(UNSPECIFIED_ERA, 98)
                key = f"{NODES_PREFIX}{name}"
                written = RecordWritten(key, json.dumps(fields).encode(), position)
                entry = DirectoryEntry(key, position, written)
                knowledge.apply_entries([LoggedChange(key, position, entry, 0.0)], "n8")
            holders = OriginHolders(knowledge)
            self.assertEqual(holders.asked(b"key"), ["n8"])
            self.assertEqual(holders.keepers(b"key"), ["n8"])

        self.run_world(script)

    def test_nodes_with_other_forms_are_logged_as_they_come_and_go(self):
        async def script(world):
            knowledge = world.nodes[0].knowledge
            record = json.dumps({"address": "10.0.0.9:1", "zone": "z1", "key": "aw=="}).encode()
            with structlog.testing.capture_logs() as lines:
                for revision, value in ((98, record), (99, b"")):
                    position = StorePosition(UNSPECIFIED_ERA, revision)
                    written = RecordWritten(f"{NODES_PREFIX}n9", value, position)
                    entry = DirectoryEntry(written.key, position, written)
                    knowledge.apply_entries([LoggedChange(entry.key, position, entry, 0.0)], "n8")
            logged = [line for line in lines if line["event"] == "node_forms_changed"]
            own = knowledge.record.form
            self.assertEqual(own, MESSAGE_FORMAT_VERSION)
            self.assertEqual([line["nodes_by_form"].get("0") for line in logged], [1, None])

        self.run_world(script)
