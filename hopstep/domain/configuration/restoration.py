"""What a router does about a store that was restored from a copy, by what it has in force itself.

The copy may lack accepted changes. A router that holds them writes them again, in their places. A
place may have been taken by another change since: then the store's sequence counts, and the loss is
told. A router never goes back by number, so the sequence is made longer than what any router has.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.log import AcceptedChange, Change, diff

RESTORER = "hopstep"
"""Author of changes that make up for a restore."""


class DisplacedChange(msgspec.Struct, frozen=True):
    """An accepted change that a restore has taken away, and whose place another one has.

    Attributes:
        revision: The place.
        lost: The change that is gone.
        taken_by: Identity of the change that has the place now.
        taken_by_author: Its author.
    """

    revision: int
    lost: Change
    taken_by: str
    taken_by_author: str

    def __str__(self) -> str:
        """Return both changes for a person."""
        taken = f"{self.taken_by} by {self.taken_by_author}" if self.taken_by else "none"
        lost = f"{self.lost.change_id} by {self.lost.author}"
        return f"revision {self.revision}: {lost}; in its place: {taken}"


class RestorationPlan(msgspec.Struct, frozen=True):
    """What to do.

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
    """Return how the store's sequence and a router come together.

    Args:
        own: What the router has in force.
        held: The last changes that led to it, in order, as far as the router has them.
        stored: The store's changes, in order, as far as they are kept.
        latest: What they lead to.
        era: Era of the store; names changes that make up for the restore.
    """
    displaced = _displaced(held, stored)
    if displaced:
        return RestorationPlan(_fill(latest, own.revision, era), displaced)
    if own.revision <= latest.revision:
        return RestorationPlan()
    missing = tuple(item for item in held if item.revision > latest.revision)
    if missing and missing[0].revision == latest.revision + 1:
        return RestorationPlan(missing)
    whole = _change(f"restored-{era}-{latest.revision + 1}", latest.revision, own, latest)
    rest = _fill(AcceptedConfiguration(whole.revision, own.configuration), own.revision, era)
    return RestorationPlan((whole, *rest))


def _displaced(
    held: Sequence[AcceptedChange], stored: Sequence[AcceptedChange]
) -> tuple[DisplacedChange, ...]:
    """Return the held changes whose places are others' in the store, and those built on them."""
    takers = {item.revision: item.change for item in stored}
    kept = {item.change.change_id for item in stored}
    found: list[DisplacedChange] = []
    for item in held:
        taker = takers.get(item.revision)
        taken = taker is not None and taker.change_id != item.change.change_id
        if (taken or found) and item.change.change_id not in kept:
            name, author = (taker.change_id, taker.author) if taker is not None else ("", "")
            found.append(DisplacedChange(item.revision, item.change, name, author))
    return tuple(found)


def _fill(latest: AcceptedConfiguration, beyond: int, era: int) -> tuple[AcceptedChange, ...]:
    """Return changes without edits that make a sequence longer than a revision."""
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
    return AcceptedChange(base + 1, Change(change_id, RESTORER, note, base, edits))
