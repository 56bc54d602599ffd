"""The ``Retry-After`` time of a refusal, by what the node observes.

Clients retry once or twice, at another node, and obey a wait of up to a third of their remaining
time. So a wait that is too long makes them miss their deadline, and one that is too short costs
them one of their few retries.
"""

from __future__ import annotations

import enum

import msgspec

from hopstep.exceptions import ErrorCode

AT_ONCE_SECONDS = 0.03
"""Wait when the retry reaches another node or instance: only the client's own delay."""

DEFAULT_SECONDS = 0.4
"""Wait without a better estimate: about the time within which a page or first token is due."""

MAX_SECONDS = 1.5
"""Longest wait: clients with a deadline of four to five seconds obey no longer one."""

OUTAGE_SHARE = 0.25
"""An outage is expected to last this part of its duration so far longer."""

MIN_SPREAD = 0.3
"""Smallest spread, as a part of the wait, so that clients don't return together."""

SPREAD_PER_REFUSAL = 0.05
"""Further spread, as a part of the wait, for each recent refusal for the same reason."""

MAX_SPREAD = 1.0
"""Largest spread, as a part of the wait."""

QUEUE_SPREAD = 0.25
"""Random part of the wait for a queue; a larger one would change the order of the refused."""

OBEYED_SHARE = 1.0 / 3.0
"""Part of a client's remaining time that it waits at most before it retries."""


class RetryReason(enum.StrEnum):
    """What a refused client waits for."""

    OTHER_NODE = "other_node"
    OTHER_INSTANCE = "other_instance"
    CONFIGURATION = "configuration"
    STORE_OUTAGE = "store_away"
    LOADING = "loading"
    BACKING_OFF = "resting"
    LIMITED = "limited"
    RELISTING = "relisting"
    QUARANTINE = "quarantine"
    QUOTA = "quota"
    QUEUE_FULL = "queue_full"
    UNKNOWN = "unknown"


CERTAIN_REASONS = frozenset({RetryReason.BACKING_OFF})
"""Reasons whose end is known, so that an earlier retry is certain to be refused."""


class QueueReturn(msgspec.Struct, frozen=True):
    """When a request that was refused for its expected wait would be served.

    Attributes:
        seconds: Expected time until then; 0 when unknown.
        client_seconds: Time until its client gives up.
    """

    seconds: float
    client_seconds: float


class RefusalFacts(msgspec.Struct, frozen=True):
    """What the node observes when it refuses a request; times in seconds.

    Attributes:
        code: Reason of the refusal.
        other_instance: Whether an instance that the request wasn't sent to would accept it now.
        loading_seconds: Until the first engine of the service has loaded weights; None when none is
            loading.
        backoff_seconds: Until the first instance accepts requests again; None unless all that may
            serve have asked this node to back off.
        limited_seconds: Until a permit for an instance under a limit is likely; None unless all
            that may serve are backing off or limited.
        relisting_seconds: Until expired entries are back or dropped; None when none are expected.
        store_silence_seconds: Time since the store answered this node or one that reports to it.
        others_answer: Whether other nodes answer this one, so that it isn't isolated.
        recent_refusals: Clients that were refused for the same reason within the last moments.
        queue_return: When the queue has drained; None unless the request's wait was the reason.
    """

    code: ErrorCode
    other_instance: bool = False
    loading_seconds: float | None = None
    backoff_seconds: float | None = None
    limited_seconds: float | None = None
    relisting_seconds: float | None = None
    store_silence_seconds: float = 0.0
    others_answer: bool = False
    recent_refusals: int = 0
    queue_return: QueueReturn | None = None


class RetryAdvice(msgspec.Struct, frozen=True):
    """When a client should retry, and why.

    Attributes:
        seconds: Value of ``Retry-After``.
        reason: What the client waits for.
    """

    seconds: float
    reason: RetryReason


def retry_reason(facts: RefusalFacts) -> RetryReason:
    """Return what a refused client should wait for."""
    if facts.code in (ErrorCode.STOPPING, ErrorCode.VIEW_OUTDATED):
        return RetryReason.OTHER_NODE
    if facts.code is ErrorCode.CONFIGURATION_CHANGED:
        return RetryReason.CONFIGURATION
    if facts.code in (ErrorCode.ISOLATED, ErrorCode.NOT_READY):
        return RetryReason.STORE_OUTAGE if facts.others_answer else RetryReason.OTHER_NODE
    if facts.queue_return is not None:
        return RetryReason.QUEUE_FULL
    if facts.other_instance:
        return RetryReason.OTHER_INSTANCE
    if facts.loading_seconds is not None:
        return RetryReason.LOADING
    if facts.limited_seconds is not None and facts.limited_seconds < _or_never(
        facts.backoff_seconds
    ):
        return RetryReason.LIMITED
    if facts.backoff_seconds is not None:
        return RetryReason.BACKING_OFF
    if facts.relisting_seconds is not None:
        return RetryReason.RELISTING
    return RetryReason.UNKNOWN


def _or_never(seconds: float | None) -> float:
    """Return a time, or infinity for none."""
    return float("inf") if seconds is None else seconds


def advise(facts: RefusalFacts, draw: float) -> RetryAdvice:
    """Return when a client should retry.

    Args:
        facts: What is observed.
        draw: Random number from 0 to 1 that spreads the waits of clients.
    """
    reason = retry_reason(facts)
    if reason is RetryReason.QUEUE_FULL and facts.queue_return is not None:
        wait = queue_wait_seconds(facts.queue_return)
        return RetryAdvice(wait * (1.0 + QUEUE_SPREAD * draw), reason)
    longest = float("inf") if reason in CERTAIN_REASONS else MAX_SECONDS
    wait = min(longest, max(AT_ONCE_SECONDS, _expected_seconds(reason, facts)))
    spread = min(MAX_SPREAD, MIN_SPREAD + SPREAD_PER_REFUSAL * facts.recent_refusals)
    return RetryAdvice(min(longest, wait * (1.0 + spread * draw)), reason)


def queue_wait_seconds(queue_return: QueueReturn) -> float:
    """Return the wait for a queue to drain, no longer than the client obeys with its spread."""
    longest = OBEYED_SHARE * queue_return.client_seconds
    expected = min(queue_return.seconds or DEFAULT_SECONDS, longest / (1.0 + QUEUE_SPREAD))
    return max(AT_ONCE_SECONDS, expected)


def _expected_seconds(reason: RetryReason, facts: RefusalFacts) -> float:
    """Return the time after which a client is likely to be served."""
    match reason:
        case RetryReason.OTHER_NODE | RetryReason.OTHER_INSTANCE | RetryReason.CONFIGURATION:
            return AT_ONCE_SECONDS
        case RetryReason.STORE_OUTAGE:
            return max(DEFAULT_SECONDS, OUTAGE_SHARE * facts.store_silence_seconds)
        case RetryReason.LOADING:
            return facts.loading_seconds or DEFAULT_SECONDS
        case RetryReason.BACKING_OFF:
            return facts.backoff_seconds or DEFAULT_SECONDS
        case RetryReason.LIMITED:
            return facts.limited_seconds or DEFAULT_SECONDS
        case RetryReason.RELISTING:
            return min(DEFAULT_SECONDS, facts.relisting_seconds or DEFAULT_SECONDS)
        case (
            RetryReason.UNKNOWN
            | RetryReason.QUARANTINE
            | RetryReason.QUOTA
            | RetryReason.QUEUE_FULL
        ):
            return DEFAULT_SECONDS
