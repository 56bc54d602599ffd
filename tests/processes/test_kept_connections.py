"""Requests on kept connections: each one that is passed on gets its answer."""

import json
import resource
import signal
import unittest

import httpx
import trio

from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT
from tests.processes.test_exchange_node import CONFIGURATION, KEY, NodeProcessCase

CLIENTS = 8
DESCRIPTORS = 80
"""Limit on the node's descriptors; it needs about 30 of its own."""

ANSWER_SECONDS = 5.0
PORT_DIGITS = 5_000
NESTED = 100_000
"""Open brackets, more than parsers follow."""

INSTANCE_WORK_SECONDS = 0.5
ANSWER_BODY = b"got "
FIRST_FINAL = 200
"""Lowest status of a response that is no interim one."""


def request_bytes(request_id, path="/p/x"):
    """Return a whole request without a body."""
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"X-Api-Key: {KEY}",
        f"Attempt-Id: {request_id}",
        "Content-Length: 0",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def odd_entry(**changes):
    """Return an instance's entry with some fields replaced."""
    entry = {
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "callSequence": 0,
    }
    return json.dumps({**entry, **changes}).encode()


class KeptConnection:
    """A client's connection that is used for one request after the other."""

    def __init__(self, stream):
        self.stream = stream

    async def send(self, request_id, path):
        await self.stream.send_all(request_bytes(request_id, path))

    async def read_status(self):
        """Return the status of the next final answer; 0 if the connection ends without one."""
        received = b""
        with trio.move_on_after(ANSWER_SECONDS):
            while not received.endswith(ANSWER_BODY):
                try:
                    data = await self.stream.receive_some()
                except trio.BrokenResourceError:
                    return 0
                if not data:
                    return 0
                received += data
            heads = received.split(b"\r\n\r\n")
            return next(status for status in map(read_status, heads) if status >= FIRST_FINAL)
        return 0


def read_status(head):
    """Return the status of a response's head."""
    return int(head.split(b" ")[1])


class KeptConnectionsTest(NodeProcessCase):
    async def connect(self, url):
        host, _, port = url.removeprefix("http://").partition(":")
        return KeptConnection(await trio.open_tcp_stream(host, int(port)))

    async def write(self, key, value):
        await self.shared.execute(wire.CompareAndSwap(key, ABSENT.revision, value))

    def statuses_when(self, happens, kind="unsafe"):
        """Return the statuses of requests during which something happens on kept connections.

        Each connection has carried a request before.
        """
        statuses = []
        route = {**CONFIGURATION["routes"][0], "kind": kind}
        service = {"name": "s", "connectionLimit": 100}
        configuration = {**CONFIGURATION, "routes": [route], "services": [service]}

        async def serve_one(connection, number):
            await connection.send(f"late{number}", "/p/slow")
            statuses.append(await connection.read_status())

        async def script(client, url, process, instances):
            self.process = process
            connections = [await self.connect(url) for _ in range(CLIENTS)]
            for number, connection in enumerate(connections):
                await connection.send(f"early{number}", "/p/x")
                self.assertEqual(await connection.read_status(), 200)
            async with trio.open_nursery() as nursery:
                for number, connection in enumerate(connections):
                    nursery.start_soon(serve_one, connection, number)
                await trio.sleep(INSTANCE_WORK_SECONDS / 4)
                await happens(connections)
            self.exit_code = process.poll()

        self.run_node(script, configuration=configuration)
        return statuses

    def test_an_entry_that_cannot_be_read_ends_no_node_with_its_requests(self):
        # A port of 5,000 digits ended every node that read the entry, with all active requests.
        async def leave_entry(_connections):
            await self.write("servers/odd", odd_entry(address=f"10.0.0.1:{'9' * PORT_DIGITS}"))

        self.assertEqual(self.statuses_when(leave_entry), [200] * CLIENTS)
        self.assertIsNone(self.exit_code, "the node has ended")
        self.assertNotIn("task_failed", self.read_log())

    def test_settings_that_cannot_be_read_cut_no_request_on_reload(self):
        # Reading them again raised ValueError, which ended the node with all active requests.
        for odd in ("9" * PORT_DIGITS, "[" * NESTED):
            with self.subTest(odd=odd[:5]):

                async def reload(_connections, odd=odd):
                    settings = self.path.read_text()
                    self.path.write_text(f"odd = {odd}\n{settings}")
                    self.process.send_signal(signal.SIGHUP)

                self.assertEqual(self.statuses_when(reload), [200] * CLIENTS)
                self.assertIsNone(self.exit_code, "the node has ended")
                self.assertIn("settings_rejected", self.read_log())

    def test_a_background_task_that_fails_cuts_no_request(self):
        # Its failure ended the process at once, with all active requests.
        self.check_fault(signal.SIGUSR1)

    def test_a_fault_in_reading_settings_again_cuts_no_request(self):
        # The task that follows signals wasn't one of those whose failure stops a node as planned.
        self.check_fault(signal.SIGHUP)

    def test_a_fault_in_ending_the_lease_cuts_no_request_of_a_planned_stop(self):
        # It ended the drain with all requests that were active.
        self.check_fault(signal.SIGTERM)

    def check_fault(self, number):
        """Check that a part which fails at a signal is logged and cuts no request."""
        self.module = "tests.processes.failing_node"

        async def fail(_connections):
            self.process.send_signal(number)

        self.assertEqual(self.statuses_when(fail), [200] * CLIENTS)
        self.assertIn("task_failed", self.read_log())

    def test_a_client_that_closes_its_sending_side_gets_its_answer(self):
        # A half-closed connection was taken for one whose client had left.
        async def half_close(connections):
            for connection in connections:
                await connection.stream.send_eof()

        for kind in ("unsafe", "safe"):
            with self.subTest(kind=kind):
                self.assertEqual(self.statuses_when(half_close, kind), [200] * CLIENTS)


class ClosedConnectionsTest(NodeProcessCase):
    def test_connections_that_clients_have_closed_use_no_descriptors(self):
        # They stayed open for 75 s, until no descriptor was left and new clients got no answer.
        answers = []

        async def script(_client, url, process, _instances):
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
            for number in range(2 * DESCRIPTORS):
                async with httpx.AsyncClient(timeout=ANSWER_SECONDS) as client:
                    request_id = {"attempt-id": f"r{number}"}
                    answer = await self.request(client, url, **request_id)
                answers.append(answer.status_code)

        self.run_node(script)
        self.assertEqual(answers, [200] * 2 * DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()
