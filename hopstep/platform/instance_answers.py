"""Reads the heads and bodies of instances' HTTP responses, and decides nothing about requests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import httpcore

from hopstep.domain.head_numbers import whole_number
from hopstep.domain.instance_notices import AnswerKind, InstanceNotice
from hopstep.exceptions import ErrorCode, Execution
from hopstep.platform import names
from hopstep.platform.notices import read_notice
from hopstep.platform.weights_lines import WeightsVersionScanner
from hopstep.ports.instance_calls import InstanceAnswer, InstanceCall, InstanceCallError

MISDIRECTED = 421

MAX_VERSION = 10**15 - 1
"""Largest version of weights that an answer may name, as ``weights_lines`` has it."""

FAILURES = (httpcore.ProtocolError, httpcore.NetworkError, httpcore.TimeoutException)
"""Errors of the library for a response that doesn't come, or not whole."""


class HttpInstanceAnswer(InstanceAnswer):
    """An instance's HTTP response."""

    def __init__(self, response: httpcore.Response) -> None:
        """Read the head of a response.

        Args:
            response: The library's response.
        """
        found = {name.lower(): value for name, value in response.headers}
        self.status = response.status
        self.headers = tuple(
            (name.lower(), value)
            for name, value in response.headers
            if name.lower() not in names.PER_CONNECTION and name.lower() != b"date"
        )
        self.signed = names.SIGNATURE in found
        self.weights_version = _read_version(found.get(names.VERSIONS, b""))
        is_chunked = b"transfer-encoding" in found
        if b"content-length" in found and not is_chunked:
            # The protocol has checked that these are digits, and not many.
            self.length = int(found[b"content-length"])
        self.ends_with_connection = self.length is None and not is_chunked
        self._response = response

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; see the port."""
        scanner = WeightsVersionScanner()
        try:
            async for data in self._response.aiter_stream():
                self.weights_version = scanner.scan(data) or self.weights_version
                yield data
        except FAILURES as error:
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, "the answer broke off", Execution.UNKNOWN
            ) from error


def is_own_answer(response: httpcore.Response, call: InstanceCall) -> bool:
    """Return whether a response is the called instance's answer to this request.

    It is if it repeats the request's id, or is a refusal without an id. A surplus response names
    another request, and 421 may come from another instance that has the address now.
    """
    found = {name.lower(): value for name, value in response.headers}
    answered = found.get(names.REQUEST_ID)
    if response.status == MISDIRECTED:
        return found.get(names.INSTANCE_ID) == call.instance.instance_id.encode()
    if answered is None:
        return names.NOT_EXECUTED in found
    return answered == call.request.request_id.encode(names.HEADER_ENCODING)


def request_notice(response: httpcore.Response) -> InstanceNotice:
    """Return what an instance announces in its own answer to a request."""
    found = {name.lower() for name, _value in response.headers}
    kind = AnswerKind.REQUEST if names.REQUEST_ID in found else AnswerKind.REFUSAL
    return read_notice(response.status, response.headers, kind)


def is_other_answer(response: httpcore.Response, request_id: bytes) -> bool:
    """Return whether a response names another request than the one that is under way.

    Args:
        response: The response.
        request_id: Identifier of the request; empty for a control call, which has none.
    """
    found = {name.lower(): value for name, value in response.headers}
    return found.get(names.REQUEST_ID, request_id) != request_id


def is_control_answer(response: httpcore.Response) -> bool:
    """Return whether a response is the called instance's answer to a control call.

    Control calls have no id, so a response with an id is a surplus one to an earlier request.
    """
    found = {name.lower() for name, _value in response.headers}
    return names.REQUEST_ID not in found and response.status != MISDIRECTED


def check_head(response: httpcore.Response, call: InstanceCall) -> None:
    """Raise unless a response's head shows that the instance ran this request."""
    found = {name.lower(): value for name, value in response.headers}
    answered = found.get(names.REQUEST_ID)
    if is_other_answer(response, call.request.request_id.encode(names.HEADER_ENCODING)):
        raise InstanceCallError(
            ErrorCode.EXECUTION_UNKNOWN, "the response is to another request", Execution.UNKNOWN
        )
    if names.NOT_EXECUTED in found or response.status == MISDIRECTED:
        code = ErrorCode.OVERLOADED
        if response.status == MISDIRECTED:
            code = ErrorCode.PRECONDITION_FAILED
        named = found.get(names.INSTANCE_ID, b"") if response.status == MISDIRECTED else b""
        own = named == call.instance.instance_id.encode()
        raise InstanceCallError(
            code,
            f"not run, status {response.status}",
            Execution.NOT_RUN,
            stale_version=own and bool(call.expected_version),
            replaced=bool(named) and not own,
        )
    if answered is None:
        raise InstanceCallError(
            ErrorCode.EXECUTION_UNKNOWN, "the response has no request id", Execution.UNKNOWN
        )


def _read_version(value: bytes) -> int:
    """Return the version of weights that a header names; 0 when it names none that can be meant."""
    return whole_number(value.decode(names.HEADER_ENCODING), MAX_VERSION) or 0
