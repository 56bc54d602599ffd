"""Sample configurations and requests of any size for measurements."""

from __future__ import annotations

import hashlib

from hopstep.domain.blocks import BLOCK_TOKENS
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Configuration,
    Model,
    RequestClass,
    Tenant,
    TenantLimits,
)
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.labels import LabelSelector, Operator, Requirement

REGIONS = 6
ZONES = 20
MODELS = 17
KEYS_PER_TENANT = 2
BLOCK_TEXT = "abcd" * BLOCK_TOKENS
"""Text of one block of the fixed-width tokenizer."""


def model(index: int = 0) -> Model:
    """Return a model."""
    return Model(name=f"model-{index:02}", weights_version="2026-11-01")


def engine(index: int) -> BackEnd:
    """Return an engine with labels for region, zone and tier."""
    zone = index % ZONES
    return BackEnd(
        name=f"engine-{index:05}",
        address=f"10.{zone}.{index // 250 % 250}.{index % 250}:8000",
        labels={"region": f"region-{zone % REGIONS}", "zone": f"zone-{zone:02}", "tier": "batch"},
        models=(model(index % MODELS).name,),
    )


def tenant(index: int) -> Tenant:
    """Return a tenant that is bound to one region, with two keys and limits."""
    keys = (f"{index}:{key}" for key in range(KEYS_PER_TENANT))
    return Tenant(
        name=f"tenant-{index:05}",
        key_hashes=tuple(hashlib.sha256(key.encode()).hexdigest() for key in keys),
        selector=LabelSelector(
            match_labels={"region": f"region-{index % REGIONS}"},
            match_expressions=(Requirement("tier", Operator.IN, ("batch", "desk")),),
        ),
        limits=TenantLimits(requests_per_second=20.0, max_concurrent_requests=64),
    )


def accepted(tenants: int, engines: int, revision: int = 1) -> AcceptedConfiguration:
    """Return an accepted configuration of a given size."""
    configuration = Configuration(
        back_ends=tuple(engine(index) for index in range(engines)),
        tenants=tuple(tenant(index) for index in range(tenants)),
        classes=(RequestClass("default"), RequestClass("desk", priority=1)),
        models=tuple(model(index) for index in range(MODELS)),
    )
    return AcceptedConfiguration(revision, configuration)


def request(blocks: int) -> InferenceRequest:
    """Return a request whose prompt is ``blocks`` blocks long."""
    return InferenceRequest(
        request_id="request-1",
        tenant=tenant(0),
        request_class=RequestClass("default"),
        model=model(),
        prompt=BLOCK_TEXT * blocks,
        max_tokens=128,
    )
