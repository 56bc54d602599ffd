"""Dependencies of the HTTP API on its node."""

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
        """Return the parts of an answer, in order and without gaps."""


PeerHandler = Callable[[str, bytes], Awaitable[bytes]]
"""Receives the name and body of a peer's call and returns the body of the response."""

Spawn = Callable[[Callable[[], Awaitable[None]]], None]
"""Starts a task that belongs to the node, not to a connection."""


class NodeHealth(msgspec.Struct, frozen=True):
    """How well the node is connected.

    Attributes:
        is_partitioned: Returns whether it has been cut off for too long to rely on its placement.
        seconds_since_confirmed: Returns the time since its configuration was confirmed as the
            latest.
        member_count: Returns the number of live members that it sees, including itself.
        displaced_changes: Returns accepted changes that a restore of the store has removed for
            good.
    """

    is_partitioned: Callable[[], bool]
    seconds_since_confirmed: Callable[[], float]
    member_count: Callable[[], int]
    displaced_changes: Callable[[], tuple[str, ...]] = tuple


class ApiContext(msgspec.Struct, frozen=True):
    """Dependencies of the HTTP API on its node.

    Attributes:
        settings: Settings of the node.
        incarnation: Identity of this start of the node.
        holder: Configuration in force.
        runner: Runs requests.
        lifecycle: Counts active requests, and refuses new ones while stopping.
        authenticator: Finds tenants by key.
        metrics: Counters.
        pacer: Counts streams, to set the interval between their reads.
        health: How well the node is connected.
        spawn: Starts a task that belongs to the node, not to a connection.
        handle_peer: Handles peers' calls under ``/peer/v1/``; None if there are none.
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
