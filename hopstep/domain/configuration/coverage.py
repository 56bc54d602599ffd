"""Detection of selectors that match nothing, by labels and models alone; ``leaving`` is ignored.

Engines with equal labels and models are checked once, so that the cost grows with the number of
distinct engines and not with the number of engines.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    RequestClass,
    Tenant,
)
from hopstep.domain.configuration.problems import Problem
from hopstep.domain.placement import place_engines, place_tenant


def coverage_problems(configuration: Configuration) -> Iterator[Problem]:
    """Return problems for selectors, classes and models that no listed back end can serve.

    A model need not be served everywhere: a tenant and class are covered when some engine
    admits them for some model. Requests for other models are refused on arrival.
    """
    reduced = msgspec.structs.replace(configuration, back_ends=_distinct(configuration.back_ends))
    yield from _unserved_models(reduced)
    for index, request_class in enumerate(reduced.classes):
        if not _any_engine(reduced, Tenant(""), request_class):
            yield Problem(f"classes[{index}].selector", "matches no engine that serves a model")
    for index, tenant in enumerate(reduced.tenants):
        yield from _tenant_coverage(reduced, tenant, f"tenants[{index}]")


def _distinct(back_ends: tuple[BackEnd, ...]) -> tuple[BackEnd, ...]:
    """Return one back end of each kind, label set and model set, as if none were leaving."""
    kinds = {
        (item.kind, frozenset(item.labels.items()), frozenset(item.models)): item
        for item in back_ends
    }
    return tuple(msgspec.structs.replace(item, leaving=False) for item in kinds.values())


def _unserved_models(configuration: Configuration) -> Iterator[Problem]:
    """Return problems for models that no engine serves."""
    served = {name for back_end in configuration.back_ends for name in back_end.models}
    for index, model in enumerate(configuration.models):
        if model.name not in served:
            yield Problem(f"models[{index}].name", f"no engine serves {model.name!r}")


def _tenant_coverage(configuration: Configuration, tenant: Tenant, path: str) -> Iterator[Problem]:
    """Return problems for a tenant's selector that matches no engine or router."""
    if not place_tenant(configuration, tenant, BackEndKind.ENGINE).admissible:
        yield Problem(f"{path}.selector", "matches no engine")
        return
    lists_routers = any(item.kind is BackEndKind.ROUTER for item in configuration.back_ends)
    if lists_routers and not place_tenant(configuration, tenant, BackEndKind.ROUTER).admissible:
        yield Problem(f"{path}.selector", "matches no router, though routers are listed")
    for request_class in _allowed_classes(configuration, tenant):
        if not _any_engine(configuration, tenant, request_class):
            yield Problem(
                f"{path}.selector",
                f"with class {request_class.name!r} it matches no engine that serves a model",
            )


def _allowed_classes(configuration: Configuration, tenant: Tenant) -> tuple[RequestClass, ...]:
    """Return the classes that a tenant may use."""
    if not tenant.classes:
        return configuration.classes
    return tuple(item for item in configuration.classes if item.name in tenant.classes)


def _any_engine(configuration: Configuration, tenant: Tenant, request_class: RequestClass) -> bool:
    """Return whether some engine admits the tenant and class for some model."""
    return any(
        place_engines(configuration, tenant, request_class, model).admissible
        for model in configuration.models
    )
