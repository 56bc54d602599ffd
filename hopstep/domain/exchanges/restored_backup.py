"""From when on answers of a restored store confirm that no API key was revoked unnoticed.

A backup proves nothing about later writes: a configuration that revoked a key may be lost, and
possibly nobody has read it. Operators write lost entries again. They count as done when a
configuration written in the new era is seen, or when the time allowed for that is over.

All times are of the steady clock, in seconds.
"""

from __future__ import annotations

from hopstep.domain.exchanges.store_contact import RELISTING_SECONDS
from hopstep.domain.store_position import NO_POSITION, StorePosition

SETTLED = -float("inf")


class RestoredBackup:
    """What a node knows about the backup from which the store was restored last."""

    def __init__(self) -> None:
        """Start without a known restore."""
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
        """Note a configuration that the store holds.

        Args:
            position: Its store position.
            version: Its version.
            known_version: Version of the newest known configuration; 0 for none.
            known_at: Position at which that one was first seen; ``NO_POSITION`` for none.
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
        """Return whether an entry at a position may be of the backup, not written since."""
        return position.era == self._position.era and position <= self._position

    def confirms(self, sent_at: float) -> bool:
        """Return whether an answer confirms keys as of the time its call was sent."""
        return sent_at >= self._settled_at

    def is_settling(self, now: float) -> bool:
        """Return whether operators may still have to write lost entries again."""
        return now < self._settled_at
