"""The oracle: checks the history of a simulation for violated invariants.

Each check reads the view of callers, engines and the store, never the state of a router.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from emulator.engine.answers import expected_tokens, prompt_digest
from emulator.simulation.cache_oracle import cache_violations
from emulator.simulation.cluster import DRAIN_SECONDS, SimulatedCluster
from emulator.simulation.configuration_oracle import configuration_violations
from emulator.simulation.history import Answer, Dispatch, Outcome
from emulator.simulation.placement_oracle import placement_violations
from hopstep.domain.retry_budget import FLOOR_RETRIES_PER_SECOND, MAX_SAVED_RETRIES
from hopstep.exceptions import ErrorCode
from hopstep.log_events.requests import REQUEST_FAILED

IMMEDIATE_SECONDS = 0.05
"""Longest virtual time from a decision to its answer, or from a request to its refusal."""

IMMEDIATE_CODES = frozenset(
    {
        ErrorCode.RATE_LIMITED,
        ErrorCode.STOPPING,
        ErrorCode.ISOLATED,
        ErrorCode.OUTSIDE_PLACEMENT,
        ErrorCode.NOT_READY,
    }
)
"""Error codes of refusals that are sent without waiting."""

FAILED_EVENT = REQUEST_FAILED.name


def violations(cluster: SimulatedCluster) -> list[str]:
    """Return all violations of invariants in a simulation that has ended."""
    return [
        *_stream_violations(cluster),
        *_single_run_violations(cluster),
        *_not_run_violations(cluster),
        *_planned_stop_violations(cluster),
        *_amplification_violations(cluster),
        *_refusal_violations(cluster),
        *cache_violations(cluster),
        *configuration_violations(cluster),
        *placement_violations(cluster),
    ]


def _stream_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that every answer is a prefix of the expected one, and that none ends too early."""
    for answer in cluster.history.answers:
        expected = expected_tokens(answer.call.prompt, answer.call.max_tokens)
        got = tuple(answer.tokens)
        if answer.outcome is Outcome.OPEN:
            yield f"stream: {_name(answer)} never ended"
        if answer.sequence_errors or got != expected[: len(got)]:
            yield f"stream: {_name(answer)} isn't a prefix of the right answer"
        if answer.finished and got != expected:
            yield f"stream: {_name(answer)} ended after {len(got)} of {len(expected)} tokens"
        if answer.finished and answer.usage_tokens != len(got):
            yield f"stream: {_name(answer)} has a wrong usage"
        broken = answer.outcome in (Outcome.REFUSED, Outcome.FAILED)
        if broken and not answer.code:
            yield f"stream: {_name(answer)} was cut off without an error"


def _single_run_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that a request that isn't repeatable runs at most once for each key."""
    once = {
        prompt_digest(answer.call.prompt): answer
        for answer in cluster.history.answers
        if not _repeatable(cluster, answer)
    }
    runs = [record for records in cluster.runs.values() for _, record in records]
    counts = Counter(record.prompt_digest for record in runs)
    for digest, answer in once.items():
        sendings = [a for a in cluster.history.answers if a.call.prompt == answer.call.prompt]
        allowed = 1 if answer.call.idempotency_key else len(sendings)
        if counts[digest] > allowed:
            yield f"at most once: {_name(answer)} ran {counts[digest]} times"


def _not_run_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that nothing of a sending ran, before or after a response that states so."""
    dispatches = _by_sending(cluster)
    for answer in cluster.history.answers:
        if not answer.reports_not_run:
            continue
        ran = [item for item in dispatches[answer.number] if item.request.nonce in cluster.runs]
        if ran:
            yield f"not run: {_name(answer)} was reported as not run ({answer.code}), but ran"


def _planned_stop_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that a planned stop cuts off no answer and comes to an end."""
    for incarnation in cluster.history.incarnations:
        if incarnation.planned_stop_at == float("inf"):
            continue
        if incarnation.ended_at > incarnation.planned_stop_at + DRAIN_SECONDS + 1.0:
            yield f"planned stop: {incarnation.router} hadn't stopped at the end"
        for answer in cluster.history.answers:
            lost = answer.outcome is Outcome.CONNECTION_LOST and answer.router == incarnation.router
            by_stop = incarnation.planned_stop_at <= answer.ended_at <= incarnation.ended_at
            if lost and by_stop and not incarnation.killed:
                yield f"planned stop: {_name(answer)} was cut off"


def _amplification_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that retries stay within the retry budget of each router.

    An attempt that continues after the tokens of an earlier one isn't counted as a retry.
    """
    configurations = [item.accepted.configuration for item in cluster.history.accepted]
    ratio = max(configuration.routing.retry_ratio for configuration in configurations)
    for incarnation in cluster.history.incarnations:
        sent = [
            item
            for item in cluster.history.dispatches
            if item.incarnation_number == incarnation.number
        ]
        calls = len({item.sending for item in sent})
        seconds = (sent[-1].at if sent else incarnation.began_at) - incarnation.began_at
        allowed = ratio * calls + FLOOR_RETRIES_PER_SECOND * seconds + MAX_SAVED_RETRIES
        retries = _retries(sent)
        if retries > allowed:
            yield f"amplification: {incarnation.router} sent {retries} retries for {calls} requests"


def _retries(sent: list[Dispatch]) -> int:
    """Return the number of attempts that begin at the token where an earlier one began."""
    seen = {(item.sending, len(item.request.continued_text)) for item in sent}
    return len(sent) - len(seen)


def _refusal_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Check that refusals are sent at once with ``Retry-After``, and errors by the deadline."""
    log = cluster.history.log
    decided = {line.request_id: line.at for line in log if line.event == FAILED_EVENT}
    classes = {item.name: item for item in cluster.deployment.classes}
    sent = _by_sending(cluster)
    for answer in cluster.history.answers:
        if answer.code and answer.retry_after_seconds <= 0:
            yield f"refusal: {_name(answer)} doesn't say when to retry"
        if answer.delayed or answer.outcome not in (Outcome.REFUSED, Outcome.FAILED):
            continue
        took = answer.ended_at - answer.started_at
        is_immediate = answer.error_code in IMMEDIATE_CODES and answer.number not in sent
        if is_immediate and took > IMMEDIATE_SECONDS:
            yield f"refusal: {_name(answer)} took {took:.2f} s for {answer.code}"
        lag = answer.ended_at - decided.get(answer.request_id, answer.ended_at)
        if lag > IMMEDIATE_SECONDS:
            yield f"refusal: {_name(answer)} came {lag:.2f} s after its decision"
        if took > classes[answer.call.request_class].deadline_seconds + IMMEDIATE_SECONDS:
            yield f"refusal: {_name(answer)} came {took:.2f} s after the request"


def _repeatable(cluster: SimulatedCluster, answer: Answer) -> bool:
    classes = {item.name: item for item in cluster.deployment.classes}
    return classes[answer.call.request_class].repeatable


def _by_sending(cluster: SimulatedCluster) -> dict[int, list[Dispatch]]:
    """Return attempts by the number of their sending."""
    dispatches: dict[int, list[Dispatch]] = defaultdict(list)
    for dispatch in cluster.history.dispatches:
        dispatches[dispatch.sending].append(dispatch)
    return dispatches


def _name(answer: Answer) -> str:
    """Return the description of a sending for messages."""
    call = answer.call
    return f"sending {answer.number} of {call.tenant}/{call.request_class} at {answer.router}"
