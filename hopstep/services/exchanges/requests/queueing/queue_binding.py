"""Binds waiting requests to instances with capacity, each as it leaves the queue."""

from __future__ import annotations

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.services.exchanges.requests.choice.instance_choice import InstanceChoice
from hopstep.services.exchanges.requests.choice.service_capacity import Capacity, ServiceCapacity
from hopstep.services.exchanges.requests.queueing.waiting_exchange import WaitingExchange


class QueueBinding:
    """Chooses instances for waiting requests.

    An instance that was chosen for a request gets no other one until the first is counted there.
    """

    def __init__(self, capacity: ServiceCapacity, choice: InstanceChoice) -> None:
        """Start without any bound request.

        Args:
            capacity: Tells which instances have capacity.
            choice: Chooses the instance of a request.
        """
        self._capacity = capacity
        self._choice = choice
        self._reserved: set[str] = set()
        self._blocked: set[tuple[str, str, str, bool]] = set()
        self._held_up: set[tuple[str, str, str]] = set()

    def look(self, scope: InstanceScope) -> Capacity:
        """Return the capacity for a request now."""
        views = self._capacity.candidates(scope)
        return self._capacity.of(scope, views, self._reserved)

    def begin_pass(self) -> None:
        """Begin to go through the waiting requests: what was found before no longer holds."""
        self._blocked.clear()
        self._held_up.clear()

    def try_bind(self, waiting: WaitingExchange) -> bool:
        """Return whether a request needn't wait any more; if so, its instance is chosen.

        A request in time for which only memory is missing holds up those behind it: otherwise short
        prompts would take what becomes free, and long ones would never find enough. One that may
        go to a single software version holds up those that may go there only, too.
        """
        scope = waiting.scope
        urgent = self._capacity.is_urgent(scope.request, scope.service)
        group = (scope.service, scope.model, scope.software_version, urgent)
        if (group in self._blocked and not scope.tried) or group[:3] in self._held_up:
            return False
        capacity = self.look(scope)
        if capacity.must_wait:
            self._choice.note_waiting(scope)
            self._note_refused(waiting, capacity, group)
            return False
        waiting.candidate = self._choice.choose(scope, within=capacity.within)
        if waiting.candidate is not None:
            self._reserved.add(waiting.candidate.view.instance.instance_id)
        return True

    def _note_refused(
        self, waiting: WaitingExchange, capacity: Capacity, group: tuple[str, str, str, bool]
    ) -> None:
        """Note which other requests needn't be tried in this pass."""
        if capacity.has_places and not waiting.order.late:
            self._held_up.add(group[:3])
        if not capacity.has_places and not waiting.scope.tried:
            self._blocked.add(group)

    def release(self, waiting: WaitingExchange) -> None:
        """Note that a request that was bound is about to be counted, or has been given up."""
        if waiting.candidate is not None:
            self._reserved.discard(waiting.candidate.view.instance.instance_id)
