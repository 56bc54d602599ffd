"""Keeps the slowness of all instances up to date, from prefills that all nodes observe."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.read_speed import NO_READS, learned_slowness
from hopstep.log_events.instances import INSTANCE_SPEED_CHANGED
from hopstep.logs import emit

REFRESH_SECONDS = 1.0
MAX_LOGGED = 20_000
"""Bounds the memory for logged values of incarnations, those that have ended included."""

LOGGED_FACTOR = 1.5
"""A slowness is logged when it has changed by this factor since it was logged last."""


class InstanceSpeeds:
    """Sets the slowness of instances."""

    def __init__(self, table: InstanceTable) -> None:
        """Start without observations.

        Args:
            table: All instances.
        """
        self._table = table
        self._logged: dict[str, float] = {}
        self._observed: set[str] = set()
        self._next_at = -float("inf")

    def refresh(self) -> None:
        """Set the slowness of instances; called at each load report.

        Services with new observations are refreshed at once, all others once a second.
        """
        now = trio.current_time()
        observed = {
            view.instance.service for view in self._table if view.read_sums(now) is not NO_READS
        }
        if now < self._next_at and observed <= self._observed:
            return
        self._next_at = now + REFRESH_SECONDS
        for service in observed | self._observed:
            self._refresh_service(service, now)
        self._observed = observed

    def _refresh_service(self, service: str, now: float) -> None:
        """Set the slowness of a service's instances."""
        views = self._table.of_service(service)
        learned = learned_slowness([view.read_sums(now) for view in views])
        for view, slowness in zip(views, learned, strict=True):
            if view.slowness != slowness:
                view.slowness = slowness
                self._log(view)

    def _log(self, view: InstanceView) -> None:
        """Log a slowness that has changed much since it was logged last."""
        known = self._logged.get(view.incarnation, 1.0)
        if known / LOGGED_FACTOR < view.slowness < known * LOGGED_FACTOR:
            return
        emit(
            INSTANCE_SPEED_CHANGED,
            instance=view.instance.instance_id,
            life=view.incarnation,
            service=view.instance.service,
            slowness=round(view.slowness, 3),
            previous=round(known, 3),
        )
        if len(self._logged) >= MAX_LOGGED:
            self._logged.clear()
        self._logged[view.incarnation] = view.slowness
