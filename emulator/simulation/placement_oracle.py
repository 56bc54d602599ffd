"""Checks that attempts go only to engines that are allowed and not leaving."""

from __future__ import annotations

from collections.abc import Iterator

from emulator.simulation.cluster import SimulatedCluster
from emulator.simulation.configuration_oracle import due_time
from emulator.simulation.history import Dispatch, RouterIncarnation, Topic
from hopstep.domain.configuration.document import Configuration
from hopstep.domain.placement import place_engines

LEAVING_SECONDS = 5.0
"""Time after which a leaving back end must get no new work."""


def placement_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Yield attempts sent to engines that the configuration forbids or that are leaving."""
    incarnations = {incarnation.number: incarnation for incarnation in cluster.history.incarnations}
    calls = {answer.number: answer.call for answer in cluster.history.answers}
    revisions = {item.accepted.revision: item.accepted for item in cluster.history.accepted}
    for dispatch in cluster.history.dispatches:
        call = calls.get(dispatch.sending)
        if call is None:
            yield f"placement: {dispatch.request.nonce} belongs to no caller"
            continue
        due = _due_revision(cluster, incarnations[dispatch.incarnation_number], dispatch)
        in_force = _in_force(cluster, dispatch)
        # A newer revision that is applied before it is due overrides the due one.
        allowed = {revision for revision in in_force if revision >= due} or {due}
        if not any(
            dispatch.address
            in _admissible(revisions[revision].configuration, call.tenant, call.request_class)
            for revision in allowed
        ):
            yield (
                f"placement: {call.tenant}/{call.request_class} sent to {dispatch.address}"
                f" at {dispatch.at:.2f} by {dispatch.router} against revisions {sorted(allowed)}"
            )
        yield from _leaving_violations(cluster, incarnations[dispatch.incarnation_number], dispatch)


def _in_force(cluster: SimulatedCluster, dispatch: Dispatch) -> set[int]:
    """Return the revisions that the router had applied at the time of a decision.

    One that was applied at exactly that time is concurrent with the decision.
    """
    before = [
        applied.revision
        for applied in cluster.history.applied
        if applied.incarnation_number == dispatch.incarnation_number and applied.at < dispatch.at
    ]
    return {dispatch.revision, max(before, default=dispatch.revision)}


def _due_revision(
    cluster: SimulatedCluster, incarnation: RouterIncarnation, dispatch: Dispatch
) -> int:
    """Return the latest revision due at the router by the time of a decision; 0 for none."""
    history = cluster.history
    due = [
        item.accepted.revision
        for item in history.accepted
        if due_time(history, incarnation, item.at) <= dispatch.at
    ]
    return max(due, default=0)


def _admissible(configuration: Configuration, tenant: str, request_class: str) -> set[str]:
    """Return the addresses of the engines that may serve a tenant's requests of a class."""
    tenants = {item.name: item for item in configuration.tenants}
    classes = {item.name: item for item in configuration.classes}
    if tenant not in tenants or request_class not in classes:
        return set()
    model = configuration.models[0]
    placement = place_engines(configuration, tenants[tenant], classes[request_class], model)
    return {back_end.address for back_end in placement.admissible}


def _leaving_violations(
    cluster: SimulatedCluster, incarnation: RouterIncarnation, dispatch: Dispatch
) -> Iterator[str]:
    """Yield a dispatch that ran at a leaving back end ``LEAVING_SECONDS`` after it was known.

    A router that has just started has the same time to learn of it.
    """
    if dispatch.request.nonce not in cluster.runs:
        return
    for leaving in cluster.history.leaving:
        since = max(leaving.known_at, incarnation.began_at)
        undisturbed_since = cluster.history.undisturbed_since(
            incarnation.router, Topic.LEAVING, since, LEAVING_SECONDS
        )
        late = undisturbed_since + LEAVING_SECONDS < dispatch.at < leaving.until
        if leaving.address == dispatch.address and late:
            yield (
                f"leaving: {dispatch.address} took {dispatch.request.nonce} at {dispatch.at:.2f},"
                f" leaving since {leaving.known_at:.2f}"
            )
