"""A node with little memory, hundreds of slow readers on both sides, and other callers."""

import contextlib
import socket

import trio

from hopstep.domain.byte_budget import MEGABYTE, PROCESS_BYTES, byte_limit
from tests.processes.test_exchange_node import CONFIGURATION, KEY, NodeProcessCase

MEMORY_MB = 96.0
BODY_BYTES = 100_000
RESPONSE_BYTES = 1_000_000
SLOW_CLIENTS = 150
SLOW_INSTANCES = 60
OTHER_CALLERS = 20
SMALL_CONFIGURATION = {**CONFIGURATION, "limits": {"maxBodyBytes": BODY_BYTES}}
SETTLING_SECONDS = 1.0
RECEIVE_BUFFER_BYTES = 4_096


async def serve_instance(stream):
    """Serve one connection of an instance, which never reads bodies sent to ``/p/unread``."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = await stream.receive_some()
        if not data:
            return
        received += data
    head, _, request_body = received.partition(b"\r\n\r\n")
    path = head.decode().split(" ")[1]
    if path == "/p/unread":
        await trio.sleep_forever()
    fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
    while len(request_body) < int(fields["content-length"]):
        request_body += await stream.receive_some()
    body = b"x" * (RESPONSE_BYTES if path == "/p/long" else 2)
    answer = (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields['attempt-id']}\r\nResponse-Stamp: s\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    await stream.send_all(answer.encode() + body)


async def serve_instances(port, task_status):
    """Serve all connections of the instance."""

    async def serve(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                await serve_instance(stream)

    await trio.serve_tcp(serve, port, host="127.0.0.1", task_status=task_status)


def read_peak_bytes(process):
    """Return the largest resident memory that a process has had."""
    with open(f"/proc/{process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class SlowReadersTest(NodeProcessCase):
    async def send_slow(self, url, path, request_id, body=b""):
        """Send a request by a connection that takes little before somebody reads from it."""
        host, _, port = url.removeprefix("http://").partition(":")
        client = trio.socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await client.connect((host, int(port)))
        stream = trio.SocketStream(client)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {KEY}\r\n"
            f"Attempt-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        await stream.send_all(head.encode() + body)
        return stream

    def test_memory_stays_bounded_and_others_are_served(self):
        """Guards against a node that runs out of memory for readers that don't return."""

        async def script(client, url, process, _instances):
            streams = [
                await self.send_slow(url, "/p/unread", f"u{number}", b"b" * BODY_BYTES)
                for number in range(SLOW_INSTANCES)
            ]
            for number in range(SLOW_CLIENTS):
                streams.append(await self.send_slow(url, "/p/long", f"s{number}"))
            await trio.sleep(SETTLING_SECONDS)
            for number in range(OTHER_CALLERS):
                answer = await self.request(client, url, **{"attempt-id": f"o{number}"})
                self.assertEqual((answer.status_code, answer.content), (200, b"xx"))
            answer = await self.request(client, url, "/p/long")
            self.assertEqual((answer.status_code, len(answer.content)), (200, RESPONSE_BYTES))
            self.assertEqual(answer.headers["content-length"], str(RESPONSE_BYTES))
            in_parts = [each for each in self.events() if each["number"] == "HS3121"]
            self.assertEqual(in_parts[-1]["request_id"], "r1")
            bound = PROCESS_BYTES + byte_limit(MEMORY_MB)
            self.assertGreater(SLOW_CLIENTS * RESPONSE_BYTES, bound)
            self.assertLess(read_peak_bytes(process), bound)
            self.assertLess(bound, MEMORY_MB * MEGABYTE)
            for stream in streams:
                await stream.aclose()

        self.run_node(script, serve_instances, SMALL_CONFIGURATION, memory_mb=MEMORY_MB)
