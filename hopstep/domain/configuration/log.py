"""The accepted configuration as an append-only log of changes.

A change is a set of whole-item replacements on a base revision. Two changes conflict when they
set the same item to different values; otherwise the later one is rebased on the earlier one.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

import msgspec

from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Configuration,
    Model,
    RequestClass,
    RoutingPolicy,
    Tenant,
)
from hopstep.exceptions import DomainError, ErrorCode

Item = BackEnd | Tenant | RequestClass | Model | RoutingPolicy
NamedItem = BackEnd | Tenant | RequestClass | Model

ROUTING_NAME = "routing"
"""Name of the only item of the routing section."""


class Section(enum.StrEnum):
    """Section of the document that an edit is in."""

    BACK_ENDS = "back_ends"
    TENANTS = "tenants"
    CLASSES = "classes"
    MODELS = "models"
    ROUTING = "routing"


LIST_SECTIONS = (Section.BACK_ENDS, Section.TENANTS, Section.CLASSES, Section.MODELS)


class Edit(msgspec.Struct, frozen=True):
    """Replacement of one whole item.

    Attributes:
        section: Section of the item.
        name: Name of the item.
        item: New item; None removes it (or resets routing to its defaults).
    """

    section: Section
    name: str
    item: Item | None


class Change(msgspec.Struct, frozen=True):
    """A change as an operator submits it and as the log holds it.

    Attributes:
        change_id: Identity; at most one change is accepted with it.
        author: Name of the author.
        note: Reason for the change.
        base_revision: Revision that the edits were made on; in the log always the preceding one.
        edits: Replacements, at most one for each item.
    """

    change_id: str
    author: str
    note: str
    base_revision: int
    edits: tuple[Edit, ...]


class AcceptedChange(msgspec.Struct, frozen=True):
    """A change with the revision that it created."""

    revision: int
    change: Change


class Conflict(msgspec.Struct, frozen=True):
    """An item that another accepted change has edited differently.

    Attributes:
        section: Section of the item.
        name: Name of the item.
        revision: Latest revision that edited it.
        author: Author of that revision.
        accepted: Item in force; None when it was removed.
        requested: Item of the rejected change; None to remove it.
    """

    section: Section
    name: str
    revision: int
    author: str
    accepted: Item | None
    requested: Item | None


class ConfigurationTransfer(msgspec.Struct, frozen=True):
    """Snapshot and changes that update a holder of an older revision.

    Attributes:
        snapshot: A whole configuration to start from; None when the changes suffice.
        changes: Changes in order, without a gap.
    """

    snapshot: AcceptedConfiguration | None = None
    changes: tuple[AcceptedChange, ...] = ()

    @property
    def revision(self) -> int:
        """Revision that the transfer leads to; 0 when it is empty."""
        if self.changes:
            return self.changes[-1].revision
        return self.snapshot.revision if self.snapshot else 0


def empty_configuration() -> AcceptedConfiguration:
    """Return revision 0, the base of the first change."""
    return AcceptedConfiguration(0, Configuration())


def find_item(configuration: Configuration, section: Section, name: str) -> Item | None:
    """Return an item of a configuration, or None."""
    if section is Section.ROUTING:
        return configuration.routing
    return _named(configuration, section).get(name)


def diff(old: Configuration, new: Configuration) -> tuple[Edit, ...]:
    """Return the edits that lead from ``old`` to ``new``; the order of items doesn't count."""
    edits: list[Edit] = []
    for section in LIST_SECTIONS:
        before = _named(old, section)
        after = _named(new, section)
        edits.extend(Edit(section, name, None) for name in before if name not in after)
        edits.extend(
            Edit(section, name, item) for name, item in after.items() if before.get(name) != item
        )
    if old.routing != new.routing:
        edits.append(Edit(Section.ROUTING, ROUTING_NAME, new.routing))
    return tuple(edits)


def apply_edits(configuration: Configuration, edits: Sequence[Edit]) -> Configuration:
    """Return the configuration with the edits applied; replaced items keep their position."""
    sections = {section: _named(configuration, section) for section in LIST_SECTIONS}
    routing = configuration.routing
    for edit in edits:
        if edit.section is Section.ROUTING:
            routing = edit.item if isinstance(edit.item, RoutingPolicy) else RoutingPolicy()
        elif edit.item is None:
            sections[edit.section].pop(edit.name, None)
        elif not isinstance(edit.item, RoutingPolicy):
            sections[edit.section][edit.name] = edit.item
    lists = {section.value: tuple(items.values()) for section, items in sections.items()}
    return msgspec.structs.replace(configuration, routing=routing, **lists)


def apply_change(accepted: AcceptedConfiguration, change: Change) -> AcceptedConfiguration:
    """Return the configuration after a change of the log.

    Raises:
        DomainError: When the change was not accepted on exactly this revision.
    """
    if change.base_revision != accepted.revision:
        raise DomainError(
            ErrorCode.CONFIGURATION_CONFLICT,
            f"change on revision {change.base_revision} does not apply on {accepted.revision}",
        )
    configuration = apply_edits(accepted.configuration, change.edits)
    return AcceptedConfiguration(accepted.revision + 1, configuration)


def apply_transfer(
    current: AcceptedConfiguration, transfer: ConfigurationTransfer
) -> AcceptedConfiguration:
    """Return the highest revision that ``current`` and a transfer lead to, at least ``current``.

    Raises:
        DomainError: When a change isn't based on the preceding one (a gap).
    """
    if transfer.snapshot is not None and transfer.snapshot.revision > current.revision:
        current = transfer.snapshot
    for accepted_change in transfer.changes:
        if accepted_change.revision <= current.revision:
            continue
        if accepted_change.revision != accepted_change.change.base_revision + 1:
            raise DomainError(
                ErrorCode.CONFIGURATION_CONFLICT,
                f"revision {accepted_change.revision} is not made on the one before it",
            )
        current = apply_change(current, accepted_change.change)
    return current


def conflicts_with(
    change: Change, current: Configuration, later: Sequence[AcceptedChange]
) -> tuple[Conflict, ...]:
    """Return the items that later changes set to another value.

    Args:
        change: Change on an older base.
        current: Configuration in force.
        later: Every change accepted after the base of ``change``.
    """
    last_edits = {
        (edit.section, edit.name): accepted for accepted in later for edit in accepted.change.edits
    }
    conflicts: list[Conflict] = []
    for edit in change.edits:
        accepted = last_edits.get((edit.section, edit.name))
        if accepted is None:
            continue
        in_force = find_item(current, edit.section, edit.name)
        if in_force != edit.item:
            conflicts.append(
                Conflict(
                    edit.section,
                    edit.name,
                    accepted.revision,
                    accepted.change.author,
                    in_force,
                    edit.item,
                )
            )
    return tuple(conflicts)


def rebase(change: Change, revision: int) -> Change:
    """Return the change with another base revision; check ``conflicts_with`` first."""
    return msgspec.structs.replace(change, base_revision=revision)


def _named(configuration: Configuration, section: Section) -> dict[str, NamedItem]:
    """Return the items of a list section by name, in document order."""
    items: tuple[NamedItem, ...] = getattr(configuration, section.value)
    return {item.name: item for item in items}
