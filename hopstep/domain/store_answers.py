"""Tells the store's answers to a call from answers to earlier calls on the same connection.

The store's answers don't name their call, so one that is sent again late could be taken for the
answer to a later call. Its contents contradict that call in most cases: the store's revision rises
with every change, and keys are those that were asked for.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from hopstep.domain.store_position import NO_POSITION, StoreLease, StorePosition

MAX_LEASES = 64
"""Granted leases that are remembered."""


class AnswerHistory:
    """What the store has answered so far."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._latest = NO_POSITION
        self._granted: deque[StoreLease] = deque(maxlen=MAX_LEASES)

    @property
    def latest(self) -> StorePosition:
        """Latest position that an answer has named."""
        return self._latest

    def note(self, position: StorePosition) -> None:
        """Note a position that an answer names."""
        self._latest = max(self._latest, position)

    def fits(self, position: StorePosition, asked_at: StorePosition, is_change: bool) -> bool:
        """Return whether an answer may be to a call, by the position that it names; note that.

        Args:
            position: The position.
            asked_at: Latest position when the call was sent. In the same era the answer's isn't
                earlier, and that of a change is later.
            is_change: Whether the call changes the store.
        """
        oldest = asked_at.revision + (1 if is_change else 0)
        if position.era != asked_at.era or position.revision >= oldest:
            self.note(position)
            return True
        # A store that goes back without a new era is followed after one rejected answer.
        self._latest = position
        return False

    def is_new(self, lease: StoreLease) -> bool:
        """Return whether a lease wasn't granted before, and note that it is now."""
        if lease in self._granted:
            return False
        self._granted.append(lease)
        return True


def are_within(keys: Iterable[str], prefix: str, after_key: str = "") -> bool:
    """Return whether all keys have a prefix and sort after a key."""
    return all(key.startswith(prefix) and key > after_key for key in keys)


def is_conflict(found: Mapping[str, int], expected: Mapping[str, int]) -> bool:
    """Return whether revisions that a refusal names may be the reason for it.

    Args:
        found: Revisions of keys; a refusal may name fewer keys than were expected.
        expected: Revisions that the write expected.
    """
    return found.keys() <= expected.keys() and found != expected
