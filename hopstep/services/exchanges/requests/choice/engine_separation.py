"""Which engines a node keeps free of long prompts, by the prompts that it sent recently."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hopstep.domain.exchanges.engine_partition import (
    NO_PARTITION,
    EnginePartition,
    plan_partition,
)
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.route_work import RouteWork, RouteWorkWindow
from hopstep.domain.exchanges.segment_moves import NO_PREFERENCE, EnginePreference
from hopstep.domain.exchanges.selection import Candidate
from hopstep.log_events.instances import ENGINES_KEPT
from hopstep.logs import emit

PLAN_SECONDS = 1.0
"""Time for which planned engines are kept before they are planned again."""


class _ServiceState(msgspec.Struct):
    """Prompts sent to one service, and the engines that follow from them.

    Attributes:
        window: Recent prompts.
        partition: Engines that are kept.
        planned_at: When they were planned, by the steady clock in seconds.
    """

    window: RouteWorkWindow = msgspec.field(default_factory=RouteWorkWindow)
    partition: EnginePartition = NO_PARTITION
    planned_at: float = -float("inf")


class EngineSeparation:
    """Keeps engines by service."""

    def __init__(self) -> None:
        """Start without any prompt sent."""
        self._services: dict[str, _ServiceState] = {}

    @property
    def kept_engines(self) -> int:
        """Number of engines that are kept free of long prompts."""
        return sum(len(state.partition.engines) for state in self._services.values())

    def note_sent(self, request: ExchangeRequest, candidate: Candidate, now: float) -> None:
        """Count a prompt that is sent.

        Args:
            request: The request.
            candidate: The engine that it is sent to.
            now: Steady clock, seconds.
        """
        prompt, route = request.prompt, request.route
        if prompt is None:
            return
        state = self._services.setdefault(candidate.view.instance.service, _ServiceState())
        work = RouteWork(
            route.objective_seconds, 1, prompt.prompt_tokens, candidate.uncached_tokens
        )
        state.window.record(route.name, work, now)

    def preference(
        self, request: ExchangeRequest, service: str, views: Sequence[InstanceView], now: float
    ) -> EnginePreference:
        """Return the costs by which engines are kept for some requests.

        Args:
            request: The request.
            service: Service that its route chose.
            views: All engines of the service.
            now: Steady clock, seconds.
        """
        state = self._services.get(service)
        if state is None or request.prompt is None:
            return NO_PREFERENCE
        if now - state.planned_at >= PLAN_SECONDS:
            state.planned_at = now
            self._plan(state, service, views, now)
        route, tokens = request.route, request.prompt.prompt_tokens
        return state.partition.preference(route.name, tokens, route.objective_seconds)

    def _plan(
        self, state: _ServiceState, service: str, views: Sequence[InstanceView], now: float
    ) -> None:
        """Plan the engines of a service anew."""
        previous = state.partition
        state.partition = plan_partition(state.window.by_route(now), views, previous)
        if state.partition.routes != previous.routes:
            emit(
                ENGINES_KEPT,
                service=service,
                routes=sorted(state.partition.routes),
                kept=len(state.partition.engines),
                engines=len(views),
                long_tokens=round(state.partition.long_tokens),
            )
