"""The errors that hopstep raises, by layer, each with a stable code.

Each layer raises its own errors and converts those of the layer below into its own:

* ``DomainError``: a pure decision failed (bad input, nothing admissible).
* ``PortError``: an outside system failed; raised by adapters only.
* ``ServiceError``: an error that services raise to the HTTP API, which renders it.

The codes are published in ``docs/ERRORS.md``; their meaning never changes.
"""

from __future__ import annotations

import enum


class ErrorCode(enum.StrEnum):
    """Stable error codes for callers and operators."""

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
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    EXECUTION_UNKNOWN = "execution_unknown"
    REQUEST_QUARANTINED = "request_quarantined"
    PROMPT_PART_QUARANTINED = "prompt_part_quarantined"
    ALREADY_CLAIMED = "already_claimed"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    # Node state
    NOT_READY = "not_ready"
    CONFIGURATION_CHANGED = "configuration_changed"
    STOPPING = "stopping"
    ISOLATED = "isolated"
    VIEW_OUTDATED = "view_outdated"
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
    STORE_HISTORY_LOST = "store_history_lost"
    STORE_ANSWER_TOO_LONG = "store_answer_too_long"
    PEER_MESSAGE_REJECTED = "peer_message_rejected"


ERROR_GUIDE = {
    ErrorCode.MALFORMED_REQUEST: "The body or a header is malformed; fix the field in `param`.",
    ErrorCode.BODY_TOO_LARGE: "The body is over the router's `max_body_bytes`; send less.",
    ErrorCode.PROMPT_TOO_LONG: "The prompt is over the model's `max_prompt_tokens`; shorten it.",
    ErrorCode.INVALID_KEY: "The bearer key is missing, malformed or belongs to no tenant.",
    ErrorCode.UNKNOWN_MODEL: "No model of this name is configured; see `/v1/models`.",
    ErrorCode.UNKNOWN_CLASS: "No request class of this name is configured.",
    ErrorCode.CLASS_NOT_ALLOWED: "The tenant may not use this request class.",
    ErrorCode.NOT_FOUND: "No such path, or a wrong method.",
    ErrorCode.OUTSIDE_PLACEMENT: "This router is outside the tenant's placement; use `endpoints`.",
    ErrorCode.NO_ADMISSIBLE_BACK_END: "No engine in the tenant's placement serves the model now.",
    ErrorCode.RATE_LIMITED: "A limit of the tenant is used up; `param` names it. Retry later.",
    ErrorCode.OVERLOADED: "The engines can't serve the request in time. Retry later.",
    ErrorCode.DEADLINE_EXCEEDED: "The class's deadline passed before the answer was complete.",
    ErrorCode.RETRIES_EXHAUSTED: "Attempts failed and the retry budget is used up.",
    ErrorCode.ENGINE_UNREACHABLE: "No engine could be reached.",
    ErrorCode.PRECONDITION_FAILED: "The engine restarted or changed weights in between.",
    ErrorCode.STREAM_INTERRUPTED: "The answer broke off and could not be continued.",
    ErrorCode.STREAM_NOT_RESUMABLE: "No engine can go on with this stream; begin a new one.",
    ErrorCode.EXECUTION_UNKNOWN: "A request that must run at most once may have run; check first.",
    ErrorCode.REQUEST_QUARANTINED: "Back ends crashed on this request; change it, or see its log.",
    ErrorCode.PROMPT_PART_QUARANTINED: "Back ends crashed on a part of the prompt; leave it out.",
    ErrorCode.ALREADY_CLAIMED: "The idempotency key was used before; that request may have run.",
    ErrorCode.CLAIMS_UNAVAILABLE: "The store of claims is down; requests with a key are refused.",
    ErrorCode.NOT_READY: "The router has no configuration yet.",
    ErrorCode.CONFIGURATION_CHANGED: "The configuration changed during the request; send it again.",
    ErrorCode.STOPPING: "The router is stopping; use another one.",
    ErrorCode.ISOLATED: "The router is isolated and can't check that its placement is valid.",
    ErrorCode.VIEW_OUTDATED: "The router runs late, its view of the back ends is too old; retry.",
    ErrorCode.INTERNAL: "A fault in hopstep; the log names its location.",
    ErrorCode.INVALID_CONFIGURATION: "The operators' document violates the named rule.",
    ErrorCode.CONFIGURATION_CONFLICT: "Another change came first; see the difference, edit again.",
    ErrorCode.INVALID_SETTINGS: "A settings file or flag is invalid; the message names the field.",
    ErrorCode.STORE_UNAVAILABLE: "The key-value service did not respond; nothing was written.",
    ErrorCode.STORE_OUTCOME_UNKNOWN: "The response to a write was lost; it may have taken effect.",
    ErrorCode.STORE_CONFLICT: "A compare-and-swap found another version; nothing was written.",
    ErrorCode.STORE_RATE_LIMITED: "The key-value service refused the request by its rate limit.",
    ErrorCode.STORE_HISTORY_LOST: "A watch fell behind the kept history; the router lists again.",
    ErrorCode.STORE_ANSWER_TOO_LONG: "The store's response exceeds its bound; after a watch, list.",
    ErrorCode.PEER_MESSAGE_REJECTED: "A peer's message is truncated, forged, replayed or foreign.",
}
"""What each code means and what to do, for ``docs/ERRORS.md``."""


class Execution(enum.StrEnum):
    """Whether a refused or failed request may have run at an engine."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class HopstepError(Exception):
    """Base of all errors.

    Args:
        code: Stable code.
        message: One sentence for a person; never holds prompts, answers or keys.
        field: Path of the invalid field, such as ``tenants[2].selector``; empty if none.
    """

    def __init__(self, code: ErrorCode, message: str, field: str = "") -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.field = field


class DomainError(HopstepError):
    """A pure decision failed."""


class ValidationError(DomainError):
    """A document or request violates a rule; ``field`` names where."""


class PortError(HopstepError):
    """An outside system failed."""


class StoreError(PortError):
    """The key-value store refused or failed; the operation took no effect."""


class StoreConflictError(StoreError):
    """A compare-and-swap found another version; nothing was written."""


class StoreRestoredError(StoreConflictError):
    """The call relies on state from before the store was restored from a backup."""


class StoreOutcomeUnknownError(StoreError):
    """The request was sent, but no response came: it may have taken effect."""


class StoreHistoryLostError(StoreError):
    """Changes since a revision are no longer kept; the watch must start from a new listing."""


class EngineError(PortError):
    """An engine call failed.

    Args:
        execution: ``NOT_RUN`` only when proved: no byte of the request was sent, or the
            engine itself reported so under this attempt's nonce.
        retry_after_seconds: Delay that the engine asks for before the next call; 0 for none.
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
    """A peer message is truncated, forged, replayed or from another cluster."""


class ServiceError(HopstepError):
    """An error that is returned to a caller.

    Args:
        execution: Proved outcome at engines.
        retry_after_seconds: Delay before a retry by the caller; rendered as ``Retry-After``.
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
