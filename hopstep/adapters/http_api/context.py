"""What the HTTP API needs of its node."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import msgspec

from hopstep.adapters.http_api.authentication import Authenticator
from hopstep.adapters.http_api.metrics import ApiMetrics
from hopstep.adapters.pacing import Pacer
from hopstep.domain.inference import AnswerPart, InferenceRequest
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.lifecycle import Lifecycle
from hopstep.settings import RouterSettings


class RequestRunner(Protocol):
    """Runs requests; raises ``ServiceError`` only."""

    def run(
        self, request: InferenceRequest
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[AnswerPart]]:
        """Return the parts of an answer, in order and complete."""


PeerHandler = Callable[[str, bytes], Awaitable[bytes]]
"""Takes the name of a peer call and its body, and returns the answer's body."""

Spawn = Callable[[Callable[[], Awaitable[None]]], None]
"""Starts a task that belongs to the node, not to a connection."""


class NodeHealth(msgspec.Struct, frozen=True):
    """How well the node is connected.

    Attributes:
        is_isolated: Whether it has been cut off for too long to trust its placement.
        seconds_since_confirmed: Age of the proof that its configuration was the latest.
        member_count: Live members that it sees, itself included.
        displaced_changes: Accepted changes that a restore of the store has taken away for good.
    """

    is_isolated: Callable[[], bool]
    seconds_since_confirmed: Callable[[], float]
    member_count: Callable[[], int]
    displaced_changes: Callable[[], tuple[str, ...]] = tuple


class ApiContext(msgspec.Struct, frozen=True):
    """What the HTTP API needs of its node.

    Attributes:
        settings: Settings of the node.
        incarnation: Identity of this start of the node.
        holder: Configuration in force.
        runner: Runs requests.
        lifecycle: Counts active requests, refuses while stopping.
        authenticator: Finds tenants by key.
        metrics: Counters.
        pacer: Counts streams, to space their reads.
        health: How well the node is connected.
        spawn: Starts a task that belongs to the node, not to a connection.
        handle_peer: Answers peers' calls below ``/peer/v1/``; None answers none.
    """

    settings: RouterSettings
    incarnation: str
    holder: ConfigurationHolder
    runner: RequestRunner
    lifecycle: Lifecycle
    authenticator: Authenticator
    metrics: ApiMetrics
    pacer: Pacer
    health: NodeHealth
    spawn: Spawn
    handle_peer: PeerHandler | None = None
