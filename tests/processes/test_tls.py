"""Real processes over TLS: callers to router, router to engine, router to router."""

from __future__ import annotations

import signal
import unittest

import msgspec
import trio

from emulator.load.messages import LoadResult, Outcome
from hopstep.domain.configuration.document import BackEnd, BackEndKind
from tests.processes.harness import CONFIGURATION, UNUSED, SmallFleet, small_fleet
from tests.processes.test_planned_stop import LONG_OUTPUT_TOKENS, run_bounded, wait_exit
from tests.tls_files import TlsFiles

STREAMS = 3
POLL_SECONDS = 0.05
OTHER_ROUTER = BackEnd("router-2", UNUSED, BackEndKind.ROUTER, {"zone": "z"})


class TlsProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.files = TlsFiles()
        self.addCleanup(self.files.close)

    async def wait_served(self, address: str, fingerprint: str) -> None:
        """Wait until new connections are served a certificate."""
        while await self.files.served_fingerprint(address) != fingerprint:  # noqa: ASYNC110
            await trio.sleep(POLL_SECONDS)

    def test_streams_go_on_while_certificates_are_replaced(self) -> None:
        async def check() -> None:
            async with small_fleet(tls=self.files.settings()) as small:
                results: list[LoadResult] = []
                replaced = trio.Event()

                async def keep_streaming() -> None:
                    while not replaced.is_set():
                        await small.collect(results, LONG_OUTPUT_TOKENS)

                async with trio.open_nursery() as nursery:
                    for _ in range(STREAMS):
                        nursery.start_soon(keep_streaming)
                    issued = self.files.issue()
                    await self.wait_served(small.router, issued)
                    await self.wait_served(small.fleet.back_end("engine").address, issued)
                    replaced.set()
                results.append(await small.send(4))
                self.assertEqual({each.outcome for each in results}, {Outcome.COMPLETE})
                status = await small.fleet.run_ctl("status", f"--trusted={self.files.trusted}")
                self.assertIn("  ready  ", status)

        run_bounded(check)

    def test_a_router_takes_the_configuration_from_a_peer(self) -> None:
        configuration = msgspec.structs.replace(
            CONFIGURATION, back_ends=(*CONFIGURATION.back_ends, OTHER_ROUTER)
        )

        async def check() -> None:
            async with small_fleet(configuration=configuration, tls=self.files.settings()) as small:
                store = "small-store"
                small.group.signal(store, signal.SIGKILL)
                small.group.process(store).wait()
                self.replace_router(small)
                await small.group.wait_listening(small.router_process, small.router)
                await small.fleet.wait_ready()
                self.assertIs((await small.send(4)).outcome, Outcome.COMPLETE)

        run_bounded(check)

    def replace_router(self, small: SmallFleet) -> None:
        """Kill the router that serves the client, and start it again."""
        small.group.signal(small.router_process, signal.SIGKILL)
        small.group.process(small.router_process).wait()
        small.fleet.start_back_end(small.fleet.back_end("router"))

    def test_files_that_cannot_be_used_end_the_start(self) -> None:
        async def check() -> None:
            async with small_fleet(tls=self.files.settings()) as small:
                self.files.private_key.write_bytes(b"")
                self.replace_router(small)
                process = small.group.process(small.router_process)
                self.assertEqual(await wait_exit(process), 2)
                last = small.group.log_path(small.router_process).read_text().splitlines()[-1]
                expected = f"small-router.toml: tls.private_key: {self.files.private_key}: expected"
                self.assertIn(expected, last)

        run_bounded(check)


if __name__ == "__main__":
    unittest.main()
