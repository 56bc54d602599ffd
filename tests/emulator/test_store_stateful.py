"""The in-memory store, fuzzed against a dictionary with faults between steps."""

import unittest

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time, virtual_clock
from hopstep.domain.store_position import ABSENT, UNSPECIFIED_ERA, StoreLease, StorePosition
from hopstep.exceptions import StoreConflictError, StoreError, StoreOutcomeUnknownError
from tests import fuzz_settings

KEYS = st.sampled_from(["a", "a/1", "a/2", "b/1"])
VALUES = st.binary(min_size=1, max_size=3)
UNKNOWN_LEASE = StoreLease("unknown", UNSPECIFIED_ERA)
LEASE_SECONDS = st.sampled_from([1.0, 5.0])


class StoreMachine(RuleBasedStateMachine):
    """Oracle with values and versions by key, leases by key, and each lease's expiry time."""

    shared_class = SharedStore

    def __init__(self):
        super().__init__()
        self.clock = virtual_clock()
        self.shared = self.shared_class()
        self.store = InMemoryStore(self.shared)
        self.values = {}
        self.lease_of_key = {}
        self.leases = {}
        self.revision = 0
        self.follower = {}
        self.followed = ABSENT
        self.now = 0.0
        self.run(self.start)

    async def start(self):
        self.now = trio.current_time()

    def run(self, call, *arguments):
        return run_in_virtual_time(call, *arguments, clock=self.clock)

    def order(self, **faults):
        self.shared.order_faults(FaultOrder(**faults))

    @rule(key=KEYS, value=VALUES, right=st.booleans(), data=st.data())
    def compare_and_swap(self, key, value, right, data):
        lease = data.draw(st.sampled_from([None, UNKNOWN_LEASE, *self.leases]))
        version = self.expected_version(key, right)
        valid = right and lease != UNKNOWN_LEASE
        if self.write(valid, self.store.compare_and_swap, key, version, value, lease):
            self.record(key, value, lease)

    @rule(key=KEYS, right=st.booleans())
    def delete(self, key, right):
        version = self.expected_version(key, right)
        if self.write(right, self.store.delete, key, version) and key in self.values:
            self.forget(key)

    def write(self, valid, call, *arguments):
        """Make a call; return whether it took effect. If unknown, the store's revision decides."""
        try:
            self.run(call, *arguments)
        except StoreOutcomeUnknownError:
            return self.shared.model.revision > self.revision
        except StoreConflictError:
            assert not valid
            return False
        assert valid
        return True

    @rule(prefix=st.sampled_from(["", "a", "a/", "c"]), after=KEYS, limit=st.integers(1, 3))
    def read(self, prefix, after, limit):
        expected = [key for key in sorted(self.values) if key.startswith(prefix) and key > after]
        page = self.run(self.store.list, prefix, after, limit)
        assert [(value.key, value.value, value.version) for value in page] == [
            (key, *self.values[key]) for key in expected[:limit]
        ]
        found = self.run(self.store.get, after)
        assert (found and (found.value, found.version)) == self.values.get(after)

    @rule()
    def follow(self):
        batch = self.run(self.store.watch, "", self.followed, 0.0)
        for value in batch.values:
            assert value.version > self.followed
            self.followed = value.version
            self.follower[value.key] = (value.value, value.version)
        self.followed = batch.position
        live = {key: entry for key, entry in self.follower.items() if entry[0]}
        assert live == self.values

    @rule(seconds=LEASE_SECONDS)
    def grant(self, seconds):
        lease = self.run(self.store.grant_lease, seconds)
        assert lease not in self.leases
        self.leases[lease] = (seconds, self.now + seconds)

    @precondition(lambda self: self.leases)
    @rule(data=st.data())
    def keep_alive(self, data):
        lease = data.draw(st.sampled_from(sorted(self.leases, key=lambda lease: lease.name)))
        self.run(self.store.keep_alive, lease)
        seconds, _ = self.leases[lease]
        self.leases[lease] = (seconds, self.now + seconds)

    @rule(seconds=st.sampled_from([0.5, 1.0, 4.0]))
    def wait(self, seconds):
        self.run(trio.sleep, seconds)
        self.run(self.start)
        due = [name for name, (_, expires_at) in self.leases.items() if expires_at <= self.now]
        self.expire(due)
        self.run(self.store.get, "a")

    @rule()
    def expire_all(self):
        self.order(lapse_leases=True)
        self.expire(list(self.leases))

    @rule(key=KEYS, effect=st.booleans())
    def lose_a_write(self, key, effect):
        self.order(**{"lost_answers" if effect else "lost_requests": 1})
        revision = self.revision
        self.compare_and_swap_unbound(key)
        assert (self.revision > revision) == effect
        self.order(lost_answers=0, lost_requests=0)

    def compare_and_swap_unbound(self, key):
        if self.write(True, self.store.compare_and_swap, key, self.version(key), b"lost"):
            self.record(key, b"lost", None)

    @rule(key=KEYS)
    def refuse_in_an_outage(self, key):
        self.order(outage=True)
        for call, arguments in (
            (self.store.get, (key,)),
            (self.store.compare_and_swap, (key, self.version(key), b"1")),
            (self.store.grant_lease, (1.0,)),
        ):
            try:
                self.run(call, *arguments)
            except StoreError as error:
                assert not isinstance(error, StoreOutcomeUnknownError | StoreConflictError)
            else:
                raise AssertionError("a call succeeded in an outage")
        self.order(outage=False)

    @invariant()
    def revision_is_counted(self):
        assert self.shared.model.revision == self.revision

    def expected_version(self, key, right):
        """Return the version of a key; or a wrong one, which is ``ABSENT`` for a present key."""
        version = self.version(key)
        wrong = StorePosition(UNSPECIFIED_ERA, 1) if version == ABSENT else ABSENT
        return version if right else wrong

    def version(self, key):
        return self.values[key][1] if key in self.values else ABSENT

    def record(self, key, value, lease):
        self.revision += 1
        self.values[key] = (value, StorePosition(UNSPECIFIED_ERA, self.revision))
        self.lease_of_key[key] = lease

    def forget(self, key):
        self.revision += 1
        del self.values[key]

    def expire(self, names):
        for name in names:
            del self.leases[name]
            for key in [key for key in self.values if self.lease_of_key[key] == name]:
                self.forget(key)


class UncheckedStore(SharedStore):
    """Deliberate fault: a write that expects an absent key overwrites a present one."""

    def __init__(self):
        super().__init__()
        check = self.model._require_version
        self.model._require_version = lambda key, version: check(key, version) if version else None


class LostUpdateMachine(StoreMachine):
    shared_class = UncheckedStore


class StoreStatefulTest(unittest.TestCase):
    def test_store_follows_the_oracle(self):
        fuzz_settings.run_machine(StoreMachine)

    def test_a_store_that_overwrites_on_create_is_caught(self):
        self.assertTrue(fuzz_settings.is_caught(LostUpdateMachine))
