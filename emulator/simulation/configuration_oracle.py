"""Checks that every router applies accepted revisions in time and never goes back."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.simulation.cluster import SimulatedCluster
from emulator.simulation.history import History, Life, Topic

CONVERGENCE_SECONDS = 14.0
"""Time from acceptance until every router has applied a revision, without delaying faults."""


def configuration_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Yield applied revisions that decrease or were never accepted, and missing revisions."""
    history = cluster.history
    accepted = {item.accepted.revision for item in history.accepted}
    in_force: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for applied in history.applied:
        before = in_force[applied.life]
        if before and applied.revision <= before[-1][1]:
            yield f"configuration: {applied.router} went back to {applied.revision}"
        if applied.revision not in accepted:
            yield f"configuration: {applied.router} has {applied.revision}, never accepted"
        before.append((applied.at, applied.revision))
    for life in history.lives:
        for item in history.accepted:
            due_at = due_time(history, life, item.at)
            if due_at >= life.ended_at:
                continue
            if not any(
                at <= due_at and revision >= item.accepted.revision
                for at, revision in in_force[life.number]
            ):
                missing = item.accepted.revision
                yield f"configuration: {life.router} lacked {missing} at {due_at:.1f}"


def due_time(history: History, life: Life, accepted_at: float) -> float:
    """Return when a router must have applied a revision.

    That is ``CONVERGENCE_SECONDS`` without a fault after its acceptance and the router's start.
    """
    since = max(accepted_at, life.began_at)
    calm_since = history.calm_since(life.router, Topic.CONFIGURATION, since, CONVERGENCE_SECONDS)
    return calm_since + CONVERGENCE_SECONDS
