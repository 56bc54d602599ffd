"""Invalid input: each kind has a stable code and names the field; the process keeps serving."""

from __future__ import annotations

import unittest

import msgspec

from hopstep.exceptions import ErrorCode, ServiceError
from tests.adapters.http_api.harness import (
    KEY,
    MAX_BODY_BYTES,
    OUTSIDE_KEY,
    Harness,
    headers,
    with_harness,
)

CHAT = "/v1/chat/completions"
PLAIN = "/v1/completions"
VALID_BODY = {"model": "small", "prompt": "hello"}
MESSAGES = [{"role": "user", "content": "hello"}]


class Case(msgspec.Struct, frozen=True):
    name: str
    body: object
    status: int
    code: ErrorCode
    param: str | None = None
    path: str = PLAIN
    key: str = KEY
    header: dict[str, str] = {}


CASES = (
    Case("not JSON", b'{"model": "sm', 400, ErrorCode.MALFORMED_REQUEST, "body"),
    Case("not UTF-8", b'{"model": "\xff"}', 400, ErrorCode.MALFORMED_REQUEST, "body"),
    Case("nested", b'{"x":' + b"[" * 1_500 + b"}", 400, ErrorCode.MALFORMED_REQUEST, "body"),
    Case("not an object", b"[]", 400, ErrorCode.MALFORMED_REQUEST, "body"),
    Case("empty", b"", 400, ErrorCode.MALFORMED_REQUEST, "body"),
    Case("no model", {"prompt": "x"}, 400, ErrorCode.MALFORMED_REQUEST, "model"),
    Case("no prompt", {"model": "small"}, 400, ErrorCode.MALFORMED_REQUEST, "prompt"),
    Case("empty prompt", VALID_BODY | {"prompt": ""}, 400, ErrorCode.MALFORMED_REQUEST, "prompt"),
    Case("wrong type", VALID_BODY | {"prompt": 5}, 400, ErrorCode.MALFORMED_REQUEST, "prompt"),
    Case(
        "no tokens", VALID_BODY | {"max_tokens": 0}, 400, ErrorCode.MALFORMED_REQUEST, "max_tokens"
    ),
    Case("two answers", VALID_BODY | {"n": 2}, 400, ErrorCode.MALFORMED_REQUEST, "n"),
    Case("unknown model", VALID_BODY | {"model": "x"}, 404, ErrorCode.UNKNOWN_MODEL, "model"),
    Case(
        "long prompt", VALID_BODY | {"prompt": "x" * 404}, 400, ErrorCode.PROMPT_TOO_LONG, "prompt"
    ),
    Case(
        "image part",
        {"model": "small", "messages": [{"role": "u", "content": [{"type": "image"}]}]},
        400,
        ErrorCode.MALFORMED_REQUEST,
        "messages[0].content[0].type",
        CHAT,
    ),
    Case(
        "no messages",
        {"model": "small", "messages": []},
        400,
        ErrorCode.MALFORMED_REQUEST,
        "messages",
        CHAT,
    ),
    Case(
        "long chat",
        {"model": "small", "messages": [{"role": "user", "content": "x" * 500}]},
        400,
        ErrorCode.PROMPT_TOO_LONG,
        "messages",
        CHAT,
    ),
    Case(
        "unknown class in the header",
        VALID_BODY,
        400,
        ErrorCode.UNKNOWN_CLASS,
        "X-Hopstep-Class",
        header={"X-Hopstep-Class": "none"},
    ),
    Case(
        "class not allowed",
        VALID_BODY | {"metadata": {"class": "batch"}},
        403,
        ErrorCode.CLASS_NOT_ALLOWED,
        "metadata.class",
    ),
    Case(
        "long idempotency key",
        VALID_BODY,
        400,
        ErrorCode.MALFORMED_REQUEST,
        "Idempotency-Key",
        header={"Idempotency-Key": "k" * 256},
    ),
    Case("wrong key", VALID_BODY, 401, ErrorCode.INVALID_KEY, "Authorization", key="wrong"),
    Case("empty key", VALID_BODY, 401, ErrorCode.INVALID_KEY, "Authorization", key=""),
    Case("body too large", b"x" * (MAX_BODY_BYTES + 1), 413, ErrorCode.BODY_TOO_LARGE, "body"),
    Case("outside placement", VALID_BODY, 421, ErrorCode.OUTSIDE_PLACEMENT, key=OUTSIDE_KEY),
    Case("unknown path", VALID_BODY, 404, ErrorCode.NOT_FOUND, path="/v1/embeddings"),
)


class BadInputTest(unittest.TestCase):
    @with_harness
    async def test_each_kind_has_its_code(self, harness: Harness) -> None:
        for case in CASES:
            with self.subTest(case.name):
                await self._check(harness, case)
        self.assertEqual(harness.runner.requests, [])
        answer = await harness.client.post(PLAIN, json=VALID_BODY, headers=headers())
        self.assertEqual(answer.status_code, 200)

    async def _check(self, harness: Harness, case: Case) -> None:
        data = case.body if isinstance(case.body, bytes) else msgspec.json.encode(case.body)
        answer = await harness.client.post(
            case.path, data=data, headers=headers(case.key, **case.header)
        )
        error = (await answer.get_json())["error"]
        self.assertEqual((answer.status_code, error["code"]), (case.status, case.code))
        self.assertEqual(error["param"], case.param)
        self.assertEqual(error["execution"], "not_run")
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)

    @with_harness
    async def test_no_bearer_scheme(self, harness: Harness) -> None:
        for value in ("", KEY, f"Basic {KEY}", "Bearer"):
            with self.subTest(value):
                answer = await harness.client.post(
                    PLAIN, json=VALID_BODY, headers={"Authorization": value}
                )
                self.assertEqual(answer.status_code, 401)

    @with_harness
    async def test_outside_placement_names_routers_inside(self, harness: Harness) -> None:
        answer = await harness.client.post(PLAIN, json=VALID_BODY, headers=headers(OUTSIDE_KEY))
        error = (await answer.get_json())["error"]
        self.assertEqual(error["endpoints"], ["127.0.0.1:9102"])

    @with_harness
    async def test_refusals_by_headers_never_read_the_body(self, harness: Harness) -> None:
        cases = (
            (b"Bearer " + OUTSIDE_KEY.encode(), 421),
            (b"Bearer wrong", 401),
        )
        for authorization, status in cases:
            with self.subTest(status=status):
                sent: list[dict[str, object]] = []

                async def receive() -> object:
                    self.fail("the body was read")

                async def send(message: dict[str, object], sent=sent) -> None:
                    sent.append(message)

                scope = {
                    "type": "http",
                    "path": PLAIN,
                    "headers": [(b"authorization", authorization)],
                }
                await harness.app.asgi_app(scope, receive, send)
                self.assertEqual(sent[0]["status"], status)

    @with_harness
    async def test_state_of_the_node(self, harness: Harness) -> None:
        harness.isolated = True
        answer = await harness.client.post(PLAIN, json=VALID_BODY, headers=headers())
        self.assertEqual((await answer.get_json())["error"]["code"], ErrorCode.ISOLATED)
        harness.isolated = False
        harness.lifecycle.stop()
        answer = await harness.client.post(PLAIN, json=VALID_BODY, headers=headers())
        self.assertEqual((await answer.get_json())["error"]["code"], ErrorCode.STOPPING)
        self.assertEqual(answer.headers["Connection"], "close")
        self.assertEqual((await harness.client.get("/readyz")).status_code, 503)
        self.assertEqual((await harness.client.get("/livez")).status_code, 200)

    @with_harness
    async def test_refusal_of_the_services_is_rendered(self, harness: Harness) -> None:
        harness.runner.refusal = ServiceError(
            ErrorCode.RATE_LIMITED, "too many", retry_after_seconds=2.3
        )
        answer = await harness.client.post(
            CHAT, json={"model": "small", "messages": MESSAGES, "stream": True}, headers=headers()
        )
        self.assertEqual((answer.status_code, answer.headers["Retry-After"]), (429, "3"))


class NotReadyTest(unittest.TestCase):
    def test_without_configuration(self) -> None:
        async def check(self: NotReadyTest, harness: Harness) -> None:
            answer = await harness.client.post(PLAIN, json=VALID_BODY, headers=headers())
            self.assertEqual((await answer.get_json())["error"]["code"], ErrorCode.NOT_READY)
            self.assertEqual((await harness.client.get("/readyz")).status_code, 503)

        with_harness(check, configured=False)(self)


if __name__ == "__main__":
    unittest.main()
