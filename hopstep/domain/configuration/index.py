"""Look-ups in one configuration, at a cost independent of its number of items.

Most back ends share their labels with others, so a selector is matched against each distinct set
of labels once, and the result is cached while the configuration is in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.labels import LabelSelector, Requirement

Requirements = tuple[Requirement, ...]


class _Named(Protocol):
    """An item of the configuration that has a name."""

    @property
    def name(self) -> str:
        """Unique name among items of its kind."""


_Item = TypeVar("_Item", bound=_Named)


class ConfigurationIndex:
    """Items by name, and placements by selector; agrees with ``hopstep.domain.placement``.

    Results are cached by selector, class and model, so their number is bounded by the
    configuration; a new configuration gets a new index.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Index a configuration.

        Args:
            configuration: Valid configuration; names are unique.
        """
        self.configuration = configuration
        self.tenants = _by_name(configuration.tenants)
        self.classes = _by_name(configuration.classes)
        self.models = _by_name(configuration.models)
        self.back_ends = _by_name(configuration.back_ends)
        self._groups = _group(configuration.back_ends)
        self._order = {back_end.name: at for at, back_end in enumerate(configuration.back_ends)}
        self._engines: dict[tuple[Requirements, Requirements, str], tuple[BackEnd, ...]] = {}
        self._placed: dict[tuple[Requirements, BackEndKind], tuple[BackEnd, ...]] = {}

    def engines(
        self, tenant: Tenant, request_class: RequestClass, model: Model
    ) -> tuple[BackEnd, ...]:
        """Return the engines that may serve a request, in configuration order."""
        key = (
            tenant.selector.requirements(),
            request_class.selector.requirements(),
            model.name,
        )
        engines = self._engines.get(key)
        if engines is None:
            selectors = (tenant.selector, request_class.selector)
            candidates = self._select(BackEndKind.ENGINE, selectors)
            engines = self._sorted(item for item in candidates if model.name in item.models)
            self._engines[key] = engines
        return engines

    def tenant_back_ends(self, tenant: Tenant, kind: BackEndKind) -> tuple[BackEnd, ...]:
        """Return a tenant's admissible back ends of a kind, in configuration order."""
        key = (tenant.selector.requirements(), kind)
        placed = self._placed.get(key)
        if placed is None:
            placed = self._sorted(self._select(kind, (tenant.selector,)))
            self._placed[key] = placed
        return placed

    def _select(self, kind: BackEndKind, selectors: tuple[LabelSelector, ...]) -> Iterable[BackEnd]:
        """Yield back ends of a kind that all selectors match and that aren't leaving."""
        for group in self._groups.get(kind, ()):
            labels = group[0].labels
            if all(selector.matches(labels) for selector in selectors):
                yield from (back_end for back_end in group if not back_end.leaving)

    def _sorted(self, back_ends: Iterable[BackEnd]) -> tuple[BackEnd, ...]:
        """Return back ends in configuration order."""
        return tuple(sorted(back_ends, key=lambda back_end: self._order[back_end.name]))


def _by_name(items: Iterable[_Item]) -> dict[str, _Item]:
    """Return items by their names."""
    return {item.name: item for item in items}


def _group(back_ends: Iterable[BackEnd]) -> dict[BackEndKind, list[list[BackEnd]]]:
    """Return back ends by kind, those with equal labels together."""
    groups: dict[BackEndKind, dict[frozenset[tuple[str, str]], list[BackEnd]]] = {}
    for back_end in back_ends:
        by_labels = groups.setdefault(back_end.kind, {})
        by_labels.setdefault(frozenset(back_end.labels.items()), []).append(back_end)
    return {kind: list(by_labels.values()) for kind, by_labels in groups.items()}
