"""Model of two nodes, a store that may be restored, and an engine, for the rollout lease.

Steps are small and atomic; passing time is a step of its own, so any order of steps is a possible
order of answers, writes, restores and pauses. A node sends an order whenever it may.
"""

import copy

import msgspec

from hopstep.domain.exchanges.rollout_lease_state import (
    RolloutHolder,
    RolloutKey,
    RolloutLeaseState,
    fencing_token,
)
from hopstep.domain.store_position import StoreLease, StorePosition

LEASE_SECONDS = 2.0
WAIT_SECONDS = 1.0
LONG_LEASE_SECONDS = 1_000.0
RESERVE_SECONDS = 0.1
NODES = ("a", "b")


class StoredKey(msgspec.Struct, frozen=True):
    """The key of the rollout lease in the store."""

    revision: int
    holder: RolloutHolder
    lease: int


class Store(msgspec.Struct, frozen=True):
    """The store: conditions compare revisions only; keys expire with their leases."""

    era: int = 1
    revision: int = 5
    key: StoredKey | None = None
    leases: tuple[tuple[int, float], ...] = ()
    next_lease: int = 1
    records: tuple[int, ...] = (1, 1)

    def grant(self, now, seconds=LEASE_SECONDS):
        leases = (*self.leases, (self.next_lease, now + seconds))
        return msgspec.structs.replace(self, leases=leases, next_lease=self.next_lease + 1)

    def keep(self, lease, now):
        """Return the store with a lease renewed; None when the lease doesn't exist."""
        if lease not in dict(self.leases):
            return None
        leases = tuple((n, now + LEASE_SECONDS if n == lease else at) for n, at in self.leases)
        return msgspec.structs.replace(self, leases=leases)

    def swap(self, expected_revision, holder):
        """Return the store with the key written; None if the condition fails or the lease ended."""
        found = self.key.revision if self.key is not None else 0
        if found != expected_revision or int(holder.lease) not in dict(self.leases):
            return None
        key = StoredKey(self.revision + 1, holder, int(holder.lease))
        return msgspec.structs.replace(self, revision=self.revision + 1, key=key)

    def expire(self, now):
        leases = tuple((n, at) for n, at in self.leases if at > now)
        store = msgspec.structs.replace(self, leases=leases)
        if self.key is None or self.key.lease in dict(leases):
            return store
        return msgspec.structs.replace(store, key=None, revision=self.revision + 1)

    def restored(self, era, now):
        leases = tuple((n, now + LEASE_SECONDS) for n, _ in self.leases)
        return msgspec.structs.replace(self, era=era, leases=leases)

    def recorded(self, node):
        records = list(self.records)
        records[NODES.index(node)] = self.era
        return msgspec.structs.replace(self, records=tuple(records))


class Pending(msgspec.Struct, frozen=True):
    """A write that was sent and has not reached the store."""

    expected_revision: int
    holder: RolloutHolder


class World:
    """One state of the model; ``step`` returns the next one."""

    def __init__(self):
        self.now = 0.0
        self.store = Store()
        self.backup = self.store
        self.lease_states = {node: RolloutLeaseState(node, "x", LEASE_SECONDS) for node in NODES}
        self.views = dict.fromkeys(NODES)
        self.cut = dict.fromkeys(NODES, False)
        self.pending = ()
        self.ordered_at = dict.fromkeys(NODES, -LEASE_SECONDS)
        self.token = (0, "")
        self.wrong = ""

    def actions(self):
        """Return the steps that are possible in this state."""
        steps = [("wait",), ("backup",), ("restore",)]
        if self.pending:
            steps.append(("land",))
        for node in NODES:
            steps += [("cut", node), ("restart", node)]
            if self.cut[node]:
                continue
            steps.append(("read", node))
            if self.lease_states[node].is_held:
                steps.append(("renew", node))
            elif self.views[node] is not None:
                steps += [("take", node), ("send", node)]
        return steps

    def step(self, action):
        """Return the state after a step."""
        world = copy.copy(self)
        world.lease_states = {
            node: copy.copy(lease_state) for node, lease_state in self.lease_states.items()
        }
        world.views, world.cut = dict(self.views), dict(self.cut)
        world.ordered_at = dict(self.ordered_at)
        getattr(world, f"_{action[0]}")(*action[1:])
        world._order()
        return world

    def _wait(self):
        self.now += WAIT_SECONDS
        self.store = self.store.expire(self.now)

    def _backup(self):
        self.backup = self.store

    def _restore(self):
        self.store = self.backup.restored(self.store.era + 1, self.now)

    def _land(self):
        for write in self.pending:
            self.store = self.store.swap(write.expected_revision, write.holder) or self.store
        self.pending = ()

    def _cut(self, node):
        self.cut[node] = not self.cut[node]

    def _restart(self, node):
        self.lease_states[node] = RolloutLeaseState(node, "x", LEASE_SECONDS)
        self.views[node] = None

    def _read(self, node):
        first = self.views[node] is None
        self.views[node] = self.store
        self.lease_states[node].note_era(self.store.era, self.now)
        if first and min(self.store.records) < self.store.era:
            self.lease_states[node].suspect_restore(self.now)
        self.store = self.store.recorded(node)

    def _claim(self, node):
        view = self.views[node]
        key = None
        if view.key is not None:
            key = RolloutKey(StorePosition(view.era, view.key.revision), view.key.holder)
        return self.lease_states[node].claim(key)

    def _take(self, node):
        claim, lease_state = self._claim(node), self.lease_states[node]
        if claim is None:
            return
        if claim.resumed is not None:
            kept = self.store.keep(int(claim.resumed.name), self.now)
            self.store = kept or self.store
            if kept is not None and self.store.era == claim.resumed.era:
                lease_state.begin(claim.resumed, claim.expected, self.now, self.now)
            return
        lease = self._grant()
        written = self.store.swap(claim.expected.revision, lease_state.holder(lease))
        if written is not None:
            self.store = written
            version = StorePosition(self.store.era, self.store.revision)
            if claim.expected.revision == 0 or claim.expected.era == self.store.era:
                lease_state.begin(lease, version, self.now, self.now)

    def _send(self, node):
        claim = self._claim(node)
        if claim is None or claim.resumed is not None:
            return
        holder = self.lease_states[node].holder(self._grant())
        self.pending = (*self.pending, Pending(claim.expected.revision, holder))

    def _grant(self):
        lease = StoreLease(str(self.store.next_lease), self.store.era)
        self.store = self.store.grant(self.now)
        return lease

    def _register(self, _node):
        self.store = self.store.grant(self.now, LONG_LEASE_SECONDS)

    def _renew(self, node):
        lease_state = self.lease_states[node]
        kept = self.store.keep(int(lease_state.lease.name), self.now)
        self.store = kept or self.store
        if kept is not None and self.store.era == lease_state.lease.era:
            lease_state.renew(self.now)
        else:
            lease_state.end()

    def _order(self):
        """Let every node order that may, and check that the orders are safe."""
        for node, lease_state in self.lease_states.items():
            if not lease_state.may_order(self.now, RESERVE_SECONDS):
                continue
            others = [at for other, at in self.ordered_at.items() if other != node]
            if self.now - max(others) < LEASE_SECONDS:
                self.wrong = "two nodes ordered within one lease duration"
            token = fencing_token(lease_state.version)
            if token < self.token[0] or (token == self.token[0] and node != self.token[1]):
                self.wrong = "a fencing token decreased or was used by two nodes"
            self.ordered_at[node] = self.now
            self.token = (token, node)

    def key(self):
        """Return a key that identifies this state independently of the time."""
        parts = [self.store, self.backup, self.pending, self.token]
        for node in NODES:
            lease_state = self.lease_states[node]
            times = (lease_state.valid_until, lease_state._order_from, lease_state._restored_at)
            since = tuple(max(-3.0 * LEASE_SECONDS, at - self.now) for at in times)
            ordered = max(-LEASE_SECONDS, self.ordered_at[node] - self.now)
            parts += [
                lease_state.lease,
                lease_state.version,
                lease_state._holding,
                lease_state._era,
                since,
                ordered,
            ]
            parts += [self.views[node], self.cut[node]]
        return tuple(_relative(part, self.now) for part in parts)


def _relative(part, now):
    if isinstance(part, Store):
        leases = tuple((number, max(0.0, at - now)) for number, at in part.leases)
        return msgspec.structs.replace(part, leases=leases)
    return part
