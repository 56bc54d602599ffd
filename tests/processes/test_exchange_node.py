"""A node as a process: started with a settings file, serving over sockets, stopped by a signal."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import httpx
import hypercorn
import hypercorn.trio
import quart
import quart_trio
import trio

from emulator.exchange_platform.store import create_store_app
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT

START_SECONDS = 20.0
LOGGED_SECONDS = 5.0
GRACE_SECONDS = 3.0
LONG_GRACE_SECONDS = 8.0
SECONDS_OF_WORK = {"slow": 0.5, "endless": 60.0}
KEY = "secret-key-1"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "hostname": "h.example",
            "pathPrefix": "/p/",
            "kind": "unsafe",
            "timeoutMs": 30000,
            "targetLatencyMs": 300,
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
    "limits": {"maxBodyBytes": 1000},
    "tenants": [{"name": "t", "apiKeys": [KEY]}],
}


def reserve_ports(count):
    """Return sockets bound to ports that are given to nobody else who doesn't name them.

    None listens: with ``SO_REUSEADDR``, which servers set, another process may listen there.
    """
    reserved = []
    for _ in range(count):
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind(("127.0.0.1", 0))
        reserved.append(opened)
    return reserved


def instance_app():
    """Return an instance that answers with the body that it received."""
    app = quart_trio.QuartTrio(__name__)
    app.bodies = []
    app.headers = []
    app.active = 0

    @app.route("/p/<path:rest>", methods=["GET", "POST"])
    async def serve(rest):
        body = await quart.request.get_data()
        app.bodies.append(body)
        app.headers.append(list(quart.request.headers))
        app.active += 1
        try:
            await trio.sleep(SECONDS_OF_WORK.get(rest, 0.0))
        finally:
            app.active -= 1
        headers = {"Attempt-Id": quart.request.headers["Attempt-Id"], "Response-Stamp": "s"}
        return quart.Response(b"got " + body, headers=headers)

    return app


class NodeProcessCase(unittest.TestCase):
    """Runs a node as a process between a store and an instance; has no tests of its own."""

    module = "hopstep.cli.node"
    entry_fields = {}

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.toml"
        self.log = (Path(directory.name) / "log").open("w+")
        self.addCleanup(self.log.close)

    def free_ports(self, count):
        """Return ports on which nobody listens, and which no client's connection takes."""
        reserved = reserve_ports(count)
        for opened in reserved:
            self.addCleanup(opened.close)
        return [opened.getsockname()[1] for opened in reserved]

    def write_settings(self, ports, grace_seconds=GRACE_SECONDS, **changes):
        values = {
            "name": "n1",
            "zone": "z1",
            "address": f"127.0.0.1:{ports[0]}",
            "readiness_address": f"127.0.0.1:{ports[1]}",
            "peer_address": f"127.0.0.1:{ports[2]}",
            "store": f"127.0.0.1:{ports[3]}",
            **changes,
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in values.items()]
        self.path.write_text("\n".join(lines) + f"\n[bounds]\ngrace_seconds = {grace_seconds}\n")

    def start(self, *arguments, **environment):
        process = subprocess.Popen(  # noqa: S603 - the arguments are the tests' own
            [sys.executable, "-m", self.module, *arguments],
            env={**os.environ, "HOPSTEP_SETTINGS": str(self.path), **environment},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def read_log(self):
        """Return the log by a handle of its own: the node writes at the offset of ``self.log``."""
        return Path(self.log.name).read_text()

    def events(self):
        return [json.loads(line) for line in self.read_log().splitlines()]

    def run_node(self, script, serve_instances=None, configuration=CONFIGURATION, **settings):
        async def main():
            ports = self.free_ports(5)
            self.write_settings(ports, **settings)
            shared = self.shared = SharedStore()
            instances = instance_app()
            await self.publish(shared, ports[4], configuration)
            async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
                await nursery.start(self.serve, create_store_app(shared), ports[3])
                if serve_instances is None:
                    await nursery.start(self.serve, instances, ports[4])
                else:
                    await nursery.start(serve_instances, ports[4])
                process = self.start()
                await self.wait_ready(client, ports[1])
                await script(client, f"http://127.0.0.1:{ports[0]}", process, instances)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def serve(self, app, port, task_status):
        config = hypercorn.Config()
        config.bind = [f"127.0.0.1:{port}"]
        config.loglevel = "CRITICAL"
        await hypercorn.trio.serve(app, config, task_status=task_status, mode="asgi")

    async def publish(self, shared, port, configuration):
        entry = {
            "service": "s",
            "address": f"127.0.0.1:{port}",
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSequence": 0,
            **self.entry_fields,
        }
        for key, value in (("op/config", configuration), ("servers/i1", entry)):
            await shared.execute(
                wire.CompareAndSwap(key, ABSENT.revision, json.dumps(value).encode())
            )

    async def wait_ready(self, client, port):
        with trio.move_on_after(START_SECONDS):
            while True:
                with contextlib.suppress(httpx.TransportError):
                    response = await client.get(f"http://127.0.0.1:{port}/readiness")
                    if response.status_code == 200:
                        return
                await trio.sleep(0.05)
        self.fail(f"the node isn't ready; its log: {self.read_log()}")

    async def request(self, client, url, path="/p/x", key=KEY, body=b"hello", **headers):
        fields = {"host": "h.example", "attempt-id": "r1", "x-api-key": key, **headers}
        return await client.post(url + path, headers=fields, content=body)

    async def wait_logged(self, event, count):
        """Wait for ``count`` lines of an event: a client may get its answer before the log line."""
        with trio.fail_after(LOGGED_SECONDS):
            while True:
                if sum(line["event"] == event for line in self.events()) >= count:
                    return
                await trio.sleep(0.05)


class ReservedPortsTest(unittest.TestCase):
    def test_a_port_of_a_node_is_taken_by_no_other_process(self):
        # A node didn't get ready: its port was somebody else's between the choice and the start.
        with contextlib.ExitStack() as stack:
            reserved = [stack.enter_context(each) for each in reserve_ports(50)]
            ports = {each.getsockname()[1] for each in reserved}
            others = [
                stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(500)
            ]
            self.assertFalse(ports & {each.getsockname()[1] for each in others})
            for port in ports:
                stack.enter_context(socket.create_server(("127.0.0.1", port)))


class ExchangeNodeTest(NodeProcessCase):
    def test_headers_that_only_nodes_may_set_are_dropped_from_client_requests(self):
        forged = (
            "Hold: 1",
            "hold: 2",
            "HOLD: 3",
            "Pin-Ms: 4",
            "pin-ms: 5",
            "Cache-Backup: 6",
            "CACHE-BACKUP: 7",
            "Kv-From: 8",
            "KV-FROM: 9",
            "Connection: hold, x-other",
            "Connection: keep-alive, kv-from",
            "Trailer: Hold, Kv-From",
        )
        request = "\r\n".join(
            (
                "POST /p/x HTTP/1.1",
                "Host: h.example",
                f"X-Api-Key: {KEY}",
                "Attempt-Id: r1",
                "Transfer-Encoding: chunked",
                *forged,
                "",
                "5\r\nHold:\r\n0\r\nHold: 10\r\nKv-From: 11\r\n\r\n",
            )
        )

        async def script(client, url, process, instances):
            host, _, port = url.removeprefix("http://").partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(request.encode())
            answer = b""
            while b"got Hold:" not in answer:
                answer += await stream.receive_some()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            names = {name.lower() for name, _ in instances.headers[0]}
            self.assertFalse({"hold", "pin-ms", "cache-backup", "kv-from", "trailer"} & names)
            await stream.aclose()

        self.run_node(script)

    def test_a_request_for_another_protocol_is_an_ordinary_one(self):
        asked = (
            {"Upgrade": "websocket", "Sec-WebSocket-Version": "13", "Sec-WebSocket-Key": "eA=="},
            {"Upgrade": "h2c", "HTTP2-Settings": "AAMAAABkAAQAAP__"},
        )

        async def script(client, url, process, instances):
            for number, headers in enumerate(asked):
                answer = await client.get(
                    f"{url}/p/x",
                    headers={
                        "Host": "h.example",
                        "X-Api-Key": KEY,
                        "Attempt-Id": f"r{number}",
                        "Connection": "Upgrade",
                        **headers,
                    },
                )
                self.assertEqual((answer.status_code, answer.text), (200, "got "))
                self.assertEqual(answer.http_version, "HTTP/1.1")

        self.run_node(script)

    def test_a_target_arrives_as_it_was_sent(self):
        # An empty query lost its question mark.
        targets = (b"/p/x?", b"/p/x", b"/p/x?a=1&b=%20", b"/p/x??", b"/p/%2Fx?a?b")
        arrived = []

        async def answer(stream):
            async with stream:
                received = b""
                while not received.endswith(b"hello"):
                    received += await stream.receive_some()
                arrived.append(received.split(b" ")[1])
                fields = b"Attempt-Id: r\r\nResponse-Stamp: s\r\nConnection: close\r\n"
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\n" + fields + b"Content-Length: 2\r\n\r\nok"
                )

        async def serve_instances(port, task_status):
            await trio.serve_tcp(answer, port, host="127.0.0.1", task_status=task_status)

        async def script(client, url, process, _instances):
            for target in targets:
                received = await self.send_raw(url, self.request_bytes(target, b"r"))
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)

        self.run_node(script, serve_instances)
        self.assertEqual(arrived, list(targets))

    def test_a_request_goes_through_and_bad_ones_get_clear_answers(self):
        async def script(client, url, process, instances):
            answer = await self.request(client, url)
            self.assertEqual((answer.status_code, answer.content), (200, b"got hello"))
            self.assertEqual(answer.headers["response-stamp"], "s")
            for status, options in (
                (404, {"path": "/none/"}),
                (401, {"key": "wrong"}),
                (413, {"body": b"x" * 5_000}),
                (400, {"attempt-id": ""}),
            ):
                answer = await self.request(client, url, **options)
                self.assertEqual(answer.status_code, status)
            self.assertEqual(instances.bodies, [b"hello"])
            smuggled = await self.send_raw(
                url, b"POST /p/x HTTP/1.1\r\nHost: h.example\r\nA\r\n\r\n"
            )
            self.assertTrue(smuggled.startswith(b"HTTP/1.1 400"))
            self.assertEqual((await self.request(client, url)).status_code, 200)
            await self.wait_logged("exchange_ended", 2)

        self.run_node(script)
        text = self.path.parent.joinpath("log").read_text()
        self.assertNotIn(KEY, text)
        self.assertNotIn("hello", text)
        outcomes = [e["outcome"] for e in self.events() if e["event"] == "exchange_ended"]
        self.assertEqual(outcomes, ["200", "200"])

    async def send_raw(self, url, data):
        host, _, port = url.removeprefix("http://").rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(data)
            with trio.fail_after(5.0):
                return bytes(await stream.receive_some())

    def test_a_planned_stop_cuts_nothing_and_serves_what_still_comes(self):
        async def script(client, url, process, _instances):
            results = []

            async def slow():
                results.append(await self.request(client, url, "/p/slow"))

            await self.request(client, url)  # shows how long such requests last
            async with trio.open_nursery() as nursery:
                nursery.start_soon(slow)
                await trio.sleep(0.2)
                process.send_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                results.append(await self.request(client, url))
            self.assertEqual([answer.status_code for answer in results], [200, 200])
            self.assertEqual([a.headers["connection"] for a in results], ["close", "close"])
            with trio.fail_after(8.0):
                code = await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
            self.assertEqual(code, 0)

        self.run_node(script)
        self.assertEqual(self.events()[-1]["event"], "process_stopped")

    def test_a_stop_that_takes_long_ends_in_time_and_takes_no_connection_it_cannot_serve(self):
        async def script(client, url, process, _instances):
            async def endless():
                with contextlib.suppress(httpx.TransportError):
                    await self.request(client, url, "/p/endless")

            await self.request(client, url)  # shows how long such requests last
            async with trio.open_nursery() as nursery:
                nursery.start_soon(endless)
                await trio.sleep(0.3)
                process.send_signal(signal.SIGTERM)
                with trio.fail_after(GRACE_SECONDS):
                    answers = await self.send_until_refused(url)
                    code = await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
            self.assertEqual(code, 0)
            self.assertEqual(set(answers), {200, 503})

        self.run_node(script)

    def test_requests_whose_bodies_arrive_across_a_stop_are_answered_or_not_run(self):
        # A drain that counted whole requests only ended, and cut those that it still sent.
        route = {**CONFIGURATION["routes"][0], "timeoutMs": 2000}
        answers = []

        async def script(client, url, process, instances):
            process.send_signal(signal.SIGTERM)
            stopped_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    await trio.sleep_until(stopped_at + 2.75 + number * 0.06)
                    nursery.start_soon(self.send_slowly, url, f"r{number}", answers)
            with trio.fail_after(LONG_GRACE_SECONDS):
                code = await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
            self.assertEqual(code, 0)
            served = sum(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            self.assertEqual(served, len(instances.bodies))
            self.assertGreater(served, 2)
            for answer in answers:
                self.assertIn(answer[:12], (b"HTTP/1.1 200", b"HTTP/1.1 503", b""))

        configuration = {**CONFIGURATION, "routes": [route]}
        self.run_node(script, configuration=configuration, grace_seconds=LONG_GRACE_SECONDS)

    async def send_slowly(self, url, request_id, answers):
        """Send a request in three pieces within 0.3 s, and add what comes back."""
        data = self.request_bytes(b"/p/slow", request_id.encode())
        host, _, port = url.removeprefix("http://").rpartition(":")
        answer = b""
        with contextlib.suppress(OSError):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                with contextlib.suppress(trio.BrokenResourceError):
                    for piece in (data[:40], data[40:-2], data[-2:]):
                        await stream.send_all(piece)
                        await trio.sleep(0.15)
                    answer = bytes(await stream.receive_some())
        answers.append(answer)

    async def send_until_refused(self, url):
        """Send on new connections; each gets a prompt answer, a reset or a closed port."""
        answers = []
        async with httpx.AsyncClient(timeout=0.4) as client:
            while True:
                try:
                    answers.append((await self.request(client, url)).status_code)
                except (httpx.ConnectError, httpx.RemoteProtocolError, httpx.ReadError):
                    return answers
                await trio.sleep(0.02)

    def test_requests_of_disconnected_clients_are_cancelled(self):
        async def script(_client, url, process, instances):
            for paused in (False, True):
                for wait_seconds in (0.0, 0.2):
                    if paused:
                        process.send_signal(signal.SIGSTOP)
                    for _ in range(5):
                        await self.send_and_disconnect(url, b"/p/endless", wait_seconds)
                    process.send_signal(signal.SIGCONT)
                    await self.wait_idle(instances)
            answer = await self.send_raw(url, self.request_bytes(b"/p/x", b"last"))
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
            arrived = len(instances.bodies)
            await trio.sleep(0.5)
            self.assertEqual((len(instances.bodies), instances.active), (arrived, 0))

        self.run_node(script)
        outcomes = {e["outcome"] for e in self.events() if e["event"] == "exchange_ended"}
        self.assertLessEqual(outcomes, {"200", "client_left"})

    async def wait_idle(self, instances):
        """Wait until an instance has no active request; an endless one would take a minute."""
        with trio.fail_after(5.0):
            while True:
                if not instances.active:
                    return
                await trio.sleep(0.05)

    def request_bytes(self, path, request_id):
        """Return the bytes of a complete request."""
        return (
            b"POST %b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %b\r\nX-Api-Key: %b\r\n"
            b"Content-Length: 5\r\n\r\nhello" % (path, request_id, KEY.encode())
        )

    async def send_and_disconnect(self, url, path, wait_seconds):
        """Send a request and close the connection after a wait."""
        host, _, port = url.removeprefix("http://").rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(self.request_bytes(path, os.urandom(4).hex().encode()))
            await trio.sleep(wait_seconds)

    def test_a_hangup_reads_the_settings_again_and_bad_ones_change_nothing(self):
        async def script(client, url, process, _instances):
            text = self.path.read_text()
            for changed in (text.replace("z1", "z2"), "name = 1"):
                self.path.write_text(changed)
                process.send_signal(signal.SIGHUP)
                await trio.sleep(0.3)
                self.assertEqual((await self.request(client, url)).status_code, 200)

        self.run_node(script)
        events = {event["event"]: event for event in self.events()}
        self.assertEqual(events["settings_reloaded"]["changed"], ["zone"])
        self.assertIn("name", events["settings_rejected"]["reason"])

    def test_the_ports_listen_while_the_libraries_still_load(self):
        ports = self.free_ports(4)
        self.write_settings(ports)
        fake_trio = self.path.parent / "trio.py"
        fake_trio.write_text("import time\ntime.sleep(600)\n")
        process = self.start(PYTHONPATH=str(fake_trio.parent))
        for port in ports[:2]:
            self.connect_while_running(process, port).close()
        self.assertEqual(self.events(), [])

    def connect_while_running(self, process, port):
        """Return a connection as soon as one is accepted; fail if the process has exited."""
        while True:
            self.assertIsNone(process.poll(), "the process has ended")
            with contextlib.suppress(ConnectionRefusedError):
                return socket.create_connection(("127.0.0.1", port))

    def test_a_hangup_while_the_libraries_load_ends_nothing(self):
        ports = self.free_ports(4)
        self.write_settings(ports)
        gate = self.path.parent / "gate"
        os.mkfifo(gate)
        fake_trio = self.path.parent / "trio.py"
        fake_trio.write_text(f"open({str(gate)!r}).read()\nraise SystemExit(7)\n")
        process = self.start(PYTHONPATH=str(fake_trio.parent))
        self.connect_while_running(process, ports[0]).close()
        process.send_signal(signal.SIGHUP)
        gate.write_text("go on")
        self.assertEqual(process.wait(START_SECONDS), 7)

    def test_settings_by_a_flag_open_no_listener_of_the_other_settings(self):
        ports = self.free_ports(4)
        self.write_settings(ports)
        process = self.start("--node_settings", "nowhere.toml")
        self.assertEqual(process.wait(START_SECONDS), 2)
        self.assertIn("nowhere.toml", self.read_log())

    def test_settings_that_cannot_be_used_end_the_process_with_file_and_field(self):
        for changes, field in (({"zone": ""}, "zone"), ({"store": "nowhere"}, "store")):
            with self.subTest(field):
                self.write_settings([1, 2, 3, 4], **changes)
                process = self.start()
                self.assertEqual(process.wait(START_SECONDS), 2)
                text = self.read_log()
                self.assertIn(field, text)
                self.assertIn("node.toml", text)
