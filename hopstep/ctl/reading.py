"""Verbs that read: show, history, explain."""

from __future__ import annotations

import msgspec

from hopstep.ctl.documents import write_configuration
from hopstep.ctl.results import VerbResult
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.placement import Exclusion, Placement, place_engines, place_tenant
from hopstep.exceptions import ErrorCode, ValidationError
from hopstep.services.configuration.store import ConfigurationStore


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
        revision: Revision that it created.
        change_id: Its identity.
        author: Its author.
        note: Its reason.
        edited: Sections and names of the edited items.
    """

    revision: int
    change_id: str
    author: str
    note: str
    edited: tuple[str, ...]

    def __str__(self) -> str:
        """Return the entry as one line."""
        return f"{self.revision}  {self.author}  {self.note}  [{', '.join(self.edited)}]"


class HistoryDocument(msgspec.Struct, frozen=True):
    """Result of ``history``; older changes are no longer kept."""

    changes: tuple[HistoryEntry, ...]


class PlacementDocument(msgspec.Struct, frozen=True):
    """Back ends of one kind for a tenant.

    Attributes:
        kind: Kind of back end.
        admissible: Names of the back ends that may be used.
        exclusions: Reasons why the others may not.
    """

    kind: BackEndKind
    admissible: tuple[str, ...]
    exclusions: tuple[Exclusion, ...]

    def __str__(self) -> str:
        """Return the placement as lines."""
        lines = [f"{self.kind.value}: {', '.join(self.admissible) or 'none'}"]
        lines.extend(
            f"  not {item.back_end}: {item.reason.value} {item.detail}".rstrip()
            for item in self.exclusions
        )
        return "\n".join(lines)


class ExplainDocument(msgspec.Struct, frozen=True):
    """Result of ``explain``."""

    revision: int
    placements: tuple[PlacementDocument, ...]


async def show(store: ConfigurationStore, revision: int | None) -> VerbResult:
    """Show a kept revision; None for the latest."""
    history = await store.read_history()
    accepted = history.latest if revision is None else history.at(revision)
    if accepted is None:
        raise ValidationError(
            ErrorCode.INVALID_CONFIGURATION,
            f"revision {revision} is not kept: expected one from {history.base.revision} "
            f"to {history.latest.revision}",
            "revision",
        )
    return VerbResult(write_configuration(accepted.configuration), accepted)


async def show_history(store: ConfigurationStore) -> VerbResult:
    """List the kept changes, newest first."""
    history = await store.read_history()
    entries = tuple(
        HistoryEntry(
            item.revision,
            item.change.change_id,
            item.change.author,
            item.change.note,
            tuple(f"{edit.section.value}/{edit.name}" for edit in item.change.edits),
        )
        for item in reversed(history.changes)
    )
    text = "\n".join(str(entry) for entry in entries) or "no changes"
    return VerbResult(text, HistoryDocument(entries))


def explain(
    accepted: AcceptedConfiguration, tenant_name: str, class_name: str, model_name: str
) -> VerbResult:
    """Return which back ends a request may use, and why the others are excluded.

    Args:
        accepted: Configuration to explain.
        tenant_name: Tenant.
        class_name: Class; empty for the tenant's default.
        model_name: Model.

    Raises:
        ValidationError: When a name is unknown.
    """
    configuration = accepted.configuration
    tenant = _tenant(configuration, tenant_name)
    request_class = _class(configuration, class_name or tenant.default_class)
    model = _model(configuration, model_name)
    placements = (
        _document(BackEndKind.ENGINE, place_engines(configuration, tenant, request_class, model)),
        *(
            _document(kind, place_tenant(configuration, tenant, kind))
            for kind in (BackEndKind.KV_CACHE_STORE, BackEndKind.ROUTER)
        ),
    )
    text = "\n".join(str(placement) for placement in placements)
    return VerbResult(text, ExplainDocument(accepted.revision, placements))


def _document(kind: BackEndKind, placement: Placement) -> PlacementDocument:
    """Return a placement with names in place of back ends."""
    admissible = tuple(back_end.name for back_end in placement.admissible)
    return PlacementDocument(kind, admissible, placement.exclusions)


def _tenant(configuration: Configuration, name: str) -> Tenant:
    """Return a tenant by name."""
    for tenant in configuration.tenants:
        if tenant.name == name:
            return tenant
    raise _unknown("tenant", name)


def _class(configuration: Configuration, name: str) -> RequestClass:
    """Return a class by name."""
    for request_class in configuration.classes:
        if request_class.name == name:
            return request_class
    raise _unknown("class", name)


def _model(configuration: Configuration, name: str) -> Model:
    """Return a model by name."""
    for model in configuration.models:
        if model.name == name:
            return model
    raise _unknown("model", name)


def _unknown(what: str, name: str) -> ValidationError:
    """Return the error for a name that the configuration doesn't have."""
    return ValidationError(ErrorCode.INVALID_CONFIGURATION, f"no {what} is named {name!r}", what)
