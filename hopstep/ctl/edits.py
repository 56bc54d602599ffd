"""Differences between configurations, as shown to operators."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from hopstep.domain.configuration.document import Configuration
from hopstep.domain.configuration.log import Conflict, Edit, Item, Section, find_item


class FieldDifference(msgspec.Struct, frozen=True):
    """One field of an item that differs.

    Attributes:
        field: Field name.
        before: JSON of the value before.
        after: JSON of the value after.
    """

    field: str
    before: str
    after: str


class ItemDifference(msgspec.Struct, frozen=True):
    """One item that differs.

    Attributes:
        section: Section of the document.
        name: Name of the item.
        action: add, remove or change.
        fields: Differing fields of a changed item.
    """

    section: Section
    name: str
    action: str
    fields: tuple[FieldDifference, ...] = ()

    def __str__(self) -> str:
        """Return the difference as lines."""
        lines = [f"{self.action} {self.section.value} {self.name}"]
        lines.extend(f"  {item.field}: {item.before} -> {item.after}" for item in self.fields)
        return "\n".join(lines)


def describe_edits(old: Configuration, edits: Iterable[Edit]) -> tuple[ItemDifference, ...]:
    """Return the differences that edits make to ``old``, field by field."""
    return tuple(
        describe_item(edit.section, edit.name, find_item(old, edit.section, edit.name), edit.item)
        for edit in edits
    )


def describe_conflict(conflict: Conflict) -> ItemDifference:
    """Return how the requested item differs from the accepted one."""
    return describe_item(conflict.section, conflict.name, conflict.accepted, conflict.requested)


def describe_item(
    section: Section, name: str, before: Item | None, after: Item | None
) -> ItemDifference:
    """Return how one item differs."""
    if before is None:
        return ItemDifference(section, name, "add")
    if after is None:
        return ItemDifference(section, name, "remove")
    return ItemDifference(section, name, "change", _field_differences(before, after))


def _field_differences(before: Item, after: Item) -> tuple[FieldDifference, ...]:
    """Return the fields that differ."""
    return tuple(
        FieldDifference(field, _json(getattr(before, field)), _json(getattr(after, field)))
        for field in before.__struct_fields__
        if getattr(before, field) != getattr(after, field)
    )


def _json(value: object) -> str:
    """Return a value as JSON."""
    return msgspec.json.encode(value).decode()
