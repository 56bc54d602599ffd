"""Operators, a store and routers on a virtual clock, with an oracle of the accepted changes."""

import random
from collections.abc import Awaitable, Callable

import msgspec
import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.encoding import decode_change, decode_transfer, encode
from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    ConfigurationTransfer,
    apply_transfer,
    empty_configuration,
)
from hopstep.domain.configuration.validation import validate
from hopstep.exceptions import ErrorCode, PeerMessageError, StoreError
from hopstep.ports.peer_configuration import PeerConfigurationPort
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.store import CHANGES_PREFIX, ConfigurationStore
from hopstep.services.configuration.submission import (
    SubmitOutcome,
    SubmitStatus,
    submit_change,
)
from hopstep.services.configuration.sync import ConfigurationSync, SyncConfig
from tests.services.configuration_samples import first_change, resize

NODES = ("a", "b", "c", "d")
READERS = 2
GOSSIP_SECONDS = 0.5
SNAPSHOT_INTERVAL = 4
CONVERGENCE_SECONDS = 14.0
HISTORY_LENGTH = 100_000

Submit = Callable[[ConfigurationStore, Change], Awaitable[SubmitOutcome]]


class Parts(msgspec.Struct, frozen=True):
    """Components under test, which wrong variants replace."""

    submit: Submit = submit_change
    holder_type: type[ConfigurationHolder] = ConfigurationHolder
    sync_type: type[ConfigurationSync] = ConfigurationSync


class Submission(msgspec.Struct):
    """One call of an operator with its result; ``outcome`` is None when it changed nothing."""

    change: Change
    ended: bool = False
    outcome: SubmitOutcome | None = None


class Node:
    """One run of a router; a restart creates a new node."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.port = InMemoryStore(world.shared)
        self.holder = world.parts.holder_type()
        rng = random.Random(name)
        self.store = ConfigurationStore(self.port, rng, SNAPSHOT_INTERVAL)
        self.sync = world.parts.sync_type(
            self.holder,
            self.store,
            world,
            lambda: name in world.readers(),
            lambda: [peer for peer in world.nodes if world.connected(name, peer)],
            rng,
            SyncConfig(maintenance_seconds=2.0),
        )
        self.scope = trio.CancelScope()
        self.highest = 0
        self.holder.subscribe(lambda accepted: world.check_applied(self, accepted))

    async def run(self) -> None:
        with self.scope:
            await self.sync.run()


class World(PeerConfigurationPort):
    """Nodes, store and operators of one test."""

    def __init__(self, nursery: trio.Nursery, parts: Parts) -> None:
        self.shared = SharedStore(HISTORY_LENGTH)
        self.nursery = nursery
        self.parts = parts
        self.nodes: dict[str, Node] = {}
        self.isolated: set[str] = set()
        self.submissions: list[Submission] = []

    async def start(self) -> None:
        await submit_change(self.operator(), first_change())
        for name in NODES:
            self.restart(name)
        self.nursery.start_soon(self._gossip)

    def operator(self) -> ConfigurationStore:
        rng = random.Random(len(self.submissions))
        return ConfigurationStore(InMemoryStore(self.shared), rng, SNAPSHOT_INTERVAL)

    def restart(self, name: str) -> None:
        if name in self.nodes:
            self.nodes[name].scope.cancel()
        self.nodes[name] = Node(self, name)
        self.nursery.start_soon(self.nodes[name].run)

    def readers(self) -> list[str]:
        return [name for name in self.nodes if name not in self.isolated][:READERS]

    def connected(self, one: str, other: str) -> bool:
        return one != other and not {one, other} & self.isolated

    async def fetch(self, peer: str, after_revision: int) -> ConfigurationTransfer:
        await trio.sleep(0.01)
        if peer in self.isolated:
            raise PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, "unreachable")
        return decode_transfer(encode(self.nodes[peer].sync.transfer(after_revision)))

    async def _gossip(self) -> None:
        while True:
            await trio.sleep(GOSSIP_SECONDS)
            for name, node in self.nodes.items():
                for peer, other in self.nodes.items():
                    if self.connected(name, peer):
                        other.sync.latest_revision_hint(node.holder.revision, name)

    async def edit(self, index: int, capacity: int, think_seconds: float) -> None:
        """Read the latest revision as an operator does, wait, and submit a change."""
        store = self.operator()
        try:
            base = (await store.read_history()).latest.revision
        except StoreError:
            return
        await trio.sleep(think_seconds)
        change_id = f"change-{len(self.submissions)}"
        await self.send(resize(change_id, base, index, capacity))

    async def resubmit(self, index: int) -> None:
        if self.submissions:
            await self.send(self.submissions[index % len(self.submissions)].change)

    async def send(self, change: Change) -> None:
        submission = Submission(change)
        self.submissions.append(submission)
        try:
            submission.outcome = await self.parts.submit(self.operator(), change)
        except StoreError:
            submission.outcome = None
        submission.ended = True
        self._check_outcome(submission)

    def accepted(self) -> list[AcceptedChange]:
        """Return the accepted changes: the first value of each key, also of keys trimmed later."""
        writes = self.shared.model.changes(CHANGES_PREFIX, 0).values
        return [
            AcceptedChange(int(write.key.removeprefix(CHANGES_PREFIX)), decode_change(write.value))
            for write in writes
            if write.value
        ]

    def _check_outcome(self, submission: Submission) -> None:
        """Check one outcome against the accepted changes when it is returned."""
        change_id = submission.change.change_id
        accepted_at = [
            item.revision for item in self.accepted() if item.change.change_id == change_id
        ]
        outcome = submission.outcome
        if outcome is None:
            others = [item for item in self.submissions if item.change.change_id == change_id]
            assert not accepted_at or len(others) > 1, (
                f"{change_id} said no effect, is at {accepted_at}"
            )
        elif outcome.status is SubmitStatus.ACCEPTED:
            assert accepted_at == [outcome.revision], f"{change_id}: {outcome}, is at {accepted_at}"
        elif outcome.status is SubmitStatus.REJECTED:
            assert not accepted_at, f"{change_id}: {outcome}, is at {accepted_at}"

    def check_applied(self, node: Node, accepted: AcceptedConfiguration) -> None:
        """Check that a node applies a higher revision with the accepted document."""
        assert accepted.revision > node.highest, f"{node.name} went back to {accepted.revision}"
        node.highest = accepted.revision
        assert accepted == self.replay(accepted.revision), f"{node.name}: wrong document"

    def replay(self, revision: int) -> AcceptedConfiguration:
        """Return the accepted configuration at a revision."""
        changes = tuple(self.accepted()[:revision])
        return apply_transfer(empty_configuration(), ConfigurationTransfer(changes=changes))

    def check_sequence(self) -> None:
        """Check the accepted changes: no gap, no repeat, every document valid, no lost edit."""
        sequence = self.accepted()
        assert [item.revision for item in sequence] == list(range(1, len(sequence) + 1))
        identities = [item.change.change_id for item in sequence]
        assert len(set(identities)) == len(identities), f"accepted twice: {identities}"
        bases = {item.change.change_id: item.change.base_revision for item in self.submissions}
        for item in sequence[1:]:
            before = self.replay(item.revision - 1).configuration
            assert not validate(self.replay(item.revision).configuration)
            (edit,) = item.change.edits
            base = bases[item.change.change_id]
            edited = {other.change.edits[0].name for other in sequence[base : item.revision - 1]}
            in_force = {engine.name: engine for engine in before.back_ends}
            assert edit.name not in edited or in_force[edit.name] == edit.item, "an edit was lost"

    async def settle(self) -> None:
        """End all faults; every node must reach the latest revision in time."""
        self.isolated.clear()
        self.shared.order_faults(
            FaultOrder(
                outage=False,
                slow_seconds=0,
                lost_answers=0,
                lost_requests=0,
                stale_reads=0,
                dropped_changes=0,
                requests_per_second=0,
            )
        )
        for node in self.nodes.values():
            node.port.cut_off = False
        await trio.sleep(35)  # Longer than any submission takes.
        assert all(submission.ended for submission in self.submissions)
        await self.edit(0, 1_000, 0)
        latest = len(self.accepted())
        with trio.move_on_after(CONVERGENCE_SECONDS):
            for node in self.nodes.values():
                await node.holder.wait_above(latest - 1)
        revisions = {name: node.holder.revision for name, node in self.nodes.items()}
        assert set(revisions.values()) == {latest}, f"did not converge on {latest}: {revisions}"
        self.check_sequence()
