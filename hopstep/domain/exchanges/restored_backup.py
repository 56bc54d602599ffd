"""From when on answers of a restored store confirm that no key was taken away unnoticed.

The copy proves nothing of what was written after it was made: a configuration that took a key away
may be gone, and nobody may have read it. Operators write what is gone again. They are done when the
configuration is seen written in the new era, or else when the time that they may take is over.

All times are of the steady clock, in seconds.
"""

from __future__ import annotations

from hopstep.domain.exchanges.store_contact import RELISTING_SECONDS
from hopstep.domain.store_position import NO_POSITION, StorePosition

SETTLED = -float("inf")


class RestoredBackup:
    """What a node knows of the copy from which the store came back last."""

    def __init__(self) -> None:
        """Know of no restore."""
        self._position = NO_POSITION
        self._settled_at = SETTLED
        self._lacks_configuration = False

    def enter(self, position: StorePosition, now: float) -> None:
        """Note that the store has been restored.

        Args:
            position: First one seen in the new era; revisions up to it may be those of the backup.
            now: When that was seen.
        """
        self._position = position
        self._settled_at = now + RELISTING_SECONDS
        self._lacks_configuration = False

    def note_configuration(
        self, position: StorePosition, version: int, known_version: int, known_at: StorePosition
    ) -> None:
        """Take a configuration as the store holds it.

        Args:
            position: Its place.
            version: Its version.
            known_version: Version of the newest one known; 0 for none.
            known_at: Place at which that was seen first; ``NO_POSITION`` for none.
        """
        if position.era != self._position.era:
            return
        if version < known_version:
            self._lacks_configuration = True
            return
        same_again = version == known_version and position.revision != known_at.revision
        written_since = position > self._position
        if self._lacks_configuration or written_since or (same_again and known_at != NO_POSITION):
            self._settled_at = SETTLED

    def may_hold(self, position: StorePosition) -> bool:
        """Return whether what is shown at a place may be of the copy, not written since."""
        return position.era == self._position.era and position <= self._position

    def confirms(self, sent_at: float) -> bool:
        """Return whether an answer confirms keys as of when its call was sent."""
        return sent_at >= self._settled_at

    def is_settling(self, now: float) -> bool:
        """Return whether operators may still have something to write again."""
        return now < self._settled_at
