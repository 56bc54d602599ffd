"""All instances that a node knows, by id."""

from __future__ import annotations

from collections.abc import Iterator

from hopstep.domain.announced_state import AnnouncedStates
from hopstep.domain.exchanges.first_peer_report import FirstPeerReport
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance, instance_id_of


def is_same_incarnation(known: Instance, newer: Instance) -> bool:
    """Return whether a newer entry is of the known incarnation.

    One without a start time is, unless its software has another version: a process keeps its own.
    """
    versions = {known.software_version, newer.software_version} - {""}
    if len(versions) > 1:
        return False
    return not newer.born_ms or newer.born_ms == known.born_ms


class InstanceTable:
    """Views of instances, updated from the directory's entries.

    Attributes:
        announced_states: What incarnations have announced in response headers.
        first_peer_report: Until when the first report of another node may arrive.
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
        """Set the cache size in tokens of each service's instances, for instances added later."""
        self._cache_tokens = cache_tokens

    def put(self, instance: Instance) -> bool:
        """Add an entry, newer than earlier ones; return whether it is of a new incarnation.

        A new incarnation gets an empty view: nothing known of the last one holds for it.
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
        """Stop using an instance until its next valid entry: the newest one can't be trusted."""
        view = self._views.get(instance_id)
        if view is not None:
            view.rejected = True

    def expect_back(self, instance_id: str, until: float) -> bool:
        """Keep an instance without an entry until a time; return whether it is kept.

        Its entry, which has expired with its lease, is expected back. Unknown instances and those
        that are shutting down aren't kept.
        """
        view = self._views.get(instance_id)
        if view is None or self.is_leaving(view.instance):
            return False
        self._expected_back.setdefault(instance_id, until)
        return True

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether an instance is shutting down by its entry or its own notices."""
        return (
            instance.draining
            or self.announced_states.of_incarnation(str(instance.incarnation)).has_announced_leaving
        )

    def expire(self, now: float) -> list[Instance]:
        """Remove the instances whose entries haven't come back in time, and return them."""
        expired = [name for name, until in self._expected_back.items() if now >= until]
        removed = [self.remove(instance_id) for instance_id in expired]
        return [instance for instance in removed if instance is not None]

    def remove(self, instance_id: str) -> Instance | None:
        """Remove an instance and return it; None when it is unknown."""
        self._expected_back.pop(instance_id, None)
        view = self._views.pop(instance_id, None)
        return view.instance if view is not None else None

    def retain(self, instance_ids: set[str]) -> None:
        """Remove all instances except those with the given ids."""
        for instance_id in self._views.keys() - instance_ids:
            self.remove(instance_id)

    def get(self, instance_id: str) -> InstanceView | None:
        """Return the view of an instance; None when it is unknown."""
        return self._views.get(instance_id)

    def of_incarnation(self, incarnation: str) -> InstanceView | None:
        """Return the view of an incarnation; None when another one is listed, or none.

        Args:
            incarnation: As ``str(InstanceIncarnation)``.
        """
        view = self._views.get(instance_id_of(incarnation))
        return view if view is not None and view.incarnation == incarnation else None

    def of_reported(self, incarnation: str) -> InstanceView | None:
        """Return the view that another node's report is about; None for another incarnation.

        A report without a start time may be about the listed incarnation: nodes of older versions
        name instances by their ids alone, and otherwise all their reports would be lost.
        """
        instance_id = instance_id_of(incarnation)
        view = self._views.get(instance_id)
        return view if view is not None and incarnation in (view.incarnation, instance_id) else None

    def discount_pause(self, seconds: float) -> None:
        """Disregard a time in which this node was paused and received nothing from instances."""
        for view in self._views.values():
            view.discount_pause(seconds)

    def trusted(self) -> list[InstanceView]:
        """Return the views whose newest entry can be trusted, draining instances included.

        Nothing is sent to the address of any other instance.
        """
        return [view for view in self._views.values() if self._is_trusted(view)]

    def is_trusted(self, view: InstanceView) -> bool:
        """Return whether a view is still listed and its newest entry can be trusted.

        Checked before each call made later than the choice of the view: the instance's address may
        have changed since.
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
        """Return whether the newest entry of a view can be trusted.

        If any instance of a service states its start time, an entry without one is incomplete.
        """
        if view.rejected:
            return False
        return view.has_start_time or view.instance.service not in self._services_with_start_times
