import functools
import random
import unittest
from collections.abc import Awaitable, Callable

import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.encoding import decode_change
from hopstep.domain.configuration.log import Change
from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.services.configuration.store import CHANGES_PREFIX, ConfigurationStore, change_key
from hopstep.services.configuration.submission import SubmitOutcome, SubmitStatus, submit_change
from tests.services.configuration_samples import (
    add_class,
    first_change,
    remove_class,
    resize,
    use_class,
)

ACCEPTED = SubmitStatus.ACCEPTED
REJECTED = SubmitStatus.REJECTED
UNKNOWN = SubmitStatus.UNKNOWN

HEALTHY = FaultOrder(
    outage=False, slow_seconds=0, lost_answers=0, lost_requests=0, stale_reads=0,
    requests_per_second=0,
)  # fmt: skip

# Each row: faults at the submission; outcome of the first call; outcome of a second call.
FAULTS = (
    (FaultOrder(lost_answers=1), ACCEPTED, ACCEPTED),
    (FaultOrder(lost_answers=3), ACCEPTED, ACCEPTED),
    (FaultOrder(lost_requests=2), ACCEPTED, ACCEPTED),
    (FaultOrder(lost_requests=1, lost_answers=1), ACCEPTED, ACCEPTED),
    (FaultOrder(stale_reads=3), ACCEPTED, ACCEPTED),
    (FaultOrder(lost_answers=1, stale_reads=4), ACCEPTED, ACCEPTED),
    (FaultOrder(requests_per_second=1), ACCEPTED, ACCEPTED),
    (FaultOrder(outage=True), None, ACCEPTED),
    (FaultOrder(lost_answers=10_000), ACCEPTED, ACCEPTED),
    (FaultOrder(lost_requests=10_000), UNKNOWN, ACCEPTED),
    (FaultOrder(slow_seconds=3.0), None, ACCEPTED),
    (FaultOrder(slow_seconds=1.8), ACCEPTED, ACCEPTED),
)


class World:
    """A shared store that holds the first revision."""

    def __init__(self, interval: int = 256) -> None:
        self.shared = SharedStore()
        self.interval = interval

    def operator(self) -> ConfigurationStore:
        return ConfigurationStore(InMemoryStore(self.shared), random.Random(1), self.interval)

    async def submit(self, change: Change) -> SubmitOutcome | None:
        try:
            return await submit_change(self.operator(), change)
        except StoreError:
            return None

    def accepted_ids(self) -> list[str]:
        writes = self.shared.model.changes(CHANGES_PREFIX, 0).values
        return [decode_change(write.value).change_id for write in writes if write.value]


def run(scenario: Callable[[World], Awaitable[None]], interval: int = 256) -> None:
    async def main() -> None:
        world = World(interval)
        outcome = await world.submit(first_change())
        assert outcome == SubmitOutcome(ACCEPTED, 1)
        await scenario(world)

    run_in_virtual_time(main)


class FaultTest(unittest.TestCase):
    def test_outcomes_are_true_under_faults(self) -> None:
        for order, first, second in FAULTS:
            for other in (False, True):
                with self.subTest(order=order, other=other):
                    run(functools.partial(self._check, order, first, second, other))

    async def _check(
        self,
        order: FaultOrder,
        first: SubmitStatus | None,
        second: SubmitStatus,
        other: bool,
        world: World,
    ) -> None:
        world.shared.order_faults(FaultOrder(outage=True))
        world.shared.order_faults(FaultOrder(outage=False))
        if other:
            await world.submit(resize("other", 1, 0, 5))
        world.shared.order_faults(order)
        change = resize("ours", 1, 1, 7)
        outcome = await world.submit(change)
        self.assertEqual(outcome and outcome.status, first)
        ids = world.accepted_ids()
        if outcome is None:
            self.assertNotIn("ours", ids)
        elif outcome.status is ACCEPTED:
            self.assertEqual(ids.index("ours") + 1, outcome.revision)
        world.shared.order_faults(HEALTHY)
        again = await world.submit(change)
        assert again is not None
        self.assertEqual(again.status, second)
        self.assertEqual(world.accepted_ids().count("ours"), 1)

    def test_lost_answer_then_outage_is_unknown_until_submitted_again(self) -> None:
        async def scenario(world: World) -> None:
            world.shared.order_faults(FaultOrder(lost_answers=1))
            change = resize("ours", 1, 1, 7)
            outcomes: list[SubmitOutcome | None] = []
            async with trio.open_nursery() as nursery:

                async def submit() -> None:
                    outcomes.append(await world.submit(change))

                nursery.start_soon(submit)
                await trio.sleep(0.01)
                self.assertIn("ours", world.accepted_ids())
                world.shared.order_faults(FaultOrder(outage=True))
            assert outcomes[0] is not None
            self.assertEqual(outcomes[0].status, UNKNOWN)
            world.shared.order_faults(HEALTHY)
            self.assertEqual(await world.submit(change), SubmitOutcome(ACCEPTED, 2))

        run(scenario)


class RaceTest(unittest.TestCase):
    def test_racing_changes(self) -> None:
        # Each row: two changes on revision 1 or 2, and the statuses that they may get.
        rows = (
            (resize("a", 1, 0, 5), resize("b", 1, 1, 5), [ACCEPTED, ACCEPTED]),
            (resize("a", 1, 0, 5), resize("b", 1, 0, 5), [ACCEPTED, ACCEPTED]),
            (resize("a", 1, 0, 5), resize("b", 1, 0, 6), [ACCEPTED, REJECTED]),
            (resize("a", 1, 0, 5), resize("a", 1, 0, 5), [ACCEPTED, ACCEPTED]),
            (remove_class("a", 2, "c"), use_class("b", 2, "c"), [ACCEPTED, REJECTED]),
        )
        for first, second, statuses in rows:

            async def scenario(
                world: World,
                changes: tuple[Change, Change] = (first, second),
                statuses: list[SubmitStatus] = statuses,
            ) -> None:
                await world.submit(add_class("class", 1, "c"))
                outcomes: list[SubmitOutcome] = []
                async with trio.open_nursery() as nursery:

                    async def submit(change: Change) -> None:
                        outcome = await world.submit(change)
                        assert outcome is not None
                        outcomes.append(outcome)

                    for change in changes:
                        nursery.start_soon(submit, change)
                self.assertEqual(sorted(outcome.status for outcome in outcomes), statuses)
                for outcome in outcomes:
                    if outcome.status is REJECTED:
                        self.assertTrue(outcome.conflicts or outcome.problems)
                ids = world.accepted_ids()
                self.assertEqual(len(ids), len(set(ids)))

            with self.subTest(first=first.change_id, statuses=statuses):
                run(scenario)

    def test_conflict_carries_the_difference(self) -> None:
        async def scenario(world: World) -> None:
            await world.submit(resize("a", 1, 0, 5))
            outcome = await world.submit(resize("b", 1, 0, 6))
            assert outcome is not None
            (conflict,) = outcome.conflicts
            self.assertEqual((conflict.name, conflict.revision), ("engine-0", 2))
            self.assertEqual(getattr(conflict.accepted, "max_concurrent_requests", 0), 5)
            self.assertEqual(getattr(conflict.requested, "max_concurrent_requests", 0), 6)

        run(scenario)

    def test_same_identity_with_other_edits_is_rejected(self) -> None:
        async def scenario(world: World) -> None:
            await world.submit(resize("a", 1, 0, 5))
            outcome = await world.submit(resize("a", 1, 0, 6))
            assert outcome is not None
            self.assertEqual(outcome.status, REJECTED)

        run(scenario)


class TrimTest(unittest.TestCase):
    INTERVAL = 4

    async def _fill(self, world: World, upto: int) -> None:
        operator = world.operator()
        for revision in range(2, upto + 1):
            await world.submit(resize(str(revision), revision - 1, 0, revision))
            await operator.maintain((await operator.read_history()).latest)

    def test_cold_start_reads_a_snapshot_and_the_changes_after_it(self) -> None:
        async def scenario(world: World) -> None:
            await self._fill(world, 14)
            history = await world.operator().read_history()
            self.assertEqual((history.base.revision, history.latest.revision), (8, 14))
            transfer = await world.operator().read_latest()
            assert transfer.snapshot is not None
            self.assertEqual((transfer.snapshot.revision, transfer.revision), (12, 14))
            behind = await world.operator().read_latest(3)
            self.assertEqual(behind.snapshot, transfer.snapshot)
            near = await world.operator().read_latest(9)
            self.assertEqual((near.snapshot, len(near.changes)), (None, 5))

        run(scenario, self.INTERVAL)

    def test_paused_writer_can_not_create_a_trimmed_key_again(self) -> None:
        async def scenario(world: World) -> None:
            paused = world.operator()
            await self._fill(world, 14)
            with self.assertRaises(StoreConflictError):
                await paused.append(resize("late", 1, 1, 9))
            outcome = await world.submit(resize("late", 1, 1, 9))
            assert outcome is not None
            self.assertEqual(
                outcome.status, UNKNOWN, "it may have been accepted before the retained changes"
            )
            self.assertNotIn("late", world.accepted_ids())

        run(scenario, self.INTERVAL)

    def test_snapshot_that_lost_a_chunk_is_an_error_not_a_wrong_document(self) -> None:
        async def scenario(world: World) -> None:
            await self._fill(world, 5)
            port = InMemoryStore(world.shared)
            (chunk,) = await port.list("configuration/snapshot_chunks/")
            await port.compare_and_swap(chunk.key, chunk.version, chunk.value[:-1])
            with self.assertRaises(StoreError):
                await world.operator().read_latest()
            self.assertEqual(change_key(3), "configuration/changes/000000000003")

        run(scenario, self.INTERVAL)
