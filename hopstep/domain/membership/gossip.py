"""Changes waiting to be piggybacked, each sent a bounded number of times."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import msgspec

from hopstep.domain.peer_message import Entry, EntryKind, Gossip, MemberRecord, MemberStatus

Change = MemberStatus | MemberRecord | Entry
SizeOf = Callable[[msgspec.Struct], int]


class Priority(enum.IntEnum):
    """Order in which waiting changes are sent."""

    MEMBERSHIP = 0
    LEAVING_BACK_END = 1
    CRASHES = 2
    ENGINE_FACTS = 3
    HOT_PREFIX = 4


_ENTRY_PRIORITY = {
    EntryKind.LEAVING_BACK_END: Priority.LEAVING_BACK_END,
    EntryKind.ENGINE_FACTS: Priority.ENGINE_FACTS,
    EntryKind.HOT_PREFIX: Priority.HOT_PREFIX,
    EntryKind.CRASHES: Priority.CRASHES,
}


def priority_of(change: Change) -> Priority:
    """Return the priority under which a change is sent."""
    if isinstance(change, Entry):
        return _ENTRY_PRIORITY[change.kind]
    return Priority.MEMBERSHIP


class _Waiting(msgspec.Struct):
    """A change with the number of times that it was sent."""

    change: Change
    size: int
    priority: Priority
    sent: int = 0


class GossipQueue:
    """Waiting changes; a newer change of the same thing replaces an older one."""

    def __init__(self, size_of: SizeOf) -> None:
        """Start empty.

        Args:
            size_of: Encoded bytes of a change.
        """
        self._size_of = size_of
        self._waiting: dict[tuple[object, ...], _Waiting] = {}
        self._order: list[_Waiting] | None = None

    def __len__(self) -> int:
        """Return the number of waiting changes."""
        return len(self._waiting)

    def put(self, change: Change) -> None:
        """Queue a change, with its number of sends at 0."""
        waiting = _Waiting(change, self._size_of(change), priority_of(change))
        self._waiting[_key(change)] = waiting
        self._order = None

    def take(self, free_bytes: int, limit: int, audience: int, *, membership_only: bool) -> Gossip:
        """Return the changes to carry in one message.

        Args:
            free_bytes: Bytes that they may take.
            limit: Number of sends after which a change is dropped.
            audience: Labels digest of the receiver; restricted entries need a match.
            membership_only: Send only membership changes; all others go on waiting.
        """
        if not self._waiting:
            return Gossip()
        chosen: list[_Waiting] = []
        for waiting in self._sorted():
            if membership_only and waiting.priority is not Priority.MEMBERSHIP:
                break
            if waiting.size <= free_bytes and _admits(waiting.change, audience):
                chosen.append(waiting)
                free_bytes -= waiting.size
        self._count(chosen, limit)
        return pack(waiting.change for waiting in chosen)

    def _sorted(self) -> list[_Waiting]:
        """Return the waiting changes, most urgent and least often sent first."""
        if self._order is None:
            self._order = sorted(
                self._waiting.values(), key=lambda waiting: (waiting.priority, waiting.sent)
            )
        return self._order

    def _count(self, chosen: list[_Waiting], limit: int) -> None:
        for waiting in chosen:
            waiting.sent += 1
            if waiting.sent >= limit:
                del self._waiting[_key(waiting.change)]
        if chosen:
            self._order = None


def pack(changes: Iterable[Change]) -> Gossip:
    """Return changes as gossip, grouped by their types."""
    statuses: list[MemberStatus] = []
    members: list[MemberRecord] = []
    entries: list[Entry] = []
    for change in changes:
        if isinstance(change, MemberStatus):
            statuses.append(change)
        elif isinstance(change, MemberRecord):
            members.append(change)
        else:
            entries.append(change)
    return Gossip(statuses=tuple(statuses), members=tuple(members), entries=tuple(entries))


def _key(change: Change) -> tuple[object, ...]:
    if isinstance(change, Entry):
        return change.owner, change.kind, change.subject
    return (change.name,)


def _admits(change: Change, audience: int) -> bool:
    if not isinstance(change, Entry) or not change.audience:
        return True
    return audience in change.audience
