"""Engines that stop in their answers: what callers get of the HTTP API, over real sockets.

A caller gets the whole answer, an error without a part of it, or a stream that ends in an error
event without its end marker. Each case has engines and a dispatcher of its own.
"""

import contextlib
import itertools
import random
import re
import socket
import struct
import unittest
from collections import Counter

import h11
import msgspec
import trio

from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.engine_messages import GENERATE_PATH, Refusal
from hopstep.adapters.http_server import serve_http
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import FinishReason, GenerateRequest, TokenFrame, Usage
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.requests.admission import AdmissionService
from hopstep.services.requests.attempt_factory import new_nonce
from hopstep.services.requests.dispatcher import Dispatcher
from tests.adapters.http_api.harness import CONFIGURATION, KEY, TOKENS, Harness

TEXT = "".join(TOKENS)
CLIENTS_AT_ONCE = 50
IDLE_SECONDS = 0.3
TEST_SECONDS = 60.0
"""Bounds failures only."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEADS = {
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "by close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "by length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
}
ENDINGS = ("close", "reset", "silence")
OTHER_NONCE = "another"
OK = 200
FAILURES = (502, 503, 504)
"""Statuses of errors; whether the request may have run stands in the error."""


class Case(msgspec.Struct, frozen=True):
    """One request and how its first answer is cut; ``cut`` is None for a whole answer.

    Attributes:
        form: Framing of the answer.
        cut: Bytes of the answer that the engine sends.
        ending: ``close``, ``reset`` or ``silence``.
        stream: Whether the caller asks for a stream.
        has_second: Whether another engine answers whole; else every engine is cut.
        behind: Bytes that follow the cut.
    """

    form: str
    cut: int | None
    ending: str = "close"
    stream: bool = False
    has_second: bool = False
    behind: bytes = b""


def frames(nonce, first=0, incarnation="i"):
    """Return the frames of an answer, from a token on."""
    last = len(TOKENS)
    usage = Usage(40, 32, 0, last - first)
    for index in range(first, last):
        yield TokenFrame(nonce, incarnation, index, (TOKENS[index],))
    yield TokenFrame(nonce, incarnation, last, (), FinishReason.STOP, usage)


def render(form, nonce, first=0, incarnation="i"):
    """Return the bytes of an answer."""
    lines = [msgspec.json.encode(frame) + b"\n" for frame in frames(nonce, first, incarnation)]
    if form == "in chunks":
        body = b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in lines) + b"0\r\n\r\n"
        return HEADS[form] + body
    body = b"".join(lines)
    return (HEADS[form] % len(body) if b"%" in HEADS[form] else HEADS[form]) + body


def head_bytes(form):
    """Return the places within the head."""
    return range(render(form, new_nonce()).index(b"\r\n\r\n") + len(b"\r\n\r\n"))


def edges(form):
    """Return the places at each edge of a line of the body, and in the middle of each line."""
    answer = render(form, new_nonce())
    start = head_bytes(form)[-1] + 1
    lines = re.finditer(rb"\r?\n", answer[start:])
    places = {start + place for match in lines for place in match.span()}
    middles = {(a + b) // 2 for a, b in itertools.pairwise(sorted({start, *places}))}
    return sorted({start} | places | middles)


class CutEngines:
    """The engines of all cases, at one listener."""

    def __init__(self, cases):
        self.attempts = Counter()
        self._cases = cases

    async def handle(self, stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with stream:
                while await self._serve(stream):
                    pass

    async def _serve(self, stream):
        """Serve one request; return whether the connection stays open."""
        received = b""
        while True:
            head, end, body = received.partition(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head.lower())
            if end and len(body) >= int(length[1] if length else 0):
                break
            data = await stream.receive_some()
            if not data:
                return False
            received += data
        if not head.startswith(b"POST " + GENERATE_PATH.encode() + b" "):
            await stream.send_all(refusal())
            return False
        request = msgspec.json.decode(body, type=GenerateRequest)
        return await self._answer(stream, request)

    async def _answer(self, stream, request):
        number = int(re.search(r"case (\d+)", request.prompt)[1])
        case = self._cases[number]
        self.attempts[number] += 1
        is_cut = self.attempts[number] == 1 or not case.has_second
        incarnation = f"i{self.attempts[number]}"
        first = len(request.continued_text)
        answer = render(case.form, request.nonce, first, incarnation)
        if not is_cut or case.cut is None:
            await stream.send_all(answer)
            return case.form != "by close"
        await stream.send_all(answer[: case.cut] + case.behind)
        if case.ending == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        elif case.ending == "silence":
            while await stream.receive_some():
                pass
        return False


def refusal(code=ErrorCode.PRECONDITION_FAILED, nonce=""):
    """Return the answer to calls other than attempts, by which nothing is proved, or a refusal."""
    execution = Execution.NOT_RUN if nonce else Execution.UNKNOWN
    message = Refusal(code, "refused", execution, nonce)
    body = msgspec.json.encode(message)
    return b"HTTP/1.1 412 X\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class CaseRunner:
    """Runs each request by the dispatcher of its case."""

    def __init__(self, cases, port, engines):
        self._dispatchers = [
            self._make_dispatcher(number, port, engines) for number in range(len(cases))
        ]

    def run(self, request):
        number = int(re.search(r"case (\d+)", request.prompt)[1])
        return self._dispatchers[number].run(request)

    def _make_dispatcher(self, number, port, engines):
        options = {"labels": {"site": "a"}, "models": ("small",)}
        back_ends = [BackEnd(f"e{host}", f"127.0.0.{host}:{port}", **options) for host in (1, 2)]
        holder = ConfigurationHolder()
        table = RoutingTable(random.Random(number))
        holder.subscribe(table.update_configuration)
        document = msgspec.structs.replace(CONFIGURATION, back_ends=tuple(back_ends))
        holder.apply(AcceptedConfiguration(7, document))
        return Dispatcher(engines, table, holder, AdmissionService(holder, table))


async def ask(address, number, *, stream):
    """Send a request; return status, body and whether the answer is complete by its framing."""
    content = {"model": "small", "prompt": f"case {number}", "stream": stream}
    body = msgspec.json.encode(content)
    connection = h11.Connection(h11.CLIENT)
    fields = [
        ("Host", "h"),
        ("Authorization", f"Bearer {KEY}"),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    request = h11.Request(method="POST", target="/v1/completions", headers=fields)
    host, _, port = address.rpartition(":")
    status, received = 0, b""
    async with await trio.open_tcp_stream(host, int(port)) as opened:
        await opened.send_all(connection.send(request) + connection.send(h11.Data(body)))
        connection.send(h11.EndOfMessage())
        with contextlib.suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await opened.receive_some())
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    received += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return status, received, True
    return status, received, False


def outcome_of(case, status, body, is_framed):
    """Return ``whole``, ``failed`` or ``broken``; raise ``AssertionError`` for anything else."""
    if case.stream and status == OK:
        return outcome_of_stream(body, is_framed)
    document = msgspec.json.decode(body) if is_framed else None
    if is_framed and status == OK:
        choice = document["choices"][0]
        if (choice["text"], choice["finish_reason"]) != (TEXT, "stop"):
            raise AssertionError("looks whole and isn't")
        return "whole"
    if is_framed and (status not in FAILURES or document["error"]["execution"] != "unknown"):
        raise AssertionError("promises something")
    return "failed" if is_framed else "broken"


def outcome_of_stream(body, is_framed):
    """Return the same for a stream of events."""
    events = [event.removeprefix("data: ") for event in body.decode().split("\n\n") if event]
    has_end = events[-1:] == ["[DONE]"]
    chunks = [msgspec.json.decode(event) for event in events if event != "[DONE]"]
    texts = [chunk["choices"][0]["text"] for chunk in chunks if "choices" in chunk]
    if not TEXT.startswith("".join(texts)):
        raise AssertionError("isn't a part of the answer")
    if has_end:
        if "".join(texts) != TEXT or not is_framed:
            raise AssertionError("looks whole and isn't")
        return "whole"
    if is_framed and "error" not in chunks[-1]:
        raise AssertionError("ends without an error")
    return "failed" if is_framed else "broken"


class CutEnginesTest(unittest.TestCase):
    def play(self, cases):
        """Play cases; return how often they had which outcome."""
        outcomes = Counter()
        for number, (case, result) in enumerate(
            zip(cases, trio.run(self._run, cases), strict=True)
        ):
            with self.subTest(case=case, number=number):
                self.assertGreater(self.engines.attempts[number], 0)
                outcome = outcome_of(case, *result)
                if case.cut is None:
                    self.assertEqual(outcome, "whole")
                outcomes[outcome] += 1
        return outcomes

    async def _run(self, cases):
        self.engines = CutEngines(cases)
        results = [None] * len(cases)
        with trio.fail_after(TEST_SECONDS):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="0.0.0.0", backlog=1024)  # noqa: S104
                nursery.start_soon(trio.serve_listeners, self.engines.handle, listeners)
                port = listeners[0].socket.getsockname()[1]
                calls = HttpEngine(
                    idle_timeout_seconds=IDLE_SECONDS, call_timeout_seconds=IDLE_SECONDS
                )
                harness = Harness(nursery, runner=CaseRunner(cases, port, calls))
                bound = await nursery.start(
                    serve_http, harness.app, "127.0.0.1:0", None, trio.sleep_forever
                )
                address = bound[0].removeprefix("http://")
                limit = trio.CapacityLimiter(CLIENTS_AT_ONCE)

                async def play(number):
                    async with limit:
                        results[number] = await ask(address, number, stream=cases[number].stream)

                async with trio.open_nursery() as clients:
                    for number in range(len(cases)):
                        clients.start_soon(play, number)
                await calls.aclose()
                nursery.cancel_scope.cancel()
        return results

    def test_every_engine_stops(self):
        form = "in chunks"
        cases = [Case(form, place, stream=True) for place in (*head_bytes(form), *edges(form))]
        for form in ("by close", "by length"):
            cases.extend(Case(form, place) for place in edges(form))
        outcomes = self.play([*cases, Case(form, None)])
        self.assertGreater(outcomes["failed"], 0)

    def test_another_engine_goes_on(self):
        form = "in chunks"
        places = (*head_bytes(form), *edges(form))
        cases = [
            Case(form, place, ending, has_second=True) for ending in ENDINGS for place in places
        ]
        cases.extend(Case(form, place, stream=True, has_second=True) for place in edges(form))
        outcomes = self.play(cases)
        self.assertGreater(outcomes["whole"], outcomes["failed"])

    def test_another_answer_follows_a_cut_head(self):
        """Guards against a success with the frames of another attempt."""
        form = "by close"
        others = (render("by close", OTHER_NONCE), refusal(ErrorCode.OVERLOADED, OTHER_NONCE))
        cases = [Case(form, place, behind=other) for other in others for place in head_bytes(form)]
        outcomes = self.play(cases)
        self.assertEqual(set(outcomes), {"failed"})


if __name__ == "__main__":
    unittest.main()
