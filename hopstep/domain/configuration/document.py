"""The operators' configuration: back ends, tenants, request classes, models, routing.

The document is immutable. It is edited by ``Change`` objects (see
``hopstep.domain.configuration.log``), each a set of whole-item replacements.
"""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.labels import Labels, LabelSelector


class BackEndKind(enum.StrEnum):
    """What a labelled back end does."""

    ENGINE = "engine"
    KV_CACHE_STORE = "kv_cache_store"
    ROUTER = "router"


class BackEnd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A labelled place where prompts, cached state or answers may be.

    Attributes:
        name: Unique name.
        address: ``ip:port`` of its HTTP listener.
        kind: Engine, KV cache store or router.
        labels: Labels that selectors match.
        models: Names of the models that an engine serves; empty for other kinds.
        leaving: True when it must get no new work.
        max_concurrent_requests: Requests that an engine runs and queues at once.
    """

    name: str
    address: str
    kind: BackEndKind = BackEndKind.ENGINE
    labels: Labels = {}
    models: tuple[str, ...] = ()
    leaving: bool = False
    max_concurrent_requests: int = 32


class TenantLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a tenant over all routers; 0 means no limit.

    Attributes:
        requests_per_second: Sustained request rate.
        tokens_per_second: Sustained prompt plus generated tokens a second.
        max_concurrent_requests: Requests running or queued at once.
        max_queued_requests: Requests waiting for an engine, at one router.
    """

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    max_concurrent_requests: int = 0
    max_queued_requests: int = 64


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer whose prompts, cached state and answers stay inside ``selector``.

    Attributes:
        name: Unique name.
        key_hashes: Hex SHA-256 of each bearer key.
        selector: Where the tenant's data may be (engines, KV cache stores, routers).
        limits: Limits over all routers.
        weight: Share in fair ordering, relative to other tenants.
        classes: Names of the classes that the tenant may use; empty means all.
        default_class: Class of requests that name none.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    selector: LabelSelector = LabelSelector()
    limits: TenantLimits = TenantLimits()
    weight: float = 1.0
    classes: tuple[str, ...] = ()
    default_class: str = "default"


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    Attributes:
        name: Unique name.
        selector: Narrows the tenant's places further, for engines only.
        priority: Order at routers and engines; lower numbers go first.
        repeatable: False for requests that must run at most once.
        max_queue_seconds: Longest expected wait for an engine; beyond it requests are refused.
        deadline_seconds: Longest time for a whole answer.
        max_output_tokens: Upper bound for ``max_tokens``.
        hedge: Whether a slow first token may start a second attempt elsewhere.
    """

    name: str
    selector: LabelSelector = LabelSelector()
    priority: int = 10
    repeatable: bool = True
    max_queue_seconds: float = 10.0
    deadline_seconds: float = 300.0
    max_output_tokens: int = 4096
    hedge: bool = False


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and the version of its weights that must be in use.

    Attributes:
        name: Name that callers use.
        weights_version: Version that engines load and requests require.
        max_prompt_tokens: Longest prompt.
    """

    name: str
    weights_version: str
    max_prompt_tokens: int = 131_072


class RoutingPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of one deployment; see ``docs/OPERATIONS.md`` for what moves which measure.

    Attributes:
        prefix_stride_blocks: Blocks for each one whose key is remembered, on average.
        max_prefix_heads: Prefix heads remembered for all engines together.
        recompute_weight: Cost of recomputing a second of prefill, against ``wait_weight``.
        wait_weight: Cost of one second of expected wait.
        load_bound: Load of the preferred engine, over the mean, at which others are tried.
        prefill_tokens_per_second: Expected prefill speed of an engine.
        import_tokens_per_second: Expected speed of KV import; 0 switches imports off.
        hot_prefix_copies: Owners of a prefix that are preferred among engines of equal cost.
        hedge_after_seconds: Wait for a first token before a hedge; 0 switches hedging off.
        retry_ratio: Retries allowed, as a share of first attempts.
        max_concurrent_weight_loads: Engines that load weights at once.
    """

    prefix_stride_blocks: int = 8
    max_prefix_heads: int = 65_536
    recompute_weight: float = 1.0
    wait_weight: float = 1.0
    load_bound: float = 1.5
    prefill_tokens_per_second: float = 8_000.0
    import_tokens_per_second: float = 0.0
    hot_prefix_copies: int = 2
    hedge_after_seconds: float = 0.0
    retry_ratio: float = 0.1
    max_concurrent_weight_loads: int = 2


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole document, as operators write it."""

    back_ends: tuple[BackEnd, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    models: tuple[Model, ...] = ()
    routing: RoutingPolicy = RoutingPolicy()


class AcceptedConfiguration(msgspec.Struct, frozen=True):
    """A configuration with the revision under which the store accepted it."""

    revision: int
    configuration: Configuration
