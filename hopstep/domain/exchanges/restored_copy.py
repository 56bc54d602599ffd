"""From when on answers of a restored store confirm that no key was taken away unnoticed.

The copy proves nothing of what was written after it was made: a configuration that took a key away
may be gone, and nobody may have read it. Operators write what is gone again. They are done when the
configuration is seen written in the new era, or else when the time that they may take is over.

All times are of the steady clock, in seconds.
"""

from __future__ import annotations

from hopstep.domain.exchanges.store_contact import RESTATED_SECONDS
from hopstep.domain.store_place import NOWHERE, StorePlace

SETTLED = -float("inf")


class RestoredCopy:
    """What a node knows of the copy from which the store came back last."""

    def __init__(self) -> None:
        """Know of no restore."""
        self._place = NOWHERE
        self._settled_at = SETTLED
        self._lacks_configuration = False

    def enter(self, place: StorePlace, now: float) -> None:
        """Note that the store has been restored.

        Args:
            place: First place seen in the new era: what has a revision up to it may be the copy's.
            now: When that was seen.
        """
        self._place = place
        self._settled_at = now + RESTATED_SECONDS
        self._lacks_configuration = False

    def see_configuration(
        self, place: StorePlace, version: int, known_version: int, known_at: StorePlace
    ) -> None:
        """Take a configuration as the store holds it.

        Args:
            place: Its place.
            version: Its version.
            known_version: Version of the newest one known; 0 for none.
            known_at: Place at which that was seen first; ``NOWHERE`` for none.
        """
        if place.era != self._place.era:
            return
        if version < known_version:
            self._lacks_configuration = True
            return
        same_again = version == known_version and place.revision != known_at.revision
        written_since = place > self._place
        if self._lacks_configuration or written_since or (same_again and known_at != NOWHERE):
            self._settled_at = SETTLED

    def may_hold(self, place: StorePlace) -> bool:
        """Return whether what is shown at a place may be of the copy, not written since."""
        return place.era == self._place.era and place <= self._place

    def confirms(self, sent_at: float) -> bool:
        """Return whether an answer confirms keys as of when its call was sent."""
        return sent_at >= self._settled_at

    def is_settling(self, now: float) -> bool:
        """Return whether operators may still have something to write again."""
        return now < self._settled_at
