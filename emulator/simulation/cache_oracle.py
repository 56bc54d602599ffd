"""Checks that each cache hit has an earlier run of equal incarnation, tenant and weights."""

from __future__ import annotations

import os.path
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from emulator.simulation.cluster import SimulatedCluster
from emulator.simulation.history import Dispatch
from hopstep.domain.blocks import TOKEN_BYTES


def cache_violations(cluster: SimulatedCluster) -> Iterator[str]:
    """Yield cache hits on blocks of another tenant, other weights or another incarnation.

    The tenant is taken from the caller's sending, so that a wrong salt doesn't hide a hit.
    """
    tenants = {answer.number: answer.call.tenant for answer in cluster.history.answers}
    held: dict[tuple[str, str, str], list[_Run]] = defaultdict(list)
    runs = _runs(cluster)
    for run in runs:
        held[_owner(run, tenants)].append(run)
    for run in runs:
        request = run.dispatch.request
        if request.incarnation and request.incarnation != run.incarnation:
            yield f"cache: {request.nonce} relied on {request.incarnation}, not {run.incarnation}"
        explained = max(_shared_tokens(run, other) for other in held[_owner(run, tenants)])
        exported = max(_shared_tokens(run, other) for other in _exporters(run, runs, tenants))
        if run.dispatch.cached_tokens + run.dispatch.imported_tokens > max(explained, exported):
            yield f"cache: {request.nonce} imported what its tenant and weights never exported"
        if run.dispatch.cached_tokens > explained:
            yield (
                f"cache: {request.nonce} of {tenants.get(run.dispatch.sending)} hit"
                f" {run.dispatch.cached_tokens} tokens in {run.incarnation},"
                f" {explained} of its own"
            )


class _Run(msgspec.Struct, frozen=True):
    """An attempt that ran at an engine."""

    started_at: float
    incarnation: str
    dispatch: Dispatch


def _runs(cluster: SimulatedCluster) -> list[_Run]:
    return [
        _Run(record.started_at, record.incarnation, dispatch)
        for dispatch in cluster.history.dispatches
        for _, record in cluster.runs.get(dispatch.request.nonce, [])
    ]


def _owner(run: _Run, tenants: dict[int, str]) -> tuple[str, str, str]:
    """Return the incarnation, tenant and weights version that runs with shared blocks share."""
    tenant = tenants.get(run.dispatch.sending, "")
    return run.incarnation, tenant, run.dispatch.request.weights_version


def _exporters(run: _Run, runs: list[_Run], tenants: dict[int, str]) -> Iterator[_Run]:
    """Return the runs, at any engine, whose exported blocks a run may import."""
    owner = _owner(run, tenants)[1:]
    return (other for other in runs if _owner(other, tenants)[1:] == owner)


def _shared_tokens(run: _Run, other: _Run) -> int:
    """Return how many leading tokens a run may share with another one that began no later."""
    if other is run or other.started_at > run.started_at:
        return 0
    common = os.path.commonprefix([_text(run), _text(other)])
    return len(common.encode()) // TOKEN_BYTES


def _text(run: _Run) -> str:
    request = run.dispatch.request
    return request.prompt + "".join(request.continued_text)
