"""The engine contract over loopback HTTP, and the errors for broken peers."""

import contextlib
import functools
import re
import unittest

import httpx
import msgspec
import structlog.testing
import trio

from emulator.engine.records import RunRecord
from emulator.engine.server import ADMIN_FAULTS_PATH, ADMIN_RUNS_PATH
from emulator.engine.service import serve_engine
from emulator.kv_cache_store.server import serve_kv_cache_store
from emulator.weight_store.model import LoadRefusedError, WeightStoreModel
from emulator.weight_store.server import serve_weight_store
from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.engine_messages import (
    GENERATE_PATH,
    ORDERS_PATH,
    RESUME_PATH,
    Refusal,
)
from hopstep.adapters.engine_stream import StreamDecoder
from hopstep.exceptions import EngineError, ErrorCode, Execution
from hopstep.ports.engine import EngineOrder, FinishReason, TokenFrame, Usage
from tests.contract.engine_contract import (
    CONFIG,
    IDLE_TIMEOUT_SECONDS,
    INTERRUPTED,
    REQUEST,
    WEIGHTS,
    EngineContract,
    EngineFixture,
)

UNREACHABLE = (ErrorCode.ENGINE_UNREACHABLE, Execution.UNKNOWN)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def new_port():
    return HttpEngine(
        idle_timeout_seconds=IDLE_TIMEOUT_SECONDS, call_timeout_seconds=IDLE_TIMEOUT_SECONDS
    )


def address_of(binds):
    return binds[0].removeprefix("http://")


class HttpEngineTest(EngineContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def fixture(self):
        stop = trio.Event()
        async with (
            trio.open_nursery() as nursery,
            contextlib.aclosing(new_port()) as port,
            httpx.AsyncClient(trust_env=False) as admin,
        ):
            serve = functools.partial(serve_engine, CONFIG, WEIGHTS)
            address = address_of(await nursery.start(serve, "127.0.0.1:0", stop.wait))
            store = await nursery.start(serve_kv_cache_store, "127.0.0.1:0", stop.wait)

            async def set_faults(faults):
                content = msgspec.json.encode(faults)
                response = await admin.post(f"http://{address}{ADMIN_FAULTS_PATH}", content=content)
                response.raise_for_status()

            async def runs():
                response = await admin.get(f"http://{address}{ADMIN_RUNS_PATH}")
                return msgspec.json.decode(response.content, type=tuple[RunRecord, ...])

            yield EngineFixture(port, address, address_of(store), set_faults, runs)
            stop.set()
            nursery.cancel_scope.cancel()

    def run_async(self, test):
        trio.run(test)


class EngineServerTest(unittest.TestCase):
    """The emulated engine: invalid input, refusals as HTTP statuses, loads of weights."""

    def run_engine(self, test, store):
        async def body():
            stop = trio.Event()
            async with trio.open_nursery() as nursery, contextlib.aclosing(new_port()) as port:
                serve = functools.partial(serve_weight_store, store)
                weight_store = await nursery.start(serve, "127.0.0.1:0", stop.wait)
                serve = functools.partial(
                    serve_engine, CONFIG, WEIGHTS, weight_store=address_of(weight_store)
                )
                address = address_of(await nursery.start(serve, "127.0.0.1:0", stop.wait))
                await test(port, address)
                stop.set()
                nursery.cancel_scope.cancel()

        trio.run(body)

    def test_bad_bodies_name_the_field(self):
        async def test(_port, address):
            async with httpx.AsyncClient(trust_env=False) as client:
                for path, content, field in (
                    (GENERATE_PATH, b'{"nonce": 1}', "nonce"),
                    (GENERATE_PATH, b"{", ""),
                    (RESUME_PATH, b'{"nonce": "n", "incarnation": "i"}', "next_sequence"),
                    (ORDERS_PATH, b'{"fence": "x"}', "fence"),
                    (ADMIN_FAULTS_PATH, b'{"crush": true}', "crush"),
                ):
                    response = await client.post(f"http://{address}{path}", content=content)
                    answer = msgspec.json.decode(response.content, type=Refusal)
                    self.assertEqual(response.status_code, 400)
                    self.assertEqual(answer.code, ErrorCode.MALFORMED_REQUEST)
                    self.assertIn(field, answer.message)

        self.run_engine(test, WeightStoreModel(1.0, 1))

    def test_a_load_is_asked_for_until_the_weight_store_grants_it(self):
        class BusyStore(WeightStoreModel):
            refusals = 2

            def begin_load(self, now):
                if self.refusals:
                    self.refusals -= 1
                    raise LoadRefusedError
                return super().begin_load(now)

        store = BusyStore(CONFIG.weight_load_seconds, 1)

        async def test(port, address):
            facts = await port.order(address, EngineOrder(1, {"model": "v2"}))
            for _ in range(500):
                if facts.weights:
                    break
                await trio.sleep(0.01)
                facts = await port.probe(address)
            self.assertEqual((facts.weights, store.refusals), ({"model": "v2"}, 0))

        self.run_engine(test, store)


def chunk(*lines):
    body = b"".join(line + b"\n" for line in lines)
    return f"{len(body):x}\r\n".encode() + body + b"\r\n"


def refusal(nonce, execution=Execution.NOT_RUN):
    body = msgspec.json.encode(Refusal(ErrorCode.OVERLOADED, "full", execution, nonce, 3.0))
    return f"HTTP/1.1 503 Busy\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


FRAMES = (
    TokenFrame("n", "i", 0, ("a", "b"), usage=Usage(4, 2)),
    TokenFrame("n", "i", 2, ("é",)),
    TokenFrame("m", "i", 3, ("x",), FinishReason.STOP),
    TokenFrame("n", "i", 3, ("d",), FinishReason.LENGTH, Usage(4, 2, 0, 4)),
)
FRAME_LINES = tuple(msgspec.json.encode(frame) for frame in FRAMES)
COMPLETE_RESPONSE = RESPONSE_HEAD + chunk(*FRAME_LINES) + b"0\r\n\r\n"

# Case, bytes that the peer sends before it closes the connection, and expected error.
BROKEN_PEERS = (
    ("closes without an answer", b"", UNREACHABLE),
    ("closes within the head", RESPONSE_HEAD[:30], UNREACHABLE),
    ("sends no HTTP", b"hello\r\n\r\n", UNREACHABLE),
    ("sends a status without a body", b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", UNREACHABLE),
    ("cuts a refusal", refusal("n")[:-4], UNREACHABLE),
    ("refuses another nonce", refusal("m"), (ErrorCode.OVERLOADED, Execution.UNKNOWN)),
    ("refuses no nonce", refusal(""), (ErrorCode.OVERLOADED, Execution.UNKNOWN)),
    (
        "refuses without proof",
        refusal("n", Execution.UNKNOWN),
        (ErrorCode.OVERLOADED, Execution.UNKNOWN),
    ),
    ("refuses as not run", refusal("n"), (ErrorCode.OVERLOADED, Execution.NOT_RUN)),
    ("closes after the head", RESPONSE_HEAD, INTERRUPTED),
    (
        "ends before the last frame",
        RESPONSE_HEAD + chunk(*FRAME_LINES[:3]) + b"0\r\n\r\n",
        INTERRUPTED,
    ),
    (
        "cuts the last frame",
        RESPONSE_HEAD + chunk(FRAME_LINES[0], FRAME_LINES[3][:-1])[:-3],
        INTERRUPTED,
    ),
    ("sends what isn't a frame", RESPONSE_HEAD + chunk(b'{"nonce": 1}'), INTERRUPTED),
    ("closes after the last frame", COMPLETE_RESPONSE[:-5], None),
    ("answers whole", COMPLETE_RESPONSE, None),
)


class BrokenPeerTest(unittest.TestCase):
    """Runs against a peer on plain sockets, which counts the requests that it receives."""

    async def receive(self, stream):
        """Return one complete request; empty if the connection is closed."""
        data = b""
        while b"\r\n\r\n" not in data or len(data) < self.message_length(data):
            received = await stream.receive_some(65536)
            if not received:
                return b""
            data += received
        return data

    @staticmethod
    def message_length(data):
        head, _, _ = data.partition(b"\r\n\r\n")
        match = re.search(rb"(?i)content-length: (\d+)", head)
        return len(head) + 4 + int(match[1] if match else 0)

    async def serve(self, nursery, answers, requests):
        """Answer each request with the next of ``answers``; for None send nothing."""

        async def handle(stream):
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while request := await self.receive(stream):
                    requests.append(request)
                    answer, keep = answers.pop(0)
                    if answer is None:
                        await trio.sleep_forever()
                    await stream.send_all(answer)
                    if not keep:
                        await stream.aclose()
                        return

        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
        )
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    def run_against(self, answers, test):
        requests = []

        async def body():
            async with contextlib.aclosing(new_port()) as port, trio.open_nursery() as nursery:
                address = await self.serve(nursery, list(answers), requests)
                await test(port, address)
                nursery.cancel_scope.cancel()

        trio.run(body)
        return requests

    async def read(self, port, address):
        async with port.generate(address, REQUEST) as frames:
            return [frame async for frame in frames]

    def test_broken_peers(self):
        for name, answer, expected in BROKEN_PEERS:

            async def test(port, address, expected=expected):
                try:
                    frames = await self.read(port, address)
                except EngineError as error:
                    self.assertEqual((error.code, error.execution), expected)
                else:
                    self.assertIsNone(expected)
                    self.assertEqual(frames[-1], FRAMES[-1])

            with self.subTest(name), structlog.testing.capture_logs() as logs:
                requests = self.run_against([(answer, False)], test)
                self.assertNotIn(REQUEST.prompt, repr(logs))
                malformed = [log["number"] for log in logs]
                self.assertEqual(malformed, ["HS6001"] * (name == "sends what isn't a frame"))
                self.assertEqual(len(requests), 1, "a request must never be repeated")

    def test_nothing_listens(self):
        async def test():
            async with contextlib.aclosing(new_port()) as port:
                for address in ("127.0.0.1:1", "127.0.0.1:none"):
                    for call in (self.read(port, address), port.probe(address)):
                        with self.assertRaises(EngineError) as caught:
                            await call
                        self.assertEqual(caught.exception.execution, Execution.NOT_RUN)

        trio.run(test)

    def test_silent_peer(self):
        async def test(port, address):
            for call in (self.read(port, address), port.probe(address)):
                with self.assertRaises(EngineError) as caught:
                    await call
                error = caught.exception
                self.assertEqual((error.code, error.execution), UNREACHABLE)

        self.run_against([(None, True), (None, True)], test)

    def test_stream_that_goes_silent(self):
        async def test(port, address):
            with self.assertRaises(EngineError) as caught:
                await self.read(port, address)
            self.assertEqual((caught.exception.code, caught.exception.execution), INTERRUPTED)

        self.run_against([(RESPONSE_HEAD + chunk(FRAME_LINES[0]), True)], test)

    def test_pooled_connection_that_the_peer_closes_on_the_next_request(self):
        async def test(port, address):
            await self.read(port, address)
            with self.assertRaises(EngineError) as caught:
                await self.read(port, address)
            error = caught.exception
            self.assertEqual((error.code, error.execution), UNREACHABLE)

        requests = self.run_against([(COMPLETE_RESPONSE, True), (b"", False)], test)
        self.assertEqual(len(requests), 2)

    def test_connection_is_kept_when_the_reader_stops_at_the_last_frame(self):
        connection_counts = []

        async def test(port, address):
            for _ in range(3):
                async with port.generate(address, REQUEST) as frames:
                    async for frame in frames:
                        if frame.finish_reason is FinishReason.LENGTH:
                            break
                pools = port._transport._pools.values()
                connection_counts.append(sum(len(pool._pool.connections) for pool in pools))

        self.run_against([(COMPLETE_RESPONSE, True)] * 3, test)
        self.assertEqual(connection_counts, [1, 1, 1])


class StreamDecoderTest(unittest.TestCase):
    def test_split_at_every_byte(self):
        data = b"\n".join((FRAME_LINES[0], b"", *FRAME_LINES[1:])) + b"\n"
        joined = TokenFrame("n", "i", 0, ("a", "b", "é"), usage=Usage(4, 2))
        expected_frames = [joined, FRAMES[2], FRAMES[3]]
        self.assertEqual(StreamDecoder("n", "engine").feed(data), expected_frames)
        for split_at in range(len(data) + 1):
            decoder = StreamDecoder("n", "engine")
            frames = decoder.feed(data[:split_at]) + decoder.feed(data[split_at:])
            tokens = [token for frame in frames for token in frame.tokens]
            self.assertEqual(tokens, ["a", "b", "é", "x", "d"])
            self.assertTrue(decoder.finished)
            self.assertEqual(frames[-2:], expected_frames[-2:])

    def test_only_exact_successors_are_joined(self):
        for other in (
            TokenFrame("n", "i", 3, ("c",)),
            TokenFrame("n", "i", 1, ("c",)),
            TokenFrame("m", "i", 2, ("c",)),
            TokenFrame("n", "j", 2, ("c",)),
        ):
            data = FRAME_LINES[0] + b"\n" + msgspec.json.encode(other) + b"\n"
            self.assertEqual(StreamDecoder("n", "engine").feed(data), [FRAMES[0], other])

    def test_endless_line(self):
        with self.assertRaises(EngineError), structlog.testing.capture_logs():
            StreamDecoder("n", "engine").feed(b"x" * (1024 * 1024 + 1))


if __name__ == "__main__":
    unittest.main()
