"""Two nodes, a store that may be restored, and an engine: all that the rollout's lease meets.

Steps are small and whole; what takes time is a step of its own, so that any order of steps is an
order in which answers, writes, restores and pauses may come. A node orders whenever it may.
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

LEASE = 2.0
WAIT = 1.0
LONG_LEASE = 1_000.0
RESERVE = 0.1
NODES = ("a", "b")


class StoredKey(msgspec.Struct, frozen=True):
    """The rollout's key in the store."""

    revision: int
    holder: RolloutHolder
    lease: int


class Store(msgspec.Struct, frozen=True):
    """The store: conditions look at revisions alone, leases lapse with their keys."""

    era: int = 1
    revision: int = 5
    key: StoredKey | None = None
    leases: tuple[tuple[int, float], ...] = ()
    next_lease: int = 1
    records: tuple[int, ...] = (1, 1)

    def grant(self, now, seconds=LEASE):
        leases = (*self.leases, (self.next_lease, now + seconds))
        return msgspec.structs.replace(self, leases=leases, next_lease=self.next_lease + 1)

    def keep(self, lease, now):
        """Renew a lease; None when there is none of that number."""
        if lease not in dict(self.leases):
            return None
        leases = tuple((n, now + LEASE if n == lease else at) for n, at in self.leases)
        return msgspec.structs.replace(self, leases=leases)

    def swap(self, expected_revision, holder):
        """Write the key; None when the condition doesn't hold, or the lease is over."""
        found = self.key.revision if self.key is not None else 0
        if found != expected_revision or int(holder.lease) not in dict(self.leases):
            return None
        key = StoredKey(self.revision + 1, holder, int(holder.lease))
        return msgspec.structs.replace(self, revision=self.revision + 1, key=key)

    def lapse(self, now):
        leases = tuple((n, at) for n, at in self.leases if at > now)
        store = msgspec.structs.replace(self, leases=leases)
        if self.key is None or self.key.lease in dict(leases):
            return store
        return msgspec.structs.replace(store, key=None, revision=self.revision + 1)

    def restored(self, era, now):
        leases = tuple((n, now + LEASE) for n, _ in self.leases)
        return msgspec.structs.replace(self, era=era, leases=leases)

    def recorded(self, node):
        records = list(self.records)
        records[NODES.index(node)] = self.era
        return msgspec.structs.replace(self, records=tuple(records))


class Pending(msgspec.Struct, frozen=True):
    """A write that was sent and not answered."""

    expected_revision: int
    holder: RolloutHolder


class World:
    """One state; ``step`` makes the next one of it."""

    def __init__(self):
        self.now = 0.0
        self.store = Store()
        self.kept = self.store
        self.tenures = {node: RolloutLeaseState(node, "x", LEASE) for node in NODES}
        self.views = dict.fromkeys(NODES)
        self.cut = dict.fromkeys(NODES, False)
        self.pending = ()
        self.ordered_at = dict.fromkeys(NODES, -LEASE)
        self.token = (0, "")
        self.wrong = ""

    def actions(self):
        """Return the steps that change something."""
        steps = [("wait",), ("copy",), ("restore",)]
        if self.pending:
            steps.append(("land",))
        for node in NODES:
            steps += [("cut", node), ("restart", node)]
            if self.cut[node]:
                continue
            steps.append(("read", node))
            if self.tenures[node].is_held:
                steps.append(("renew", node))
            elif self.views[node] is not None:
                steps += [("take", node), ("send", node)]
        return steps

    def step(self, action):
        """Return the state after a step."""
        world = copy.copy(self)
        world.tenures = {node: copy.copy(tenure) for node, tenure in self.tenures.items()}
        world.views, world.cut = dict(self.views), dict(self.cut)
        world.ordered_at = dict(self.ordered_at)
        getattr(world, f"_{action[0]}")(*action[1:])
        world._order()
        return world

    def _wait(self):
        self.now += WAIT
        self.store = self.store.lapse(self.now)

    def _copy(self):
        self.kept = self.store

    def _restore(self):
        self.store = self.kept.restored(self.store.era + 1, self.now)

    def _land(self):
        for write in self.pending:
            self.store = self.store.swap(write.expected_revision, write.holder) or self.store
        self.pending = ()

    def _cut(self, node):
        self.cut[node] = not self.cut[node]

    def _restart(self, node):
        self.tenures[node] = RolloutLeaseState(node, "x", LEASE)
        self.views[node] = None

    def _read(self, node):
        first = self.views[node] is None
        self.views[node] = self.store
        self.tenures[node].see_era(self.store.era, self.now)
        if first and min(self.store.records) < self.store.era:
            self.tenures[node].suspect_restore(self.now)
        self.store = self.store.recorded(node)

    def _claim(self, node):
        view = self.views[node]
        key = None
        if view.key is not None:
            key = RolloutKey(StorePosition(view.era, view.key.revision), view.key.holder)
        return self.tenures[node].claim(key)

    def _take(self, node):
        claim, tenure = self._claim(node), self.tenures[node]
        if claim is None:
            return
        if claim.resumed is not None:
            kept = self.store.keep(int(claim.resumed.name), self.now)
            self.store = kept or self.store
            if kept is not None and self.store.era == claim.resumed.era:
                tenure.begin(claim.resumed, claim.expected, self.now, self.now)
            return
        lease = self._grant()
        written = self.store.swap(claim.expected.revision, tenure.holder(lease))
        if written is not None:
            self.store = written
            version = StorePosition(self.store.era, self.store.revision)
            if claim.expected.revision == 0 or claim.expected.era == self.store.era:
                tenure.begin(lease, version, self.now, self.now)

    def _send(self, node):
        claim = self._claim(node)
        if claim is None or claim.resumed is not None:
            return
        holder = self.tenures[node].holder(self._grant())
        self.pending = (*self.pending, Pending(claim.expected.revision, holder))

    def _grant(self):
        lease = StoreLease(str(self.store.next_lease), self.store.era)
        self.store = self.store.grant(self.now)
        return lease

    def _register(self, _node):
        self.store = self.store.grant(self.now, LONG_LEASE)

    def _renew(self, node):
        tenure = self.tenures[node]
        kept = self.store.keep(int(tenure.lease.name), self.now)
        self.store = kept or self.store
        if kept is not None and self.store.era == tenure.lease.era:
            tenure.renew(self.now)
        else:
            tenure.end()

    def _order(self):
        """Let every node order that may, and look whether it should."""
        for node, tenure in self.tenures.items():
            if not tenure.may_order(self.now, RESERVE):
                continue
            others = [at for other, at in self.ordered_at.items() if other != node]
            if self.now - max(others) < LEASE:
                self.wrong = "two nodes ordered within one lease time"
            token = fencing_token(tenure.version)
            if token < self.token[0] or (token == self.token[0] and node != self.token[1]):
                self.wrong = "a token fell, or was that of another node"
            self.ordered_at[node] = self.now
            self.token = (token, node)

    def key(self):
        """Return what makes this state another one than others, whatever the time is."""
        parts = [self.store, self.kept, self.pending, self.token]
        for node in NODES:
            tenure = self.tenures[node]
            times = (tenure.valid_until, tenure._order_from, tenure._restored_at)
            since = tuple(max(-3.0 * LEASE, at - self.now) for at in times)
            ordered = max(-LEASE, self.ordered_at[node] - self.now)
            parts += [tenure.lease, tenure.version, tenure._holding, tenure._era, since, ordered]
            parts += [self.views[node], self.cut[node]]
        return tuple(_relative(part, self.now) for part in parts)


def _relative(part, now):
    if isinstance(part, Store):
        leases = tuple((number, max(0.0, at - now)) for number, at in part.leases)
        return msgspec.structs.replace(part, leases=leases)
    return part
