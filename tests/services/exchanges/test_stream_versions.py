"""A stream goes on at the software version that began it, within an answer and over its tries."""

import unittest

import structlog

from emulator.exchange_platform.instances import Behaviour
from tests.services.exchanges.exchange_world import ExchangeWorld


class LogsTest(unittest.TestCase):
    def test_logs_name_software_versions_and_the_resumed_request(self):
        # A node's log didn't tell a client's resume from a new stream, nor the versions apart.
        world = ExchangeWorld()
        server = world.add("a", "llm", software_version="v1")

        async def script(world):
            server.behaviour = Behaviour.BREAK_STREAM
            await world.request("resumable", request_id="r1")
            server.behaviour = Behaviour.SERVE
            await world.request("resumable", request_id="r2", resumes="r1", resume_after="1")

        with structlog.testing.capture_logs() as lines:
            world.run(script)
        listed = [line for line in lines if line["event"] == "instance_listed"]
        self.assertEqual([line["software_version"] for line in listed], ["v1"])
        failed = [line for line in lines if line["event"] == "exchange_attempt_failed"]
        self.assertEqual([line["software_version"] for line in failed], ["v1"])
        ended = [line for line in lines if line["event"] == "exchange_ended"]
        fields = ("request_id", "software_version", "resumes", "resume_after")
        told = [tuple(line[name] for name in fields) for line in ended]
        self.assertEqual(told, [("r1", "v1", "", ""), ("r2", "v1", "r1", "1")])
