"""The log line of a request says when it was sent, by how old a view, and how late the loop was."""

import time
import unittest

import structlog
import trio

from tests.services.exchanges.exchange_world import ExchangeWorld


class LoggedSendingTest(unittest.TestCase):
    def ended(self, script):
        """Run a script, and return the log line of the last request that has ended."""
        with structlog.testing.capture_logs() as lines:
            world = ExchangeWorld(2)
            world.add("p0")
            world.run(script)
        return [line for line in lines if line["number"] == "HS3101"][-1]

    def test_the_line_has_the_time_of_sending_and_the_age_of_the_view(self):
        async def script(world):
            await world.request("safe")

        line = self.ended(script)
        self.assertLessEqual(0, line["sent_ms"])
        self.assertLessEqual(line["sent_ms"], line["first_byte_ms"])
        self.assertLess(line["view_age_ms"], 2_500)
        self.assertGreaterEqual(line["view_age_ms"], 0)
        self.assertEqual(line["loop_delay_ms"], 0)

    def test_a_request_that_was_not_sent_has_neither(self):
        async def script(world):
            for view in world.nodes[0].knowledge.table:
                view.replaced = True
            await world.request("safe")

        line = self.ended(script)
        self.assertEqual((line["sent_ms"], line["view_age_ms"]), (-1, -1))


class LateLoopTest(unittest.TestCase):
    def test_a_step_that_takes_long_is_seen_as_a_delay_of_the_loop(self):
        async def main():
            from hopstep.services.exchanges.pause_watch import PauseWatch

            pauses = PauseWatch()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pauses.run)
                await trio.sleep(0.05)
                started_at = trio.current_time()
                time.sleep(0.4)  # noqa: ASYNC251 - the loop is to be late
                self.assertGreater(pauses.longest_delay_since(started_at), 0.1)
                await trio.sleep(0.1)
                self.assertGreater(pauses.longest_delay_since(started_at), 0.1)
                nursery.cancel_scope.cancel()

        trio.run(main)
