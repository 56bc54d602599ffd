"""Instances that send bytes until the caller closes, beside sound ones at a real node."""

import json
from pathlib import Path

import httpx
import trio

from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT
from tests.processes.test_exchange_node import CONFIGURATION, KEY, NodeProcessCase

DEADLINE_SECONDS = 2.0
LATE_SECONDS = 0.5
"""Time after the deadline within which a node has done with a request."""

UNREAD_SECONDS = 0.6
"""Time after the deadline for which clients that read nothing keep their connections."""

CLOSING_SECONDS = 2.0
"""Time after the deadline within which clients see the end: they read what is on its way first."""

REQUESTS = 6
"""Requests to each faulty instance, all at the same time."""

SOUND_REQUESTS = 60
SPACING_SECONDS = 0.03
MAX_GROWTH_MIB = 64.0
"""Memory that the node may need beyond that before the first faulty answer."""

PIECE_BYTES = 64 * 1024
FILLER = b"a" * PIECE_BYTES
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Stamp: s\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FORMS = {
    "garbage": ("safe", b"", FILLER),
    "zeros": ("unsafe", b"", bytes(PIECE_BYTES)),
    "header-line": ("safe", HEAD + b"X-Filler: ", FILLER),
    "header-lines": ("unsafe", HEAD, b"X-Filler: a\r\n" * 4_096),
    "interim-responses": ("safe", b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_048),
    "a-length-of-100-gigabytes": ("safe", HEAD + b"Content-Length: 107374182400\r\n\r\n", FILLER),
    "the-same-at-most-once": ("unsafe", HEAD + b"Content-Length: 107374182400\r\n\r\n", FILLER),
    "one-chunk-of-16-terabytes": ("safe", HEAD + CHUNKED + b"ffffffffffe\r\n", FILLER),
    "small-chunks": ("unsafe", HEAD + CHUNKED, b"1\r\na\r\n" * 8_192),
    "a-chunk-extension": ("safe", HEAD + CHUNKED + b"5;x=", FILLER),
    "trailers": ("safe", HEAD + CHUNKED + b"1\r\na\r\n0\r\n", b"X-Filler: a\r\n" * 4_096),
    "a-body-without-framing": ("unsafe", HEAD + b"Connection: close\r\n\r\n", FILLER),
    "a-stream-without-an-event": ("streaming", EVENTS + b"Connection: close\r\n\r\n", FILLER),
    "a-stream-of-comments": ("streaming", EVENTS + CHUNKED, b"3\r\n:a\n\r\n" * 8_192),
    "a-stream-of-empty-lines": ("streaming", EVENTS + CHUNKED, b"1\r\n\n\r\n" * 8_192),
    "a-stream-of-the-same-event": (
        "streaming",
        EVENTS + CHUNKED,
        b"f\r\nid: 0\ndata: a\n\n\r\n" * 2_048,
    ),
}
"""Kind of the route, beginning of the answer, and bytes that follow again and again, by form."""


class FaultyInstance:
    """An instance that answers each request without end."""

    def __init__(self, form):
        _kind, self.beginning, self.repeated = FORMS[form]

    async def serve(self, stream):
        try:
            request = await stream.receive_some(PIECE_BYTES)
            request_id = next(
                line.partition(b": ")[2]
                for line in request.split(b"\r\n")
                if line.lower().startswith(b"attempt-id: ")
            )
            await stream.send_all(self.beginning.replace(b"%b", request_id))
            while True:
                await stream.send_all(self.repeated)
        except (trio.BrokenResourceError, trio.ClosedResourceError, StopIteration):
            return


def peak_mib(process):
    """Return the most memory that a process had resident, in MiB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1_024 for line in lines if line.startswith("VmHWM:"))


class AnswersWithoutEndTest(NodeProcessCase):
    async def list_faulty(self, nursery, form):
        """Start a faulty instance and list it as the only one of its service."""
        faulty = FaultyInstance(form)
        listeners = await nursery.start(trio.serve_tcp, faulty.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        entry = {
            "service": form,
            "address": f"127.0.0.1:{port}",
            "zone": "z1",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSequence": 0,
        }
        value = json.dumps(entry).encode()
        await self.shared.execute(wire.CompareAndSwap(f"servers/{form}", ABSENT.revision, value))

    async def send(self, client, url, name, path):
        """Send a request; return its status, None without a whole answer, and its seconds."""
        headers = {
            "Host": "h.example",
            "X-Api-Key": KEY,
            "Attempt-Id": name,
            "Deadline-Ms": str(round(DEADLINE_SECONDS * 1_000)),
        }
        began_at = trio.current_time()
        status = None
        try:
            async with client.stream("POST", url + path, headers=headers) as answer:
                async for _data in answer.aiter_raw():
                    pass
                status = answer.status_code
        except httpx.TransportError:
            pass
        return status, trio.current_time() - began_at

    async def send_and_read_nothing(self, url, name, path):
        """Send a request, and leave its answer unread for some time after the deadline."""
        lines = (
            f"POST {path} HTTP/1.1",
            "Host: h.example",
            f"X-Api-Key: {KEY}",
            f"Attempt-Id: {name}",
            f"Deadline-Ms: {round(DEADLINE_SECONDS * 1_000)}",
            "Content-Length: 0",
        )
        host, _, port = url.removeprefix("http://").partition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode())
            await trio.sleep(DEADLINE_SECONDS + UNREAD_SECONDS)
        return None, 0.0

    def test_bytes_without_end_cost_neither_the_memory_of_a_node_nor_other_requests(self):
        # Another operator's machines kept all such bytes, ran out of memory and ended.
        self.check_requests_beside_endless_answers(self.send)
        ended = [line for line in self.events() if line["event"] == "exchange_ended"]
        latest = max(line["total_ms"] for line in ended) / 1_000
        self.assertLess(latest, DEADLINE_SECONDS + LATE_SECONDS)

    def test_the_same_for_clients_that_read_nothing(self):
        async def send(_client, url, name, path):
            return await self.send_and_read_nothing(url, name, path)

        self.check_requests_beside_endless_answers(send)

    def check_requests_beside_endless_answers(self, send_request):
        """Send requests to faulty instances, in some way, and to sound ones, and check them all."""
        faulty, sound = {form: [] for form in FORMS}, []

        async def send_faulty(client, url, form, number):
            name = f"{form}-{number}"
            faulty[form].append(await send_request(client, url, name, f"/{form}/x"))

        async def send_sound(client, url, number):
            sound.append(await self.send(client, url, f"sound {number}", "/p/x"))

        async def script(_client, url, process, _instances):
            limits = httpx.Limits(max_connections=None)
            async with (
                httpx.AsyncClient(timeout=30.0, limits=limits) as client,
                trio.open_nursery() as instances,
            ):
                for form in FORMS:
                    await self.list_faulty(instances, form)
                await trio.sleep(1.5)
                self.assertEqual((await self.send(client, url, "first", "/p/x"))[0], 200)
                before = peak_mib(process)
                async with trio.open_nursery() as nursery:
                    for form in FORMS:
                        for number in range(REQUESTS):
                            nursery.start_soon(send_faulty, client, url, form, number)
                    for number in range(SOUND_REQUESTS):
                        nursery.start_soon(send_sound, client, url, number)
                        await trio.sleep(SPACING_SECONDS)
                self.growth = peak_mib(process) - before
                self.exit_code = process.poll()
                instances.cancel_scope.cancel()

        routes = [
            {
                **CONFIGURATION["routes"][0],
                "name": form,
                "pathPrefix": f"/{form}/",
                "kind": kind,
                "service": form,
                "maxAttempts": 2 if kind == "safe" else 1,
            }
            for form, (kind, _beginning, _repeated) in FORMS.items()
        ]
        configuration = {
            **CONFIGURATION,
            "routes": [*CONFIGURATION["routes"], *routes],
            "services": [{"name": "s", "connectionLimit": 100}]
            + [{"name": form, "connectionLimit": 100} for form in FORMS],
        }
        self.run_node(script, configuration=configuration, memory_mb=300)
        self.assertIsNone(self.exit_code, "the node has ended")
        self.assertEqual({status for status, _seconds in sound}, {200})
        self.assertLess(self.growth, MAX_GROWTH_MIB)
        for form, results in faulty.items():
            with self.subTest(form=form):
                self.assertNotIn(200, {status for status, _seconds in results})
                slowest = max(seconds for _status, seconds in results)
                self.assertLess(slowest, DEADLINE_SECONDS + CLOSING_SECONDS)
