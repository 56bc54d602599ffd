"""An instance that sends an answer twice, the second time late, over real sockets."""

import contextlib
import re
import unittest
from dataclasses import dataclass
from unittest import mock

import trio

from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.serving import RequestKind, Route
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError, SendProof
from hopstep.ports.surplus_answers import SurplusPlace
from hopstep.ports.weights_orders import OrderOutcome, WeightsOrder

ROUTE = Route("r", "h", "/", RequestKind.AT_MOST_ONCE, 3.0, 0.5, 0, ())
ORDER = WeightsOrder(NamedWeights("m", 2), "n", 5, 1)

COPY_DELAYS_SECONDS = (0.0, 0.01, 0.05)
"""Delays between an answer and its copy; without one both are sent in one write."""

SEND_GAPS_SECONDS = (0.0, 0.03, 0.1)
"""Gaps between the end of the first answer and the next send."""

RUN_SECONDS = 0.08
"""Duration of each run: the copy of the answer before may arrive during it."""


@dataclass(frozen=True)
class Copies:
    """How an instance answers.

    Attributes:
        statuses: Status of each run, in order.
        is_chunked: Whether bodies come in chunks.
        delay_seconds: Delay of the copy of the first answer.
    """

    statuses: tuple[int, ...]
    is_chunked: bool = False
    delay_seconds: float = 0.0


class RepeatingInstance:
    """Sends the answer to its first request twice; the stamp of an answer is the run's number."""

    def __init__(self, copies: Copies):
        self.copies = copies
        self.runs = 0
        self.connections = 0

    def answer(self, head: bytes) -> bytes:
        status = self.copies.statuses[min(self.runs, len(self.copies.statuses)) - 1]
        found = re.search(rb"(?i)attempt-id: (\S+)", head)
        lines = [b"HTTP/1.1 %d X" % status]
        if found:
            lines += [b"Attempt-Id: " + found[1], b"Response-Stamp: %d" % self.runs]
        body = b"run %d" % self.runs
        if self.copies.is_chunked:
            framing, data = (
                b"Transfer-Encoding: chunked",
                b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
            )
        else:
            framing, data = b"Content-Length: %d" % len(body), body
        return b"\r\n".join([*lines, framing, b"", data])

    async def read_request(self, stream) -> bytes:
        data = b""
        while True:
            head, end, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            if end and len(body) >= int(length[1] if length else 0):
                return head
            received = b""
            with contextlib.suppress(trio.BrokenResourceError):
                received = await stream.receive_some()
            if not received:
                return b""
            data += received

    async def handle(self, stream):
        self.connections += 1
        async with trio.open_nursery() as nursery:
            while head := await self.read_request(stream):
                self.runs += 1
                await self.respond(nursery, stream, head)

    async def respond(self, nursery, stream, head: bytes):
        is_first = self.runs == 1
        if not is_first:
            await trio.sleep(RUN_SECONDS)
        answer = self.answer(head)
        if is_first and not self.copies.delay_seconds:
            answer += answer
        await self.write(stream, answer)
        if is_first and self.copies.delay_seconds:
            nursery.start_soon(self.write, stream, answer, self.copies.delay_seconds)

    async def write(self, stream, data: bytes, delay_seconds: float = 0.0):
        await trio.sleep(delay_seconds)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)


def request(request_id: str) -> ExchangeRequest:
    return ExchangeRequest(
        request_id=request_id,
        method=b"POST",
        target=b"/a",
        headers=((b"host", b"h"), (b"attempt-id", request_id.encode())),
        body=b"payload",
        route=ROUTE,
        tenant=None,
        received_at=0.0,
        complete_at=0.0,
        deadline=9.0,
        client_deadline=9.0,
    )


class RepeatedAnswersTest(unittest.TestCase):
    def run_with(self, copies: Copies, script) -> RepeatingInstance:
        server = RepeatingInstance(copies)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                port = listeners[0].socket.getsockname()[1]
                self.surplus = []
                client = HttpClient(on_surplus=self.surplus.append)
                await script(
                    HttpInstances(client), Instance("i1", "s", f"127.0.0.1:{port}", "z", 1)
                )
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)
        return server

    # Requests met late answers of an instance that was known to send them, and failed.
    def test_an_instance_with_surplus_bytes_gets_new_connections_for_a_while(self):
        async def script(instances, instance):
            await self.send(instances, instance, "r0")
            for number in range(1, 4):
                await self.send(instances, instance, f"r{number}")

        server = self.run_with(Copies((200,)), script)
        self.assertEqual((server.connections, server.runs), (4, 4))

    # What a connection remembers grew with each request that it carried.
    def test_a_connection_carries_a_bounded_number_of_calls(self):
        with mock.patch("hopstep.platform.http_connection.MAX_SENDS", 3):

            async def script(instances, instance):
                for number in range(6):
                    await self.send(instances, instance, f"r{number}")

            server = self.run_with(Copies((200,), delay_seconds=9.0), script)
        self.assertEqual((server.connections, server.runs), (2, 6))

    # The logs couldn't tell an answer to this send from one to an earlier send.
    def test_surplus_bytes_are_reported_with_their_connection(self):
        for delay, place in ((0.0, SurplusPlace.BEHIND_ANSWER), (0.01, SurplusPlace.BEFORE_SEND)):
            with self.subTest(place):
                proof = SendProof()

                async def script(instances, instance, proof=proof):
                    await self.send(instances, instance, "r1", proof)
                    await trio.sleep(0.05)
                    with contextlib.suppress(InstanceCallError):
                        await self.send(instances, instance, "r2")

                self.run_with(Copies((200,), delay_seconds=delay), script)
                found = self.surplus[0]
                self.assertEqual((found.place, found.sends), (place, 1))
                self.assertEqual(found.connection, proof.connection)
                self.assertGreater(found.size, 0)
                self.assertEqual(proof.send_number, 1)

    async def send(
        self, instances, instance, request_id: str, proof: SendProof | None = None
    ) -> tuple[int, bytes]:
        call = InstanceCall(instance, request(request_id), 1.5, proof=proof or SendProof())
        async with instances.open(call) as answer:
            return answer.status, b"".join([data async for data in answer.body()])

    def each_order_of_events(self):
        for statuses in ((200, 500), (500, 200), (200, 200)):
            for is_chunked in (False, True):
                for delay in COPY_DELAYS_SECONDS:
                    for gap in SEND_GAPS_SECONDS:
                        yield Copies(statuses, is_chunked, delay), gap

    # A client got a success where the instance had answered its second try with a failure.
    def test_a_second_try_of_an_id_gets_the_answer_of_its_own_run(self):
        for copies, gap in self.each_order_of_events():
            with self.subTest(copies=copies, gap=gap):

                async def script(instances, instance, copies=copies, gap=gap):
                    first = await self.send(instances, instance, "r1")
                    self.assertEqual(first, (copies.statuses[0], b"run 1"))
                    await trio.sleep(gap)
                    second = await self.send(instances, instance, "r1")
                    self.assertEqual(second, (copies.statuses[1], b"run 2"))

                self.run_with(copies, script)

    # A request failed, or took the answer to another one, when that came again in its place.
    def test_another_request_gets_the_answer_of_its_own_run(self):
        for copies, gap in self.each_order_of_events():
            with self.subTest(copies=copies, gap=gap):

                async def script(instances, instance, copies=copies, gap=gap):
                    await self.send(instances, instance, "r1")
                    await trio.sleep(gap)
                    second = await self.send(instances, instance, "r2")
                    self.assertEqual(second, (copies.statuses[1], b"run 2"))

                self.run_with(copies, script)

    # An id that comes back in UTF-8 may look like that of another request, whose answer it isn't.
    def test_an_id_that_comes_back_in_another_form_answers_no_request_of_that_form(self):
        for first, second in (("r\xe9", "r\xc3\xa9"), ("r\xc3\xa9", "r\xe9")):
            for delay in COPY_DELAYS_SECONDS:
                with self.subTest(first=first, delay=delay):

                    async def script(instances, instance, first=first, second=second):
                        found = await self.send(instances, instance, first)
                        self.assertEqual(found, (200, b"run 1"))
                        found = await self.send(instances, instance, second)
                        self.assertEqual(found, (500, b"run 2"))

                    self.run_with(Copies((200, 500), delay_seconds=delay), script)

    # The copy of a request's success made an order that was refused look carried out.
    def test_an_order_is_never_answered_by_the_copy_of_a_requests_answer(self):
        for delay in COPY_DELAYS_SECONDS:
            with self.subTest(delay=delay):

                async def script(instances, instance):
                    await self.send(instances, instance, "r1")
                    outcome = await instances.order(instance, ORDER)
                    self.assertIs(outcome, OrderOutcome.BUSY_OR_SEQUENCE_CHANGED)

                self.run_with(Copies((200, 409), delay_seconds=delay), script)

    # The copy of a refused order was taken for the refusal of a request that ran.
    def test_a_request_is_never_refused_by_the_copy_of_an_orders_refusal(self):
        for delay in COPY_DELAYS_SECONDS:
            with self.subTest(delay=delay):

                async def script(instances, instance):
                    await instances.order(instance, ORDER)
                    found = await self.send(instances, instance, "r1")
                    self.assertEqual(found, (500, b"run 2"))

                self.run_with(Copies((421, 500), delay_seconds=delay), script)

    # The copy of an order's answer told the outcome of the next order.
    def test_an_order_is_never_answered_by_the_copy_of_another_orders_answer(self):
        for delay in COPY_DELAYS_SECONDS:
            with self.subTest(delay=delay):

                async def script(instances, instance):
                    first = await instances.order(instance, ORDER)
                    self.assertIs(first, OrderOutcome.ALREADY_LOADED)
                    second = await instances.order(instance, ORDER)
                    self.assertIs(second, OrderOutcome.BUSY_OR_SEQUENCE_CHANGED)

                self.run_with(Copies((200, 409), delay_seconds=delay), script)
