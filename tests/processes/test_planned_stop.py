"""Planned stops and kills of a router process during streams."""

from __future__ import annotations

import signal
import subprocess
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import httpx
import trio

from emulator.fleet import fleet
from emulator.load.messages import LoadResult, Outcome
from tests.processes.harness import TEST_TIMEOUT_SECONDS, SmallFleet, small_fleet

STREAMS = 6
LONG_OUTPUT_TOKENS = 240
"""Tokens of an answer that takes longer than closing connections after the drain."""
EXIT_POLLS = 400
POLL_SECONDS = 0.05


async def wait_active(small: SmallFleet, count: int) -> None:
    """Wait until a number of requests is active at the router."""
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            status = (await client.get(f"http://{small.router}/operator/status")).json()
            if status["active_requests"] >= count:
                return
            await trio.sleep(POLL_SECONDS)


async def wait_exit(process: subprocess.Popen[bytes]) -> int | None:
    """Wait for a process to exit by itself and return its exit code."""
    for _ in range(EXIT_POLLS):
        if process.poll() is not None:
            break
        await trio.sleep(POLL_SECONDS)
    return process.returncode


def run_bounded(check: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test with a time limit."""

    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await check()

    trio.run(main)


class PlannedStopTest(unittest.TestCase):
    def test_cuts_off_no_stream_and_refuses_new_requests(self) -> None:
        async def check() -> None:
            async with small_fleet() as small:
                await self._check_stop(small, (signal.SIGTERM, signal.SIGTERM), exit_code=0)

        run_bounded(check)

    async def _check_stop(
        self, small: SmallFleet, signals: tuple[signal.Signals, ...], exit_code: int
    ) -> None:
        """Check that signals during streams cut none, and that new requests are refused."""
        results: list[LoadResult] = []
        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(small.collect, results, LONG_OUTPUT_TOKENS)
            await wait_active(small, STREAMS)
            for number in signals:
                small.group.signal(small.router_process, number)
            refused = await self._send_until_refused(small)
        self.assertEqual([each.outcome for each in results], [Outcome.COMPLETE] * STREAMS)
        self.assertEqual((refused.code, refused.execution), ("stopping", "not_run"))
        process = small.group.process(small.router_process)
        self.assertEqual(await wait_exit(process), exit_code)

    async def _send_until_refused(self, small: SmallFleet) -> LoadResult:
        """Send short requests until the stop has reached the process."""
        while True:
            result = await small.client.send(small.router, small.request(1))
            if result.outcome is not Outcome.COMPLETE:
                return result

    def test_a_membership_that_fails_cuts_no_stream(self) -> None:
        # The failure of a task that exchanges messages with other routers ended the process.
        async def check() -> None:
            async with small_fleet() as small:
                await self._check_stop(small, (signal.SIGUSR1,), exit_code=1)
                self.assertIn("task_failed", small.group.log_path(small.router_process).read_text())

        with mock.patch.object(fleet, "ROUTER_MODULE", "tests.processes.failing_router"):
            run_bounded(check)

    def test_idle_connections_do_not_hold_the_process(self) -> None:
        async def check() -> None:
            async with small_fleet() as small, httpx.AsyncClient(trust_env=False) as idle:
                await idle.get(f"http://{small.router}/livez")
                small.group.signal(small.router_process, signal.SIGTERM)
                process = small.group.process(small.router_process)
                self.assertEqual(await wait_exit(process), 0)

        run_bounded(check)


class KilledRouterTest(unittest.TestCase):
    def test_serves_again_after_a_restart(self) -> None:
        async def check() -> None:
            async with small_fleet() as small:
                self.assertIs((await small.send(4)).outcome, Outcome.COMPLETE)
                process = small.group.process(small.router_process)
                small.group.signal(small.router_process, signal.SIGKILL)
                process.wait()
                refused = await small.client.send(small.router, small.request(4))
                self.assertIs(refused.outcome, Outcome.UNREACHABLE)
                small.fleet.start_back_end(small.fleet.back_end("router"))
                await small.group.wait_listening(small.router_process, small.router)
                self.assertIs((await small.send(4)).outcome, Outcome.COMPLETE)

        run_bounded(check)


if __name__ == "__main__":
    unittest.main()
