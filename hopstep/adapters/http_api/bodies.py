"""Typed bodies of the OpenAI-style API: requests, responses and stream chunks."""

from __future__ import annotations

import re
from typing import Annotated, TypeVar

import msgspec

from hopstep.decoding import JsonDecoder
from hopstep.exceptions import ErrorCode, ServiceError

ERROR_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")
"""Matches the path of the invalid field in the decoder's message."""

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer.

    Attributes:
        include_usage: Whether a final chunk carries the usage.
    """

    include_usage: bool = False


class Metadata(msgspec.Struct, frozen=True, rename={"request_class": "class"}):
    """Metadata from the caller; only the class is used.

    Attributes:
        request_class: Request class, unless the header names one.
    """

    request_class: str = ""


class GenerationBody(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that chat and plain completions share; unknown fields are ignored.

    Attributes:
        model: Model name.
        max_tokens: Longest answer in tokens.
        max_completion_tokens: Newer name of ``max_tokens``; takes precedence over it.
        n: Number of answers; only one is supported.
        stream: Whether the answer is sent as server-sent events.
        stream_options: Options of the stream.
        metadata: Metadata from the caller.
    """

    model: str
    max_tokens: PositiveInt | None = None
    max_completion_tokens: PositiveInt | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    metadata: Metadata | None = None


class CompletionBody(GenerationBody, frozen=True, kw_only=True):
    """Body of ``/v1/completions``.

    Attributes:
        prompt: Prompt text.
    """

    prompt: str


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message; only text is supported."""

    type: Annotated[str, msgspec.Meta(pattern="^text$")]
    text: str


class MessageBody(msgspec.Struct, frozen=True):
    """One chat message.

    Attributes:
        role: Author of the message, such as ``user``.
        content: Text, as one string or in parts.
    """

    role: str
    content: str | list[ContentPart]

    def text(self) -> str:
        """Return the complete text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatBody(GenerationBody, frozen=True, kw_only=True):
    """Body of ``/v1/chat/completions``.

    Attributes:
        messages: Messages, oldest first.
    """

    messages: Annotated[list[MessageBody], msgspec.Meta(min_length=1)]


class PromptTokensDetails(msgspec.Struct, frozen=True):
    """How many prompt tokens came from a cache."""

    cached_tokens: int


class UsageBody(msgspec.Struct, frozen=True):
    """Token counts of an answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class AnswerMessage(msgspec.Struct, frozen=True):
    """The assistant's complete message."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True):
    """The one choice of a complete chat answer."""

    index: int
    message: AnswerMessage
    finish_reason: str


class TextChoice(msgspec.Struct, frozen=True):
    """The one choice of a completion or of one of its chunks."""

    index: int
    text: str
    finish_reason: str | None


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Content that a chat chunk adds to the message."""

    role: str = ""
    content: str = ""


class DeltaChoice(msgspec.Struct, frozen=True):
    """The one choice of a chat chunk."""

    index: int
    delta: Delta
    finish_reason: str | None


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """A complete answer, or one chunk of a streamed answer.

    Attributes:
        id: Identifier of the answer.
        object: Type of the body, as in the OpenAI API.
        created: Unix time in seconds.
        model: Model name.
        choices: One choice; none in the chunk that carries the usage.
        usage: Token counts.
        engines: Engines that generated the answer, in order; only at its end. An extension that
            standard clients ignore.
    """

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChatChoice | TextChoice | DeltaChoice, ...]
    usage: UsageBody | None = None
    engines: tuple[str, ...] = ()


class ModelBody(msgspec.Struct, frozen=True):
    """One model of ``/v1/models``."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "hopstep"


class ModelListBody(msgspec.Struct, frozen=True):
    """Response body of ``/v1/models``."""

    data: tuple[ModelBody, ...]
    object: str = "list"


BodyT = TypeVar("BodyT", bound=GenerationBody)


def decode_body(data: bytes, decoder: JsonDecoder[BodyT]) -> BodyT:
    """Decode a request body.

    Raises:
        ServiceError: ``MALFORMED_REQUEST`` that names the invalid field.
    """
    try:
        return decoder.decode(data)
    except msgspec.ValidationError as error:
        message, field = _split_validation_message(str(error))
        raise ServiceError(ErrorCode.MALFORMED_REQUEST, message, field=field) from None
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ServiceError(
            ErrorCode.MALFORMED_REQUEST, "the body is not valid JSON", field="body"
        ) from None


def _split_validation_message(text: str) -> tuple[str, str]:
    """Return the decoder's message without its path, and the path of the field."""
    match = ERROR_PATH.search(text)
    if match is None:
        missing = re.search(r"missing required field `([^`]+)`", text)
        return text, missing.group(1) if missing else "body"
    return text[: match.start()], match["path"] or "body"
