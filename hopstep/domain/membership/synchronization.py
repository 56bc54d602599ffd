"""Anti-entropy: digests of buckets, then states, then the missing values.

Gossip loses changes when datagrams are lost. Two members compare one digest for each bucket of
names; where they differ, states and entry digests are sent, and missing records and entries are
pulled. Each side only pulls, so an exchange never overwrites anything newer.
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
"""Maximum number of names in one pull: about as many as one datagram of answers can hold."""


class Synchronizer:
    """Creates and answers the messages of an exchange over a member table and an entry table."""

    def __init__(self, table: MemberTable, entries: EntryTable, size_of: SizeOf) -> None:
        """Work over the given tables.

        Args:
            table: All members except this node.
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
        """Return the first message, with a random bucket for the answer to start at."""
        return SyncRequest(self.digests(own), generator.randrange(BUCKETS))

    def summarize(
        self, request: SyncRequest, own: MemberRecord, free_bytes: int
    ) -> SyncSummary | None:
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
                free_bytes -= self._size_of(status)
                if free_bytes < 0:
                    return SyncSummary(tuple(statuses))
                statuses.append(status)
        return SyncSummary(tuple(statuses)) if statuses else None

    def missing(self, summary: SyncSummary, own: MemberRecord) -> PullRequest | None:
        """Return the pull request after merging a summary, or None when nothing is missing."""
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
        self, request: PullRequest, own: MemberRecord, audience: int, free_bytes: int
    ) -> list[Change]:
        """Return the pulled records and entries that fit into one datagram."""
        fitting: list[Change] = []
        for change in self._pulled(request, own, audience):
            free_bytes -= self._size_of(change)
            if free_bytes < 0:
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
