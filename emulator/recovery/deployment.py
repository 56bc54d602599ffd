"""The small deployment of the recovery scenarios; its engines are slow, so few requests suffice."""

from __future__ import annotations

import msgspec

from emulator.engine.config import EngineConfig
from emulator.simulation.deployment import sample_deployment
from hopstep.adapters.http_api.authentication import hash_key
from hopstep.domain.configuration.document import Configuration, RequestClass, RoutingPolicy, Tenant

ROUTERS = 2
ENGINES = 3
LOST_ENGINES = 1
"""Number of engines that crash at once; a third of all."""

MODEST_TENANTS = ("modest-1", "modest-2", "modest-3")
"""Tenants whose load stays within their share of the capacity."""

GREEDY_TENANT = "greedy"
"""Tenant that sends the additional load of the overload."""

TENANTS = (*MODEST_TENANTS, GREEDY_TENANT)

REQUEST_CLASS = RequestClass("ask", max_queue_seconds=5.0, deadline_seconds=60.0)

ENGINE = EngineConfig(
    block_count=512,
    max_batch_size=4,
    max_waiting_requests=8,
    prefill_tokens_per_second=2_000.0,
    decode_base_seconds=0.1,
    decode_seconds_per_request=0.01,
    stream_interval_tokens=16,
)
"""A slow engine; it completes about 2.5 responses per second."""

MAX_CONCURRENT_REQUESTS = 8
"""Requests that an engine accepts: a full batch, and as many waiting."""


def recovery_deployment() -> Configuration:
    """Return the deployment, with tenants of equal weight that may use every engine."""
    sample = sample_deployment(
        routers=ROUTERS,
        engines=ENGINES,
        max_concurrent_requests=MAX_CONCURRENT_REQUESTS,
        routing=RoutingPolicy(
            prefix_stride_blocks=2,
            prefill_tokens_per_second=ENGINE.prefill_tokens_per_second,
        ),
    )
    tenants = tuple(
        Tenant(name, (hash_key(name.encode()),), default_class=REQUEST_CLASS.name)
        for name in TENANTS
    )
    return msgspec.structs.replace(sample, tenants=tenants, classes=(REQUEST_CLASS,))
