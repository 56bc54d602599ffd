"""A small deployment for simulations: three zones, three tenants with nested placements."""

from __future__ import annotations

import msgspec

from hopstep.adapters.http_api.authentication import hash_key
from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    RoutingPolicy,
    Tenant,
)
from hopstep.domain.labels import LabelSelector, Operator, Requirement

MODEL = "m"
ZONES = ("a", "b", "c")
FIRST_ROUTER_PORT = 8000
FIRST_ENGINE_PORT = 9000
KV_CACHE_STORE = BackEnd("kv", "10.0.2.0:9900", BackEndKind.KV_CACHE_STORE, labels={"zone": "b"})


def sample_deployment(
    *,
    routers: int = 3,
    engines: int = 6,
    routing: RoutingPolicy | None = None,
    max_concurrent_requests: int = 8,
    kv_cache_store: bool = False,
) -> Configuration:
    """Return a deployment whose routers and engines are spread over the zones.

    The tenant ``anywhere`` has no selector, ``inland`` is limited to zones a and b, ``harbour``
    to zone b. Each tenant's name is its bearer key.

    Args:
        routers: Number of routers, ``r0`` and so on.
        engines: Number of engines, ``e0`` and so on.
        routing: Routing policy; None for the sample's own.
        max_concurrent_requests: Concurrent requests that an engine accepts from one router.
        kv_cache_store: Whether there is a KV cache store, in zone b, that engines read.
    """
    back_ends = [_router(index) for index in range(routers)]
    back_ends += [engine(index, max_concurrent_requests) for index in range(engines)]
    policy = routing or RoutingPolicy(prefix_stride_blocks=2, hedge_after_seconds=0.5)
    if kv_cache_store:
        back_ends.append(KV_CACHE_STORE)
        policy = msgspec.structs.replace(policy, import_tokens_per_second=60_000.0)
    inland = LabelSelector(match_expressions=(Requirement("zone", Operator.IN, ("a", "b")),))
    return Configuration(
        back_ends=tuple(back_ends),
        tenants=(
            _tenant("anywhere", LabelSelector()),
            _tenant("inland", inland),
            _tenant("harbour", LabelSelector(match_labels={"zone": "b"})),
        ),
        classes=(
            RequestClass("quick", priority=1, hedge=True, deadline_seconds=60.0),
            RequestClass("batch", priority=20, max_queue_seconds=30.0, deadline_seconds=120.0),
            RequestClass("once", priority=5, repeatable=False, deadline_seconds=60.0),
        ),
        models=(Model(MODEL, "v1"),),
        routing=policy,
    )


def engine(index: int, max_concurrent_requests: int = 8) -> BackEnd:
    """Return an engine of the sample."""
    return BackEnd(
        f"e{index}",
        f"10.0.1.{index}:{FIRST_ENGINE_PORT + index}",
        labels={"zone": ZONES[index % len(ZONES)]},
        models=(MODEL,),
        max_concurrent_requests=max_concurrent_requests,
    )


def _router(index: int) -> BackEnd:
    return BackEnd(
        f"r{index}",
        f"10.0.0.{index}:{FIRST_ROUTER_PORT + index}",
        BackEndKind.ROUTER,
        labels={"zone": ZONES[index % len(ZONES)]},
    )


def _tenant(name: str, selector: LabelSelector) -> Tenant:
    return Tenant(name, (hash_key(name.encode()),), selector, default_class="quick")
