"""Rendering of errors as JSON bodies, headers and server-sent events."""

from __future__ import annotations

import math

import msgspec

from hopstep.exceptions import ErrorCode, Execution, ServiceError

MIN_RETRY_AFTER_SECONDS = 1
"""``Retry-After`` holds whole seconds; 0 would invite an immediate repeat."""

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
    ErrorCode.REQUEST_QUARANTINED: 503,
    ErrorCode.CLAIMS_UNAVAILABLE: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.ISOLATED: 503,
}
"""HTTP status of each code that callers may meet; others are ``DEFAULT_STATUS``."""


class ErrorDetail(msgspec.Struct, frozen=True):
    """What a caller learns of an error.

    Attributes:
        code: Stable code.
        message: One sentence for a person.
        type: Group of the error, by the conventions of OpenAI-style clients.
        param: Field at fault, or None.
        execution: ``not_run`` only when proved, else ``unknown``.
        retry_after_seconds: When to come back.
        endpoints: Routers that may serve the request, on placement refusals.
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
    """Return the whole seconds after which the caller may come back."""
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

    Clients of the common library repeat failed requests on their own; ``X-Should-Retry``
    stops them where a repeat might run the request a second time.
    """
    headers = {"Content-Type": "application/json", "Retry-After": str(retry_after(error))}
    if error.execution is Execution.UNKNOWN:
        headers["X-Should-Retry"] = "false"
    if error.code is ErrorCode.STOPPING:
        headers["Connection"] = "close"
    if error.code is ErrorCode.INVALID_KEY:
        headers["WWW-Authenticate"] = "Bearer"
    return headers
