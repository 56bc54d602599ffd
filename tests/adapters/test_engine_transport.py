"""Paced reads: the first reads of an answer aren't delayed, later ones are; nothing is lost."""

from __future__ import annotations

import unittest

import httpcore
import httpx
import trio
import trio.testing

from emulator.virtual_time import run_in_virtual_time, virtual_clock
from hopstep.adapters.engine_transport import UNPACED_READS, EngineTransport, PacedStream
from hopstep.adapters.pacing import (
    COST_PER_READ_SECONDS,
    MAX_INTERVAL_SECONDS,
    TARGET_UTILIZATION,
    Pacer,
)

PAUSE_SECONDS = 0.2


class PacedStreamTest(unittest.TestCase):
    def test_only_later_reads_wait(self) -> None:
        async def check() -> None:
            chunks = [b"headers", b"first", b"second", b"third"]
            stream = PacedStream(httpcore.AsyncMockStream(list(chunks)), lambda: PAUSE_SECONDS)
            await stream.write(b"request")
            for number, chunk in enumerate(chunks, start=1):
                before = trio.current_time()
                self.assertEqual(await stream.read(100), chunk)
                waited = trio.current_time() - before
                self.assertAlmostEqual(waited, PAUSE_SECONDS if number > UNPACED_READS else 0.0)

        run_in_virtual_time(check)

    def test_a_request_resets_the_count(self) -> None:
        async def check() -> None:
            mock = httpcore.AsyncMockStream([b"1", b"2", b"3", b"4"])
            stream = PacedStream(mock, lambda: PAUSE_SECONDS)
            for _ in range(2):
                await stream.write(b"request")
                await stream.read(100)
                await stream.read(100)
            self.assertEqual(trio.current_time(), started_at)

        clock = virtual_clock()
        started_at = clock.current_time()
        run_in_virtual_time(check, clock=clock)

    def test_each_engine_has_a_paced_pool_of_its_own(self) -> None:
        transport = EngineTransport(httpx.Limits(), None, lambda: 0.0)
        first, second = transport._make_pool(), transport._make_pool()
        self.assertIsNot(first._pool, second._pool)
        self.assertIs(first._pool._network_backend, transport._backend)


class PacerTest(unittest.TestCase):
    def test_the_interval_follows_the_number_of_streams(self) -> None:
        cases = ((0, 0.0), (1, 0.0), (100, 100 * COST_PER_READ_SECONDS / TARGET_UTILIZATION))
        for streams, expected in (*cases, (10_000, MAX_INTERVAL_SECONDS)):
            with self.subTest(streams=streams):
                pacer = Pacer()
                scopes = [pacer.stream() for _ in range(streams)]
                for scope in scopes:
                    scope.__enter__()
                self.assertAlmostEqual(pacer.interval(), expected)
                for scope in scopes:
                    scope.__exit__(None, None, None)
                self.assertEqual(pacer.interval(), 0.0)


if __name__ == "__main__":
    unittest.main()
