"""A node as a process and the numbers and ids in the heads of its clients' requests."""

import re

import trio

from tests.processes.test_exchange_node import KEY, NodeProcessCase

LONG_NUMBER = b"9" * 5_000
"""More digits than Python converts to an integer."""

TOO_LARGE_FOR_FLOAT = b"9" * 400

ANSWER_SECONDS = 5.0


class RequestHeadsTest(NodeProcessCase):
    entry_fields = {"models": [{"name": "m", "version": 1}]}

    async def exchange(self, url, *fields):
        """Return the answer to a request with more header fields."""
        host, _, port = url.removeprefix("http://").rpartition(":")
        head = [
            b"POST /p/x HTTP/1.1",
            b"Host: h.example",
            b"X-Api-Key: " + KEY.encode(),
            b"Content-Length: 2",
        ]
        if not any(field.startswith(b"Attempt-Id:") for field in fields):
            head.append(b"Attempt-Id: r1")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(b"\r\n".join((*head, *fields, b"", b"ok")))
            with trio.fail_after(ANSWER_SECONDS):
                return await self.read_answer(stream)

    async def read_answer(self, stream):
        """Return an answer with a length."""
        answer = b""
        while b"\r\n\r\n" not in answer:
            answer += await self.receive(stream)
        head, _, body = answer.partition(b"\r\n\r\n")
        length = int(re.search(rb"content-length: (\d+)", head.lower()).group(1))
        while len(body) < length:
            body += await self.receive(stream)
        return head + b"\r\n\r\n" + body

    async def receive(self, stream):
        """Return the next bytes of an answer that hasn't ended."""
        data = await stream.receive_some()
        self.assertTrue(data, "the connection ended within an answer")
        return bytes(data)

    def check_refused(self, *fields):
        """Check that each field gets a 400 that names it, and that no instance had a request."""

        async def script(client, url, process, instances):
            for field in fields:
                with self.subTest(field=field[:40]):
                    answer = await self.exchange(url, b"Model: m", field)
                    name = field.partition(b":")[0]
                    self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer[:200])
                    self.assertTrue(answer.endswith(b"malformed_request: " + name), answer[-200:])
                    self.assertNotIn(b"close", answer)
            self.assertEqual(instances.bodies, [])
            answer = await self.exchange(url)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
            await self.wait_logged("exchange_refused", len(fields))

        self.run_node(script)
        refused = [event for event in self.events() if event["event"] == "exchange_refused"]
        self.assertEqual([event["code"] for event in refused], ["malformed_request"] * len(fields))
        self.assertNotIn("crashed", self.read_log())
        self.assertNotIn("HS6129", self.read_log())

    def test_numbers_of_tokens_that_cannot_be_meant_are_refused(self):
        # A number of 5,000 digits got a 500 and a closed connection, one of 400 digits a 502.
        self.check_refused(
            b"Token-Usage: " + LONG_NUMBER,
            b"Token-Usage: 5," + LONG_NUMBER,
            b"Token-Usage: " + TOO_LARGE_FOR_FLOAT,
            b"Token-Usage: 1_000",
            b"Prompt-Prefix: 5c1e:" + LONG_NUMBER,
            b"Prompt-Prefix: 5c1e:-5",
        )

    def test_a_length_hint_that_cannot_be_meant_is_left_out(self):
        # A hint of 5,000 digits got a 500 and a closed connection.
        async def script(client, url, process, instances):
            for value in (LONG_NUMBER, TOO_LARGE_FOR_FLOAT, b"-1", b"nan", b"80"):
                answer = await self.exchange(url, b"Model: m", b"Length-Hint: " + value)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
            hints = [dict(headers).get("Length-Hint") for headers in instances.headers]
            self.assertEqual(hints, [None, None, None, None, "80"])

        self.run_node(script)

    def test_deadlines_that_are_not_numbers_are_refused(self):
        # "nan" and "-inf" got a 502 though nothing was sent; "inf", "1e308" and "1_000" were taken.
        values = (b"nan", b"-inf", b"inf", b"1e308", b"1_000", LONG_NUMBER, b"soon")
        self.check_refused(*(b"Deadline-Ms: " + value for value in values))

    def test_a_deadline_that_is_over_is_refused_as_not_run(self):
        # A client whose time ran out on the way may try again, unless it is told that it erred.
        async def script(client, url, process, instances):
            for value in (b"0", b"-5"):
                answer = await self.exchange(url, b"Deadline-Ms: " + value)
                self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:200])
            self.assertEqual(instances.bodies, [])

        self.run_node(script)

    def test_event_numbers_that_cannot_be_meant_are_refused(self):
        # A number of 5,000 digits crashed the request.
        self.check_refused(b"Last-Event-Id: " + LONG_NUMBER, b"Last-Event-Id: 1\xe9")

    def test_a_request_without_one_id_gets_an_answer_that_names_the_header(self):
        # The answer said "malformed_request" alone, of no header.
        self.check_refused(b"Attempt-Id: ", b"Attempt-Id: r2\r\nAttempt-Id: r3")

    def test_an_id_beyond_ascii_does_not_count_against_an_instance(self):
        # An instance that reads and repeats the id as text in UTF-8 seemed to send surplus answers.
        answers = []

        async def script(client, url, process, instances):
            answers.append(await self.exchange(url, b"Attempt-Id: r\xe9"))

        self.run_node(script)
        self.assertNotIn("HS6129", self.read_log())
        self.assertIn(answers[0][:12], (b"HTTP/1.1 200", b"HTTP/1.1 400"), answers)
        self.assertIn(b"attempt-id: r\xe9\r\n", answers[0].lower())
