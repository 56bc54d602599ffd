"""Answers that break off before others, where a read of the connection ends between the two."""

import contextlib
import unittest

import trio

from hopstep.domain.exchanges.instances import Instance
from hopstep.platform.http_client import SHORT_READ_BYTES, HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError, SendProof
from tests.platform.test_late_copies_elsewhere import ScriptedServer, answer, request

MISSING_BYTES = (1, 2, 3, 4, 5, 9, 12, 15, 30)


class SplicedAtReadBoundariesTest(unittest.TestCase):
    def receive(self, missing):
        """Return an answer of one read that lacks some bytes before another answer, or None."""
        size = SHORT_READ_BYTES - len(answer(b"r1", b"x" * 10_000)) + 10_000
        broken = answer(b"r1", b"x" * size)[:-missing]
        return self.received(broken + answer(b"r1", b"failed", 500), missing)

    def received(self, data, last):
        """Return the status and the last bytes of what a server sends, or None if that fails."""

        async def main():
            server = ScriptedServer(((0.0, data),))
            found = None
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                client = HttpClient(short_reads=True)
                instance = Instance("i1", "s", address, "z", 1)
                call = InstanceCall(instance, request("r1"), 1.5, proof=SendProof())
                with trio.fail_after(5), contextlib.suppress(InstanceCallError):
                    async with HttpInstances(client).open(call) as received:
                        body = b"".join([data async for data in received.body()])
                        found = received.status, body[-last:]
                await client.aclose()
                nursery.cancel_scope.cancel()
            return found

        return trio.run(main)

    # A client got a success whose last bytes were the first letters of another answer.
    def test_an_answer_that_lacks_its_last_bytes_is_not_whole_by_those_of_the_next_one(self):
        for missing in MISSING_BYTES:
            with self.subTest(missing=missing):
                self.assertIsNone(self.receive(missing))

    # Whole answers that end so would fail, or come late.
    def test_a_body_that_ends_in_the_first_letters_of_a_status_line_is_whole(self):
        for end in (b"H", b"HT", b"HTT", b"HTTP"):
            with self.subTest(end=end):
                whole = answer(b"r1", b"body " + end)
                self.assertEqual(self.received(whole, len(end)), (200, end))
                self.assertEqual(self.received(whole + whole, len(end)), (200, end))
