"""Copies of earlier answers that arrive within the body of a later one."""

import contextlib
import unittest

import trio

from hopstep.domain.exchanges.instances import Instance
from hopstep.exceptions import Execution
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.platform.spliced_responses import SplicedBodyScanner
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError
from tests.platform.test_instances import request
from tests.repeating_peer import answer, read_request

PAUSE_SECONDS = 0.02
COPY = answer(b"first", "Attempt-Id: r1", "Response-Stamp: s")
BODY = b"x" * 1_000


class CopiesWithinBodiesTest(unittest.TestCase):
    # What the copy pushed beyond the body's length came after its end, so it wasn't seen there.
    def test_a_body_that_held_a_copy_and_lacked_its_own_end_was_passed_on_as_whole(self):
        own = answer(BODY, "Attempt-Id: r2", "Response-Stamp: s")
        begun, missing = len(own) - 900, len(COPY)
        self.assert_broken_off((own[:begun], COPY, own[begun:-missing], own[-missing:]))

    # Nothing stood behind the body yet when it ended, so it was passed on as whole.
    def test_a_body_that_ends_within_the_head_of_another_answer_is_not_whole(self):
        own = answer(BODY, "Attempt-Id: r2", "Response-Stamp: s")
        for name in ("r1", "other"):
            behind = answer(b"other", "X: y", f"Attempt-Id: {name}", status=500)
            for missing in (5, 11, 12, 16, behind.index(b"X:"), behind.index(b"other") - 6):
                with self.subTest(name=name, missing=missing):
                    parts = (own[:-missing], behind[:missing], behind[missing:])
                    self.assert_broken_off(parts)

    # The wait for more bytes must end, and leave the answer whole.
    def test_a_body_that_quotes_the_beginning_of_a_head_is_whole(self):
        body = b"It began with HTTP/1.1 500 Internal"
        own = answer(body, "Attempt-Id: r2", "Response-Stamp: s")
        self.assertEqual(self.receive((own,)), (body, None))

    def assert_broken_off(self, parts):
        received, execution = self.receive(parts)
        self.assertIs(execution, Execution.UNKNOWN)
        self.assertTrue(BODY.startswith(received))
        self.assertLess(len(received), len(BODY))

    def receive(self, parts):
        """Return the body of the second request's answer, sent in parts, and how it failed."""

        async def handle(stream):
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                for written in ((COPY,), parts):
                    await read_request(stream)
                    for part in written:
                        await stream.send_all(part)
                        await trio.sleep(PAUSE_SECONDS)

        async def main():
            received = []
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, handle, 0)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                client = HttpClient()
                instances = HttpInstances(client)
                instance = Instance("i1", "s", address, "z", 1)
                error = None
                for request_id in ("r1", "r2"):
                    received.clear()
                    try:
                        call = InstanceCall(instance, request(request_id), 1.5)
                        async with instances.open(call) as response:
                            async for data in response.body():
                                received.append(data)
                    except InstanceCallError as raised:
                        error = raised.execution
                await client.aclose()
                nursery.cancel_scope.cancel()
            return b"".join(received), error

        return trio.run(main)

    def test_only_the_id_of_an_earlier_call_shows_a_copy(self):
        quoted = b"It answered:\r\n" + COPY + b" and that was all."
        for earlier, expected in (({b"r1"}, True), ({b"r0"}, False)):
            for size in (1, 7, len(quoted)):
                with self.subTest(earlier=earlier, size=size):
                    scanner = SplicedBodyScanner(earlier.__contains__)
                    for start in range(0, len(quoted), size):
                        scanner.feed(quoted[start : start + size])
                    self.assertIs(scanner.holds_response, expected)


if __name__ == "__main__":
    unittest.main()
