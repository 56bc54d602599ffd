"""Bodies of the engine protocol that aren't types of the port.

``docs/design/0003-engine-protocol.md`` describes the protocol. Requests and answers are JSON;
a stream is newline-delimited JSON, one ``TokenFrame`` or one ``Refusal`` a line, with empty
lines as keep-alives.
"""

from __future__ import annotations

import msgspec

from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import AttemptStatus, CancelOutcome

GENERATE_PATH = "/v1/generate"
RESUME_PATH = "/v1/resume"
CANCEL_PATH = "/v1/cancel"
FENCE_PATH = "/v1/fence_nonce"
FACTS_PATH = "/v1/facts"
CACHE_EVENTS_PATH = "/v1/cache_events"
ORDERS_PATH = "/v1/orders"
STREAM_MEDIA_TYPE = "application/x-ndjson"


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """Why an engine doesn't do what it was asked.

    Attributes:
        code: Stable code.
        message: One sentence.
        execution: What the engine says of the attempt's execution.
        nonce: The attempt that it speaks of; empty for calls without one.
        retry_after_seconds: When to come back; 0 if it doesn't say.
    """

    code: ErrorCode
    message: str
    execution: Execution
    nonce: str = ""
    retry_after_seconds: float = 0.0


class ResumeRequest(msgspec.Struct, frozen=True):
    """Go on with attempt ``nonce`` of ``incarnation`` from token ``next_sequence``."""

    nonce: str
    incarnation: str
    next_sequence: int


class CancelRequest(msgspec.Struct, frozen=True):
    """Cancel attempt ``nonce`` of ``incarnation``."""

    nonce: str
    incarnation: str


class CancelAnswer(msgspec.Struct, frozen=True):
    """What became of a cancelled attempt."""

    nonce: str
    outcome: CancelOutcome


class FenceRequest(msgspec.Struct, frozen=True):
    """Keep attempt ``nonce`` from starting in ``incarnation`` if it was never seen there."""

    nonce: str
    incarnation: str


class FenceAnswer(msgspec.Struct, frozen=True):
    """Where a fenced attempt is."""

    nonce: str
    status: AttemptStatus
