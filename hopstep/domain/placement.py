"""Back ends that may serve a request, by tenant and class selectors on back-end labels."""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.labels import Labels


class ExclusionReason(enum.StrEnum):
    """Why a back end may not be used."""

    TENANT_SELECTOR = "tenant_selector"
    CLASS_SELECTOR = "class_selector"
    MODEL_NOT_SERVED = "model_not_served"
    LEAVING = "leaving"


class Exclusion(msgspec.Struct, frozen=True):
    """One excluded back end.

    Attributes:
        back_end: Its name.
        reason: Which rule excludes it.
        detail: The condition that its labels don't meet, or the model that it lacks.
    """

    back_end: str
    reason: ExclusionReason
    detail: str = ""


class Placement(msgspec.Struct, frozen=True):
    """Back ends that may be used, and the reasons against all others.

    Attributes:
        admissible: Usable back ends, in configuration order.
        exclusions: One for each other back end of the same kind.
    """

    admissible: tuple[BackEnd, ...]
    exclusions: tuple[Exclusion, ...]


def place_engines(
    configuration: Configuration, tenant: Tenant, request_class: RequestClass, model: Model
) -> Placement:
    """Return the engines that may serve a request.

    Args:
        configuration: Accepted configuration.
        tenant: Tenant of the caller.
        request_class: Class of the request.
        model: Requested model.
    """
    admissible: list[BackEnd] = []
    exclusions: list[Exclusion] = []
    for back_end in configuration.back_ends:
        if back_end.kind is not BackEndKind.ENGINE:
            continue
        exclusion = _engine_exclusion(back_end, tenant, request_class, model)
        if exclusion is None:
            admissible.append(back_end)
        else:
            exclusions.append(exclusion)
    return Placement(tuple(admissible), tuple(exclusions))


def place_tenant(configuration: Configuration, tenant: Tenant, kind: BackEndKind) -> Placement:
    """Return the back ends of ``kind`` that may hold the tenant's data.

    Used for KV cache stores and routers; class selectors don't apply to these.
    """
    admissible: list[BackEnd] = []
    exclusions: list[Exclusion] = []
    for back_end in configuration.back_ends:
        if back_end.kind is not kind:
            continue
        exclusion = _tenant_exclusion(back_end, tenant)
        if exclusion is None:
            admissible.append(back_end)
        else:
            exclusions.append(exclusion)
    return Placement(tuple(admissible), tuple(exclusions))


def router_may_serve(tenant: Tenant, router_labels: Labels) -> bool:
    """Return whether a router with these labels may read the tenant's prompts."""
    return tenant.selector.matches(router_labels)


def _engine_exclusion(
    back_end: BackEnd, tenant: Tenant, request_class: RequestClass, model: Model
) -> Exclusion | None:
    """Return why an engine may not serve a request, or None."""
    exclusion = _tenant_exclusion(back_end, tenant)
    if exclusion is not None:
        return exclusion
    unmet = request_class.selector.first_unmet(back_end.labels)
    if unmet is not None:
        return Exclusion(back_end.name, ExclusionReason.CLASS_SELECTOR, str(unmet))
    if model.name not in back_end.models:
        return Exclusion(back_end.name, ExclusionReason.MODEL_NOT_SERVED, model.name)
    return None


def _tenant_exclusion(back_end: BackEnd, tenant: Tenant) -> Exclusion | None:
    """Return why a back end may not hold a tenant's data, or None."""
    unmet = tenant.selector.first_unmet(back_end.labels)
    if unmet is not None:
        return Exclusion(back_end.name, ExclusionReason.TENANT_SELECTOR, str(unmet))
    if back_end.leaving:
        return Exclusion(back_end.name, ExclusionReason.LEAVING)
    return None
