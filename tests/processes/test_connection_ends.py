"""Each cell of the second table of design 0046: a node's stop, or change, in each state."""

import contextlib
import json
import re
import signal
import unittest

import quart
import quart_trio
import trio

from hopstep.adapters import key_value_store_wire as wire
from tests.adapters.test_connection_table import read_table
from tests.processes.test_exchange_node import CONFIGURATION, KEY, LONG_GRACE_SECONDS
from tests.processes.test_kept_connections import NodeProcessCase

HEADING = "A node that stops or is configured anew"
BODY = b"0123456789"
PIECE = b"got "
LENGTH = re.compile(rb"(?i)content-length: (\d+)")
STATES = (
    "idle",
    "head arriving",
    "body arriving",
    "waiting",
    "being answered",
    "next request already here",
)
SETUP_SECONDS = 0.3
WORK_SECONDS = 1.5
LONG_WORK_SECONDS = 4.0
"""Longer than a stopping node accepts requests, shorter than it drains."""

APPLIED_SECONDS = 0.6
"""Time in which a node applies a new configuration or a signal."""

READ_SECONDS = 6.0
ACCEPT_SECONDS = LONG_GRACE_SECONDS / 3
"""Time for which a stopping node accepts requests; see the stop schedule."""


def request_bytes(request_id, path):
    """Return a whole request with a body."""
    lines = (
        f"POST /p/{path} HTTP/1.1",
        "Host: h.example",
        f"X-Api-Key: {KEY}",
        f"Attempt-Id: {request_id}",
        f"Content-Length: {len(BODY)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + BODY


def changed(**changes):
    """Return a newer configuration."""
    return {**CONFIGURATION, "version": 2, **changes}


OTHER_ROUTE = {**CONFIGURATION["routes"][0], "pathPrefix": "/q/", "name": "q"}
CONFIGURATIONS = {
    "smaller limits": changed(limits={"maxBodyBytes": len(BODY) // 2}),
    "route removed": changed(routes=[OTHER_ROUTE]),
    "key removed": changed(tenants=[{"name": "t", "apiKeys": ["another-key"]}]),
}
SIGNALS = {
    "SIGTERM": (signal.SIGTERM,),
    "second SIGTERM": (signal.SIGTERM, signal.SIGTERM),
    "SIGTERM, no longer accepting": (signal.SIGTERM,),
    "SIGHUP": (signal.SIGHUP,),
}


def create_instance(runs, work_seconds):
    """Return an instance that answers in two pieces, and notes the ids of what it ran."""
    app = quart_trio.QuartTrio(__name__)

    @app.route("/p/<path:rest>", methods=["POST"])
    async def serve(rest):
        await quart.request.get_data()
        request_id = quart.request.headers["Attempt-Id"]
        runs.append(request_id)

        async def pieces():
            if rest == "slow":
                await trio.sleep(work_seconds)
            yield PIECE
            if rest == "parts":
                await trio.sleep(work_seconds)
            yield PIECE

        headers = {
            "Attempt-Id": request_id,
            "Response-Stamp": "s",
            "Content-Length": str(2 * len(PIECE)),
        }
        return quart.Response(pieces(), headers=headers)

    return app


class Client:
    """A client's connection in one state."""

    def __init__(self, state, stream):
        self.state = state
        self.stream = stream
        self.received = b""

    async def begin(self):
        """Send what leads to the state."""
        whole = request_bytes(self.state, "x")
        match self.state:
            case "idle":
                await self.stream.send_all(request_bytes("early", "x"))
                await self.read_status()
            case "head arriving":
                await self.stream.send_all(whole[:30])
            case "body arriving":
                await self.stream.send_all(whole[: -len(BODY) // 2])
            case "waiting":
                await self.stream.send_all(request_bytes(self.state, "slow"))
            case "being answered":
                await self.stream.send_all(request_bytes(self.state, "parts"))
            case _:
                await self.stream.send_all(request_bytes("before", "slow") + whole)

    async def end(self):
        """Send the rest, and return the status of the request's answer; "closed" without one."""
        whole = request_bytes(self.state, "x")
        rest = {
            "idle": whole,
            "head arriving": whole[30:],
            "body arriving": whole[-len(BODY) // 2 :],
        }
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_all(rest.get(self.state, b""))
        if self.state == "next request already here" and await self.read_status() != "200":
            return "first not answered"
        return await self.read_status()

    async def read_status(self):
        """Return the status of the next answer; "closed" when it doesn't come whole."""
        with trio.move_on_after(READ_SECONDS), contextlib.suppress(trio.BrokenResourceError):
            while True:
                head, separator, body = self.received.partition(b"\r\n\r\n")
                found = LENGTH.search(head)
                if separator and found and len(body) >= int(found[1]):
                    self.received = body[int(found[1]) :]
                    return head[9:12].decode()
                data = await self.stream.receive_some()
                if not data:
                    return "closed"
                self.received += data
        return "closed"


class ConnectionEndsTest(NodeProcessCase):
    def play(self, event):
        """Return the word of the table for each state, and the requests that instances ran."""
        words, runs = {}, []
        is_late = event == "SIGTERM, no longer accepting"

        async def end(client):
            words[client.state] = await client.end()
            await client.stream.aclose()

        async def script(_client, url, process, _instances):
            host, _, port = url.removeprefix("http://").partition(":")
            clients = [
                Client(state, await trio.open_tcp_stream(host, int(port))) for state in STATES
            ]
            for client in clients:
                await client.begin()
            await trio.sleep(SETUP_SECONDS)
            for number in SIGNALS.get(event, ()):
                process.send_signal(number)
            if event in CONFIGURATIONS:
                await self.configure(CONFIGURATIONS[event])
            await trio.sleep(ACCEPT_SECONDS + SETUP_SECONDS if is_late else APPLIED_SECONDS)
            async with trio.open_nursery() as nursery:
                for client in clients:
                    nursery.start_soon(end, client)
            if event.partition(",")[0] in ("SIGTERM", "second SIGTERM"):
                with trio.fail_after(LONG_GRACE_SECONDS):
                    await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
                self.assertEqual(process.returncode, 0)

        async def serve_instance(port, task_status):
            work_seconds = LONG_WORK_SECONDS if is_late else WORK_SECONDS
            await self.serve(create_instance(runs, work_seconds), port, task_status)

        service = {"name": "s", "connectionLimit": 100}
        configuration = {**CONFIGURATION, "services": [service]}
        self.run_node(script, serve_instance, configuration, grace_seconds=LONG_GRACE_SECONDS)
        return words, runs

    async def configure(self, configuration):
        """Bring a newer configuration into force."""
        value = json.dumps({**configuration, "services": [{"name": "s", "connectionLimit": 100}]})
        item = await self.shared.execute(wire.Get("op/config"))
        await self.shared.execute(wire.CompareAndSwap("op/config", item.version, value.encode()))

    def test_no_cell_is_other_than_the_table_says(self):
        # A request that was passed on and whose connection then ended without an answer.
        table = read_table(HEADING)
        for event in dict.fromkeys(event for _state, event in table):
            with self.subTest(event=event):
                words, runs = self.play(event)
                expected = {state: table[state, event] for state in STATES}
                self.assertEqual(words, expected)
                ran = {state for state in STATES if state in runs}
                self.assertEqual(ran, {state for state in STATES if words[state] == "200"})


if __name__ == "__main__":
    unittest.main()
