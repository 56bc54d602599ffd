"""Requests under the current configuration, which may differ from that of their arrival."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec

from hopstep.domain.configuration.document import BackEnd, BackEndKind
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.inference import InferenceRequest
from hopstep.exceptions import DomainError, ErrorCode

ZONE_LABEL = "zone"


_Item = TypeVar("_Item")


def request_in_force(request: InferenceRequest, index: ConfigurationIndex) -> InferenceRequest:
    """Return the request with its tenant, class and model as configured now.

    Raises:
        DomainError: ``NO_ADMISSIBLE_BACK_END`` when one of them has been removed.
    """
    return msgspec.structs.replace(
        request,
        tenant=_find(index.tenants, request.tenant.name, "tenant"),
        request_class=_find(index.classes, request.request_class.name, "request_class"),
        model=_find(index.models, request.model.name, "model"),
    )


def may_hold_answer(request: InferenceRequest, index: ConfigurationIndex, engine_name: str) -> bool:
    """Return whether an engine that runs the request may continue it.

    A leaving engine may: it gets no new work, but its streams aren't cut off.
    """
    try:
        current = request_in_force(request, index)
        engine = _find(index.back_ends, engine_name, "back_end")
    except DomainError:
        return False
    selectors = (current.tenant.selector, current.request_class.selector)
    return all(selector.matches(engine.labels) for selector in selectors)


def may_take_attempt(
    request: InferenceRequest,
    index: ConfigurationIndex,
    engine_name: str,
    weights_version: str,
) -> bool:
    """Return whether an attempt that was prepared earlier may still be sent to an engine.

    Args:
        request: The request.
        index: Current configuration.
        engine_name: Engine that the attempt was prepared for.
        weights_version: Weights version that the attempt will require.
    """
    if not may_hold_answer(request, index, engine_name):
        return False
    engine = _find(index.back_ends, engine_name, "back_end")
    model = _find(index.models, request.model.name, "model")
    takes_work = not engine.leaving and model.name in engine.models
    return takes_work and model.weights_version == weights_version


def choose_kv_cache_store(
    index: ConfigurationIndex, request: InferenceRequest, engine: BackEnd
) -> str:
    """Return the address of the KV cache store for an attempt; empty for none.

    A store in the engine's zone is preferred. None is returned while imports are disabled.
    """
    if index.configuration.routing.import_tokens_per_second <= 0:
        return ""
    stores = index.tenant_back_ends(request.tenant, BackEndKind.KV_CACHE_STORE)
    zone = engine.labels.get(ZONE_LABEL)
    near = [store for store in stores if store.labels.get(ZONE_LABEL) == zone]
    candidates = near or list(stores)
    return candidates[0].address if candidates else ""


def _find(items: Mapping[str, _Item], name: str, kind: str) -> _Item:
    """Return the item with a name, or raise ``DomainError``."""
    item = items.get(name)
    if item is not None:
        return item
    raise DomainError(
        ErrorCode.NO_ADMISSIBLE_BACK_END, f"the {kind} is no longer configured", field=kind
    )
