"""Rules that a configuration must meet before it is accepted.

``leaving`` is ignored: draining the last engine of a tenant is allowed, and its requests are then
refused. A selector that matches nothing by labels is an error.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator

import msgspec

from hopstep.domain.addresses import parse_address
from hopstep.domain.configuration.coverage import coverage_problems
from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    RoutingPolicy,
    Tenant,
)
from hopstep.domain.configuration.problems import Problem
from hopstep.domain.labels import Labels, LabelSelector, Operator
from hopstep.exceptions import ErrorCode, ValidationError

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,126}")
LABEL_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,252}")
KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")

_VALUED_OPERATORS = (Operator.IN, Operator.NOT_IN)


class _Bound(msgspec.Struct, frozen=True):
    """Lowest value of a number field.

    Attributes:
        field: Field name.
        minimum: Lowest value.
        exclusive: Whether ``minimum`` itself is refused.
    """

    field: str
    minimum: float
    exclusive: bool = False


_BACK_END_BOUNDS = (_Bound("max_concurrent_requests", 1),)
_LIMIT_BOUNDS = (
    _Bound("requests_per_second", 0),
    _Bound("tokens_per_second", 0),
    _Bound("max_concurrent_requests", 0),
    _Bound("max_queued_requests", 0),
)
_TENANT_BOUNDS = (_Bound("weight", 0, exclusive=True),)
_CLASS_BOUNDS = (
    _Bound("priority", 0),
    _Bound("max_queue_seconds", 0),
    _Bound("deadline_seconds", 0, exclusive=True),
    _Bound("max_output_tokens", 1),
)
_MODEL_BOUNDS = (_Bound("max_prompt_tokens", 1),)
_ROUTING_BOUNDS = (
    _Bound("prefix_stride_blocks", 1),
    _Bound("max_prefix_heads", 1),
    _Bound("recompute_weight", 0),
    _Bound("wait_weight", 0),
    _Bound("load_bound", 1),
    _Bound("prefill_tokens_per_second", 0, exclusive=True),
    _Bound("import_tokens_per_second", 0),
    _Bound("hot_prefix_copies", 1),
    _Bound("hedge_after_seconds", 0),
    _Bound("retry_ratio", 0),
    _Bound("max_concurrent_weight_loads", 1),
)


def validate(configuration: Configuration) -> tuple[Problem, ...]:
    """Return all problems, in document order; empty when the document is valid."""
    problems = [
        *_back_end_problems(configuration.back_ends),
        *_tenant_problems(configuration),
        *_class_problems(configuration.classes),
        *_model_problems(configuration.models),
        *_bound_problems("routing", configuration.routing, _ROUTING_BOUNDS),
        *_reference_problems(configuration),
    ]
    if not problems:
        problems.extend(coverage_problems(configuration))
    return tuple(problems)


def require_valid(configuration: Configuration) -> Configuration:
    """Return the configuration if it is valid.

    Raises:
        ValidationError: With the first problem's field.
    """
    problems = validate(configuration)
    if problems:
        raise ValidationError(
            ErrorCode.INVALID_CONFIGURATION, problems[0].message, problems[0].field
        )
    return configuration


def _back_end_problems(back_ends: tuple[BackEnd, ...]) -> Iterator[Problem]:
    """Check back ends without their references."""
    yield from _duplicates("back_ends", "name", (item.name for item in back_ends))
    yield from _duplicates("back_ends", "address", (item.address for item in back_ends))
    for index, back_end in enumerate(back_ends):
        path = f"back_ends[{index}]"
        yield from _name_problems(path, back_end.name)
        yield from _address_problems(f"{path}.address", back_end.address)
        yield from _label_problems(f"{path}.labels", back_end.labels)
        yield from _bound_problems(path, back_end, _BACK_END_BOUNDS)
        yield from _duplicates(f"{path}.models", "", back_end.models)
        if back_end.models and back_end.kind is not BackEndKind.ENGINE:
            yield Problem(f"{path}.models", f"a {back_end.kind.value} serves no models")


def _tenant_problems(configuration: Configuration) -> Iterator[Problem]:
    """Check tenants without their references."""
    yield from _duplicates("tenants", "name", (item.name for item in configuration.tenants))
    owners: dict[str, str] = {}
    for index, tenant in enumerate(configuration.tenants):
        path = f"tenants[{index}]"
        yield from _name_problems(path, tenant.name)
        yield from _key_hash_problems(path, tenant, owners)
        yield from _selector_problems(f"{path}.selector", tenant.selector)
        yield from _bound_problems(path, tenant, _TENANT_BOUNDS)
        yield from _bound_problems(f"{path}.limits", tenant.limits, _LIMIT_BOUNDS)
        yield from _duplicates(f"{path}.classes", "", tenant.classes)


def _key_hash_problems(path: str, tenant: Tenant, owners: dict[str, str]) -> Iterator[Problem]:
    """Check key hashes; the hash itself is never part of a message."""
    for position, key_hash in enumerate(tenant.key_hashes):
        field = f"{path}.key_hashes[{position}]"
        if not KEY_HASH_PATTERN.fullmatch(key_hash):
            yield Problem(field, "expected the SHA-256 of a key in 64 lower-case hex digits")
        elif key_hash in owners:
            yield Problem(field, f"duplicate: tenant {owners[key_hash]!r} has the same key")
        else:
            owners[key_hash] = tenant.name


def _class_problems(classes: tuple[RequestClass, ...]) -> Iterator[Problem]:
    """Check request classes."""
    yield from _duplicates("classes", "name", (item.name for item in classes))
    for index, request_class in enumerate(classes):
        path = f"classes[{index}]"
        yield from _name_problems(path, request_class.name)
        yield from _selector_problems(f"{path}.selector", request_class.selector)
        yield from _bound_problems(path, request_class, _CLASS_BOUNDS)
        if request_class.hedge and not request_class.repeatable:
            yield Problem(f"{path}.hedge", "a class that is not repeatable can't be hedged")


def _model_problems(models: tuple[Model, ...]) -> Iterator[Problem]:
    """Check models."""
    yield from _duplicates("models", "name", (item.name for item in models))
    for index, model in enumerate(models):
        path = f"models[{index}]"
        yield from _name_problems(path, model.name)
        yield from _bound_problems(path, model, _MODEL_BOUNDS)
        if not model.weights_version:
            yield Problem(f"{path}.weights_version", "expected a version, got an empty text")


def _reference_problems(configuration: Configuration) -> Iterator[Problem]:
    """Check that every referenced name exists."""
    models = {model.name for model in configuration.models}
    classes = {request_class.name for request_class in configuration.classes}
    for index, back_end in enumerate(configuration.back_ends):
        yield from _reference_list_problems(
            f"back_ends[{index}].models", back_end.models, models, "model"
        )
    for index, tenant in enumerate(configuration.tenants):
        path = f"tenants[{index}]"
        yield from _reference_list_problems(f"{path}.classes", tenant.classes, classes, "class")
        if tenant.default_class not in (tenant.classes or classes):
            yield Problem(
                f"{path}.default_class",
                f"{tenant.default_class!r} is not a class that the tenant may use",
            )


def _reference_list_problems(
    field: str, names: Iterable[str], known: set[str], what: str
) -> Iterator[Problem]:
    """Check one list of references."""
    for position, name in enumerate(names):
        if name not in known:
            yield Problem(f"{field}[{position}]", f"no {what} is named {name!r}")


def _duplicates(section: str, attribute: str, values: Iterable[str]) -> Iterator[Problem]:
    """Check that values of a list are unique."""
    first_indexes: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first_indexes:
            field = f"{section}[{index}].{attribute}" if attribute else f"{section}[{index}]"
            yield Problem(field, f"duplicate of {section}[{first_indexes[value]}]: {value!r}")
        else:
            first_indexes[value] = index


def _name_problems(path: str, name: str) -> Iterator[Problem]:
    """Check a name."""
    if not NAME_PATTERN.fullmatch(name):
        yield Problem(f"{path}.name", f"expected letters, digits and . _ / -, got {name!r}")


def _address_problems(field: str, address: str) -> Iterator[Problem]:
    """Check an address that others connect to."""
    try:
        parsed = parse_address(address)
    except ValidationError as error:
        yield Problem(field, error.message)
        return
    if parsed.port == 0:
        yield Problem(field, f"expected a port above 0, got {address!r}")


def _label_problems(field: str, labels: Labels) -> Iterator[Problem]:
    """Check label names."""
    for key in labels:
        if not LABEL_PATTERN.fullmatch(key):
            yield Problem(field, f"expected letters, digits and . _ / -, got {key!r}")


def _selector_problems(field: str, selector: LabelSelector) -> Iterator[Problem]:
    """Check the names and operators of a selector."""
    yield from _label_problems(f"{field}.match_labels", selector.match_labels)
    for index, requirement in enumerate(selector.match_expressions):
        path = f"{field}.match_expressions[{index}]"
        if not LABEL_PATTERN.fullmatch(requirement.key):
            yield Problem(f"{path}.key", f"expected a label name, got {requirement.key!r}")
        if bool(requirement.values) is not (requirement.operator in _VALUED_OPERATORS):
            expected = "values" if requirement.operator in _VALUED_OPERATORS else "no values"
            yield Problem(f"{path}.values", f"{requirement.operator.value} takes {expected}")


def _bound_problems(
    path: str,
    item: msgspec.Struct | RoutingPolicy,
    bounds: tuple[_Bound, ...],
) -> Iterator[Problem]:
    """Check the numbers of one item."""
    for bound in bounds:
        value = getattr(item, bound.field)
        too_low = value <= bound.minimum if bound.exclusive else value < bound.minimum
        if too_low or not math.isfinite(value):
            relation = "above" if bound.exclusive else "at least"
            yield Problem(
                f"{path}.{bound.field}",
                f"expected a number {relation} {bound.minimum:g}, got {value}",
            )
