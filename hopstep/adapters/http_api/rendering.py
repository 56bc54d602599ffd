"""Bodies and stream events of an answer, for chat and for plain completions."""

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
        whole_object: ``object`` of a whole answer.
        chunk_object: ``object`` of a stream chunk.
    """

    id_prefix: str
    whole_object: str
    chunk_object: str

    def __init__(self, request: InferenceRequest) -> None:
        """Prepare for one request.

        Args:
            request: The resolved request.
        """
        self._id = self.id_prefix + request.request_id
        self._model = request.model.name
        self._created = int(time_of_day_seconds())
        self._encoder = msgspec.json.Encoder()

    def whole(self, text: str, last: AnswerPart, engines: tuple[str, ...]) -> bytes:
        """Return the body of a whole answer.

        Args:
            text: All of its text.
            last: Its last part, with finish and usage.
            engines: Engines that made it.
        """
        finish = (last.finish or AnswerFinish.STOP).value
        choice = self._whole_choice(text, finish)
        return self._encode(self.whole_object, (choice,), last.usage, engines)

    def chunk(self, part: AnswerPart, engines: tuple[str, ...] = ()) -> bytes:
        """Return the event of one part.

        Args:
            part: The part.
            engines: Engines that made the answer, with its last part.
        """
        finish = part.finish.value if part.finish else None
        choice = self._chunk_choice("".join(part.tokens), finish)
        return _event(self._encode(self.chunk_object, (choice,), None, engines))

    def usage_chunk(self, usage: AnswerUsage | None) -> bytes:
        """Return the event that carries the usage alone."""
        return _event(self._encode(self.chunk_object, (), usage))

    @abc.abstractmethod
    def _whole_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a whole answer."""

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
    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def __init__(self, request: InferenceRequest) -> None:
        """Prepare for one request; the first chunk names the role."""
        super().__init__(request)
        self._role = ASSISTANT

    def _whole_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a whole answer."""
        return ChatChoice(0, AnswerMessage(ASSISTANT, text), finish)

    def _chunk_choice(self, text: str, finish: str | None) -> Choice:
        """Return the choice of a chunk."""
        role, self._role = self._role, ""
        return DeltaChoice(0, Delta(role, text), finish)


class CompletionRenderer(AnswerRenderer):
    """Renders answers of ``/v1/completions``."""

    id_prefix = "cmpl-"
    whole_object = "text_completion"
    chunk_object = "text_completion"

    def _whole_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a whole answer."""
        return TextChoice(0, text, finish)

    def _chunk_choice(self, text: str, finish: str | None) -> Choice:
        """Return the choice of a chunk."""
        return TextChoice(0, text, finish)


def error_event(error: ServiceError) -> bytes:
    """Return the event that ends an interrupted stream."""
    return _event(encode_error(error))


def _event(data: bytes) -> bytes:
    """Return one server-sent event."""
    return b"data: " + data + b"\n\n"


def _usage_body(usage: AnswerUsage | None) -> UsageBody | None:
    """Return the token counts as callers know them."""
    if usage is None:
        return None
    return UsageBody(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.prompt_tokens + usage.completion_tokens,
        prompt_tokens_details=PromptTokensDetails(usage.cached_tokens),
    )
