"""The lease under which one node at a time orders engines to load weights.

The key of the lease is created only where it doesn't exist; its creation revision is the fencing
token. A holder counts the lease from when the grant or renewal was sent, and stops before it can
have lapsed. A new holder waits for one lease time before its first order. While the store is down
nobody becomes holder, and the holder stops when its lease ends.

Leases may wait while the store is down. A node that finds the key with its own name after that,
also one that was restarted, goes on under the same lease and fencing token: the key has existed
all the time, so nobody else has held it.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator

import msgspec
import trio

from hopstep import log_events
from hopstep.domain.store_place import StorePlace
from hopstep.exceptions import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from hopstep.logs import emit
from hopstep.ports.key_value_store import ABSENT, KeyValueStorePort, StoreLease
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.records import (
    ROLLOUT_KEY,
    RolloutHolder,
    decode_holder,
    encode_holder,
)

RENEWALS_IN_A_LEASE = 4
RENEWAL_SPACING_SECONDS = 0.25
"""Time after which a renewal without an answer is sent once more."""

ACQUIRE_SECONDS = 0.8
"""Wait for the answer to each call that acquires the lease."""

SAFETY_SECONDS = 0.3
"""An order is sent only if the lease holds at least this much longer."""

RETRY_SECONDS = 0.5
RECHECK_SECONDS = 2.0
RESUME_CHECK_SECONDS = 0.2
"""Between two looks whether the store answers again at a node whose own lease may still exist."""

STAND_BACK_SECONDS = 1.5
"""Least time for which nodes that don't read the store leave a vacant lease to those that do."""


class _OwnKey(msgspec.Struct, frozen=True):
    """The lease's key as this node has written it.

    Attributes:
        lease: Lease to which it is bound.
        version: Its version; the revision is the fencing token.
    """

    lease: StoreLease
    version: StorePlace


class RolloutLease:
    """Acquires and keeps the lease."""

    def __init__(
        self,
        name: str,
        store: KeyValueStorePort,
        knowledge: ServingKnowledge,
        generator: random.Random,
        lease_seconds: float,
    ) -> None:
        """Start without the lease.

        Args:
            name: Name of this node.
            store: The store.
            knowledge: Tells whether another node holds the lease.
            generator: Spreads attempts.
            lease_seconds: Time of the lease.
        """
        self.fencing_token = 0
        self._name = name
        self._store = store
        self._knowledge = knowledge
        self._generator = generator
        self._lease_seconds = lease_seconds
        self._lease: StoreLease | None = None
        self._valid_until = 0.0
        self._order_from = 0.0
        self._held_version = ABSENT
        self._refused_version = ABSENT
        self._failed_at = -float("inf")
        self._released = False
        self._held = trio.Event()

    async def wait_held(self) -> None:
        """Wait until this node holds the lease."""
        await self._held.wait()

    @property
    def may_order(self) -> bool:
        """Whether an order may be sent now."""
        now = trio.current_time()
        return bool(self.fencing_token) and self._order_from <= now <= self._order_until

    @property
    def _order_until(self) -> float:
        """Time after which no order may be sent."""
        return self._valid_until - SAFETY_SECONDS

    async def run(self) -> None:
        """Acquire the lease whenever nobody holds it, and keep it, until cancelled."""
        while not self._released:
            await self._wait_turn()
            try:
                if self._own_key is None:
                    await self._acquire()
                else:
                    await self._resume(self._own_key)
                await self._keep()
            except StoreError:
                self._failed_at = trio.current_time()
                await trio.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))

    async def release(self) -> None:
        """End the lease, so that another node needn't wait for it to lapse."""
        self._released = True
        self._lose("released")
        if self._lease is not None:
            try:
                await self._store.end_lease(self._lease)
            except StoreError:
                return

    def give_up(self, reason: str) -> None:
        """Stop ordering under the current fencing token: an engine has seen a higher one."""
        self._valid_until = 0.0
        self._refused_version = self._held_version
        self._lose(reason)

    async def _wait_turn(self) -> None:
        """Wait until there are engines and nobody else is known to hold the lease.

        Nodes that read the store go first, so that not all nodes try at once.
        """
        knowledge = self._knowledge
        while True:
            while not self._is_vacant and not self._may_resume:
                own = self._own_key is not None
                with trio.move_on_after(RESUME_CHECK_SECONDS if own else RECHECK_SECONDS):
                    await knowledge.changed.wait()
            if self._may_resume or not knowledge.relays.relay():
                return
            await trio.sleep(STAND_BACK_SECONDS * (1.0 + self._generator.random()))
            if self._is_vacant:
                return

    @property
    def _is_vacant(self) -> bool:
        """Whether the lease is wanted and nobody is known to hold it."""
        return self._knowledge.has_engines and self._knowledge.rollout_record is None

    @property
    def _own_key(self) -> _OwnKey | None:
        """The lease's key if it names this node and this machine, and may still be used."""
        record = self._knowledge.rollout_record
        if record is None or record.version <= self._refused_version:
            return None
        try:
            holder = decode_holder(record.value)
        except msgspec.DecodeError:
            # A key of another release: it isn't this node's own, and lapses like any other.
            return None
        if holder != self._identity(holder.lease):
            return None
        lease = StoreLease(holder.lease, record.version.era)
        return _OwnKey(lease, record.version)

    @property
    def _may_resume(self) -> bool:
        """Whether an own lease may still exist, and the store has answered since a call failed."""
        return self._own_key is not None and self._knowledge.contact.heard_at > self._failed_at

    async def _resume(self, key: _OwnKey) -> None:
        """Go on under an own lease that still exists; raises ``StoreError`` when that isn't proved.

        A node that hasn't held it in this life doesn't know when it took over, so it waits again.
        """
        sent_at = trio.current_time()
        with _answered_within(ACQUIRE_SECONDS):
            await self._store.keep_alive(key.lease)
        if key.version != self._held_version:
            self._order_from = trio.current_time() + self._lease_seconds
        self._hold(key.lease, sent_at, key.version, resumed=True)

    async def _acquire(self) -> None:
        """Create the key under a new lease; raises ``StoreError`` when that isn't proved."""
        sent_at = trio.current_time()
        with _answered_within(ACQUIRE_SECONDS):
            lease = await self._store.grant_lease(self._lease_seconds)
        try:
            version = await self._create_key(lease)
        except StoreError:
            await self._store.end_lease(lease)
            raise
        self._order_from = trio.current_time() + self._lease_seconds
        self._hold(lease, sent_at, version, resumed=False)

    def _hold(
        self, lease: StoreLease, sent_at: float, version: StorePlace, *, resumed: bool
    ) -> None:
        """Note that this node holds the lease, from when the answered call was sent."""
        self._lease = lease
        if self._released:
            return
        self._valid_until = sent_at + self._lease_seconds
        self._held_version = version
        self.fencing_token = version.revision
        self._held.set()
        emit(
            log_events.ROLLOUT_LEASE_ACQUIRED,
            fencing_token=self.fencing_token,
            resumed=resumed,
        )

    def _identity(self, lease: str) -> RolloutHolder:
        """Return how this node names itself as the holder."""
        return RolloutHolder(self._name, self._knowledge.record.address, lease)

    async def _create_key(self, lease: StoreLease) -> StorePlace:
        """Create the key and return its version.

        Without an answer the key is read back: the value names this node and this lease.
        """
        value = encode_holder(self._identity(lease.name))
        try:
            with _answered_within(ACQUIRE_SECONDS):
                return await self._store.compare_and_swap(ROLLOUT_KEY, ABSENT, value, lease)
        except StoreConflictError:
            raise
        except StoreError:
            with _answered_within(ACQUIRE_SECONDS):
                stored = await self._store.get(ROLLOUT_KEY)
            if stored is None or stored.value != value:
                raise
            return stored.version

    async def _keep(self) -> None:
        """Renew the lease until it is lost."""
        while self.fencing_token:
            await trio.sleep(self._lease_seconds / RENEWALS_IN_A_LEASE)
            await self._renew()
            if trio.current_time() > self._valid_until:
                self._lose("lapsed")

    async def _renew(self) -> None:
        """Renew once, by as many calls as it takes until one is answered or the lease lapses.

        A call whose answer is lost says nothing more, so the next one doesn't wait for it.
        """
        answered = trio.Event()
        async with trio.open_nursery() as nursery:
            with trio.move_on_at(self._valid_until):
                while not answered.is_set():
                    nursery.start_soon(self._renew_by_one_call, answered)
                    with trio.move_on_after(RENEWAL_SPACING_SECONDS):
                        await answered.wait()
            nursery.cancel_scope.cancel()

    async def _renew_by_one_call(self, answered: trio.Event) -> None:
        """Make one call; the lease counts from when it was sent."""
        sent_at = trio.current_time()
        if self._lease is None:
            return
        try:
            await self._store.keep_alive(self._lease)
        except StoreConflictError:
            self._lose("over")
        except StoreError:
            return
        else:
            self._valid_until = max(self._valid_until, sent_at + self._lease_seconds)
        answered.set()

    def _lose(self, reason: str) -> None:
        """Stop ordering."""
        if self.fencing_token:
            emit(log_events.ROLLOUT_LEASE_LOST, fencing_token=self.fencing_token, reason=reason)
            self._held = trio.Event()
        self.fencing_token = 0


@contextlib.contextmanager
def _answered_within(seconds: float) -> Iterator[None]:
    """Bound a call to the store; raises ``StoreOutcomeUnknownError`` when it takes longer."""
    with trio.move_on_after(seconds) as scope:
        yield
    if scope.cancelled_caught:
        raise StoreOutcomeUnknownError(
            ErrorCode.STORE_OUTCOME_UNKNOWN, "the store gave no answer in time"
        )
