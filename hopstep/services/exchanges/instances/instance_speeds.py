"""Keeps the slowness of all instances up to date, from prefills that all nodes observe."""

from __future__ import annotations

from collections import defaultdict

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.read_speed import learned_slowness
from hopstep.logs import emit

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

    def refresh(self) -> None:
        """Set the slowness of every instance; called at each load report."""
        now = trio.current_time()
        services: dict[str, list[InstanceView]] = defaultdict(list)
        for view in self._table:
            services[view.instance.service].append(view)
        logged: dict[str, float] = {}
        for views in services.values():
            learned = learned_slowness([view.read_sums(now) for view in views])
            for view, slowness in zip(views, learned, strict=True):
                view.slowness = slowness
                logged[view.incarnation] = self._log(view)
        self._logged = logged

    def _log(self, view: InstanceView) -> float:
        """Log a slowness that has changed much; return the one that was logged last."""
        known = self._logged.get(view.incarnation, 1.0)
        if known / LOGGED_FACTOR < view.slowness < known * LOGGED_FACTOR:
            return known
        emit(
            log_events.INSTANCE_SPEED_CHANGED,
            instance=view.instance.instance_id,
            life=view.incarnation,
            service=view.instance.service,
            slowness=round(view.slowness, 3),
            previous=round(known, 3),
        )
        return view.slowness
