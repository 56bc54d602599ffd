"""When a node may take, keep and use the lease of the weights rollout.

A node takes the lease by creating its key where there is none. The key's version is the fencing
token. A holder counts the lease from when it sent the grant or renewal call, and a new holder waits
for one lease duration before its first order.

A store that is restored from a backup may have lost the key, or show that of an earlier holder,
whose lease name may by then belong to another node. So a key is valid only in the era that it
names, and a node that takes the lease soon after a restore waits for one more lease duration: the
last holder before the restore may not know of it and may have renewed right before.

All times are of the steady clock, in seconds.
"""

from __future__ import annotations

import msgspec

from hopstep.domain.store_position import ABSENT, StoreLease, StorePosition

ERA_BITS = 40
"""Bits of a fencing token below the era: enough for 1,000 changes a second over 30 years."""

NEVER = -float("inf")


class RolloutHolder(msgspec.Struct, frozen=True):
    """The holder of the rollout lease; value of its key.

    Attributes:
        name: Name of the node.
        address: ``ip:port`` of its datagrams; a machine that replaces another may have its name.
        lease: Name of the lease to which the key is bound.
        era: Era of that lease; None when an older version wrote the key.
    """

    name: str
    address: str
    lease: str
    era: int | None = None


class RolloutKey(msgspec.Struct, frozen=True):
    """The key of the rollout lease as the store shows it.

    Attributes:
        version: Its version, in the era in which it was seen.
        holder: The holder that it names; None for a value that can't be decoded.
    """

    version: StorePosition
    holder: RolloutHolder | None

    @property
    def is_void(self) -> bool:
        """Whether it was written in another era than the one in which it was seen."""
        holder = self.holder
        return holder is not None and holder.era is not None and holder.era != self.version.era


class Claim(msgspec.Struct, frozen=True):
    """The step by which a node may obtain the lease.

    Attributes:
        expected: Version of the key to overwrite; ``ABSENT`` to create it.
        resumed: The node's own earlier lease to renew; None to take a new one.
    """

    expected: StorePosition = ABSENT
    resumed: StoreLease | None = None


class RolloutLeaseState:
    """One node's state of the lease."""

    def __init__(self, name: str, address: str, lease_seconds: float) -> None:
        """Start without the lease.

        Args:
            name: Name of the node.
            address: ``ip:port`` of its datagrams.
            lease_seconds: Duration of the lease.
        """
        self.lease: StoreLease | None = None
        self.version = ABSENT
        self.valid_until = NEVER
        self._name = name
        self._address = address
        self._lease_seconds = lease_seconds
        self._holding = False
        self._era: int | None = None
        self._order_from = NEVER
        self._restored_at = NEVER
        self._refused = ABSENT

    @property
    def is_held(self) -> bool:
        """Whether the node holds the lease as far as it knows."""
        return self._holding

    def holder(self, lease: StoreLease) -> RolloutHolder:
        """Return the key's value that names this node as the holder."""
        return RolloutHolder(self._name, self._address, lease.name, lease.era)

    def note_era(self, era: int, now: float) -> None:
        """Note the era of an answer of the store, or of another node's report.

        A lease of an earlier era is lost.
        """
        if self._era is not None and era <= self._era:
            return
        if self._era is not None:
            self.suspect_restore(now)
        self._era = era

    def suspect_restore(self, now: float) -> None:
        """Note that the store was restored by now, and that some nodes may not know it."""
        self._restored_at = max(self._restored_at, now)

    def claim(self, key: RolloutKey | None) -> Claim | None:
        """Return the step to obtain the lease; None while another node holds it.

        Args:
            key: The key as the store showed it last; None when there is none.
        """
        if key is None:
            return Claim()
        if key.is_void:
            return Claim(key.version)
        if key.holder is None or key.version <= self._refused:
            return None
        lease = StoreLease(key.holder.lease, key.version.era)
        if key.holder != self.holder(lease):
            return None
        return Claim(key.version, lease)

    def begin(self, lease: StoreLease, version: StorePosition, sent_at: float, now: float) -> None:
        """Note that the node holds the lease.

        Args:
            lease: The lease.
            version: Version of its key.
            sent_at: When the grant or renewal call was sent.
            now: Steady clock.
        """
        self.note_era(lease.era, now)
        if version != self.version:
            another_until = self._restored_at + self._lease_seconds
            self._order_from = max(now, another_until) + self._lease_seconds
        self.lease = lease
        self.version = version
        self.valid_until = sent_at + self._lease_seconds
        self._holding = True

    def renew(self, sent_at: float) -> None:
        """Note that the lease was renewed by a call sent at ``sent_at``."""
        self.valid_until = max(self.valid_until, sent_at + self._lease_seconds)

    def end(self) -> None:
        """Stop holding the lease; it may still be valid in the store."""
        self._holding = False

    def give_up(self) -> None:
        """Abandon the lease: an engine has seen a higher fencing token."""
        self.valid_until = NEVER
        self._refused = self.version
        self._holding = False

    def may_order(self, now: float, reserve_seconds: float) -> bool:
        """Return whether an order may be sent.

        Args:
            now: Steady clock.
            reserve_seconds: The lease must be valid for at least this much longer.
        """
        if not self._holding or self.lease is None or self.lease.era != self._era:
            return False
        return self._order_from <= now <= self.valid_until - reserve_seconds


def fencing_token(version: StorePosition) -> int:
    """Return the number that engines compare; it rises with the version, also across restores."""
    return version.era << ERA_BITS | version.revision
