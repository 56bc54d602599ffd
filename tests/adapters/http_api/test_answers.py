"""Answers: complete, streamed, interrupted and abandoned; and their log lines."""

from __future__ import annotations

import contextlib
import io
import json
import unittest

import structlog
import trio

from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.logs import configure_logging
from tests.adapters.http_api.harness import KEY, TOKENS, Harness, headers, with_harness

CHAT = "/v1/chat/completions"
PLAIN = "/v1/completions"
PROMPT = "a prompt of the caller"
BODY = {"model": "small", "prompt": PROMPT}
CHAT_BODY = {"model": "small", "messages": [{"role": "user", "content": PROMPT}]}
USAGE = {
    "prompt_tokens": 40,
    "completion_tokens": 3,
    "total_tokens": 43,
    "prompt_tokens_details": {"cached_tokens": 32},
}
INTERRUPTED = ServiceError(
    ErrorCode.STREAM_INTERRUPTED, "the engine went away", execution=Execution.UNKNOWN
)


def events(data: bytes) -> list[str]:
    """Return the payloads of server-sent events."""
    return [event.removeprefix("data: ") for event in data.decode().split("\n\n") if event]


class WholeAnswerTest(unittest.TestCase):
    @with_harness
    async def test_chat(self, harness: Harness) -> None:
        answer = await harness.client.post(CHAT, json=CHAT_BODY, headers=headers())
        body = await answer.get_json()
        self.assertEqual(
            body["choices"],
            [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(TOKENS)},
                    "finish_reason": "stop",
                }
            ],
        )
        self.assertEqual(body["usage"], USAGE)
        self.assertEqual(body["engines"], ["e1"])
        self.assertEqual(answer.headers["X-Hopstep-Engine"], "e1")
        self.assertEqual(harness.runner.requests[0].prompt, f"<|user|>\n{PROMPT}\n<|assistant|>\n")

    @with_harness
    async def test_completion(self, harness: Harness) -> None:
        answer = await harness.client.post(
            PLAIN, json=BODY | {"max_tokens": 9}, headers=headers(**{"Idempotency-Key": "k1"})
        )
        self.assertEqual((await answer.get_json())["choices"][0]["text"], "".join(TOKENS))
        request = harness.runner.requests[0]
        self.assertEqual((request.max_tokens, request.idempotency_key), (9, "k1"))
        self.assertEqual(request.request_class.name, "quick")

    @with_harness
    async def test_the_class_bounds_the_output(self, harness: Harness) -> None:
        await harness.client.post(PLAIN, json=BODY | {"max_tokens": 999}, headers=headers())
        self.assertEqual(harness.runner.requests[0].max_tokens, 50)

    @with_harness
    async def test_interrupted_is_an_error_never_a_part(self, harness: Harness) -> None:
        harness.runner.fail_after, harness.runner.failure = 2, INTERRUPTED
        answer = await harness.client.post(PLAIN, json=BODY, headers=headers())
        body = await answer.get_json()
        self.assertEqual(answer.status_code, 502)
        self.assertEqual(body["error"]["execution"], "unknown")
        self.assertNotIn("choices", body)
        self.assertEqual(answer.headers["X-Should-Retry"], "false")

    @with_harness
    async def test_models_of_the_tenant(self, harness: Harness) -> None:
        answer = await harness.client.get("/v1/models", headers=headers())
        self.assertEqual([model["id"] for model in (await answer.get_json())["data"]], ["small"])


class StreamedAnswerTest(unittest.TestCase):
    @with_harness
    async def test_chat_with_usage(self, harness: Harness) -> None:
        body = CHAT_BODY | {"stream": True, "stream_options": {"include_usage": True}}
        answer = await harness.client.post(CHAT, json=body, headers=headers())
        *chunks, usage, done = events(await answer.get_data())
        deltas = [json.loads(chunk)["choices"][0]["delta"] for chunk in chunks]
        self.assertEqual(deltas[0]["role"], "assistant")
        self.assertEqual("".join(delta.get("content", "") for delta in deltas), "".join(TOKENS))
        self.assertEqual(json.loads(chunks[-1])["choices"][0]["finish_reason"], "stop")
        self.assertEqual(json.loads(chunks[-1])["engines"], ["e1"])
        self.assertEqual(json.loads(usage)["usage"], USAGE)
        self.assertEqual(done, "[DONE]")

    @with_harness
    async def test_interrupted_ends_with_an_error_event(self, harness: Harness) -> None:
        for failure, code in ((INTERRUPTED, "stream_interrupted"), (KeyError(PROMPT), "internal")):
            with self.subTest(code):
                harness.runner.fail_after, harness.runner.failure = 2, failure
                answer = await harness.client.post(
                    PLAIN, json=BODY | {"stream": True}, headers=headers()
                )
                *chunks, last = events(await answer.get_data())
                texts = [json.loads(chunk)["choices"][0]["text"] for chunk in chunks]
                self.assertEqual("".join(texts), "".join(TOKENS[:2]))
                self.assertEqual(json.loads(last)["error"]["code"], code)
                self.assertEqual(json.loads(last)["error"]["execution"], "unknown")

    @with_harness
    async def test_caller_that_leaves_is_cleaned_up(self, harness: Harness) -> None:
        for hang_after in (0, 2):
            with self.subTest(hang_after=hang_after):
                harness.runner.hang_after = hang_after
                harness.runner.cleaned_up = 0
                with trio.move_on_after(5.0):
                    await harness.client.post(
                        PLAIN, json=BODY | {"stream": True}, headers=headers()
                    )
                self.assertTrue(await harness.lifecycle.drain())
                self.assertEqual(harness.runner.cleaned_up, 1)


class LogTest(unittest.TestCase):
    @with_harness
    async def test_logs_hold_no_prompt_answer_or_key(self, harness: Harness) -> None:
        written = io.StringIO()
        with contextlib.redirect_stderr(written):
            earlier = structlog.get_config()
            configure_logging("debug", "r1")
            try:
                await self._provoke_every_event(harness)
            finally:
                structlog.configure(**earlier)
        numbers = {json.loads(line)["number"] for line in written.getvalue().splitlines()}
        self.assertEqual(numbers, {"HS2001", "HS2002", "HS2003", "HS2004", "HS2005"})
        for secret in (PROMPT, "caller", KEY, *(token.strip() for token in TOKENS)):
            self.assertNotIn(secret, written.getvalue().replace("caller_left", ""))

    async def _provoke_every_event(self, harness: Harness) -> None:
        runner = harness.runner
        await harness.client.post(PLAIN, json=BODY, headers=headers())
        for failure in (INTERRUPTED, KeyError(PROMPT)):
            runner.fail_after, runner.failure = 1, failure
            await harness.client.post(PLAIN, json=BODY | {"stream": True}, headers=headers())
        runner.hang_after = 1
        with trio.move_on_after(5.0):
            await harness.client.post(PLAIN, json=BODY, headers=headers())
        runner.refusal = ServiceError(ErrorCode.OVERLOADED, "full")
        await harness.client.post(PLAIN, json=BODY, headers=headers())


if __name__ == "__main__":
    unittest.main()
