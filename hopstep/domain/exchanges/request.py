"""A request that a node routes."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.serving import Route, Tenant
from hopstep.domain.quarantine.crashes import RequestIdentity
from hopstep.domain.quarantine.fingerprint import part_fingerprint, request_fingerprint

Headers = tuple[tuple[bytes, bytes], ...]


MAX_PRIORITY = 9
MAX_SHARED_PARTS = 64
"""Maximum number of a prompt's parts that are told apart when instances crash under it."""

PRIORITIES_OF_A_TENANT = 3
"""Route priorities that fit between two tenant priorities."""


class PromptSegment(msgspec.Struct, frozen=True):
    """A named part of a prompt.

    Attributes:
        segment_id: Equal for equal text.
        tokens: Length.
    """

    segment_id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What a request states about its prompt.

    Attributes:
        model: Name of the model.
        segments: Parts in order; the last is specific to the request or its session.
        prompt_tokens: Length of the whole prompt.
        answer_tokens: Highest number of tokens in the answer.
        expected_answer_tokens: Expected number; 0 when not stated.
    """

    model: str
    segments: tuple[PromptSegment, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_answer_tokens: int = 0

    def used_tokens(self, uncached_tokens: int) -> int:
        """Return the memory in tokens that a request takes at an instance until its end.

        Args:
            uncached_tokens: Prompt tokens that the instance hasn't cached.
        """
        return uncached_tokens + (self.expected_answer_tokens or self.answer_tokens)


class ExchangeRequest(msgspec.Struct, frozen=True):
    """A request that was received completely and admitted.

    Attributes:
        request_id: Unique for each request that a client sends, retries included.
        method: HTTP method.
        target: Raw path and query.
        headers: Headers that are passed on.
        body: Complete body.
        route: Its route.
        tenant: Tenant of its API key; None on public routes.
        received_at: When its first byte was read, by the steady clock in seconds.
        complete_at: When its body had arrived, by the same clock.
        deadline: When the final answer is due, by the same clock.
        client_deadline: When the client gives up, by the same clock.
        prompt: What it states about its prompt; None for services without prompts.
        resume_after: Last event that the client has; empty for a new stream.
        resumes: Id of the request that began the stream, as the client states; empty for none.
        usage_tokens: Tokens of its prompt and longest answer; None when not stated.
        key: API key that it carries; empty for none.
        configuration: Version of the configuration that admitted it.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    tenant: Tenant | None
    received_at: float
    complete_at: float
    deadline: float
    client_deadline: float
    prompt: Prompt | None = None
    resume_after: str = ""
    usage_tokens: int | None = None
    key: str = ""
    resumes: str = ""
    configuration: int = 0

    @property
    def first_byte_by(self) -> float:
        """When the client gives up without a byte of the answer, by the steady clock in seconds."""
        patience = self.route.event_patience_seconds
        return min(self.deadline, self.received_at + patience) if patience else self.deadline

    @property
    def rank(self) -> int:
        """Priority at an instance, 0 first: by its tenant's, then by its route's."""
        priority = self.route.priority
        if self.tenant is not None and self.tenant.priority is not None:
            priority = min(priority, PRIORITIES_OF_A_TENANT - 1)
            priority += self.tenant.priority * PRIORITIES_OF_A_TENANT
        return max(0, min(MAX_PRIORITY, priority))

    @property
    def caller(self) -> str:
        """Name of its tenant; empty for none."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def isolation_group(self) -> str:
        """Its tenant's name if that is isolated; else empty."""
        return self.tenant.name if self.tenant is not None and self.tenant.isolated else ""

    def name(self) -> RequestIdentity:
        """Return the name it shares with equal requests of its caller; hashes the whole body."""
        caller = self.caller
        fingerprint = request_fingerprint(caller, self.target, self.body)
        return RequestIdentity(fingerprint, caller, self.route.name, self._shared_parts())

    def _shared_parts(self) -> tuple[bytes, ...]:
        """Return the fingerprints of the prompt's parts but the last, which only it has."""
        segments = self.prompt.segments[:-1] if self.prompt is not None else ()
        ids = dict.fromkeys(segment.segment_id for segment in segments)
        group = self.isolation_group
        return tuple(part_fingerprint(group, part_id) for part_id in list(ids)[:MAX_SHARED_PARTS])
