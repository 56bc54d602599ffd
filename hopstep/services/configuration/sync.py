"""Keeps the configuration of this router at the highest accepted revision.

A few routers read the store; all take revisions from peers that announce a higher one. The revision
never decreases: a stale answer of the store or of a peer leaves the revision in force as it is.

Readers may be alive and yet unable to reach the store. So other routers read it too: one whose
revision hasn't been confirmed for some seconds reads the store itself, a few routers a second.

While the store is down the configuration in force stays, revisions that any live router holds still
spread among peers, and a starting router takes its first configuration from them. A router that
starts while no peer has a configuration isn't ready until the store answers.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence

import msgspec
import trio

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.log import (
    AcceptedChange,
    ConfigurationTransfer,
    apply_transfer,
    empty_configuration,
)
from hopstep.domain.configuration.restoration import DisplacedChange
from hopstep.exceptions import HopstepError, StoreError
from hopstep.log_events.configuration import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_MAINTENANCE_FAILED,
    CONFIGURATION_PEER_FAILED,
    CONFIGURATION_STORE_FAILED,
    CONFIGURATION_STORE_RECOVERED,
    CONFIGURATION_TRANSFER_REJECTED,
)
from hopstep.logs import emit
from hopstep.ports.peer_configuration import PeerConfigurationPort
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.restoration import ConfigurationRestoration
from hopstep.services.configuration.store import ConfigurationStore

STORE_SOURCE = "store"


class SyncConfig(msgspec.Struct, frozen=True):
    """Times and sizes of synchronization.

    Attributes:
        poll_seconds: Longest time between two reads of the store by a reader.
        reader_check_seconds: Time between two checks of whether this node should read.
        unconfirmed_seconds: Time without a confirmation of its revision after which a node that
            isn't a reader reads too: more than a reader's poll and the spread of its updates
            take, and little enough for a change to be in force everywhere within 14 s.
        other_reads_per_second: Limit on the reads by all nodes that aren't readers.
        min_backoff_seconds: First wait after a failure.
        max_backoff_seconds: Longest wait after failures.
        peer_timeout_seconds: Longest wait for a peer's answer.
        cold_start_seconds: Time between two attempts to get a first configuration from peers.
        maintenance_seconds: Time between two checks of whether a snapshot is due.
        tail_changes: Changes kept in memory for peers.
    """

    poll_seconds: float = 3.0
    reader_check_seconds: float = 1.0
    unconfirmed_seconds: float = 6.0
    other_reads_per_second: float = 20.0
    min_backoff_seconds: float = 0.25
    max_backoff_seconds: float = 4.0
    peer_timeout_seconds: float = 2.0
    cold_start_seconds: float = 0.5
    maintenance_seconds: float = 30.0
    tail_changes: int = 256


DEFAULT_SYNC_CONFIG = SyncConfig()


class ConfigurationSync:
    """Synchronizes a ``ConfigurationHolder`` with the store and with peers."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        store: ConfigurationStore,
        peer_configuration: PeerConfigurationPort,
        is_reader: Callable[[], bool],
        live_peers: Callable[[], Sequence[str]],
        rng: random.Random,
        config: SyncConfig = DEFAULT_SYNC_CONFIG,
    ) -> None:
        """Prepare the service; ``run`` does the work.

        Args:
            holder: Receives every new revision.
            store: Accepted sequence.
            peer_configuration: Calls to peers.
            is_reader: Whether this node reads the store now; a node without a configuration
                reads in any case.
            live_peers: Returns the names of live peers.
            rng: Source of jitter and of the choice of peers.
            config: Times and sizes.
        """
        self._holder = holder
        self._store = store
        self._peer_configuration = peer_configuration
        self._is_reader = is_reader
        self._live_peers = live_peers
        self._rng = rng
        self._config = config
        self._tail: deque[AcceptedChange] = deque(maxlen=config.tail_changes)
        self._hints: dict[str, int] = {}
        self._hinted = trio.Event()
        self._confirmed_at = float("-inf")
        self._store_failing = False
        self._restoration = ConfigurationRestoration(holder, store)

    @property
    def displaced(self) -> tuple[DisplacedChange, ...]:
        """Accepted changes that are permanently lost by a restore of the store."""
        return self._restoration.displaced

    async def run(self) -> None:
        """Synchronize until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_store)
            nursery.start_soon(self._pull_from_peers)
            nursery.start_soon(self._ask_for_first)
            nursery.start_soon(self._maintain_store)

    def latest_revision_hint(
        self, revision: int, peer: str, confirmed_age_seconds: float = float("inf")
    ) -> None:
        """Record the revision that a peer announces; returns at once.

        Args:
            revision: Revision in force at the peer.
            peer: Its name.
            confirmed_age_seconds: The peer's ``seconds_since_confirmed`` plus transit. At an
                equal or lower revision it confirms this node's revision as well.
        """
        if revision > self._holder.revision:
            self._hints[peer] = revision
            self._hinted.set()
        elif revision == self._holder.revision and revision > 0:
            confirmed_at = trio.current_time() - confirmed_age_seconds
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def seconds_since_confirmed(self) -> float:
        """Return the age of the latest proof that the revision in force was the latest one.

        Infinite before the first proof. A proof is a read of the store, here or by a peer that
        announced it. While the store is down the age grows at all routers: the caller combines it
        with the membership's majority before it refuses anything.
        """
        return trio.current_time() - self._confirmed_at

    def transfer(self, after_revision: int) -> ConfigurationTransfer:
        """Return the changes or snapshot from ``after_revision`` to the revision in force here."""
        current = self._holder.current
        if current is None or after_revision >= current.revision:
            return ConfigurationTransfer()
        changes = tuple(item for item in self._tail if item.revision > after_revision)
        if changes and changes[0].revision == after_revision + 1 and after_revision > 0:
            return ConfigurationTransfer(changes=changes)
        return ConfigurationTransfer(snapshot=current)

    async def _read_store(self) -> None:
        """Read the store while this node is a reader, or while no peer confirms the revision."""
        backoff = self._config.min_backoff_seconds
        while True:
            follows = self._follows_store()
            if not follows and not self._should_read_once():
                await trio.sleep(self._config.reader_check_seconds)
                continue
            try:
                await self._read_once()
                if follows:
                    await self._store.wait_for_change(self._config.poll_seconds)
            except HopstepError as error:
                self._note_store_failure(error)
                await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
                backoff = min(backoff * 2, self._config.max_backoff_seconds)
            else:
                backoff = self._config.min_backoff_seconds
                # A watch that repeatedly returns at once must not become a busy loop.
                await trio.sleep(self._config.min_backoff_seconds)

    def _follows_store(self) -> bool:
        """Return whether to read and watch the store now."""
        return self._holder.current is None or self._is_reader()

    def _should_read_once(self) -> bool:
        """Return whether to read as a non-reader: the readers may have lost the store."""
        if self.seconds_since_confirmed() < self._config.unconfirmed_seconds:
            return False
        nodes = len(self._live_peers()) + 1
        reads_per_check = self._config.other_reads_per_second * self._config.reader_check_seconds
        return self._rng.random() < reads_per_check / nodes

    async def _read_once(self) -> None:
        """Read the changes from the revision in force on, whatever a watch returned."""
        asked_at = trio.current_time()
        try:
            transfer = await self._store.read_latest(self._holder.revision)
        except StoreError:
            if not await self._restoration.is_due_after_failure():
                raise
        if self._restoration.is_due():
            await self._reconcile()
            return
        if self._apply(transfer, STORE_SOURCE):
            self._confirmed_at = max(self._confirmed_at, asked_at)
        if self._store_failing:
            self._store_failing = False
            emit(CONFIGURATION_STORE_RECOVERED, revision=self._holder.revision)

    async def _reconcile(self) -> None:
        """Compare with a store that was restored, and adopt its sequence if that differs.

        The changes held of the former sequence are dropped: peers then receive a snapshot.
        """
        history = await self._restoration.run(tuple(self._tail))
        if history is not None and self._holder.apply(history.latest):
            self._tail.clear()
            emit(CONFIGURATION_APPLIED, revision=history.latest.revision, source=STORE_SOURCE)

    def _note_store_failure(self, error: HopstepError) -> None:
        """Log the first of consecutive failures."""
        if not self._store_failing:
            self._store_failing = True
            emit(CONFIGURATION_STORE_FAILED, code=error.code.value, error=error.message)

    async def _pull_from_peers(self) -> None:
        """Pull from peers that announced a higher revision."""
        while True:
            await self._hinted.wait()
            self._hinted = trio.Event()
            while (peer := self._best_hint()) is not None:
                del self._hints[peer]
                await self._pull(peer)

    def _best_hint(self) -> str | None:
        """Return the peer that announced the highest revision above the own one, or None."""
        revision = self._holder.revision
        self._hints = {peer: hint for peer, hint in self._hints.items() if hint > revision}
        return max(self._hints, key=self._hints.__getitem__, default=None)

    async def _ask_for_first(self) -> None:
        """Ask live peers, one after the other, until there is a configuration."""
        while self._holder.current is None:
            peers = list(self._live_peers())
            if peers:
                await self._pull(self._rng.choice(peers))
            if self._holder.current is None:
                await trio.sleep(self._config.cold_start_seconds * self._rng.uniform(0.5, 1.5))

    async def _pull(self, peer: str) -> None:
        """Fetch and apply a peer's revisions above the one in force."""
        try:
            with trio.fail_after(self._config.peer_timeout_seconds):
                transfer = await self._peer_configuration.fetch(peer, self._holder.revision)
        except (HopstepError, trio.TooSlowError) as error:
            emit(CONFIGURATION_PEER_FAILED, peer=peer, error=type(error).__name__)
            return
        self._apply(transfer, peer)

    def _apply(self, transfer: ConfigurationTransfer, source: str) -> bool:
        """Put a transfer in force if its revision is higher; return whether it was valid."""
        current = self._holder.current or empty_configuration()
        try:
            latest = apply_transfer(current, transfer)
        except HopstepError as error:
            emit(CONFIGURATION_TRANSFER_REJECTED, source=source, error=error.message)
            return False
        if latest.revision > current.revision:
            self._remember(transfer, latest)
            self._holder.apply(latest)
            emit(CONFIGURATION_APPLIED, revision=latest.revision, source=source)
        return True

    def _remember(self, transfer: ConfigurationTransfer, latest: AcceptedConfiguration) -> None:
        """Keep the changes that led to ``latest``, to send them to peers."""
        if transfer.snapshot is not None:
            self._tail.clear()
        for accepted_change in transfer.changes:
            if self._tail and accepted_change.revision <= self._tail[-1].revision:
                continue
            if accepted_change.revision <= latest.revision:
                self._tail.append(accepted_change)

    async def _maintain_store(self) -> None:
        """Write snapshots and trim while this node is a reader."""
        while True:
            await trio.sleep(self._config.maintenance_seconds * self._rng.uniform(0.5, 1.5))
            current = self._holder.current
            if current is None or not self._is_reader():
                continue
            try:
                await self._store.maintain(current)
            except HopstepError as error:
                emit(CONFIGURATION_MAINTENANCE_FAILED, error=error.message)
