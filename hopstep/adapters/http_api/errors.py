"""Rendering of errors as JSON bodies, headers and server-sent events."""

from __future__ import annotations

import math

import msgspec

from hopstep.exceptions import ErrorCode, Execution, ServiceError

MIN_RETRY_AFTER_SECONDS = 1
"""Whole seconds in ``Retry-After``; 0 would ask for an immediate retry."""

DEFAULT_STATUS = 500

STATUS_BY_CODE = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.PROMPT_TOO_LONG: 400,
    ErrorCode.UNKNOWN_CLASS: 400,
    ErrorCode.INVALID_KEY: 401,
    ErrorCode.CLASS_NOT_ALLOWED: 403,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.ALREADY_CLAIMED: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.OUTSIDE_PLACEMENT: 421,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.STREAM_INTERRUPTED: 502,
    ErrorCode.EXECUTION_UNKNOWN: 502,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.NO_ADMISSIBLE_BACK_END: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.RETRIES_EXHAUSTED: 503,
    ErrorCode.ENGINE_UNREACHABLE: 503,
    ErrorCode.PRECONDITION_FAILED: 503,
    ErrorCode.STREAM_NOT_RESUMABLE: 503,
    ErrorCode.REQUEST_QUARANTINED: 503,
    ErrorCode.PROMPT_PART_QUARANTINED: 503,
    ErrorCode.CLAIMS_UNAVAILABLE: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.ISOLATED: 503,
    ErrorCode.VIEW_OUTDATED: 503,
}
"""HTTP status of each code that callers may receive; others are ``DEFAULT_STATUS``."""


class ErrorDetail(msgspec.Struct, frozen=True):
    """Details of an error for the caller.

    Attributes:
        code: Stable code.
        message: One sentence for a person.
        type: Category of the error, as OpenAI-style clients expect.
        param: Invalid field, or None.
        execution: ``not_run`` only if proved, else ``unknown``.
        retry_after_seconds: Time to wait before a retry.
        endpoints: Addresses of routers that may serve the request, for refusals by placement.
    """

    code: str
    message: str
    type: str
    param: str | None
    execution: str
    retry_after_seconds: int
    endpoints: tuple[str, ...] = ()


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every error."""

    error: ErrorDetail


def http_status(error: ServiceError) -> int:
    """Return the HTTP status of an error."""
    return STATUS_BY_CODE.get(error.code, DEFAULT_STATUS)


def retry_after(error: ServiceError) -> int:
    """Return the whole seconds after which the caller may retry."""
    return max(MIN_RETRY_AFTER_SECONDS, math.ceil(error.retry_after_seconds))


def encode_error(error: ServiceError) -> bytes:
    """Return the JSON body of an error."""
    client_fault = http_status(error) < 500
    detail = ErrorDetail(
        code=error.code.value,
        message=error.message,
        type="invalid_request_error" if client_fault else "server_error",
        param=error.field or None,
        execution=error.execution.value,
        retry_after_seconds=retry_after(error),
        endpoints=error.endpoints,
    )
    return msgspec.json.encode(ErrorBody(detail))


def error_headers(error: ServiceError) -> dict[str, str]:
    """Return the headers of an error response.

    The common client library retries failed requests by itself; ``X-Should-Retry`` stops it
    where a retry might run the request a second time.
    """
    headers = {"Content-Type": "application/json", "Retry-After": str(retry_after(error))}
    if error.execution is Execution.UNKNOWN:
        headers["X-Should-Retry"] = "false"
    if error.code is ErrorCode.STOPPING:
        headers["Connection"] = "close"
    if error.code is ErrorCode.INVALID_KEY:
        headers["WWW-Authenticate"] = "Bearer"
    return headers
