"""The small deployment of the recovery measures: slow engines, so that few requests load them."""

from __future__ import annotations

import msgspec

from emulator.engine.config import EngineConfig
from emulator.simulation.deployment import sample_deployment
from hopstep.adapters.http_api.authentication import hash_key
from hopstep.domain.configuration.document import Configuration, RequestClass, RoutingPolicy, Tenant

ROUTERS = 2
ENGINES = 3
LOST_ENGINES = 1
"""Engines that are lost at once: a third."""

MODEST_TENANTS = ("modest-1", "modest-2", "modest-3")
"""Tenants that stay within their share."""

GREEDY_TENANT = "greedy"
"""Tenant that sends what is above the capacity."""

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
"""A slow engine: about two and a half answers a second."""

MAX_CONCURRENT_REQUESTS = 8
"""Requests that an engine takes: a whole batch, and as many that wait."""


def recovery_deployment() -> Configuration:
    """Return the deployment: tenants of equal weight that may use every engine."""
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
