"""State of one member, and the merging of other members' claims into it."""

from __future__ import annotations

import msgspec

from hopstep.domain.entry_table import EntryTable
from hopstep.domain.membership.actions import EntryChanged, MemberChanged, Refuted
from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.gossip import Change, SizeOf
from hopstep.domain.membership.outbox import Outbox
from hopstep.domain.membership.table import MemberTable, is_live, precedence
from hopstep.domain.peer_message import (
    Entry,
    EntryKind,
    EntryValue,
    MemberRecord,
    MemberState,
    MemberStatus,
)

Claim = MemberRecord | MemberStatus


class MembershipState:
    """This member's own record, the table of others, entries and outgoing changes."""

    def __init__(
        self, own: MemberRecord, config: MembershipConfig, size_of: SizeOf, now: float
    ) -> None:
        """Start without any other member.

        Args:
            own: Own first record.
            config: Times and bounds.
            size_of: Encoded bytes of a change or body.
            now: Current time in seconds.
        """
        self.own = own
        self.config = config
        self.table = MemberTable()
        self.entries = EntryTable(own.labels_digest)
        self.outbox = Outbox(config, size_of, now)
        self._entry_version = 0
        self.outbox.queue.put(own)

    def merge_claim(self, claim: Claim, now: float, *, spread: bool) -> bool:
        """Merge a peer's claim about a member; return whether anything changed.

        Args:
            claim: Record or state.
            now: Current time in seconds.
            spread: Whether to pass a change on; false for values that were pulled.
        """
        if claim.name == self.own.name:
            return self._refute(claim)
        known = self.table.get(claim.name)
        previous = known.record if known else None
        if isinstance(claim, MemberRecord):
            merged = self.table.merge_record(claim, now)
        else:
            merged = self.table.merge_status(claim, now)
        if not merged:
            return False
        if spread:
            self.outbox.queue.put(_as_change(claim, previous))
        self._after_change(claim.name, previous)
        return True

    def assert_state(self, name: str, state: MemberState, now: float) -> None:
        """Set the state of another member over its latest record, and spread the claim."""
        member = self.table.get(name)
        if member is None:
            return
        record = member.record
        status = MemberStatus(name, record.incarnation, record.version, state)
        self.merge_claim(status, now, spread=True)

    def merge_entry(self, entry: Entry, *, spread: bool) -> bool:
        """Store an entry of a live owner if it is newer; return whether it was."""
        member = self.table.get(entry.owner)
        if member is None or not is_live(member.record.state):
            return False
        if member.record.incarnation != entry.incarnation:
            return False
        if not self.entries.merge(entry):
            return False
        if spread:
            self.outbox.queue.put(entry)
        self.outbox.add_event(EntryChanged(entry))
        return True

    def publish(
        self,
        kind: EntryKind,
        subject: str,
        value: EntryValue | None,
        audience: tuple[int, ...],
    ) -> Entry:
        """Create a new version of an own entry and spread it."""
        self._entry_version += 1
        entry = Entry(
            self.own.name,
            self.own.incarnation,
            self._entry_version,
            subject,
            value,
            kind,
            audience,
        )
        self.entries.merge(entry)
        self.outbox.queue.put(entry)
        return entry

    def change_own(self, state: MemberState) -> None:
        """Announce another state of this member itself."""
        self._raise_own(self.own.incarnation, self.own.version + 1, state)

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision in force at this node."""
        self.own = msgspec.structs.replace(self.own, configuration_revision=revision)
        self.outbox.revision = revision

    def _refute(self, claim: Claim) -> bool:
        """Override a wrong claim about this member itself; return whether it was wrong."""
        own = self.own
        claimed = precedence(claim.incarnation, claim.version, claim.state)
        if claimed <= precedence(own.incarnation, own.version, own.state):
            self._spread_own_again(claim)
            return False
        if claim.incarnation > own.incarnation:
            # The clock went back during a restart: continue above the earlier incarnation.
            self._raise_own(claim.incarnation + 1, 0, own.state)
            self._republish()
        else:
            self._raise_own(own.incarnation, claim.version + 1, own.state)
        self.outbox.add_event(Refuted(self.own))
        return True

    def _spread_own_again(self, claim: Claim) -> None:
        """Spread the own record again when a peer still has an outdated one.

        All peers may have missed an earlier refutation, sent while this node was overloaded.
        """
        own = self.own
        if claim.incarnation != own.incarnation:
            self.outbox.queue.put(own)
        elif claim.version < own.version:
            self.outbox.queue.put(MemberStatus(own.name, own.incarnation, own.version, own.state))

    def _raise_own(self, incarnation: int, version: int, state: MemberState) -> None:
        restarted = incarnation != self.own.incarnation
        self.own = msgspec.structs.replace(
            self.own, incarnation=incarnation, version=version, state=state
        )
        status = MemberStatus(self.own.name, incarnation, version, state)
        self.outbox.queue.put(self.own if restarted else status)

    def _republish(self) -> None:
        """Publish all own entries again under a new incarnation."""
        entries = self.entries.owned_by(self.own.name)
        self.entries.drop_owner(self.own.name)
        for entry in reversed(entries):
            self.publish(entry.kind, entry.subject, entry.value, entry.audience)

    def _after_change(self, name: str, previous: MemberRecord | None) -> None:
        member = self.table.get(name)
        if member is None:
            return
        record = member.record
        restarted = previous is not None and previous.incarnation != record.incarnation
        if restarted or not is_live(record.state):
            self.entries.drop_owner(name)
        if previous is None or restarted or previous.state is not record.state:
            self.outbox.add_event(MemberChanged(record))


def _as_change(claim: Claim, previous: MemberRecord | None) -> Change:
    """Return the shortest change that carries a claim to peers."""
    if isinstance(claim, MemberStatus):
        return claim
    if previous is None or previous.incarnation != claim.incarnation:
        return claim
    return MemberStatus(claim.name, claim.incarnation, claim.version, claim.state)
