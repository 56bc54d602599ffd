"""Notices of an instance are taken from its own responses only, over real sockets."""

import unittest

import trio

from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.instance_notices import AnswerKind, InstanceNotice, LimitNotice
from hopstep.exceptions import Execution
from hopstep.platform.cache_events import PlatformCacheEvents
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError
from hopstep.ports.weights_orders import WeightsOrder
from tests.platform.test_instances import RawServer, request

NO_LIMIT = LimitNotice()
UNLIMITED_REFUSAL = LimitNotice(kind=AnswerKind.REFUSAL)
CONTROL = LimitNotice(kind=AnswerKind.CONTROL)
EVENTS = LimitNotice(kind=AnswerKind.CACHE_EVENTS)
UNLIMITED = InstanceNotice(limit=NO_LIMIT)
"""Notice in a response to a request without a limit header: there is no limit any more."""

NOT_RUN = b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
OWN = b"Attempt-Id: r1\r\n"
LEAVING = b"Server-Leaving: 1\r\n"
RETRY_AFTER = b"Retry-After: 3\r\n"
BODY = b"Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"
LIMIT = b"Server-Limit: 1.5\r\n"
LIMITED = InstanceNotice(limit=LimitNotice(1.5))

ANSWERS = (
    (
        "a success",
        b"HTTP/1.1 200 OK\r\n" + OWN + LEAVING + BODY,
        InstanceNotice(True, 0.0, NO_LIMIT),
    ),
    (
        "a failure",
        b"HTTP/1.1 500 X\r\n" + OWN + LEAVING + BODY,
        InstanceNotice(True, 0.0, NO_LIMIT),
    ),
    ("a success without a notice", b"HTTP/1.1 200 OK\r\n" + OWN + BODY, UNLIMITED),
    ("another value", b"HTTP/1.1 200 OK\r\n" + OWN + b"Server-Leaving: 0\r\n" + BODY, UNLIMITED),
    (
        "a refusal with its id",
        b"HTTP/1.1 503 X\r\n" + OWN + RETRY_AFTER + NOT_RUN,
        InstanceNotice(False, 3.0, NO_LIMIT),
    ),
    (
        "a refusal without an id",
        b"HTTP/1.1 503 X\r\n" + RETRY_AFTER + NOT_RUN,
        InstanceNotice(False, 3.0, UNLIMITED_REFUSAL),
    ),
    (
        "a refusal while shutting down",
        b"HTTP/1.1 503 X\r\n" + OWN + LEAVING + NOT_RUN,
        InstanceNotice(True, 0.0, NO_LIMIT),
    ),
    ("a success with Retry-After", b"HTTP/1.1 200 OK\r\n" + OWN + RETRY_AFTER + BODY, UNLIMITED),
    ("a success with a limit", b"HTTP/1.1 200 OK\r\n" + OWN + LIMIT + BODY, LIMITED),
    ("a failure with a limit", b"HTTP/1.1 500 X\r\n" + OWN + LIMIT + BODY, LIMITED),
    ("a refusal with a limit", b"HTTP/1.1 503 X\r\n" + OWN + LIMIT + NOT_RUN, LIMITED),
    (
        "a refusal with a limit, no id",
        b"HTTP/1.1 503 X\r\n" + LIMIT + NOT_RUN,
        InstanceNotice(limit=LimitNotice(1.5, None, AnswerKind.REFUSAL)),
    ),
    (
        "a surplus answer with a limit",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\n" + LIMIT + BODY,
        None,
    ),
    (
        "a limit with its date",
        b"HTTP/1.1 200 OK\r\nDate: Thu, 01 Jan 1970 00:01:00 GMT\r\n" + OWN + LIMIT + BODY,
        InstanceNotice(limit=LimitNotice(1.5, 60.0)),
    ),
    (
        "a limit that can't be read",
        b"HTTP/1.1 200 OK\r\n" + OWN + b"Server-Limit: some\r\n" + BODY,
        None,
    ),
    (
        "a limit named twice",
        b"HTTP/1.1 200 OK\r\n" + OWN + b"Server-Limit: 4\r\n" + LIMIT + BODY,
        LIMITED,
    ),
    (
        "a surplus answer",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\n" + LEAVING + BODY,
        None,
    ),
    ("a late refusal", b"HTTP/1.1 503 X\r\nAttempt-Id: r0\r\n" + RETRY_AFTER + NOT_RUN, None),
    ("a response without an id", b"HTTP/1.1 200 OK\r\n" + LEAVING + BODY, None),
    (
        "another instance at the address",
        b"HTTP/1.1 421 X\r\nInstance-Id: i2\r\n" + OWN + LEAVING + NOT_RUN,
        None,
    ),
    ("an unnamed instance at the address", b"HTTP/1.1 421 X\r\n" + OWN + LEAVING + NOT_RUN, None),
    (
        "a precondition that it doesn't meet",
        b"HTTP/1.1 421 X\r\nInstance-Id: i1\r\n" + OWN + LEAVING + NOT_RUN,
        InstanceNotice(True, 0.0, NO_LIMIT),
    ),
)

REPORT = b'{"busy":false,"callSequence":1,"models":[]}'
EMPTY = b"Content-Length: 0\r\n\r\n"
CONTROL_ANSWERS = (
    (
        "an answer",
        b"HTTP/1.1 200 OK\r\n" + LEAVING + b"Content-Length: 43\r\n\r\n" + REPORT,
        InstanceNotice(True, 0.0, CONTROL),
    ),
    ("a refusal", b"HTTP/1.1 503 X\r\n" + RETRY_AFTER + EMPTY, InstanceNotice(False, 3.0, CONTROL)),
    (
        "a limit",
        b"HTTP/1.1 200 OK\r\n" + LIMIT + b"Content-Length: 43\r\n\r\n" + REPORT,
        InstanceNotice(limit=LimitNotice(1.5, None, AnswerKind.CONTROL)),
    ),
    (
        "no notice",
        b"HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n" + REPORT,
        InstanceNotice(limit=CONTROL),
    ),
    ("a surplus answer", b"HTTP/1.1 200 OK\r\n" + OWN + LEAVING + BODY, None),
    ("an unnamed instance at the address", b"HTTP/1.1 421 X\r\n" + LEAVING + EMPTY, None),
)


class NoticesTest(unittest.TestCase):
    def received_notices(self, answer, call):
        """Return the notices when ``call(instances, instance, on_notice)`` gets a response."""
        notices = []

        async def main():
            server = RawServer(answer)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                port = listeners[0].socket.getsockname()[1]
                client = HttpClient()
                instance = Instance("i1", "s", f"127.0.0.1:{port}", "z", 1)
                await call(HttpInstances(client), instance, notices.append)
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)
        return notices

    def check(self, answers, call):
        for name, answer, expected in answers:
            with self.subTest(name):
                empty = expected is None or expected.is_empty
                nonempty = [n for n in self.received_notices(answer, call) if not n.is_empty]
                self.assertEqual(nonempty, [] if empty else [expected])

    def test_a_request_hears_its_own_answer_only(self):
        async def call(instances, instance, on_notice):
            try:
                async with instances.open(
                    InstanceCall(instance, request(), 1.5, on_notice=on_notice)
                ):
                    pass
            except InstanceCallError:
                return

        self.check(ANSWERS, call)

    def test_a_report_hears_its_own_answer_only(self):
        async def call(instances, instance, on_notice):
            await instances.report(instance, on_notice)

        self.check(CONTROL_ANSWERS, call)

    def test_an_order_hears_its_own_answer_only(self):
        async def call(instances, instance, on_notice):
            order = WeightsOrder(NamedWeights("m", 2), "n1", 7, 0)
            await instances.order(instance, order, on_notice)

        self.check(CONTROL_ANSWERS, call)

    def test_a_read_of_cache_events_hears_the_head_also_of_a_refusal(self):
        body = b'{"epoch":1,"nextPageToken":0,"lost":false,"events":[],"born":5}'
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        answers = (
            (
                "events",
                b"HTTP/1.1 200 OK\r\n" + LEAVING + length + body,
                InstanceNotice(True, 0.0, EVENTS),
            ),
            (
                "a refusal",
                b"HTTP/1.1 503 X\r\n" + RETRY_AFTER + EMPTY,
                InstanceNotice(False, 3.0, EVENTS),
            ),
        )

        async def call(_instances, instance, on_notice):
            client = HttpClient()
            await PlatformCacheEvents(client).read(instance.address, 0, 0.1, on_notice)
            await client.aclose()

        self.check(answers, call)

    def test_a_request_that_is_withdrawn_while_it_connects_sends_nothing(self):
        received = []

        async def main():
            server = RawServer(b"HTTP/1.1 200 OK\r\n" + OWN + BODY, keep_open=True)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                port = listeners[0].socket.getsockname()[1]
                client = HttpClient()
                instances = HttpInstances(client)
                instance = Instance("i1", "s", f"127.0.0.1:{port}", "z", 1)
                withdrawn = InstanceCall(instance, request(), 1.5, may_send=lambda: False)
                with self.assertRaises(InstanceCallError) as caught:
                    async with instances.open(withdrawn):
                        pass
                self.assertTrue(caught.exception.withdrawn)
                self.assertFalse(caught.exception.sent or withdrawn.proof.sent)
                self.assertEqual(caught.exception.execution, Execution.NOT_RUN)
                async with instances.open(InstanceCall(instance, request(), 1.5)) as answer:
                    self.assertEqual(answer.status, 200)
                received.extend(server.received)
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(len(received), 1)
