"""What operators ask a router: liveness, readiness, metrics, status."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Blueprint, Response

from hopstep.adapters.http_api.context import ApiContext

JSON = "application/json"
OK_STATUS = 200
NOT_READY_STATUS = 503


class ReadinessBody(msgspec.Struct, frozen=True):
    """Answer of ``/readyz``.

    Attributes:
        ready: Whether callers should be sent here.
        configuration_revision: Revision in force; 0 before the first.
        stopping: Whether a planned stop goes on.
    """

    ready: bool
    configuration_revision: int
    stopping: bool


class StatusBody(msgspec.Struct, frozen=True):
    """Answer of ``/operator/status``.

    Attributes:
        name: Node's name.
        incarnation: Identity of this start of the node.
        zone: Node's zone.
        configuration_revision: Revision in force; 0 before the first.
        ready: Whether callers should be sent here.
        stopping: Whether a planned stop goes on.
        isolated: Whether the node has been cut off for too long.
        active_requests: Requests whose answers aren't whole yet.
        details: What other parts of the node say of themselves, by part.
    """

    name: str
    incarnation: str
    zone: str
    configuration_revision: int
    ready: bool
    stopping: bool
    isolated: bool
    active_requests: int
    details: dict[str, msgspec.Raw]


StatusSource = Callable[[], msgspec.Struct | list[msgspec.Struct]]


def operator_blueprint(context: ApiContext, sources: dict[str, StatusSource]) -> Blueprint:
    """Return the operators' routes.

    Args:
        context: The node.
        sources: What other parts of the node add to the status, by part.
    """
    blueprint = Blueprint("operator", __name__)

    @blueprint.get("/livez")
    async def live() -> Response:
        """Say that the process serves."""
        return Response(b"ok\n", content_type="text/plain")

    @blueprint.get("/readyz")
    async def ready() -> Response:
        """Say whether callers should be sent here."""
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
        """Say how the node is doing."""
        return Response(msgspec.json.encode(_status(context, sources)), content_type=JSON)

    return blueprint


def _status(context: ApiContext, sources: dict[str, StatusSource]) -> StatusBody:
    """Return the node's status."""
    details = {part: msgspec.Raw(msgspec.json.encode(source())) for part, source in sources.items()}
    return StatusBody(
        name=context.settings.name,
        incarnation=context.incarnation,
        zone=context.settings.zone,
        configuration_revision=context.holder.revision,
        ready=context.lifecycle.ready,
        stopping=context.lifecycle.stopping,
        isolated=context.is_isolated(),
        active_requests=context.lifecycle.active_requests,
        details=details,
    )
