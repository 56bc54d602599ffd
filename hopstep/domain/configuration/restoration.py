"""Reconciliation of a router's configuration with a store that was restored from a backup.

The backup may lack accepted changes. A router that has them writes them again, with the same
revisions. A revision may have been used for another change since: then the store's sequence is
kept, and the loss is reported. A router never goes back to a lower revision, so the sequence is
extended beyond the revision of any router.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.log import AcceptedChange, Change, diff

RESTORATION_AUTHOR = "hopstep"
"""Author of changes that compensate for a restore."""


class DisplacedChange(msgspec.Struct, frozen=True):
    """An accepted change that a restore has removed, and whose revision another change has.

    Attributes:
        revision: The revision.
        lost: The removed change.
        taken_by: Identity of the change that has the revision now.
        taken_by_author: Its author.
    """

    revision: int
    lost: Change
    taken_by: str
    taken_by_author: str

    def __str__(self) -> str:
        """Return a description of both changes for operators."""
        taken = f"{self.taken_by} by {self.taken_by_author}" if self.taken_by else "none"
        lost = f"{self.lost.change_id} by {self.lost.author}"
        return f"revision {self.revision}: {lost}; in its place: {taken}"


class RestorationPlan(msgspec.Struct, frozen=True):
    """Changes to write, and changes that are lost.

    Attributes:
        rewrite: Changes to append to the store's sequence, in order.
        displaced: Changes that can't be written again.
    """

    rewrite: tuple[AcceptedChange, ...] = ()
    displaced: tuple[DisplacedChange, ...] = ()


def plan_restoration(
    own: AcceptedConfiguration,
    held: Sequence[AcceptedChange],
    stored: Sequence[AcceptedChange],
    latest: AcceptedConfiguration,
    era: int,
) -> RestorationPlan:
    """Return the plan that reconciles the store's sequence with a router's configuration.

    Args:
        own: Configuration in force at the router.
        held: The last changes that led to it, in order, as far as the router has them.
        stored: The store's changes, in order, as far as they are kept.
        latest: Configuration that they lead to.
        era: Era of the store; part of the identities of changes that compensate for the restore.
    """
    displaced = _displaced(held, stored)
    if displaced:
        return RestorationPlan(_pad(latest, own.revision, era), displaced)
    if own.revision <= latest.revision:
        return RestorationPlan()
    missing = tuple(item for item in held if item.revision > latest.revision)
    if missing and missing[0].revision == latest.revision + 1:
        return RestorationPlan(missing)
    replacement = _change(f"restored-{era}-{latest.revision + 1}", latest.revision, own, latest)
    padding = _pad(
        AcceptedConfiguration(replacement.revision, own.configuration), own.revision, era
    )
    return RestorationPlan((replacement, *padding))


def _displaced(
    held: Sequence[AcceptedChange], stored: Sequence[AcceptedChange]
) -> tuple[DisplacedChange, ...]:
    """Return the held changes whose revisions other changes have, and the later held changes."""
    stored_by_revision = {item.revision: item.change for item in stored}
    kept = {item.change.change_id for item in stored}
    found: list[DisplacedChange] = []
    for item in held:
        stored_change = stored_by_revision.get(item.revision)
        taken = stored_change is not None and stored_change.change_id != item.change.change_id
        if (taken or found) and item.change.change_id not in kept:
            name, author = (
                (stored_change.change_id, stored_change.author)
                if stored_change is not None
                else ("", "")
            )
            found.append(DisplacedChange(item.revision, item.change, name, author))
    return tuple(found)


def _pad(latest: AcceptedConfiguration, beyond: int, era: int) -> tuple[AcceptedChange, ...]:
    """Return changes without edits that extend a sequence beyond a revision."""
    revisions = range(latest.revision + 1, max(latest.revision, beyond + 1) + 1)
    return tuple(
        _change(f"restored-{era}-{revision}", revision - 1, latest, latest)
        for revision in revisions
    )


def _change(
    change_id: str, base: int, wanted: AcceptedConfiguration, latest: AcceptedConfiguration
) -> AcceptedChange:
    """Return a change that leads from one configuration to another."""
    edits = diff(latest.configuration, wanted.configuration)
    note = "makes up for a restore of the store from a copy"
    return AcceptedChange(base + 1, Change(change_id, RESTORATION_AUTHOR, note, base, edits))
