"""Routes for operators: liveness, readiness, metrics, status."""

from __future__ import annotations

import math

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Blueprint, Response

from hopstep.adapters.http_api.call_ids import repeat_call_id
from hopstep.adapters.http_api.context import ApiContext

JSON = "application/json"
OK_STATUS = 200
NOT_READY_STATUS = 503


class ReadinessBody(msgspec.Struct, frozen=True):
    """Response body of ``/readyz``.

    Attributes:
        ready: Whether load balancers should send callers here.
        configuration_revision: Revision in force; 0 before the first.
        stopping: Whether a planned stop is in progress.
    """

    ready: bool
    configuration_revision: int
    stopping: bool


class StatusBody(msgspec.Struct, frozen=True):
    """Response body of ``/operator/status``.

    Attributes:
        name: Node's name.
        incarnation: Identity of this start of the node.
        zone: Node's zone.
        revision: Configuration revision in force; 0 before the first.
        confirmed_seconds: Time since this revision was confirmed as the latest; -1 if never.
        ready: Whether load balancers should send callers here.
        stopping: Whether a planned stop is in progress.
        isolated: Whether the node has been cut off for too long to rely on its placement.
        active_requests: Requests whose answers aren't complete yet.
        members: Live members that the node sees, including itself.
        displaced: Accepted changes that a restore of the store has removed for good, each with
            the change that replaced it.
    """

    name: str
    incarnation: str
    zone: str
    revision: int
    confirmed_seconds: float
    ready: bool
    stopping: bool
    isolated: bool
    active_requests: int
    members: int
    displaced: tuple[str, ...] = ()


def operator_blueprint(context: ApiContext) -> Blueprint:
    """Return the routes for operators.

    Args:
        context: The node.
    """
    blueprint = Blueprint("operator", __name__)
    blueprint.after_request(repeat_call_id)

    @blueprint.get("/livez")
    async def live() -> Response:
        """Report that the process responds."""
        return Response(b"ok\n", content_type="text/plain")

    @blueprint.get("/readyz")
    async def ready() -> Response:
        """Report whether load balancers should send callers here."""
        lifecycle = context.lifecycle
        body = ReadinessBody(lifecycle.ready, context.holder.revision, lifecycle.stopping)
        status = OK_STATUS if body.ready else NOT_READY_STATUS
        return Response(msgspec.json.encode(body), status=status, content_type=JSON)

    @blueprint.get("/metrics")
    async def metrics() -> Response:
        """Render the metrics."""
        context.metrics.active.set(context.lifecycle.active_requests)
        text = generate_latest(context.metrics.registry)
        return Response(text, content_type=CONTENT_TYPE_LATEST)

    @blueprint.get("/operator/status")
    async def status() -> Response:
        """Report the node's status."""
        return Response(msgspec.json.encode(_status(context)), content_type=JSON)

    return blueprint


def _status(context: ApiContext) -> StatusBody:
    """Return the node's status."""
    confirmed_seconds = context.health.seconds_since_confirmed()
    return StatusBody(
        name=context.settings.name,
        incarnation=context.incarnation,
        zone=context.settings.zone,
        revision=context.holder.revision,
        confirmed_seconds=confirmed_seconds if math.isfinite(confirmed_seconds) else -1.0,
        ready=context.lifecycle.ready,
        stopping=context.lifecycle.stopping,
        isolated=context.health.is_partitioned(),
        active_requests=context.lifecycle.active_requests,
        members=context.health.member_count(),
        displaced=context.health.displaced_changes(),
    )
