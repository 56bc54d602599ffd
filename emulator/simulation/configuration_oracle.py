"""Checks that every router applies accepted revisions in time and never goes back."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.simulation.cluster import SimulatedCluster
from emulator.simulation.history import History, RouterIncarnation, Topic

CONVERGENCE_SECONDS = 14.0
"""Time from acceptance until every router has applied a revision, without delaying faults."""


def configuration_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Yield applied revisions that decrease or were never accepted, and missing revisions."""
    history = cluster.history
    accepted = {item.accepted.revision for item in history.accepted}
    in_force: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for applied in history.applied:
        before = in_force[applied.incarnation_number]
        if before and applied.revision <= before[-1][1]:
            yield f"configuration: {applied.router} went back to {applied.revision}"
        if applied.revision not in accepted:
            yield f"configuration: {applied.router} has {applied.revision}, never accepted"
        before.append((applied.at, applied.revision))
    for incarnation in history.incarnations:
        for item in history.accepted:
            due_at = due_time(history, incarnation, item.at)
            if due_at >= incarnation.ended_at:
                continue
            if not any(
                at <= due_at and revision >= item.accepted.revision
                for at, revision in in_force[incarnation.number]
            ):
                missing = item.accepted.revision
                yield f"configuration: {incarnation.router} lacked {missing} at {due_at:.1f}"


def due_time(history: History, incarnation: RouterIncarnation, accepted_at: float) -> float:
    """Return when a router must have applied a revision.

    That is ``CONVERGENCE_SECONDS`` without a fault after its acceptance and the router's start.
    """
    since = max(accepted_at, incarnation.began_at)
    undisturbed_since = history.undisturbed_since(
        incarnation.router, Topic.CONFIGURATION, since, CONVERGENCE_SECONDS
    )
    return undisturbed_since + CONVERGENCE_SECONDS
