"""Which instances of a service have capacity for a request, by the node's view of them."""

from __future__ import annotations

from collections.abc import Sequence, Set

import msgspec
import trio

from hopstep.domain.exchanges.instance_capacity import CapacityNeed
from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.requests.choice.instance_choice import InstanceChoice


class Capacity(msgspec.Struct, frozen=True):
    """Capacity of the instances that may serve a request.

    Attributes:
        must_wait: Whether the request has to wait for an instance to have capacity.
        within: Ids of the instances with capacity; None when capacity doesn't restrict the choice.
        free_places: Requests that these instances may still be sent.
        taken_places: Requests of all nodes at these instances.
        has_places: Whether one of them has capacity for a request that needs no memory.
    """

    must_wait: bool = False
    within: frozenset[str] | None = None
    free_places: int = 0
    taken_places: int = 0
    has_places: bool = True


class ServiceCapacity:
    """Looks up the capacity of instances for single requests."""

    def __init__(self, knowledge: ServingKnowledge, choice: InstanceChoice) -> None:
        """Create the lookup of one node.

        Args:
            knowledge: Configuration and instances.
            choice: Tells which instances may serve a request.
        """
        self._knowledge = knowledge
        self._choice = choice

    def is_urgent(self, request: ExchangeRequest, service: str) -> bool:
        """Return whether a request's route is above the least urgent one of its service."""
        index = self._knowledge.index
        return index is not None and request.route.priority < index.least_urgent(service)

    def candidates(self, scope: InstanceScope) -> list[InstanceView]:
        """Return the instances without known problems that may be sent a request now."""
        now = trio.current_time()
        views = self._choice.admissible(scope)
        return [view for view in views if view.is_usable(now)]

    def of(
        self,
        scope: InstanceScope,
        views: Sequence[InstanceView],
        reserved: Set[str] = frozenset(),
    ) -> Capacity:
        """Return the capacity for a request.

        A request waits only for requests that run at an instance. Instances that are all suspended,
        or that reject although nothing is known to run there, give no reason to wait.

        Args:
            scope: The request.
            views: Instances that may be sent the request, from ``candidates``.
            reserved: Ids of instances whose place is taken by a request that is about to be sent.
        """
        now = trio.current_time()
        urgent = self.is_urgent(scope.request, scope.service)
        unreserved = [view for view in views if view.instance.instance_id not in reserved]
        open_views = [v for v in unreserved if v.has_room(CapacityNeed(urgent=urgent), now)]
        room = self._with_memory(scope.request, open_views, urgent, now)
        taken = sum(view.total_active(now) for view in views)
        places = sum(max(0, view.free_places(now, urgent=urgent)) for view in views)
        if len(room) == len(views):
            return Capacity(free_places=places, taken_places=taken)
        if room:
            ids = frozenset(view.instance.instance_id for view in room)
            return Capacity(False, ids, places, taken)
        must_wait = taken > 0 or len(unreserved) < len(views)
        return Capacity(must_wait, None, places, taken, bool(open_views))

    def _with_memory(
        self,
        request: ExchangeRequest,
        views: Sequence[InstanceView],
        urgent: bool,
        now: float,
    ) -> list[InstanceView]:
        """Return those instances with a free place that have memory for a request."""
        prompt = request.prompt
        if prompt is None:
            return list(views)
        uncached = self._choice.uncached_tokens(request, prompt)
        needs = [CapacityNeed(prompt.used_tokens(uncached(view)), urgent) for view in views]
        return [view for view, need in zip(views, needs, strict=True) if view.has_room(need, now)]
