"""What the deployment promises, and what a broken promise is."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from emulator.soak.history import History


class Bounds(msgspec.Struct, frozen=True):
    """What the deployment promises; seconds.

    Attributes:
        revocation: From the taking away of a key until nothing runs with it.
        weights: From the naming of weights until nothing starts on older ones.
        configuration: From a configuration's acknowledgement until every node acts by it.
        downgrade: A node that has shown a configuration acts by no older one this much later.
        drain: From ``draining`` until an instance gets nothing new.
        contact: Quiet before a time-bound promise holds for a node or the store.
        lease: Time of the rollout lease.
        thaw: Orders of a paused holder may arrive this much later than it was resumed.
        retry_ratio: Repeats for each request.
        retry_extra: Repeats that are always allowed in a window.
        retry_window: Length of that window.
        leaving: After a caller has left, its runs end and nothing arrives for it any more.
        loss_slack: A request that went nowhere and whose connection ended sooner crossed a close.
        fatal_ends: Instances that may end under one request before the next bound holds.
        on_the_way: Requests sent before a refusal was read may still arrive for so long.
        within_rest: Requests of one node that may reach an instance later than that in its rest.
        limit_window: Span over which the requests to an instance with a limit are counted.
        limit_factor: Requests that it may get there, for each that its limit takes.
        limit_extra: Requests beyond these.
        limit_used: Part of a limit that is used while callers are refused.
        limit_missed: Requests by which that may be missed, in one time without faults.
        fatal_retries: Times that it may reach instances later than ``contact`` after that.
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
