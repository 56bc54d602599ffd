"""Conversion of clients' HTTP requests to exchanges, and of answers to responses."""

import contextlib
import unittest
from unittest import mock

import trio

from hopstep.domain.byte_budget import ByteBudget, ByteShare
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.platform import front
from hopstep.platform.front import ExchangeFront
from hopstep.ports.exchange_front import CONNECTION_STATE, ExchangeHandler, IncomingRequest

HEADERS = (
    (b"host", b"h.example"),
    (b"attempt-id", b"r1"),
    (b"deadline-ms", b"1500"),
    (b"x-api-key", b"secret"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"prompt-prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"x-kept", b"2"),
    (b"tenant", b"forged"),
    (b"cache-salt", b"forged"),
    (b"expect-instance", b"forged"),
    (b"request-priority", b"0"),
    (b"transfer-encoding", b"chunked"),
)


class Connection:
    """What the front reads of a client's connection."""

    request_began_at = 12.5


CONNECTION = Connection()


class Service(ExchangeHandler):
    """Records requests, and responds or raises the given error."""

    def __init__(self, error=None):
        self.error = error
        self.wanted_parts = 100
        self.heads = []
        self.connections = []
        self.bodies = []
        self.ended = []

    @contextlib.asynccontextmanager
    async def begin(self, head, connection):
        self.heads.append(head)
        self.connections.append(connection)
        try:
            yield Incoming(self, head)
        finally:
            self.ended.append(head.request_id)

    async def serve(self, head, body, answer):
        self.bodies.append(body)
        if self.error is not None:
            raise self.error
        await answer.start(201, ((b"response-stamp", b"s"),), 2)
        await answer.send(b"ok")
        await answer.finish()


class Incoming(IncomingRequest):
    """A request at the service above."""

    def __init__(self, service, head):
        self.share = ByteShare(ByteBudget(), head.request_id)
        self.service = service
        self.head = head
        self.parts = []

    def add(self, data):
        self.parts.append(data)
        return len(self.parts) < self.service.wanted_parts

    def give_up_body(self):
        self.parts = [b"given up"]

    async def serve(self, answer):
        await self.service.serve(self.head, b"".join(self.parts), answer)


class FrontTest(unittest.TestCase):
    def test_a_body_is_read_no_further_than_it_is_wanted(self):
        """Guards against bodies without end that are read for as long as their clients send."""
        service = Service()
        service.wanted_parts = 3
        self.exchange(service, body=[b"x"] * 50)
        self.assertEqual(service.bodies, [b"xxx"])

    def test_a_body_that_does_not_end_in_time_is_given_up(self):
        """Guards against requests that stay open while their clients send a byte now and then."""
        service = Service()
        with mock.patch.object(front, "MAX_BODY_SECONDS", 0.05):
            self.exchange(service, body=(b"12", b"345", None))
        self.assertEqual(service.bodies, [b"given up"])

    def exchange(self, service, body=(b"12", b"345"), headers=HEADERS, stopping=False, query=b""):
        sent = []
        parts = list(body)

        async def receive():
            if not parts or parts[0] is None:
                await trio.sleep_forever()
            data = parts.pop(0)
            return {"type": "http.request", "body": data, "more_body": bool(parts)}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": "PUT",
            "raw_path": b"/a%2Fb/c",
            "query_string": query,
            "headers": list(headers),
        }
        application = ExchangeFront(service, lambda: stopping)
        trio.run(application, scope, receive, send)
        return sent

    def test_method_target_body_and_headers_go_on_untouched(self):
        service = Service()
        self.exchange(service, query=b"x=1&y=%20")
        head = service.heads[0]
        self.assertEqual((head.method, head.target), (b"PUT", b"/a%2Fb/c?x=1&y=%20"))
        self.assertEqual((head.path, head.host), ("/a%2Fb/c", "h.example"))
        self.assertEqual(service.bodies, [b"12345"])
        self.assertIn((b"x-kept", b"2"), head.headers)
        self.assertIn((b"attempt-id", b"r1"), head.headers)
        self.assertEqual(
            (head.request_id, head.key, head.client_timeout_seconds), ("r1", "secret", 1.5)
        )

    def test_the_attempt_that_a_client_resumes_is_read_and_goes_on(self):
        service = Service()
        resumed = ((b"resumes", b"r0"), (b"last-event-id", b"7"))
        self.exchange(service, headers=(*HEADERS, *resumed))
        head = service.heads[0]
        self.assertEqual((head.resumes, head.resume_after), ("r0", "7"))
        self.assertIn((b"resumes", b"r0"), head.headers)

    def test_all_connection_headers_name_what_does_not_go_on(self):
        service = Service()
        extra = ((b"connection", b"X-Second"), (b"x-second", b"3"))
        self.exchange(service, headers=(*HEADERS, *extra))
        forwarded = {name for name, _ in service.heads[0].headers}
        self.assertFalse({b"x-hop", b"x-second"} & forwarded)

    def test_tokens_of_a_request_are_those_of_prompt_and_longest_answer(self):
        for value, tokens in ((b"1460,80", 1_540), (b"1460", 1_460), (b"0,5", 5), (None, None)):
            service = Service()
            usage = ((b"token-usage", value),) if value is not None else ()
            headers = [header for header in HEADERS if header[0] != b"token-usage"]
            self.exchange(service, headers=(*headers, *usage))
            self.assertEqual(service.heads[0].usage_tokens, tokens)

    def test_a_tenant_over_its_quota_is_told_when_to_come_back(self):
        error = ServiceError(ErrorCode.RATE_LIMITED, "used up", retry_after_seconds=0.75)
        sent = self.exchange(Service(error))
        self.assertEqual(sent[0]["status"], 429)
        self.assertIn((b"retry-after", b"0.750"), sent[0]["headers"])

    def test_what_concerns_one_connection_or_is_set_here_does_not_go_on(self):
        service = Service()
        self.exchange(service)
        forwarded = {name for name, _ in service.heads[0].headers}
        for name in (
            b"connection",
            b"x-hop",
            b"x-api-key",
            b"tenant",
            b"cache-salt",
            b"expect-instance",
            b"request-priority",
            b"transfer-encoding",
            b"deadline-ms",
        ):
            self.assertNotIn(name, forwarded)

    def test_the_prompt_is_read(self):
        service = Service()
        self.exchange(service)
        prompt = service.heads[0].prompt
        self.assertEqual(
            (prompt.model, prompt.prompt_tokens, prompt.answer_tokens), ("m", 1460, 80)
        )
        self.assertEqual([segment.tokens for segment in prompt.segments], [800, 410, 250])

    def test_headers_that_cannot_be_read_are_as_if_missing(self):
        service = Service()
        bad = (
            (b"deadline-ms", b""),
            (b"model", b"m"),
            (b"length-hint", b"x"),
            (b"prompt-prefix", b"a:1,,"),
        )
        self.exchange(service, headers=bad)
        head = service.heads[0]
        self.assertIsNone(head.client_timeout_seconds)
        self.assertEqual((head.prompt.prompt_tokens, head.request_id), (1, ""))
        self.assertEqual(head.prompt.expected_answer_tokens, 0)
        self.assertNotIn(b"length-hint", dict(head.headers))

    def test_tokens_that_cannot_be_meant_are_an_error_that_names_their_header(self):
        # They were taken for zero tokens, or crashed the request.
        for name, values in (
            (b"token-usage", (b"x", b"x,5", b"5,", b"-1", b"+1", b"1_0", b"1e3", b"1.5", b"\xb2")),
            (
                b"token-usage",
                (b"1,2,3", b"1000000001", b"0" * 21, b"nan", b"inf", b"\xa05", b"9" * 5_000),
            ),
            (b"prompt-prefix", (b"a:b", b"c", b"a:", b":5", b"a:1,b:-2", b"a:" + b"9" * 5_000)),
        ):
            for value in values:
                with self.subTest(name=name, value=value[:30]):
                    service = Service()
                    kept = [header for header in HEADERS if header[0] != name]
                    self.exchange(service, headers=(*kept, (name, value)))
                    error = service.heads[0].error
                    self.assertEqual(error.code, ErrorCode.MALFORMED_REQUEST)
                    self.assertEqual(error.field, name.decode().title())
                    self.assertLess(len(error.message), 100)

    def test_a_deadline_that_cannot_be_meant_is_an_error_that_names_it(self):
        # "nan" and "-inf" ended the request with 502; "inf", "1e308" and "1_000" were taken.
        form = (b"soon", b"nan", b"-inf", b"inf", b"1e308", b"1_000", b"+5", b".", b"1.", b"0x10")
        size = (b"2678400001", b"9" * 400, b"9" * 5_000, b"1." + b"0" * 21, b"1500,1500")
        for value in (*form, *size):
            with self.subTest(value=value[:30]):
                service = Service()
                kept = [header for header in HEADERS if header[0] != b"deadline-ms"]
                self.exchange(service, headers=(*kept, (b"deadline-ms", value)))
                head = service.heads[0]
                self.assertEqual(head.error.code, ErrorCode.MALFORMED_REQUEST)
                self.assertEqual(head.error.field, "Deadline-Ms")
                self.assertIsNone(head.client_timeout_seconds)

    def test_a_deadline_that_is_over_is_read_as_such(self):
        # It must be refused as too late, not as malformed: its client may try again.
        for value, seconds in ((b"0", 0.0), (b"-5", -0.005), (b"12.5", 0.0125)):
            service = Service()
            kept = [header for header in HEADERS if header[0] != b"deadline-ms"]
            self.exchange(service, headers=(*kept, (b"deadline-ms", value)))
            head = service.heads[0]
            self.assertEqual((head.error, head.client_timeout_seconds), (None, seconds))

    def test_the_number_of_an_event_that_cannot_be_meant_is_an_error_that_names_it(self):
        # 5,000 digits crashed the request, and bytes above 0x7f reached the instance as others.
        for value in (b"9" * 16, b"9" * 5_000, b"0" * 21, b"1\xe9", b"1\x01"):
            with self.subTest(value=value[:30]):
                service = Service()
                self.exchange(service, headers=(*HEADERS, (b"last-event-id", value)))
                self.assertEqual(service.heads[0].error.field, "Last-Event-Id")

    def test_an_event_id_that_is_no_number_goes_on(self):
        # Services may have events of other ids; their clients' requests are proper.
        for value in ("7", "a-7", "-1", "1_0", "e7 b"):
            service = Service()
            self.exchange(service, headers=(*HEADERS, (b"last-event-id", value.encode())))
            self.assertEqual((service.heads[0].error, service.heads[0].resume_after), (None, value))

    def test_a_hint_goes_on_as_it_was_sent_if_it_can_be_meant(self):
        for value, expected in ((b"0", 0), (b" 80 ", 80)):
            service = Service()
            self.exchange(service, headers=(*HEADERS, (b"length-hint", value)))
            head = service.heads[0]
            self.assertEqual(head.prompt.expected_answer_tokens, expected)
            self.assertIn((b"length-hint", value), head.headers)

    def test_a_number_that_stands_in_two_fields_is_not_read_from_the_last_one(self):
        # A request counted two tokens against its quota that an instance might read as 105,000.
        service = Service()
        usage = ((b"token-usage", b"100000,5000"), (b"token-usage", b"1,1"))
        self.exchange(service, headers=(*HEADERS[:5], *usage))
        self.assertEqual(service.heads[0].error.field, "Token-Usage")

    def test_a_refusal_names_the_header_that_is_to_blame(self):
        error = ServiceError(ErrorCode.MALFORMED_REQUEST, "m", field="Token-Usage")
        sent = self.exchange(Service(error))
        self.assertEqual(sent[0]["status"], 400)
        self.assertEqual(sent[1]["body"], b"malformed_request: Token-Usage")

    def test_errors_become_statuses_and_only_proved_ones_promise(self):
        for code, execution, status in (
            (ErrorCode.NOT_FOUND, Execution.NOT_RUN, 404),
            (ErrorCode.INVALID_KEY, Execution.NOT_RUN, 401),
            (ErrorCode.BODY_TOO_LARGE, Execution.NOT_RUN, 413),
            (ErrorCode.MALFORMED_REQUEST, Execution.NOT_RUN, 400),
            (ErrorCode.OVERLOADED, Execution.NOT_RUN, 503),
            (ErrorCode.DEADLINE_EXCEEDED, Execution.NOT_RUN, 503),
            (ErrorCode.DEADLINE_EXCEEDED, Execution.UNKNOWN, 504),
            (ErrorCode.OVERLOADED, Execution.UNKNOWN, 502),
            (ErrorCode.EXECUTION_UNKNOWN, Execution.UNKNOWN, 502),
        ):
            with self.subTest(code=code, execution=execution):
                error = ServiceError(code, "m", execution=execution, retry_after_seconds=0.25)
                start = self.exchange(Service(error))[0]
                headers = dict(start["headers"])
                self.assertEqual(start["status"], status)
                self.assertEqual(headers.get(b"retry-after"), b"0.250" if status == 503 else None)
                self.assertNotIn(b"response-stamp", headers)

    def test_a_stopping_node_asks_clients_to_leave(self):
        start = self.exchange(Service(), stopping=True)[0]
        self.assertIn((b"connection", b"close"), start["headers"])

    def test_a_client_that_leaves_during_its_body_is_not_served(self):
        service = Service()
        messages = [
            {"type": "http.request", "body": b"12", "more_body": True},
            {"type": "http.disconnect"},
        ]

        async def receive():
            return messages.pop(0)

        async def send(message):
            raise AssertionError(message)

        scope = {
            "type": "http",
            "method": "PUT",
            "raw_path": b"/",
            "query_string": b"",
            "headers": [(b"attempt-id", b"r1")],
            "state": {CONNECTION_STATE: CONNECTION},
        }
        trio.run(ExchangeFront(service, lambda: False), scope, receive, send)
        self.assertEqual((service.bodies, service.ended), ([], ["r1"]))
        self.assertEqual(service.connections, [CONNECTION])
        self.assertEqual(service.heads[0].received_at, CONNECTION.request_began_at)

    def test_a_fault_of_the_nodes_own_is_told_as_unknown(self):
        sent = []

        async def receive():
            if sent or self.read:
                await trio.sleep_forever()
            self.read = True
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message):
            sent.append(message)

        self.read = False
        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": b"/",
            "query_string": b"",
            "headers": [],
        }
        front = ExchangeFront(Service(KeyError("x")), lambda: False)
        with self.assertRaises(ExceptionGroup):
            trio.run(front, scope, receive, send)
        self.assertEqual(sent[0]["status"], 502)

    def test_the_servers_end_of_an_answer_is_not_taken_for_a_client_that_leaves(self):
        ended = []

        async def main():
            response_ended = trio.Event()
            messages = [{"type": "http.request", "body": b"", "more_body": False}]

            async def receive():
                if messages:
                    return messages.pop()
                await response_ended.wait()
                return {"type": "http.disconnect"}

            async def send(message):
                if message["type"] == "http.response.body" and not message["more_body"]:
                    response_ended.set()
                    await trio.sleep(0.01)
                    ended.append(True)

            scope = {
                "type": "http",
                "method": "GET",
                "raw_path": b"/",
                "query_string": b"",
                "headers": [],
            }
            await ExchangeFront(Service(), lambda: False)(scope, receive, send)

        trio.run(main)
        self.assertEqual(ended, [True])

    def test_a_client_that_leaves_cancels(self):
        cancelled = []

        class Waiting(Service):
            async def serve(self, head, body, answer):
                try:
                    await trio.sleep_forever()
                except trio.Cancelled:
                    cancelled.append(head.request_id)
                    raise

        messages = [
            {"type": "http.request", "body": b"", "more_body": False},
            {"type": "http.disconnect"},
        ]

        async def receive():
            return messages.pop(0)

        async def send(message):
            raise AssertionError(message)

        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": b"/",
            "query_string": b"",
            "headers": [(b"attempt-id", b"r1")],
        }
        trio.run(ExchangeFront(Waiting(), lambda: False), scope, receive, send)
        self.assertEqual(cancelled, ["r1"])
