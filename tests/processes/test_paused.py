"""Engines and routers that are paused by SIGSTOP during streams, and resumed."""

from __future__ import annotations

import signal
import unittest

import trio

from emulator.load.messages import LoadResult, Outcome
from tests.processes.harness import SmallFleet, small_fleet
from tests.processes.test_planned_stop import LONG_OUTPUT_TOKENS, run_bounded, wait_active

STREAMS = 4
PAUSE_SECONDS = 1.5


async def stream_through_pauses(small: SmallFleet, process: str) -> list[LoadResult]:
    """Return the results of streams during which a process was paused twice."""
    results: list[LoadResult] = []

    async def stream() -> None:
        results.append(await small.client.send(small.router, small.request(LONG_OUTPUT_TOKENS)))

    async with trio.open_nursery() as nursery:
        for _ in range(STREAMS):
            nursery.start_soon(stream)
        await wait_active(small, STREAMS)
        for _ in range(2):
            small.group.signal(process, signal.SIGSTOP)
            await trio.sleep(PAUSE_SECONDS)
            small.group.signal(process, signal.SIGCONT)
            await trio.sleep(PAUSE_SECONDS / 10)
    return results


class PausedProcessTest(unittest.TestCase):
    def check_streams(self, name: str) -> None:
        async def check() -> None:
            async with small_fleet() as small:
                process = small.fleet.process_name(name)
                results = await stream_through_pauses(small, process)
                outcomes = [each.outcome for each in results]
                self.assertEqual(outcomes, [Outcome.COMPLETE] * STREAMS)
                self.assertIs((await small.send(4)).outcome, Outcome.COMPLETE)

        run_bounded(check)

    def test_streams_go_on_after_a_pause_of_their_engine(self) -> None:
        self.check_streams("engine")

    def test_streams_go_on_after_a_pause_of_their_router(self) -> None:
        self.check_streams("router")


if __name__ == "__main__":
    unittest.main()
