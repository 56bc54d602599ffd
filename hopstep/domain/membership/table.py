"""Table of the other members at one node, merged by incarnation, version and state."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from hopstep.domain.peer_message import LIVE_STATES, MemberRecord, MemberState, MemberStatus
from hopstep.domain.rendezvous import hash_name

BUCKETS = 32
"""Number of buckets of member names in an anti-entropy digest."""

DIGEST_MASK = 0xFFFF_FFFF
"""Digests are 32 bits wide: a missed difference is found in the next state of the bucket."""

_RANK = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 2,
}


def precedence(incarnation: int, version: int, state: MemberState) -> tuple[int, int, int]:
    """Return the key by which one claim about a member takes precedence over another."""
    return incarnation, version, _RANK[state]


def bucket_of(name: str) -> int:
    """Return the digest bucket of a member's name."""
    return hash_name(name) % BUCKETS


def is_live(state: MemberState) -> bool:
    """Return whether a member in this state still answers or may do so."""
    return state in LIVE_STATES


class Member:
    """One member in this node's table.

    Attributes:
        record: Latest merged record.
        changed_at: When its state last changed.
        last_received_at: When its current incarnation's last message was received.
        bucket: Digest bucket of its name.
        planned: Whether it announced its stop in this incarnation.
    """

    __slots__ = ("bucket", "changed_at", "last_received_at", "planned", "record")

    def __init__(self, record: MemberRecord, now: float) -> None:
        """Start with a first record."""
        self.record = record
        self.changed_at = now
        self.last_received_at = float("-inf")
        self.bucket = bucket_of(record.name)
        self.planned = record.state is MemberState.LEAVING


class MemberTable:
    """All known members except this node itself."""

    def __init__(self) -> None:
        """Start empty."""
        self._members: dict[str, Member] = {}
        self._live_names: list[str] | None = None
        self._digests = [0] * BUCKETS
        self.version = 0

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members, dead ones included."""
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        """Return a member, or None when its name isn't in the table."""
        return self._members.get(name)

    def live_names(self) -> list[str]:
        """Return the sorted names of members that may answer."""
        if self._live_names is None:
            self._live_names = sorted(
                name for name, member in self._members.items() if is_live(member.record.state)
            )
        return self._live_names

    def live_count(self) -> int:
        """Return the number of live members, this node included."""
        return len(self.live_names()) + 1

    def dead(self) -> list[Member]:
        """Return the members marked dead, without those that left."""
        return [member for member in self if member.record.state is MemberState.DEAD]

    def digests(self) -> list[int]:
        """Return one digest for each bucket over the live members."""
        return list(self._digests)

    def in_bucket(self, bucket: int) -> list[Member]:
        """Return the members of a digest bucket, dead ones included."""
        return [member for member in self if member.bucket == bucket]

    def merge_record(self, record: MemberRecord, now: float) -> bool:
        """Store a whole record if it supersedes the current one; return whether it did."""
        member = self._members.get(record.name)
        if member is None:
            if not is_live(record.state):
                return False
            self._replace(Member(record, now), None)
            return True
        if not self._supersedes(record.incarnation, record.version, record.state, member):
            return False
        self._update(member, record, now)
        return True

    def merge_status(self, status: MemberStatus, now: float) -> bool:
        """Store a state if it supersedes the current one; return whether it did.

        A state of an unknown member or incarnation changes nothing: the whole record must be
        pulled first (``lacks_record``).
        """
        member = self._members.get(status.name)
        if member is None or self.lacks_record(status):
            return False
        if not self._supersedes(status.incarnation, status.version, status.state, member):
            return False
        record = msgspec.structs.replace(
            member.record,
            incarnation=status.incarnation,
            version=status.version,
            state=status.state,
        )
        self._update(member, record, now)
        return True

    def lacks_record(self, status: MemberStatus) -> bool:
        """Return whether a live status refers to a record that this node doesn't have."""
        if not is_live(status.state):
            return False
        member = self._members.get(status.name)
        return member is None or member.record.incarnation < status.incarnation

    def note_revision(self, name: str, revision: int) -> None:
        """Store the configuration revision that a member reported."""
        member = self._members.get(name)
        if member is not None and member.record.configuration_revision < revision:
            member.record = msgspec.structs.replace(member.record, configuration_revision=revision)

    def forget(self, name: str) -> None:
        """Drop a member."""
        member = self._members.pop(name)
        self._toggle_digest(member.record)
        self._changed()

    def _supersedes(
        self, incarnation: int, version: int, state: MemberState, member: Member
    ) -> bool:
        current = member.record
        return precedence(incarnation, version, state) > precedence(
            current.incarnation, current.version, current.state
        )

    def _update(self, member: Member, record: MemberRecord, now: float) -> None:
        previous = member.record
        if record.incarnation != previous.incarnation:
            member.last_received_at = float("-inf")
            member.planned = False
        if record.state in (MemberState.LEAVING, MemberState.LEFT):
            member.planned = True
        if record.state is not previous.state or record.incarnation != previous.incarnation:
            member.changed_at = now
        revision = max(record.configuration_revision, previous.configuration_revision)
        member.record = msgspec.structs.replace(record, configuration_revision=revision)
        self._replace(member, previous)

    def _replace(self, member: Member, previous: MemberRecord | None) -> None:
        if previous is not None:
            self._toggle_digest(previous)
        self._toggle_digest(member.record)
        self._members[member.record.name] = member
        self._changed()

    def _toggle_digest(self, record: MemberRecord) -> None:
        """Add a live record to its bucket's digest, or remove it if it was added before."""
        if is_live(record.state):
            self._digests[bucket_of(record.name)] ^= record_digest(record)

    def _changed(self) -> None:
        self._live_names = None
        self.version += 1


def record_digest(record: MemberRecord) -> int:
    """Return the digest of a live record; suspicion isn't included, as it is temporary."""
    return hash_name(f"{record.name} {record.incarnation} {record.version}") & DIGEST_MASK
