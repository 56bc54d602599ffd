"""Verb ``trace``: explains a request's outcome from the logs of any number of nodes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from hopstep.ctl.log_lines import FINGERPRINT_FIELD, REQUEST_FIELD, TIME_FIELD, LogLine, read_log
from hopstep.ctl.results import ExitCode, VerbResult
from hopstep.ctl.trace_streams import explain_resume, stream_lines
from hopstep.domain.exchanges.retry_after import RetryReason
from hopstep.exceptions import ErrorCode
from hopstep.log_events.configuration import (
    DIRECTORY_HISTORY_LOST,
    DIRECTORY_SOURCE_CHANGED,
    SERVING_CONFIGURATION_APPLIED,
    STORE_ANSWER_OUTDATED,
    STORE_ERA_CHANGED,
    STORE_LOST,
    STORE_REGAINED,
    STORE_RESTORE_SUSPECTED,
)
from hopstep.log_events.event import LogEvent
from hopstep.log_events.instances import (
    CACHE_STORE_CHANGED,
    INSTANCE_ENTRY_OUTDATED,
    INSTANCE_LIMIT_CHANGED,
    INSTANCE_LISTED,
    INSTANCE_REMOVED,
    INSTANCE_SAYS_LEAVING,
    INSTANCE_WANTS_REST,
    SURPLUS_BYTES_RECEIVED,
    WEIGHTS_NAMED,
    WEIGHTS_ORDER_SENT,
)
from hopstep.log_events.process import PROCESS_STARTED, PROCESS_STOPPING
from hopstep.log_events.requests import (
    EXCHANGE_ATTEMPT_FAILED,
    EXCHANGE_REFUSED,
    INSTANCE_ENDED_UNDER_REQUEST,
    REQUEST_QUARANTINED,
    REQUEST_RELEASED,
)
from hopstep.ports.exchange_front import ConnectionEnd

CONTEXT_SECONDS = 6.0
"""Seconds before the request from which changes of nodes' state are shown."""

CONTEXT_EVENTS: tuple[LogEvent, ...] = (
    PROCESS_STARTED,
    PROCESS_STOPPING,
    STORE_LOST,
    STORE_REGAINED,
    DIRECTORY_HISTORY_LOST,
    STORE_ERA_CHANGED,
    STORE_ANSWER_OUTDATED,
    STORE_RESTORE_SUSPECTED,
    DIRECTORY_SOURCE_CHANGED,
    SERVING_CONFIGURATION_APPLIED,
    INSTANCE_LISTED,
    INSTANCE_REMOVED,
    INSTANCE_ENTRY_OUTDATED,
    INSTANCE_SAYS_LEAVING,
    INSTANCE_WANTS_REST,
    INSTANCE_LIMIT_CHANGED,
    WEIGHTS_NAMED,
    WEIGHTS_ORDER_SENT,
    CACHE_STORE_CHANGED,
    SURPLUS_BYTES_RECEIVED,
)
"""Changes of a node's state and of its view of instances."""

NOTICE_NUMBERS = frozenset(
    {
        INSTANCE_SAYS_LEAVING.number,
        INSTANCE_WANTS_REST.number,
        INSTANCE_LIMIT_CHANGED.number,
    }
)
"""Notices of instances, which may exclude them for all requests to their service."""

PART_CODE = ErrorCode.PROMPT_PART_QUARANTINED.value
QUARANTINE_CODES = frozenset({ErrorCode.REQUEST_QUARANTINED.value, PART_CODE})
QUARANTINED_FOR_FIELD = "quarantined_for"
PARTS_FIELD = "parts"
"""Fields that name digests of the parts of a request's prompt."""

QUARANTINE_EVENTS: tuple[LogEvent, ...] = (
    INSTANCE_ENDED_UNDER_REQUEST,
    REQUEST_QUARANTINED,
    REQUEST_RELEASED,
)
"""Changes of a request's quarantine, found by its fingerprint."""


class TraceDocument(msgspec.Struct, frozen=True):
    """Result of ``trace``.

    Attributes:
        request_id: The request.
        cause: Why it ended as it did.
        known: Store positions of the state by which its node decided.
        lines: Its lines, those of its stream's other requests, and the changes of nodes' state
            around it, oldest first.
    """

    request_id: str
    cause: str
    known: str
    lines: tuple[str, ...]


def trace_request(request_id: str, paths: Sequence[Path]) -> VerbResult:
    """Return the time line of a request and the cause of its outcome.

    Args:
        request_id: The request.
        paths: Logs of the nodes.

    Raises:
        ValidationError: When a log can't be read.
    """
    lines = [line for path in paths for line in read_log(path)]
    own = sorted(
        (line for line in lines if line.fields.get(REQUEST_FIELD) == request_id),
        key=lambda line: line.at,
    )
    if not own:
        document = TraceDocument(request_id, "no line names this request", "", ())
        return VerbResult(document.cause, document, ExitCode.REJECTED)
    context = [*_context(own, lines), *_quarantine_lines(own, lines)]
    resume = explain_resume(own)
    cause = "; ".join(filter(None, (explain_outcome(own, context), resume)))
    others = [line for line in stream_lines(request_id, lines) if line not in context]
    shown = sorted((*own, *context, *others), key=lambda line: line.at)
    known = explain_positions(own, lines)
    texts = tuple(_shown(line, request_id) for line in shown)
    document = TraceDocument(request_id, cause, known, texts)
    text = (*document.lines, f"known by: {known}", f"cause: {cause}")
    return VerbResult("\n".join(text), document)


def _shown(line: LogLine, request_id: str) -> str:
    """Return a line for a person, with the request if it is another one."""
    other = line.fields.get(REQUEST_FIELD, request_id)
    return str(line) if other == request_id else f"{line} {REQUEST_FIELD}={other}"


def explain_positions(own: Sequence[LogLine], lines: Sequence[LogLine]) -> str:
    """Return the store positions of the state by which a node decided a request.

    Args:
        own: Lines of the request, oldest first.
        lines: All lines.
    """
    last = own[-1]
    before = [line for line in lines if line.node == last.node and line.at <= last.at]
    version, instance = last.fields.get("configuration"), last.fields.get("instance")
    configurations = [
        line
        for line in before
        if line.number == SERVING_CONFIGURATION_APPLIED.number
        and line.fields.get("version") == version
    ]
    entries = [
        line
        for line in before
        if line.number == INSTANCE_LISTED.number and line.fields.get("instance") == instance
    ]
    parts = [f"the store up to {_position(last)}, keys as of {last.fields.get('age_ms')} ms before"]
    parts += [f"configuration {version} {_origin(line)}" for line in configurations[-1:]]
    parts += [f"{instance} {_origin(line)}" for line in entries[-1:]]
    return "; ".join(parts)


def _origin(line: LogLine) -> str:
    """Return the store position of a change and the source that reported it."""
    return f"of {_position(line)}, from {line.fields.get('source')}"


def _position(line: LogLine) -> str:
    """Return the store position in a line."""
    return f"era {line.fields.get('era')} revision {line.fields.get('revision')}"


def explain_outcome(own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    """Return the cause of a request's outcome.

    Args:
        own: Lines of the request, oldest first.
        context: Changes of nodes' state around it.
    """
    last = own[-1]
    if last.number == EXCHANGE_REFUSED.number:
        return _explain_refusal(last, context)
    failures = [x for x in own if x.number == EXCHANGE_ATTEMPT_FAILED.number]
    outcome = str(last.fields.get("outcome", ""))
    code, _, execution = outcome.partition(":")
    if code in QUARANTINE_CODES:
        return _explain_quarantine(execution, last, context)
    if execution:
        effect = "not run" if execution == "not_run" else "it may have run"
        explained = _explain_attempts(failures, last)
        return f"{code}, {effect}; {explained}{_explain_barriers(last)}{_explain_backoff(last)}"
    if outcome == "cut":
        return f"the answer was cut off; {_explain_attempts(failures, last)}"
    if outcome == "stopped":
        return f"cut by the end of its node's stop; {_explain_attempts(failures, last)}"
    if outcome == "client_left":
        return f"{_explain_end(last)} after {last.fields.get('total_ms')} ms"
    return (
        f"answered {outcome} by {last.fields.get('instance')}: first byte after "
        f"{last.fields.get('first_byte_ms')} ms ({last.fields.get('read_tokens')} tokens to "
        f"read), longest pause {last.fields.get('pause_ms')} ms, attempts "
        f"{last.fields.get('attempts')}{_explain_connection(last)}"
    )


def _explain_end(last: LogLine) -> str:
    """Return how the client's connection ended while its request was under way."""
    if last.fields.get("closed_by") == ConnectionEnd.RESET.value:
        return "the client's connection was reset"
    return "the client left"


def _explain_refusal(line: LogLine, context: Sequence[LogLine]) -> str:
    """Return why a request wasn't admitted."""
    code = line.fields.get("code")
    text = f"refused, not run: {code}, {line.fields.get('reason')}"
    lost = [x for x in context if x.number == STORE_LOST.number and x.node == line.node]
    if code in (ErrorCode.ISOLATED.value, ErrorCode.NOT_READY.value):
        text += f"; what the node knows is {line.fields.get('age_ms')} ms old"
        if lost:
            text += f"; it lost the store at {lost[-1].fields.get(TIME_FIELD)}"
    return text


def _explain_quarantine(execution: str, last: LogLine, context: Sequence[LogLine]) -> str:
    """Return for which request, or part of its prompt, a request is quarantined, and why."""
    effect = "not run" if execution == "not_run" else "it may have run"
    number = REQUEST_QUARANTINED.number
    refused_for = last.fields.get(QUARANTINED_FOR_FIELD)
    lines = [x for x in context if x.number == number]
    own = [x for x in lines if x.fields.get(FINGERPRINT_FIELD) == refused_for] or lines
    ends = own[0].fields.get("ends", ()) if own else ()
    is_for_part = str(last.fields.get("outcome", "")).startswith(PART_CODE)
    subject = f"part {refused_for} of its prompt" if is_for_part else "it"
    return f"refused, {effect}: instances have ended under {subject}: {', '.join(ends)}"


def _explain_barriers(last: LogLine) -> str:
    """Return what excluded instances that may otherwise serve the request."""
    kept_from = last.fields.get("kept_from") or {}
    parts = [f"{count} {barrier}" for barrier, count in sorted(kept_from.items())]
    return f"; kept from instances: {', '.join(parts)}" if parts else ""


def _explain_backoff(last: LogLine) -> str:
    """Return the explanation if all instances that may serve the request were backing off."""
    if last.fields.get("retry_reason") != RetryReason.BACKING_OFF.value:
        return ""
    wait_ms = last.fields.get("retry_after_ms")
    return f"; all instances of {last.fields.get('service')} rest, for {wait_ms} ms at least"


def _explain_attempts(failures: Sequence[LogLine], last: LogLine) -> str:
    """Return the failures of a request's attempts."""
    if not failures:
        instance = last.fields.get("instance")
        if not instance:
            return "no instance could be chosen"
        return f"still at {instance} after {last.fields.get('total_ms')} ms"
    parts = [
        f"{x.fields.get('instance')}: {x.fields.get('reason')}{_explain_connection(x)}"
        for x in failures
    ]
    return "; ".join(parts)


def _explain_connection(line: LogLine) -> str:
    """Return over which connection an attempt was sent, and how many sends that had carried."""
    connection = line.fields.get("connection")
    if not connection:
        return ""
    return f", send {line.fields.get('send_number')} over connection {connection}"


def _context(own: Sequence[LogLine], lines: Iterable[LogLine]) -> list[LogLine]:
    """Return changes of the state of the request's nodes and of its instances."""
    numbers = {event.number for event in CONTEXT_EVENTS}
    nodes = {line.node for line in own}
    instances = {line.fields.get("instance") for line in own} - {None, ""}
    services = {line.fields.get("service") for line in own} - {None, ""}

    def concerns(line: LogLine) -> bool:
        if line.number in NOTICE_NUMBERS and line.fields.get("service") in services:
            return True
        return "instance" not in line.fields or line.fields["instance"] in instances

    start, end = own[0].at - CONTEXT_SECONDS, own[-1].at
    return [
        line
        for line in lines
        if line.number in numbers
        and start <= line.at <= end
        and line.node in nodes
        and concerns(line)
    ]


def _quarantine_lines(own: Sequence[LogLine], lines: Iterable[LogLine]) -> list[LogLine]:
    """Return any node's lines on terminations under the request, also when sent by others."""
    names = (FINGERPRINT_FIELD, QUARANTINED_FOR_FIELD)
    fingerprints = {line.fields.get(name) for line in own for name in names} - {None, ""}
    fingerprints.update(part for line in own for part in line.fields.get(PARTS_FIELD, ()))
    numbers = {event.number for event in QUARANTINE_EVENTS}
    return [
        line
        for line in lines
        if line.number in numbers and line.fields.get(FINGERPRINT_FIELD) in fingerprints
    ]
