import contextlib
import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.configuration.document import AcceptedConfiguration, Configuration
from hopstep.domain.configuration.encoding import decode_transfer, encode
from hopstep.domain.configuration.log import AcceptedChange, ConfigurationTransfer
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import ErrorCode, PeerMessageError
from hopstep.ports.peer_configuration import PeerConfigurationPort
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.store import ConfigurationStore, change_key
from hopstep.services.configuration.submission import submit_change
from hopstep.services.configuration.sync import ConfigurationSync, SyncConfig
from tests.services.configuration_samples import first_change, resize

GOSSIP_SECONDS = 1.0
GOSSIP_FANOUT = 3
MAX_CALLS_PER_SECOND = 40
"""Twice the intended average, to allow for random variation; includes the readers' calls."""


class Peers(PeerConfigurationPort):
    """Direct calls between the nodes of a test, through the encoding."""

    def __init__(self) -> None:
        self.nodes: dict[str, ConfigurationSync] = {}
        self.wrong: dict[str, ConfigurationTransfer] = {}
        self.down: set[str] = set()

    async def fetch(self, peer: str, after_revision: int) -> ConfigurationTransfer:
        await trio.lowlevel.checkpoint()
        if peer in self.down or peer not in self.nodes:
            raise PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, "unreachable")
        transfer = self.wrong.get(peer) or self.nodes[peer].transfer(after_revision)
        return decode_transfer(encode(transfer))


class CountingStore(InMemoryStore):
    """Store access that counts its calls in the fleet's counter."""

    def __init__(self, fleet: "Fleet") -> None:
        super().__init__(fleet.shared)
        self._fleet = fleet

    async def _call(self, operation: wire.StoreOperation, extra_seconds: float = 0.0) -> Any:
        self._fleet.store_calls += 1
        return await super()._call(operation, extra_seconds)


class Fleet:
    """A store and nodes, of which ``readers`` read the store."""

    def __init__(self, readers: set[str]) -> None:
        self.shared = SharedStore()
        self.peers = Peers()
        self.readers = readers
        self.stores: dict[str, InMemoryStore] = {}
        self.store_calls = 0
        self.holders: dict[str, ConfigurationHolder] = {}
        self.applied: dict[str, list[int]] = {}
        self.operator = ConfigurationStore(InMemoryStore(self.shared), random.Random(0))

    def sync(self, name: str) -> ConfigurationSync:
        return self.peers.nodes[name]

    @contextlib.asynccontextmanager
    async def running(self, *names: str) -> AsyncIterator[None]:
        async with trio.open_nursery() as nursery:
            for name in names:
                self._start(nursery, name)
            yield
            nursery.cancel_scope.cancel()

    def _start(self, nursery: trio.Nursery, name: str) -> None:
        holder = ConfigurationHolder()
        revisions = self.applied.setdefault(name, [])
        holder.subscribe(lambda accepted: revisions.append(accepted.revision))
        self.holders[name] = holder
        rng = random.Random(name)
        self.stores[name] = CountingStore(self)
        store = ConfigurationStore(self.stores[name], rng)
        self.peers.nodes[name] = ConfigurationSync(
            holder,
            store,
            self.peers,
            lambda: name in self.readers,
            lambda: [peer for peer in self.peers.nodes if peer != name],
            rng,
            SyncConfig(),
        )
        nursery.start_soon(self.peers.nodes[name].run)

    async def gossip(self) -> None:
        """Announce each node's revision and the age of its proof to others, until cancelled."""
        rng = random.Random(1)
        names = sorted(self.peers.nodes)
        while True:
            await trio.sleep(GOSSIP_SECONDS)
            for sender in names:
                for receiver in rng.sample(names, min(len(names), GOSSIP_FANOUT)):
                    revision = self.holders[sender].revision
                    age = self.sync(sender).seconds_since_confirmed()
                    if receiver != sender:
                        self.sync(receiver).latest_revision_hint(revision, sender, age)

    async def accept(self, count: int) -> None:
        """Accept ``count`` changes, the first one if there is none."""
        for _ in range(count):
            latest = (await self.operator.read_history()).latest
            revision = latest.revision
            change = resize(str(revision), revision, 0, revision + 1) if revision else None
            await submit_change(self.operator, change or first_change())


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    run_in_virtual_time(scenario)


class StoreReaderTest(unittest.TestCase):
    # Faults while three changes are accepted; a reader must have them within 14 s.
    FAULTS = (
        FaultOrder(),
        FaultOrder(dropped_changes=3),
        FaultOrder(stale_reads=4),
        FaultOrder(slow_seconds=0.5),
        FaultOrder(requests_per_second=2),
    )

    def test_reader_follows_under_faults(self) -> None:
        for order in self.FAULTS:

            async def scenario(order: FaultOrder = order) -> None:
                fleet = Fleet({"a"})
                await fleet.accept(1)
                async with fleet.running("a"):
                    await trio.sleep(5)
                    fleet.shared.order_faults(order)
                    await fleet.accept(3)
                    with trio.fail_after(14):
                        await fleet.holders["a"].wait_above(3)
                self.assertEqual(fleet.applied["a"], sorted(set(fleet.applied["a"])))

            with self.subTest(order=order):
                run(scenario)

    def test_stale_store_confirms_nothing_and_reverts_nothing(self) -> None:
        async def scenario() -> None:
            fleet = Fleet({"a"})
            await fleet.accept(1)
            fleet.shared.order_faults(FaultOrder(outage=True))
            fleet.shared.order_faults(FaultOrder(outage=False))
            async with fleet.running("a"):
                await fleet.accept(2)
                await trio.sleep(10)
                self.assertLess(fleet.sync("a").seconds_since_confirmed(), 5)
                fleet.shared.order_faults(FaultOrder(stale_reads=10_000))
                await trio.sleep(20)
                self.assertEqual(fleet.holders["a"].revision, 3)
                self.assertGreater(fleet.sync("a").seconds_since_confirmed(), 15)
                fleet.shared.order_faults(FaultOrder(stale_reads=0))
                await trio.sleep(10)
                self.assertLess(fleet.sync("a").seconds_since_confirmed(), 5)

        run(scenario)

    def test_change_that_does_not_follow_is_neither_applied_nor_a_confirmation(self) -> None:
        async def scenario() -> None:
            fleet = Fleet({"a"})
            await fleet.accept(1)
            port = InMemoryStore(fleet.shared)
            async with fleet.running("a"):
                await trio.sleep(5)
                for value in (encode(resize("x", 5, 0, 9)), b"damaged"):
                    version = await port.compare_and_swap(change_key(2), ABSENT, value)
                    await trio.sleep(20)
                    self.assertEqual(fleet.holders["a"].revision, 1)
                    self.assertGreater(fleet.sync("a").seconds_since_confirmed(), 15)
                    await port.delete(change_key(2), version)
                await fleet.accept(1)
                with trio.fail_after(14):
                    await fleet.holders["a"].wait_above(1)

        run(scenario)


class PeerTest(unittest.TestCase):
    def test_hint_pulls_changes_and_confirms(self) -> None:
        async def scenario() -> None:
            fleet = Fleet({"a"})
            await fleet.accept(1)
            async with fleet.running("a", "b"):
                await trio.sleep(8)
                self.assertEqual(fleet.holders["b"].revision, 1)
                await fleet.accept(2)
                for _ in range(8):
                    fleet.sync("b").latest_revision_hint(1, "a", 1.0)
                    await trio.sleep(1)
                self.assertEqual(fleet.holders["b"].revision, 1, "it does not read the store")
                self.assertEqual(len(fleet.sync("a").transfer(1).changes), 2)
                fleet.sync("b").latest_revision_hint(3, "a")
                await trio.sleep(0.1)
                self.assertEqual(fleet.applied["b"], [1, 3])
                fleet.sync("b").latest_revision_hint(3, "a", 0.5)
                self.assertAlmostEqual(fleet.sync("b").seconds_since_confirmed(), 0.5)
                fleet.sync("b").latest_revision_hint(2, "a", 0.0)
                self.assertAlmostEqual(fleet.sync("b").seconds_since_confirmed(), 0.5)

        run(scenario)

    def test_others_read_the_store_when_its_readers_have_lost_it(self) -> None:
        async def scenario() -> None:
            fleet = Fleet({"a", "b"})
            await fleet.accept(1)
            async with fleet.running(*"abcdef"), trio.open_nursery() as nursery:
                nursery.start_soon(fleet.gossip)
                await trio.sleep(5)
                for reader in fleet.readers:
                    fleet.stores[reader].cut_off = True
                for revision in range(1, 6):
                    await fleet.accept(1)
                    with trio.fail_after(14):
                        for holder in fleet.holders.values():
                            await holder.wait_above(revision)
                nursery.cancel_scope.cancel()

        run(scenario)

    def test_a_large_fleet_calls_a_store_that_is_down_no_more_often_than_a_small_one(self) -> None:
        async def scenario(nodes: int) -> None:
            fleet = Fleet({"0", "1", "2"})
            await fleet.accept(1)
            async with (
                fleet.running(*map(str, range(nodes))),
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(fleet.gossip)
                await trio.sleep(5)
                fleet.shared.order_faults(FaultOrder(outage=True))
                await trio.sleep(20)
                before = fleet.store_calls
                await trio.sleep(20)
                self.assertGreater(fleet.store_calls, before)
                self.assertLess(fleet.store_calls - before, 20 * MAX_CALLS_PER_SECOND)
                nursery.cancel_scope.cancel()

        for nodes in (10, 200):
            with self.subTest(nodes=nodes):
                run(lambda nodes=nodes: scenario(nodes))

    def test_start_with_the_store_down_takes_it_from_peers(self) -> None:
        async def scenario() -> None:
            fleet = Fleet({"a", "b"})
            await fleet.accept(3)
            async with fleet.running("a"):
                await trio.sleep(1)
                fleet.shared.order_faults(FaultOrder(outage=True))
                async with fleet.running("b"):
                    with trio.fail_after(3):
                        await fleet.holders["b"].wait_above(2)
                    self.assertEqual(fleet.holders["b"].current, fleet.holders["a"].current)
                    self.assertEqual(fleet.sync("b").seconds_since_confirmed(), float("inf"))

        run(scenario)

    def test_whole_fleet_starting_with_the_store_down_has_none_until_the_store_is_up(self) -> None:
        async def scenario() -> None:
            fleet = Fleet({"a"})
            await fleet.accept(3)
            fleet.shared.order_faults(FaultOrder(outage=True))
            async with fleet.running("a", "b", "c"):
                await trio.sleep(60)
                self.assertEqual([holder.current for holder in fleet.holders.values()], [None] * 3)
                fleet.shared.order_faults(FaultOrder(outage=False))
                with trio.fail_after(14):
                    for holder in fleet.holders.values():
                        await holder.wait_above(2)

        run(scenario)

    def test_wrong_transfers_change_nothing(self) -> None:
        change = resize("x", 5, 0, 9)
        wrong = (
            ConfigurationTransfer(AcceptedConfiguration(2, Configuration())),
            ConfigurationTransfer(changes=(AcceptedChange(6, change),)),
            ConfigurationTransfer(changes=(AcceptedChange(4, change),)),
            ConfigurationTransfer(),
        )
        for transfer in wrong:

            async def scenario(transfer: ConfigurationTransfer = transfer) -> None:
                fleet = Fleet({"a"})
                await fleet.accept(3)
                async with fleet.running("a", "b"):
                    await trio.sleep(8)
                    before = fleet.holders["b"].current
                    fleet.peers.wrong["a"] = transfer
                    fleet.sync("b").latest_revision_hint(9, "a")
                    fleet.sync("b").latest_revision_hint(9, "gone")
                    await trio.sleep(5)
                    self.assertEqual(fleet.holders["b"].current, before)
                    fleet.peers.wrong.clear()
                    await fleet.accept(1)
                    await trio.sleep(5)
                    fleet.sync("b").latest_revision_hint(4, "a")
                    await trio.sleep(5)
                    self.assertEqual(fleet.holders["b"].revision, 4, "it goes on afterwards")

            with self.subTest(transfer=transfer):
                run(scenario)
