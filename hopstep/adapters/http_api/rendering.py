"""Rendering of answers to bodies and stream events, for chat and plain completions."""

from __future__ import annotations

import abc

import msgspec

from hopstep.adapters.http_api.bodies import (
    AnswerMessage,
    ChatChoice,
    Delta,
    DeltaChoice,
    Envelope,
    PromptTokensDetails,
    TextChoice,
    UsageBody,
)
from hopstep.adapters.http_api.errors import encode_error
from hopstep.clock import time_of_day_seconds
from hopstep.domain.inference import AnswerFinish, AnswerPart, AnswerUsage, InferenceRequest
from hopstep.exceptions import ServiceError

DONE_EVENT = b"data: [DONE]\n\n"
ASSISTANT = "assistant"

Choice = ChatChoice | TextChoice | DeltaChoice


class AnswerRenderer(abc.ABC):
    """Renders one answer.

    Attributes:
        id_prefix: Start of the answer's id.
        complete_object: ``object`` of a complete answer.
        chunk_object: ``object`` of a stream chunk.
    """

    id_prefix: str
    complete_object: str
    chunk_object: str

    def __init__(self, request: InferenceRequest) -> None:
        """Store identity, model and creation time of one answer.

        Args:
            request: The resolved request.
        """
        self._id = self.id_prefix + request.request_id
        self._model = request.model.name
        self._created = int(time_of_day_seconds())
        self._encoder = msgspec.json.Encoder()

    def render_complete(self, text: str, last: AnswerPart, engines: tuple[str, ...]) -> bytes:
        """Return the body of a complete answer.

        Args:
            text: Its complete text.
            last: Its last part, with finish reason and usage.
            engines: Engines that generated it.
        """
        finish = (last.finish or AnswerFinish.STOP).value
        choice = self._complete_choice(text, finish)
        return self._encode(self.complete_object, (choice,), last.usage, engines)

    def render_chunk(self, part: AnswerPart, engines: tuple[str, ...] = ()) -> bytes:
        """Return the event of one part.

        Args:
            part: The part.
            engines: Engines that generated the answer; only for its last part.
        """
        finish = part.finish.value if part.finish else None
        choice = self._chunk_choice("".join(part.tokens), finish)
        return _event(self._encode(self.chunk_object, (choice,), None, engines))

    def render_usage(self, usage: AnswerUsage | None) -> bytes:
        """Return the event that carries only the usage."""
        return _event(self._encode(self.chunk_object, (), usage))

    @abc.abstractmethod
    def _complete_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a complete answer."""

    @abc.abstractmethod
    def _chunk_choice(self, text: str, finish: str | None) -> Choice:
        """Return the choice of a chunk."""

    def _encode(
        self,
        kind: str,
        choices: tuple[Choice, ...],
        usage: AnswerUsage | None,
        engines: tuple[str, ...] = (),
    ) -> bytes:
        """Return an encoded envelope."""
        envelope = Envelope(
            self._id, kind, self._created, self._model, choices, _usage_body(usage), engines
        )
        return self._encoder.encode(envelope)


class ChatRenderer(AnswerRenderer):
    """Renders answers of ``/v1/chat/completions``."""

    id_prefix = "chatcmpl-"
    complete_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def __init__(self, request: InferenceRequest) -> None:
        """Store the request's data; only the first chunk states the role."""
        super().__init__(request)
        self._role = ASSISTANT

    def _complete_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a complete answer."""
        return ChatChoice(0, AnswerMessage(ASSISTANT, text), finish)

    def _chunk_choice(self, text: str, finish: str | None) -> Choice:
        """Return the choice of a chunk."""
        role, self._role = self._role, ""
        return DeltaChoice(0, Delta(role, text), finish)


class CompletionRenderer(AnswerRenderer):
    """Renders answers of ``/v1/completions``."""

    id_prefix = "cmpl-"
    complete_object = "text_completion"
    chunk_object = "text_completion"

    def _complete_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a complete answer."""
        return TextChoice(0, text, finish)

    def _chunk_choice(self, text: str, finish: str | None) -> Choice:
        """Return the choice of a chunk."""
        return TextChoice(0, text, finish)


def error_event(error: ServiceError) -> bytes:
    """Return the event that ends a failed stream."""
    return _event(encode_error(error))


def _event(data: bytes) -> bytes:
    """Return the data as one server-sent event."""
    return b"data: " + data + b"\n\n"


def _usage_body(usage: AnswerUsage | None) -> UsageBody | None:
    """Return the token counts in the format of the API."""
    if usage is None:
        return None
    return UsageBody(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.prompt_tokens + usage.completion_tokens,
        prompt_tokens_details=PromptTokensDetails(usage.cached_tokens),
    )
