"""Message bodies of the engine protocol, apart from those that the port defines.

``docs/design/0003-engine-protocol.md`` describes the protocol. Requests and answers are JSON;
a stream is newline-delimited JSON, one ``TokenFrame`` or one ``Refusal`` per line, with empty
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
    """An engine's refusal of a request.

    Attributes:
        code: Stable code.
        message: One sentence.
        execution: Whether the attempt may have run, according to the engine.
        nonce: Attempt that it refers to; empty for calls without one.
        retry_after_seconds: Time to wait before a retry; 0 if not given.
    """

    code: ErrorCode
    message: str
    execution: Execution
    nonce: str = ""
    retry_after_seconds: float = 0.0


class ResumeRequest(msgspec.Struct, frozen=True):
    """Resume attempt ``nonce`` of ``incarnation`` from token ``next_sequence``."""

    nonce: str
    incarnation: str
    next_sequence: int


class CancelRequest(msgspec.Struct, frozen=True):
    """Cancel attempt ``nonce`` of ``incarnation``."""

    nonce: str
    incarnation: str


class CancelAnswer(msgspec.Struct, frozen=True):
    """Outcome of a cancellation."""

    nonce: str
    outcome: CancelOutcome


class FenceRequest(msgspec.Struct, frozen=True):
    """Keep attempt ``nonce`` from starting in ``incarnation`` if it was never seen there."""

    nonce: str
    incarnation: str


class FenceAnswer(msgspec.Struct, frozen=True):
    """Status of a fenced attempt."""

    nonce: str
    status: AttemptStatus
