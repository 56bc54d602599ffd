"""A planned stop while requests run that last longer than the rest of its grace time."""

import signal

import httpx
import trio

from tests.processes import test_exchange_node
from tests.processes.test_exchange_node import CONFIGURATION, KEY, NodeProcessCase

GRACE_SECONDS = 4.0
SECONDS_OF_WORK = {f"{ms}ms": ms / 1_000 for ms in (20, 500, 1_500, 2_500, 3_500)}
"""Duration of each request by the end of its path."""

CLIENT_SECONDS = 6.0


class LongRequestsTest(NodeProcessCase):
    def setUp(self):
        super().setUp()
        known = test_exchange_node.SECONDS_OF_WORK
        self.addCleanup(known.update, dict(known))
        known.update(SECONDS_OF_WORK)

    async def send(self, client, url, number, path):
        """Send a request; return its status, 0 if its connection ends without an answer."""
        headers = {"Host": "h.example", "X-Api-Key": KEY, "Attempt-Id": f"r{number}"}
        try:
            answer = await client.post(f"{url}/p/{path}", headers=headers, content=b"b%d" % number)
        except httpx.TransportError:
            return 0
        return answer.status_code

    def statuses_around_a_stop(self, kind, delays, paths, history=()):
        """Return status, number and path of requests that are sent some time after SIGTERM."""
        found = []
        ran = []

        async def send_at(client, url, at, number, path):
            await trio.sleep_until(at)
            found.append((await self.send(client, url, number, path), number, path))

        async def script(_client, url, process, instances):
            async with httpx.AsyncClient(timeout=CLIENT_SECONDS) as client:
                for number, path in enumerate(history):
                    await self.send(client, url, 1_000 + number, path)
                stopped_at = trio.current_time() + 0.2
                async with trio.open_nursery() as nursery:
                    for number, (delay, path) in enumerate((d, p) for d in delays for p in paths):
                        nursery.start_soon(send_at, client, url, stopped_at + delay, number, path)
                    await trio.sleep_until(stopped_at)
                    process.send_signal(signal.SIGTERM)
                with trio.fail_after(GRACE_SECONDS):
                    await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
            ran.extend(instances.bodies)

        routes = [{**CONFIGURATION["routes"][0], "kind": kind}]
        services = [{"name": "s", "connectionLimit": 200}]
        configuration = {**CONFIGURATION, "routes": routes, "services": services}
        self.run_node(script, configuration=configuration, grace_seconds=GRACE_SECONDS)
        return found, ran

    def test_a_request_that_outlasts_the_stop_gets_an_answer_that_tells_the_truth(self):
        # Its connection was closed without an answer when the drain ended.
        for kind in ("unsafe", "safe"):
            with self.subTest(kind=kind):
                found, ran = self.statuses_around_a_stop(kind, (-0.1,), ("endless",) * 8)
                self.assertEqual([status for status, _number, _path in found], [502] * 8)
                self.assertEqual(len(ran), 8)

    def test_a_request_that_may_run_once_is_not_taken_if_it_may_outlast_the_stop(self):
        # All requests were passed on for a third of the grace time, whatever their duration.
        delays = [0.1 + 0.1 * number for number in range(12)]
        found, ran = self.statuses_around_a_stop(
            "unsafe", delays, SECONDS_OF_WORK, history=SECONDS_OF_WORK
        )
        self.assertEqual({status for status, _number, _path in found}, {503})
        self.assertEqual(len(ran), len(SECONDS_OF_WORK))

    def test_short_requests_are_served_while_clients_still_come(self):
        found, _ran = self.statuses_around_a_stop(
            "unsafe", (0.1, 0.4, 0.7, 1.0), ("20ms",), history=("20ms",)
        )
        self.assertEqual([status for status, _number, _path in found], [200] * 4)
