"""Connects the HTTP API with a router's services, for the process and the simulation alike."""

from __future__ import annotations

from prometheus_client import CollectorRegistry

from hopstep.adapters.http_api.authentication import Authenticator
from hopstep.adapters.http_api.context import ApiContext, NodeHealth, PeerHandler, Spawn
from hopstep.adapters.http_api.metrics import ApiMetrics
from hopstep.adapters.pacing import Pacer
from hopstep.services.router import RouterServices
from hopstep.settings import RouterSettings


def make_api_context(
    settings: RouterSettings,
    services: RouterServices,
    *,
    incarnation: int,
    registry: CollectorRegistry,
    pacer: Pacer,
    spawn: Spawn,
    handle_peer: PeerHandler | None = None,
) -> ApiContext:
    """Return what the HTTP API needs of a node.

    Args:
        settings: Settings of the node.
        services: Its services.
        incarnation: Identity of this start of the node.
        registry: Registry for the metrics.
        pacer: Spaces the reads of streams.
        spawn: Starts a task of the node.
        handle_peer: Handles peers' calls; None if there are none.
    """
    authenticator = Authenticator()
    services.holder.subscribe(authenticator.update_tenants)
    health = NodeHealth(
        is_partitioned=services.is_partitioned,
        seconds_since_confirmed=services.synchronization.seconds_since_confirmed,
        member_count=lambda: len(services.cluster.live_routers()),
        displaced_changes=lambda: tuple(str(item) for item in services.synchronization.displaced),
    )
    return ApiContext(
        settings=settings,
        incarnation=str(incarnation),
        holder=services.holder,
        runner=services.dispatcher,
        lifecycle=services.lifecycle,
        authenticator=authenticator,
        metrics=ApiMetrics(registry),
        pacer=pacer,
        health=health,
        spawn=spawn,
        handle_peer=handle_peer,
    )
