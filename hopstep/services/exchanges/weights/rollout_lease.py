"""The lease under which one node at a time orders engines to load weights.

``RolloutLeaseState`` decides when this node may acquire, keep and use it; this module calls the
store.
While the store is down no node becomes the holder, and the holder stops when its lease ends.

Leases may outlast an outage of the store. A node that finds the key with its own name afterwards,
even if it was restarted, resumes with the same lease and fencing token: the key has existed all the
time, so no other node has held it. This doesn't hold after a restore from a backup, when the node
acquires the lease again.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator

import msgspec
import trio

from hopstep.domain.exchanges.rollout_lease_state import (
    Claim,
    RolloutKey,
    RolloutLeaseState,
    fencing_token,
)
from hopstep.domain.store_position import NO_POSITION, StoreLease, StorePosition
from hopstep.exceptions import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
)
from hopstep.log_events.instances import (
    ROLLOUT_LEASE_ACQUIRED,
    ROLLOUT_LEASE_LOST,
    ROLLOUT_LEASE_NOT_ENDED,
)
from hopstep.logs import emit
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.records import (
    ROLLOUT_KEY,
    decode_holder,
    encode_holder,
)

RENEWALS_IN_A_LEASE = 4
RENEWAL_SPACING_SECONDS = 0.25
"""Time after which an unanswered renewal is sent again."""

ACQUIRE_SECONDS = 0.8
"""Timeout of each call that acquires the lease."""

SAFETY_SECONDS = 0.3
"""An order is sent only if the lease is valid for at least this much longer."""

LINK_CHECK_SECONDS = 0.1
"""Time between two checks whether this node still reaches engines while it holds the lease."""

RETRY_SECONDS = 0.5
RECHECK_SECONDS = 2.0
RESUME_CHECK_SECONDS = 0.2
"""Time between two checks whether the store answers again, while an own lease may still exist."""

VACANT_LEASE_DELAY_SECONDS = 1.5
"""Least time for which nodes that don't read the store wait before acquiring a vacant lease."""


class RolloutLease:
    """Acquires and renews the lease."""

    def __init__(
        self,
        name: str,
        store: KeyValueStorePort,
        knowledge: ServingKnowledge,
        generator: random.Random,
        lease_seconds: float,
        reaches_engines: Callable[[], bool],
    ) -> None:
        """Start without the lease.

        Args:
            name: Name of this node.
            store: The store.
            knowledge: Provides the current holder of the lease.
            generator: Adds jitter to attempts.
            lease_seconds: Duration of the lease.
            reaches_engines: Returns whether this node's links to engines work. Orders aren't sent
                through other nodes: engines would see two nodes order them.
        """
        self.fencing_token = 0
        self._tenure = RolloutLeaseState(name, knowledge.record.address, lease_seconds)
        self._store = store
        self._knowledge = knowledge
        self._generator = generator
        self._lease_seconds = lease_seconds
        self._reaches_engines = reaches_engines
        self._failed_at = -float("inf")
        self._released = False
        self._held = trio.Event()

    async def wait_held(self) -> None:
        """Wait until this node holds the lease."""
        await self._held.wait()

    @property
    def may_order(self) -> bool:
        """Whether an order may be sent now."""
        self._update_era()
        return self._tenure.may_order(trio.current_time(), SAFETY_SECONDS)

    async def run(self) -> None:
        """Acquire the lease whenever it is vacant, and keep it, until cancelled."""
        while not self._released:
            await self._wait_turn()
            try:
                await self._acquire()
                await self._keep()
            except StoreError:
                self._failed_at = trio.current_time()
                await trio.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))

    async def release(self) -> None:
        """End the lease, so that another node needn't wait for it to expire."""
        self._released = True
        await self._end("released")

    async def _end(self, reason: str) -> None:
        """End the lease in the store, unless a restore has ended it."""
        lease = self._tenure.lease
        self._lose(reason)
        if lease is None or lease.era != self._knowledge.store_position.era:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as error:
            emit(ROLLOUT_LEASE_NOT_ENDED, reason=reason, code=error.code.value)

    def give_up(self, reason: str) -> None:
        """Stop ordering under the current fencing token: an engine has seen a higher one."""
        self._lose(reason)
        self._tenure.give_up()

    async def _wait_turn(self) -> None:
        """Wait until there are engines and no other node is known to hold the lease.

        Nodes that read the store go first, so that not all nodes try at the same time.
        """
        knowledge = self._knowledge
        while True:
            while not self._is_vacant and not self._may_resume:
                has_own = self._claim is not None
                with trio.move_on_after(RESUME_CHECK_SECONDS if has_own else RECHECK_SECONDS):
                    await knowledge.changed.wait()
            if self._may_resume or not knowledge.relays.relay():
                return
            await trio.sleep(VACANT_LEASE_DELAY_SECONDS * (1.0 + self._generator.random()))
            if self._is_vacant:
                return

    @property
    def _claim(self) -> Claim | None:
        """How this node may acquire the lease, judged by the directory; None if it may not."""
        self._update_era()
        return self._tenure.claim(self._key())

    def _key(self) -> RolloutKey | None:
        """Return the key as the directory shows it."""
        record = self._knowledge.records.rollout
        if record is None:
            return None
        version = self._knowledge.version_of(ROLLOUT_KEY)
        try:
            return RolloutKey(version, decode_holder(record.value))
        except msgspec.DecodeError:
            # Written by another release: not this node's own key; it expires like any other.
            return RolloutKey(version, None)

    def _update_era(self) -> None:
        """Pass the directory's era, and the time of a noticed restore, on to the tenure."""
        if self._knowledge.store_position != NO_POSITION:
            self._tenure.note_era(self._knowledge.store_position.era, trio.current_time())
        self._tenure.suspect_restore(self._knowledge.history.restored_at)

    @property
    def _is_vacant(self) -> bool:
        """Whether engines are reached, and no node is known to hold the lease."""
        claim = self._claim
        is_free = claim is not None and claim.resumed is None
        return is_free and self._knowledge.has_engines and self._reaches_engines()

    @property
    def _may_resume(self) -> bool:
        """Whether an own lease may still exist and the store answered after the last failure."""
        claim = self._claim
        has_own = claim is not None and claim.resumed is not None and self._reaches_engines()
        return has_own and self._knowledge.contact.last_answer_at > self._failed_at

    async def _acquire(self) -> None:
        """Acquire or resume the lease; raises ``StoreError`` without proof that it is held."""
        claim = self._claim
        if claim is None:
            return
        sent_at = trio.current_time()
        if claim.resumed is not None:
            with _timeout(ACQUIRE_SECONDS):
                await self._store.keep_alive(claim.resumed)
            self._begin_tenure(claim.resumed, claim.expected, sent_at, resumed=True)
            return
        with _timeout(ACQUIRE_SECONDS):
            lease = await self._store.grant_lease(self._lease_seconds)
        try:
            version = await self._write_key(lease, claim.expected)
        except StoreError:
            await self._store.end_lease(lease)
            raise
        self._begin_tenure(lease, version, sent_at, resumed=False)

    def _begin_tenure(
        self, lease: StoreLease, version: StorePosition, sent_at: float, *, resumed: bool
    ) -> None:
        """Note that this node holds the lease, valid from the sending of the answered call."""
        self._tenure.begin(lease, version, sent_at, trio.current_time())
        if self._released:
            self._tenure.end()
            return
        self.fencing_token = self._token(version)
        self._held.set()
        emit(
            ROLLOUT_LEASE_ACQUIRED,
            fencing_token=self.fencing_token,
            era=version.era,
            resumed=resumed,
        )

    def _token(self, version: StorePosition) -> int:
        """Return the fencing token; it omits the era while nodes without eras may take over."""
        if (
            self._knowledge.registered_nodes.all_support_eras
            or self._knowledge.history.was_restored
        ):
            return fencing_token(version)
        return version.revision

    async def _write_key(self, lease: StoreLease, expected: StorePosition) -> StorePosition:
        """Create the key, or overwrite one of an earlier era, and return its version.

        If no answer arrives, the key is read back: its value names this node and this lease.
        """
        value = encode_holder(self._tenure.holder(lease))
        try:
            with _timeout(ACQUIRE_SECONDS):
                return await self._store.compare_and_swap(ROLLOUT_KEY, expected, value, lease)
        except StoreConflictError:
            raise
        except StoreError:
            with _timeout(ACQUIRE_SECONDS):
                stored = await self._store.get(ROLLOUT_KEY)
            if stored is None or stored.value != value or stored.version.era != lease.era:
                raise
            return stored.version

    async def _keep(self) -> None:
        """Renew the lease periodically until it is lost."""
        while self._tenure.is_held:
            if not await self._reaches_engines_for(self._lease_seconds / RENEWALS_IN_A_LEASE):
                await self._end("cut_off")
                return
            lease = self._tenure.lease
            if lease is None:
                return
            await self._renew(lease)
            if trio.current_time() > self._tenure.valid_until:
                self._lose("lapsed")

    async def _reaches_engines_for(self, seconds: float) -> bool:
        """Wait while this node reaches engines; return False as soon as it doesn't."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            if not self._reaches_engines():
                return False
            await trio.sleep(min(LINK_CHECK_SECONDS, until - trio.current_time()))
        return self._reaches_engines()

    async def _renew(self, lease: StoreLease) -> None:
        """Renew once, repeating the call until one is answered or the lease expires.

        The answer of an earlier call may be lost, so the next call doesn't wait for it.
        """
        answered = trio.Event()
        async with trio.open_nursery() as nursery:
            with trio.move_on_at(self._tenure.valid_until):
                while not answered.is_set():
                    nursery.start_soon(self._renew_by_one_call, lease, answered)
                    with trio.move_on_after(RENEWAL_SPACING_SECONDS):
                        await answered.wait()
            nursery.cancel_scope.cancel()

    async def _renew_by_one_call(self, lease: StoreLease, answered: trio.Event) -> None:
        """Make one call; the renewed lease counts from its sending."""
        sent_at = trio.current_time()
        try:
            await self._store.keep_alive(lease)
        except StoreRestoredError:
            self._lose("restored")
        except StoreConflictError:
            self._lose("over")
        except StoreError:
            return
        else:
            self._tenure.renew(sent_at)
        answered.set()

    def _lose(self, reason: str) -> None:
        """Stop ordering, as the lease is lost."""
        if self._tenure.is_held:
            emit(ROLLOUT_LEASE_LOST, fencing_token=self.fencing_token, reason=reason)
            self._held = trio.Event()
        self._tenure.end()
        self.fencing_token = 0


@contextlib.contextmanager
def _timeout(seconds: float) -> Iterator[None]:
    """Limit the time of a call; raises ``StoreOutcomeUnknownError`` when it is exceeded."""
    with trio.move_on_after(seconds) as scope:
        yield
    if scope.cancelled_caught:
        raise StoreOutcomeUnknownError(
            ErrorCode.STORE_OUTCOME_UNKNOWN, "the store did not answer in time"
        )
