"""``trace`` finds the cause of failed requests in the node's own log lines."""

import json
import tempfile
import unittest
from pathlib import Path

import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.ctl.results import ExitCode
from hopstep.ctl.trace import trace_request
from hopstep.exceptions import ValidationError
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import ExchangeWorld, configuration

EPOCH = "2026-01-01T00:00:"


class TraceTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "log"
        self.lines = []

    def record_line(self, _logger, _method, line):
        seconds = trio.current_time() % 60
        self.lines.append({**line, "node": "n0", "timestamp": f"{EPOCH}{seconds:09.6f}+00:00"})
        raise structlog.DropEvent

    def record_log(self, script):
        world = ExchangeWorld()
        world.add("p0")
        world.add("e0", "llm")
        before = structlog.get_config()
        structlog.configure(processors=[self.record_line])
        try:
            world.run(script)
        finally:
            structlog.configure(**before)
        text = "\n".join(f"12.5 n0 {json.dumps(line, default=str)}" for line in self.lines)
        self.path.write_text(text)

    def trace(self, request_id="r"):
        return trace_request(request_id, [self.path])

    def test_a_refused_request_leads_to_the_lost_store(self):
        async def script(world):
            world.directories[0].down = True
            await trio.sleep(6.5)
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        result = self.trace()
        self.assertIn("isolated", result.document.cause)
        self.assertIn("lost the store at", result.document.cause)
        self.assertTrue(any("store_lost" in line for line in result.document.lines))

    def test_a_request_after_a_restore_shows_by_which_era_it_was_decided(self):
        async def script(world):
            backup = world.shared.model.backup()
            world.publish(ConfigurationPublished(configuration(2)))
            await trio.sleep(2.0)
            world.shared.restore(backup)
            await trio.sleep(3.0)
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        document = self.trace().document
        self.assertIn("the store up to era 1 revision", document.known)
        self.assertIn("configuration 2 of era 0 revision", document.known)
        self.assertIn("p0 of era 0 revision", document.known)
        restored = next(line for line in document.lines if "store_era_changed" in line)
        self.assertIn("'configuration': 1", restored)
        self.assertIn("previous=0", restored)

    def test_a_quarantined_request_leads_to_the_ends_of_instances(self):
        async def script(world):
            world.instances.fatal_bodies.add(b"fatal")
            for number in range(1, 4):
                world.add(f"p{number}")
                await trio.sleep(1.0)
                await world.request("unsafe", body=b"fatal")
            await trio.sleep(0.1)
            await world.request("unsafe", body=b"fatal", request_id="r")

        self.record_log(script)
        cause = self.trace().document.cause
        self.assertIn("refused, not run: instances have ended under it", cause)
        self.assertEqual(cause.count("seen by n0"), 3)

    def test_a_request_that_avoids_an_instance_shows_its_notice(self):
        async def script(world):
            world.add("p1")
            await trio.sleep(1.0)
            world.instances.servers["p0"].announces_leaving = True
            for _request in range(20):
                await world.request("unsafe")
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        result = self.trace()
        self.assertIn("answered 200 by p1", result.document.cause)
        [line] = [line for line in result.document.lines if "instance_says_leaving" in line]
        self.assertIn("instance=p0", line)
        self.assertIn("source=answer", line)

    def test_a_request_refused_as_all_instances_back_off_shows_their_notices(self):
        async def script(world):
            world.instances.servers["p0"].requested_backoff_seconds = 2.0
            await world.request("unsafe")
            await trio.sleep(0.1)
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        result = self.trace()
        self.assertIn("overloaded, not run", result.document.cause)
        self.assertIn("all instances of plain rest, for", result.document.cause)
        self.assertTrue(any("rest_ms=2000" in line for line in result.document.lines))

    def test_a_request_refused_for_a_limit_shows_what_kept_it(self):
        async def script(world):
            world.instances.servers["p0"].announced_limit = 0.0
            await world.request("unsafe")
            await trio.sleep(0.1)
            for _request in range(8):
                await world.request("unsafe")
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        result = self.trace()
        self.assertIn("kept from instances: 1 limited", result.document.cause)
        self.assertTrue(any("instance_limit_changed" in line for line in result.document.lines))

    def test_an_unresponsive_store_is_named_with_the_first_refusal(self):
        async def script(world):
            world.directories[0].unresponsive = True
            await trio.sleep(5.5)
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        self.assertIn("lost the store at", self.trace().document.cause)

    def test_a_cut_stream_leads_to_its_instance(self):
        async def script(world):
            world.instances.servers["e0"].behaviour = Behaviour.BREAK_STREAM
            await world.request("stream", request_id="r")

        self.record_log(script)
        cause = self.trace().document.cause
        self.assertIn("cut off", cause)
        self.assertIn("e0: broke off", cause)

    def test_an_unknown_outcome_leads_to_the_lost_answer(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.LOSE_ANSWER
            await world.request("unsafe", request_id="r")

        self.record_log(script)
        cause = self.trace().document.cause
        self.assertIn("may have run", cause)
        self.assertIn("p0: broke off", cause)

    def test_a_late_answer_shows_its_times(self):
        async def script(world):
            world.instances.servers["e0"].event_seconds = 0.5
            await world.request("stream", request_id="r", patience=5.0)

        self.record_log(script)
        self.assertRegex(self.trace().document.cause, r"answered 200 by e0.*pause 5\d\d ms")

    def test_a_resumed_stream_shows_the_lines_of_all_its_requests(self):
        async def script(world):
            world.instances.servers["e0"].behaviour = Behaviour.BREAK_STREAM
            await world.request("resumable", request_id="first")
            world.instances.servers["e0"].behaviour = Behaviour.SERVE
            await trio.sleep(1.0)
            await world.request("resumable", request_id="r", resumes="first", resume_after="1")

        self.record_log(script)
        for request_id in ("r", "first"):
            lines = " ".join(self.trace(request_id).document.lines)
            other = "first" if request_id == "r" else "r"
            self.assertIn(f"request_id={other}", lines)
            self.assertIn("stream_resumed", lines)
        self.assertIn("stream of first at software version v1", self.trace().document.cause)

    def test_a_refused_resume_says_who_was_asked(self):
        async def script(world):
            world.add("e1", "llm", software_version="v2")
            await trio.sleep(0.5)
            await world.request("resumable", request_id="r", resumes="first", resume_after="1")

        self.record_log(script)
        cause = self.trace().document.cause
        self.assertIn("stream_not_resumable, not run", cause)
        self.assertIn("no node knew the stream of first; 0 of 0 nodes answered", cause)

    def test_unknown_ids_and_unreadable_logs_are_reported(self):
        self.path.write_text('no json\n{"event": "x"}\n')
        self.assertIs(self.trace("none").exit_code, ExitCode.REJECTED)
        with self.assertRaises(ValidationError):
            trace_request("r", [self.path.parent / "missing"])
