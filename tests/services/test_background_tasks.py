"""What a node logs of a background task that fails."""

import unittest

import structlog.testing
import trio
import trio.testing

from hopstep.domain.stop_schedule import StopSchedule
from hopstep.exceptions import ServiceError
from hopstep.services.background_tasks import BackgroundTasks
from hopstep.services.lifecycle import Lifecycle


class Configured:
    current = object()


class Reader:
    async def run(self):
        raise ExceptionGroup("several", [ValueError("a secret"), KeyError("another")])


class BackgroundTasksTest(unittest.TestCase):
    def run_failing(self, request_seconds=0.5):
        """Run a task that fails while a request is active; return the lines of the log."""
        lifecycle = Lifecycle(Configured(), StopSchedule.within(8.0))
        self.answered = self.refused = False

        async def answer(task_status):
            with lifecycle.active():
                task_status.started()
                await trio.sleep(request_seconds)
                self.answered = True

        async def main():
            async with trio.open_nursery() as nursery:
                await nursery.start(answer)
                tasks = (Reader().run, trio.sleep_forever)
                nursery.start_soon(BackgroundTasks(lifecycle).run, tasks)
                await lifecycle.wait_stopping()
                with self.assertRaises(ServiceError):
                    lifecycle.check_serving(longest_seconds=0.0)
                self.refused = True
                await lifecycle.drain()
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines, self.assertRaises(ExceptionGroup):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [line for line in lines if line["event"] == "task_failed"]

    def test_a_failed_task_does_not_cut_active_requests(self):
        # The failure of any background task ended the process at once.
        self.run_failing()
        self.assertTrue(self.answered)

    def test_a_node_whose_task_has_failed_takes_no_new_request(self):
        # It judged new requests by what it had known at the failure, for seconds.
        self.run_failing()
        self.assertTrue(self.refused)

    def test_a_failed_task_is_logged_with_the_requests_that_are_active(self):
        lines = self.run_failing()
        self.assertEqual([line["error_type"] for line in lines], ["ValueError", "KeyError"])
        self.assertEqual({line["task"] for line in lines}, {"Reader"})
        self.assertEqual({line["active_requests"] for line in lines}, {1})

    def test_the_text_of_an_error_is_not_logged(self):
        # It may quote a request.
        self.assertNotIn("secret", str(self.run_failing()))

    def test_a_fault_on_which_no_request_depends_refuses_none(self):
        # A fault in ending a lease during a planned stop had all new requests refused.
        lifecycle = Lifecycle(Configured(), StopSchedule.within(8.0))
        tasks = BackgroundTasks(lifecycle)
        served = []

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(tasks.run, (trio.sleep_forever,))
                lifecycle.stop()
                await tasks.run_to_end(Reader().run)
                lifecycle.check_serving(longest_seconds=0.1)
                served.append(True)
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines, self.assertRaises(ExceptionGroup) as raised:
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(served, [True])
        self.assertIn("task_failed", [line["event"] for line in lines])
        self.assertIsNotNone(raised.exception.subgroup(KeyError), "the process ends with 0")


if __name__ == "__main__":
    unittest.main()
