"""A planned stop while only half of a request's body has been sent."""

from __future__ import annotations

import signal
import unittest

import msgspec
import trio

from tests.processes.harness import KEY, small_fleet
from tests.processes.test_planned_stop import run_bounded, wait_active, wait_exit

PAUSE_SECONDS = 0.3


def request_bytes(host: str) -> tuple[bytes, bytes]:
    """Return a request in two pieces, cut in the middle of its body."""
    body = msgspec.json.encode({"model": "small", "prompt": "a prompt " * 50, "max_tokens": 8})
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    middle = len(body) // 2
    return head.encode() + body[:middle], body[middle:]


class HalfSentBodyTest(unittest.TestCase):
    def test_the_request_is_answered_whole_and_the_process_ends(self) -> None:
        async def check() -> None:
            async with small_fleet() as small:
                await small.send(4)
                first, rest = request_bytes(small.router)
                host, _, port = small.router.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(first)
                    await wait_active(small, 1)
                    small.group.signal(small.router_process, signal.SIGTERM)
                    await trio.sleep(PAUSE_SECONDS)
                    await stream.send_all(rest)
                    answer = b"".join([chunk async for chunk in stream])
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
                self.assertIn(b'"completion_tokens":8', answer)
                process = small.group.process(small.router_process)
                self.assertEqual(await wait_exit(process), 0)

        run_bounded(check)


if __name__ == "__main__":
    unittest.main()
