"""Updates the view of an instance after a failed attempt, and tells other nodes."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.instance_admission import Barrier, Purpose
from hopstep.exceptions import ErrorCode, Execution
from hopstep.log_events.instances import INSTANCE_FULL
from hopstep.logs import emit
from hopstep.ports.instance_calls import InstanceCallError
from hopstep.services.exchanges.requests.exchange_parts import ExchangeParts

ANNOUNCED = frozenset({Barrier.LEAVING, Barrier.BACKING_OFF, Barrier.DRAINING, Barrier.ENDED})
"""Barriers that explain a rejection by something else than a lack of capacity."""


def note_failure(parts: ExchangeParts, view: InstanceView, error: InstanceCallError) -> None:
    """Update an instance's view after a failed attempt.

    Args:
        parts: Objects that all requests share.
        view: The instance.
        error: How the attempt failed.
    """
    if error.taken_back:
        return
    now = trio.current_time()
    answered = error.execution is Execution.NOT_RUN and error.sent
    unreachable = not answered and error.code is not ErrorCode.RETRIES_EXHAUSTED
    view.failed(now, unreachable=unreachable)
    if error.code is ErrorCode.ENGINE_UNREACHABLE:
        parts.note_suspected(view, error.confirmed)
    if answered and _lacks_capacity(view, error, now) and view.rejected_as_full(now):
        emit(
            INSTANCE_FULL,
            instance=view.instance.instance_id,
            life=view.incarnation,
            service=view.instance.service,
            active=view.total_active(now),
            slots=view.instance.slots,
        )


def _lacks_capacity(view: InstanceView, error: InstanceCallError, now: float) -> bool:
    """Return whether an instance rejected a request because it is full."""
    if error.code is not ErrorCode.OVERLOADED or error.stale_version or error.replaced:
        return False
    if now < view.loading_until:
        return False
    return view.admission(Purpose.REQUEST, now).barrier not in ANNOUNCED
