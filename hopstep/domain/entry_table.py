"""Replicated table of small typed entries; the highest (owner incarnation, version) wins.

Each entry belongs to the member that published it, so two writers never compete for one entry, and
the entries of a member that died or restarted are dropped with its incarnation.
"""

from __future__ import annotations

from collections.abc import Iterator

from hopstep.domain.peer_message import Entry, EntryKind
from hopstep.domain.rendezvous import hash_name

_DIGEST_MASK = 0xFFFF_FFFF

CAPACITY = {
    EntryKind.LEAVING_BACK_END: 16_384,
    EntryKind.ENGINE_FACTS: 32_768,
    EntryKind.HOT_PREFIX: 4_096,
    EntryKind.CRASHES: 4_096,
}
"""Entries that are held of each kind; further ones are dropped, as all kinds are only hints."""


class EntryTable:
    """Entries of every owner, bounded in number."""

    def __init__(self, own_labels_digest: int) -> None:
        """Start empty.

        Args:
            own_labels_digest: Entries for another audience are never stored.
        """
        self._own_digest = own_labels_digest
        self._owners: dict[str, dict[tuple[EntryKind, str], Entry]] = {}
        self._digests: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._counts = dict.fromkeys(EntryKind, 0)

    def merge(self, entry: Entry) -> bool:
        """Store an entry if it is newer than the known one; return whether it was."""
        if entry.audience and self._own_digest not in entry.audience:
            return False
        known_incarnation = self._incarnations.get(entry.owner, -1)
        if entry.incarnation < known_incarnation:
            return False
        if entry.incarnation > known_incarnation:
            self.drop_owner(entry.owner)
            self._incarnations[entry.owner] = entry.incarnation
        owned = self._owners.setdefault(entry.owner, {})
        known = owned.get((entry.kind, entry.subject))
        if known is not None and known.version >= entry.version:
            return False
        if known is None and self._counts[entry.kind] >= CAPACITY[entry.kind]:
            return False
        self._store(owned, entry, known)
        return True

    def drop_owner(self, owner: str) -> None:
        """Drop the entries of a member that died, left or restarted."""
        for entry in self._owners.pop(owner, {}).values():
            self._counts[entry.kind] -= 1
        self._digests.pop(owner, None)
        self._incarnations.pop(owner, None)

    def owned_by(self, owner: str) -> list[Entry]:
        """Return the entries of one owner, withdrawn ones included, newest first."""
        owned = self._owners.get(owner, {}).values()
        return sorted(owned, key=lambda entry: -entry.version)

    def owners(self) -> list[str]:
        """Return the members that have entries."""
        return list(self._owners)

    def digest(self, owner: str) -> int:
        """Return the digest of an owner's unrestricted entries; 0 for none."""
        return self._digests.get(owner, 0)

    def entries(self, kind: EntryKind) -> Iterator[Entry]:
        """Iterate over the entries of a kind that aren't withdrawn."""
        for owned in self._owners.values():
            for entry in owned.values():
                if entry.kind is kind and entry.value is not None:
                    yield entry

    def _store(
        self, owned: dict[tuple[EntryKind, str], Entry], entry: Entry, known: Entry | None
    ) -> None:
        digest = self._digests.get(entry.owner, 0) ^ _entry_digest(entry)
        if known is None:
            self._counts[entry.kind] += 1
        else:
            digest ^= _entry_digest(known)
        owned[entry.kind, entry.subject] = entry
        self._digests[entry.owner] = digest


def _entry_digest(entry: Entry) -> int:
    """Return the digest of an entry; restricted ones are hints outside anti-entropy."""
    if entry.audience:
        return 0
    return hash_name(f"{entry.owner} {entry.incarnation} {entry.version}") & _DIGEST_MASK
