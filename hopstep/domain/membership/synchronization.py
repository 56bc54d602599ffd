"""Anti-entropy: digests of buckets, then states, then the missing values.

Gossip loses changes with datagrams. Two members compare one digest for each bucket of names;
where they differ, states and entry digests are sent, and what turns out to be missing is
pulled. Each side pulls only, so an exchange never overwrites anything newer.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from hopstep.domain.entry_table import EntryTable
from hopstep.domain.membership.gossip import Change, SizeOf
from hopstep.domain.membership.table import (
    BUCKETS,
    MemberTable,
    bucket_of,
    is_live,
    record_digest,
)
from hopstep.domain.peer_message import (
    MemberRecord,
    MemberStatus,
    PullRequest,
    SyncRequest,
    SyncSummary,
)

NAMES_IN_PULL = 24
"""Names in one pull: about as many as one datagram of answers can hold."""


class Synchronizer:
    """Makes and answers the three steps over a member table and an entry table."""

    def __init__(self, table: MemberTable, entries: EntryTable, size_of: SizeOf) -> None:
        """Work over the given tables.

        Args:
            table: Members but this node.
            entries: Entries of all owners.
            size_of: Encoded bytes of a change.
        """
        self._table = table
        self._entries = entries
        self._size_of = size_of

    def digests(self, own: MemberRecord) -> tuple[int, ...]:
        """Return one digest for each bucket, this node's own record included."""
        digests = self._table.digests()
        digests[bucket_of(own.name)] ^= record_digest(own)
        for owner in self._entries.owners():
            digests[bucket_of(owner)] ^= self._entries.digest(owner)
        return tuple(digests)

    def request(self, own: MemberRecord, generator: random.Random) -> SyncRequest:
        """Return the first step, with a random place to start the answer at."""
        return SyncRequest(self.digests(own), generator.randrange(BUCKETS))

    def summarize(self, request: SyncRequest, own: MemberRecord, room: int) -> SyncSummary | None:
        """Return the states in differing buckets that fit, or None when nothing differs."""
        if len(request.digests) != BUCKETS:
            return None
        ours = self.digests(own)
        statuses: list[MemberStatus] = []
        for offset in range(BUCKETS):
            bucket = (request.first_bucket + offset) % BUCKETS
            if request.digests[bucket] == ours[bucket]:
                continue
            for status in self._bucket_statuses(bucket, own):
                room -= self._size_of(status)
                if room < 0:
                    return SyncSummary(tuple(statuses))
                statuses.append(status)
        return SyncSummary(tuple(statuses)) if statuses else None

    def missing(self, summary: SyncSummary, own: MemberRecord) -> PullRequest | None:
        """Return what to pull after merging a summary, or None when nothing is missing."""
        members: list[str] = []
        owners: list[str] = []
        for status in summary.statuses:
            if status.name == own.name or not is_live(status.state):
                continue
            if self._table.lacks_record(status):
                members.append(status.name)
            if status.entries_digest not in (0, self._entries.digest(status.name)):
                owners.append(status.name)
        if not members and not owners:
            return None
        return PullRequest(
            tuple(members[:NAMES_IN_PULL]), tuple(owners[: NAMES_IN_PULL - len(members)])
        )

    def answer(
        self, request: PullRequest, own: MemberRecord, audience: int, room: int
    ) -> list[Change]:
        """Return the pulled records and entries that fit into one datagram."""
        fitting: list[Change] = []
        for change in self._pulled(request, own, audience):
            room -= self._size_of(change)
            if room < 0:
                break
            fitting.append(change)
        return fitting

    def _pulled(self, request: PullRequest, own: MemberRecord, audience: int) -> Iterable[Change]:
        for name in request.members:
            member = self._table.get(name)
            if name == own.name:
                yield own
            elif member is not None:
                yield member.record
        for owner in request.owners:
            for entry in self._entries.owned_by(owner):
                if not entry.audience or audience in entry.audience:
                    yield entry

    def _bucket_statuses(self, bucket: int, own: MemberRecord) -> list[MemberStatus]:
        records = [member.record for member in self._table.in_bucket(bucket)]
        if bucket_of(own.name) == bucket:
            records.append(own)
        return [self._status(record) for record in records]

    def _status(self, record: MemberRecord) -> MemberStatus:
        return MemberStatus(
            record.name,
            record.incarnation,
            record.version,
            record.state,
            self._entries.digest(record.name),
        )
