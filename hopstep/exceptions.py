"""Every error that hopstep raises, by layer, each with a stable code.

Each layer raises its own errors and turns those of the layer below into its own:

* ``DomainError``: a pure decision that can't be made (bad input, nothing admissible).
* ``PortError``: an outside system failed; raised by adapters only.
* ``ServiceError``: an error that services give to the HTTP API, which renders it.

The codes are published in ``docs/ERRORS.md``; they never change their meaning.
"""

from __future__ import annotations

import enum


class ErrorCode(enum.StrEnum):
    """Stable codes that callers and operators see."""

    # Requests
    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    INVALID_KEY = "invalid_key"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_CLASS = "unknown_class"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    NOT_FOUND = "not_found"
    # Placement
    OUTSIDE_PLACEMENT = "outside_placement"
    NO_ADMISSIBLE_BACK_END = "no_admissible_back_end"
    # Limits and capacity
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    RETRIES_EXHAUSTED = "retries_exhausted"
    # Attempts
    ENGINE_UNREACHABLE = "engine_unreachable"
    PRECONDITION_FAILED = "precondition_failed"
    STREAM_INTERRUPTED = "stream_interrupted"
    EXECUTION_UNKNOWN = "execution_unknown"
    ALREADY_CLAIMED = "already_claimed"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    # Node state
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    ISOLATED = "isolated"
    INTERNAL = "internal"
    # Configuration
    INVALID_CONFIGURATION = "invalid_configuration"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    INVALID_SETTINGS = "invalid_settings"
    # Outside systems
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    STORE_CONFLICT = "store_conflict"
    STORE_RATE_LIMITED = "store_rate_limited"
    PEER_MESSAGE_REJECTED = "peer_message_rejected"


class Execution(enum.StrEnum):
    """What a refusal says of the request's execution at an engine."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class HopstepError(Exception):
    """Base of all errors.

    Args:
        code: Stable code.
        message: One sentence for a person; never holds prompts, answers or keys.
        field: Path of the field at fault, such as ``tenants[2].selector``; empty if none.
    """

    def __init__(self, code: ErrorCode, message: str, field: str = "") -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.field = field


class DomainError(HopstepError):
    """A pure decision that can't be made."""


class ValidationError(DomainError):
    """A document or request that breaks a rule; ``field`` names where."""


class PortError(HopstepError):
    """An outside system failed."""


class StoreError(PortError):
    """The key-value store refused or failed; the operation took no effect."""


class StoreConflictError(StoreError):
    """A compare-and-swap found another version; nothing was written."""


class StoreOutcomeUnknownError(StoreError):
    """The request was sent, but no answer came: the effect may have taken place."""


class EngineError(PortError):
    """An engine call failed.

    Args:
        execution: ``NOT_RUN`` only when proved: no byte of the request was sent, or the
            engine itself said so under this attempt's nonce.
        retry_after_seconds: When the engine asks to be called again; 0 if it doesn't say.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        execution: Execution,
        retry_after_seconds: float = 0.0,
    ) -> None:
        super().__init__(code, message)
        self.execution = execution
        self.retry_after_seconds = retry_after_seconds


class PeerMessageError(PortError):
    """A peer message that is truncated, forged, replayed or from another cluster."""


class ServiceError(HopstepError):
    """An error on its way to a caller.

    Args:
        execution: What is proved about execution at engines.
        retry_after_seconds: When the caller should come back; rendered as ``Retry-After``.
        endpoints: Addresses of routers that may serve the request (placement refusals).
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        field: str = "",
        execution: Execution = Execution.NOT_RUN,
        retry_after_seconds: float = 1.0,
        endpoints: tuple[str, ...] = (),
    ) -> None:
        super().__init__(code, message, field)
        self.execution = execution
        self.retry_after_seconds = retry_after_seconds
        self.endpoints = endpoints
