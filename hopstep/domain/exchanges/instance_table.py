"""All instances that a node knows, by service."""

from __future__ import annotations

from collections.abc import Iterator

from hopstep.domain.announced_state import AnnouncedStates
from hopstep.domain.exchanges.first_peer_report import FirstPeerReport
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance, instance_id_of


def is_same_incarnation(known: Instance, newer: Instance) -> bool:
    """Return whether a newer entry is of the known life: so is one that tells no start."""
    return not newer.born_ms or newer.born_ms == known.born_ms


class InstanceTable:
    """Views of instances; entries come and go as the directory tells.

    Attributes:
        standings: What lives have said of themselves in answers.
        first_telling: When this node may first hear what others know of instances.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.announced_states = AnnouncedStates()
        self.first_peer_report = FirstPeerReport()
        self._views: dict[str, InstanceView] = {}
        self._expected_back: dict[str, float] = {}
        self._cache_tokens: dict[str, int] = {}
        self._services_with_start_times: set[str] = set()

    def __iter__(self) -> Iterator[InstanceView]:
        """Iterate over all views."""
        return iter(tuple(self._views.values()))

    def set_cache_tokens(self, cache_tokens: dict[str, int]) -> None:
        """Take the memory of each service's instances, for instances that come later."""
        self._cache_tokens = cache_tokens

    def put(self, instance: Instance) -> bool:
        """Take an entry, newer than those before; return whether it is of a new life.

        A new life begins without experience: it holds nothing of what was believed of the last.
        """
        self._expected_back.pop(instance.instance_id, None)
        if instance.born_ms:
            self._services_with_start_times.add(instance.service)
        view = self._views.get(instance.instance_id)
        if view is not None and is_same_incarnation(view.instance, instance):
            view.update(instance)
            return False
        tokens = self._cache_tokens.get(instance.service, 0)
        announced_state = self.announced_states.of_incarnation(str(instance.incarnation))
        self._views[instance.instance_id] = InstanceView(
            instance, tokens, announced_state, self.first_peer_report
        )
        return True

    def reject(self, instance_id: str) -> None:
        """Take an instance out of use until its next good entry: this one can't be trusted."""
        view = self._views.get(instance_id)
        if view is not None:
            view.rejected = True

    def expect_back(self, instance_id: str, until: float) -> bool:
        """Expect the entry of an instance back until a time; return whether that is done.

        Instances that aren't known, or that have said that they leave, aren't expected back.
        """
        view = self._views.get(instance_id)
        if view is None or self.is_leaving(view.instance):
            return False
        self._expected_back.setdefault(instance_id, until)
        return True

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether an instance leaves by its entry or by its own word."""
        return (
            instance.draining
            or self.announced_states.of_incarnation(str(instance.incarnation)).has_announced_leaving
        )

    def expire(self, now: float) -> list[Instance]:
        """Forget the instances whose entries have not come back in time, and return them."""
        expired = [name for name, until in self._expected_back.items() if now >= until]
        removed = [self.remove(instance_id) for instance_id in expired]
        return [instance for instance in removed if instance is not None]

    def remove(self, instance_id: str) -> Instance | None:
        """Forget an instance and return it; None when it isn't known."""
        self._expected_back.pop(instance_id, None)
        view = self._views.pop(instance_id, None)
        return view.instance if view is not None else None

    def retain(self, instance_ids: set[str]) -> None:
        """Forget all instances but these."""
        for instance_id in self._views.keys() - instance_ids:
            self.remove(instance_id)

    def get(self, instance_id: str) -> InstanceView | None:
        """Return one view."""
        return self._views.get(instance_id)

    def of_incarnation(self, incarnation: str) -> InstanceView | None:
        """Return the view of a life; None when it isn't the one that is listed.

        Args:
            incarnation: As ``str(InstanceIncarnation)``.
        """
        view = self._views.get(instance_id_of(incarnation))
        return view if view is not None and view.incarnation == incarnation else None

    def of_reported(self, incarnation: str) -> InstanceView | None:
        """Return the view that another node's hint is of; None for another life.

        A hint without a start may be of the listed life: nodes of versions before lives were told
        name instances by their ids alone, and without this all that they tell would be lost.
        """
        instance_id = instance_id_of(incarnation)
        view = self._views.get(instance_id)
        return view if view is not None and incarnation in (view.incarnation, instance_id) else None

    def discount_pause(self, seconds: float) -> None:
        """Leave out a time in which this node couldn't hear any instance."""
        for view in self._views.values():
            view.discount_pause(seconds)

    def trusted(self) -> list[InstanceView]:
        """Return the views whose newest entry names an instance to use, draining ones included.

        Nothing is sent to the address of any other.
        """
        return [view for view in self._views.values() if self._is_trusted(view)]

    def is_trusted(self, view: InstanceView) -> bool:
        """Return whether a view is still listed, and its newest entry names an instance to use.

        Looked up before each call that comes later than the view was chosen: its address may have
        become another one meanwhile.
        """
        return self._views.get(view.instance.instance_id) is view and self._is_trusted(view)

    def of_service(self, service: str) -> list[InstanceView]:
        """Return the trusted views of a service's instances."""
        return [
            view
            for view in self._views.values()
            if view.instance.service == service and self._is_trusted(view)
        ]

    def _is_trusted(self, view: InstanceView) -> bool:
        """Return whether an entry is good.

        Where any instance of a service tells its start, an entry without one is incomplete.
        """
        if view.rejected:
            return False
        return view.has_start_time or view.instance.service not in self._services_with_start_times
