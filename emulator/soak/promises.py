"""Bounds of the deployment's promises, and the type of a violation."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from emulator.soak.history import History


class Bounds(msgspec.Struct, frozen=True):
    """Bounds that the deployment promises; times are seconds.

    Attributes:
        revocation: From the revocation of a key until no request runs with it.
        weights: From a new target version until no run starts on older weights.
        configuration: From a configuration's acknowledgement until every node applies it.
        downgrade: Time after a response by a configuration from which the node answers by no older
            one.
        drain: From the announcement of ``draining`` until an instance gets no new requests.
        settling: Time without faults before a promise with a time bound applies.
        lease: Duration of the rollout lease.
        resume_slack: Time after a paused lease holder resumes in which its orders may arrive.
        retry_ratio: Retries allowed per request.
        retry_extra: Retries that are always allowed in a window.
        retry_window: Length of that window.
        abandoned: From a caller's disconnection until its runs end and nothing arrives for it.
        loss_slack: Longest time to failure of a request that didn't reach an instance because its
            connection was being closed.
        max_fatal_terminations: Crashes under one fatal request before ``fatal_retries`` applies.
        max_part_terminations: Crashes under one fatal part of prompts before the same applies.
        fatal_retries: Times that such requests may reach instances later than ``settling`` after
            the last of these crashes.
        in_flight: Time in which requests sent before a refusal was read may still arrive.
        within_backoff: Requests of one node that may reach an instance after ``in_flight`` and
            before its backoff ends.
        limit_window: Window over which requests to an instance with a limit are counted.
        limit_factor: Requests allowed in a window, as a multiple of the limit.
        limit_extra: Requests allowed in a window beyond these.
        limit_used: Share of a limit that must be used while callers are refused.
        limit_missed: Requests by which that may be missed in one period without faults.
    """

    revocation: float = 5.0
    weights: float = 8.0
    configuration: float = 2.0
    downgrade: float = 0.25
    drain: float = 2.0
    settling: float = 3.0
    lease: float = 3.0
    resume_slack: float = 0.3
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window: float = 10.0
    abandoned: float = 0.5
    loss_slack: float = 0.2
    max_fatal_terminations: int = 3
    max_part_terminations: int = 5
    fatal_retries: int = 3
    in_flight: float = 0.5
    within_backoff: int = 2
    limit_window: float = 4.0
    limit_factor: float = 1.5
    limit_extra: float = 5.0
    limit_used: float = 0.9
    limit_missed: int = 2


class Violation(msgspec.Struct, frozen=True):
    """A broken promise.

    Attributes:
        promise: Name of the check.
        detail: What was seen.
    """

    promise: str
    detail: str


Check = Callable[[History, Bounds], Iterable[str]]
