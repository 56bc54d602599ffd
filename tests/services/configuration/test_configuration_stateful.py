"""Concurrent operators, lost answers, stale stores, gaps and restarts, against an oracle."""

import unittest
from collections.abc import Awaitable, Callable
from typing import ClassVar

import hypothesis
import hypothesis.strategies as st
import trio
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from emulator.platform.faults import FaultOrder
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.log import Change, apply_transfer, empty_configuration
from hopstep.exceptions import StoreError
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.store import ConfigurationStore
from hopstep.services.configuration.submission import (
    SubmitOutcome,
    SubmitStatus,
    submit_change,
)
from hopstep.services.configuration.sync import ConfigurationSync
from tests import fuzz_settings
from tests.services.configuration.configuration_world import NODES, Parts, World
from tests.services.configuration_samples import ENGINES

Step = Callable[[World], Awaitable[None]]
nodes = st.sampled_from(NODES)
FAULTS = st.one_of(
    st.builds(FaultOrder, outage=st.booleans()),
    st.builds(FaultOrder, lost_answers=st.integers(1, 3)),
    st.builds(FaultOrder, lost_requests=st.integers(1, 3)),
    st.builds(FaultOrder, stale_reads=st.integers(1, 12)),
    st.builds(FaultOrder, dropped_changes=st.integers(1, 3)),
    st.builds(FaultOrder, slow_seconds=st.sampled_from((0.0, 0.5, 1.9, 3.0))),
    st.builds(FaultOrder, requests_per_second=st.sampled_from((0.0, 2.0, 10.0))),
)

FIRST_FAILURE = hypothesis.settings(
    fuzz_settings.variant_settings(fuzz_settings.DEFAULT_MAX_EXAMPLES), report_multiple_bugs=False
)
"""For wrong variants: stops at the first failure and doesn't shrink it."""


class ConfigurationMachine(RuleBasedStateMachine):
    """Rules record a program, which runs on a virtual clock when the example ends."""

    parts: ClassVar[Parts] = Parts()

    def __init__(self) -> None:
        super().__init__()
        self.program: list[Step] = []

    @rule(
        index=st.integers(0, ENGINES - 1),
        capacity=st.integers(1, 4),
        think_seconds=st.sampled_from((0.0, 0.1, 3.0)),
    )
    def edit(self, index: int, capacity: int, think_seconds: float) -> None:
        async def step(world: World) -> None:
            world.nursery.start_soon(world.edit, index, capacity, think_seconds)

        self.program.append(step)

    @rule(index=st.integers(0, 20))
    def resubmit(self, index: int) -> None:
        async def step(world: World) -> None:
            world.nursery.start_soon(world.resubmit, index)

        self.program.append(step)

    @rule(order=FAULTS)
    def fault(self, order: FaultOrder) -> None:
        async def step(world: World) -> None:
            world.shared.order_faults(order)

        self.program.append(step)

    @rule(index=st.integers(0, ENGINES - 1), reads=st.integers(2, 12))
    def serve_stale_reads_after_an_edit(self, index: int, reads: int) -> None:
        async def step(world: World) -> None:
            world.shared.order_faults(FaultOrder(outage=True))
            world.shared.order_faults(FaultOrder(outage=False))
            await world.edit(index, reads, 0.0)
            await trio.sleep(4.0)
            world.shared.order_faults(FaultOrder(stale_reads=reads))

        self.program.append(step)

    @rule(name=nodes, cut_off=st.booleans())
    def cut_off_from_store(self, name: str, cut_off: bool) -> None:
        async def step(world: World) -> None:
            world.nodes[name].port.cut_off = cut_off

        self.program.append(step)

    @rule(names=st.sets(nodes))
    def isolate(self, names: set[str]) -> None:
        async def step(world: World) -> None:
            world.isolated = names

        self.program.append(step)

    @rule(names=st.one_of(st.sets(nodes, max_size=1), st.just(set(NODES))))
    def restart(self, names: set[str]) -> None:
        async def step(world: World) -> None:
            for name in sorted(names):
                world.restart(name)

        self.program.append(step)

    @rule(seconds=st.sampled_from((0.05, 1.0, 5.0, 40.0)))
    def wait(self, seconds: float) -> None:
        async def step(world: World) -> None:
            await trio.sleep(seconds)

        self.program.append(step)

    def teardown(self) -> None:
        try:
            run_in_virtual_time(self._run)
        except ExceptionGroup as group:
            failures, others = group.split(AssertionError)
            if failures is None or others is not None:
                raise
            raise AssertionError(str(failures.exceptions)) from group

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, self.parts)
            await world.start()
            for step in self.program:
                await step(world)
            await world.settle()
            nursery.cancel_scope.cancel()


async def submit_that_rejects_a_lost_answer(
    store: ConfigurationStore, change: Change
) -> SubmitOutcome:
    """Wrong: takes an unknown outcome for a rejection."""
    outcome = await submit_change(store, change)
    if outcome.status is SubmitStatus.UNKNOWN:
        return SubmitOutcome(SubmitStatus.REJECTED)
    return outcome


async def submit_that_moves_on(store: ConfigurationStore, change: Change) -> SubmitOutcome:
    """Wrong: appends after the latest revision without checking for its own identity."""
    for _ in range(20):
        try:
            latest = (await store.read_history()).latest.revision
            moved = Change(change.change_id, change.author, "", latest, change.edits)
            return SubmitOutcome(SubmitStatus.ACCEPTED, await store.append(moved))
        except StoreError:
            await trio.sleep(0.2)
    return SubmitOutcome(SubmitStatus.UNKNOWN)


class RevertingHolder(ConfigurationHolder):
    """Wrong: puts any revision in force, also a lower one."""

    applying = False

    @property
    def revision(self) -> int:
        return 0 if self.applying else super().revision

    def apply(self, accepted: AcceptedConfiguration) -> bool:
        self.applying = True
        applied = super().apply(accepted)
        self.applying = False
        return applied


class RevertingSync(ConfigurationSync):
    """Wrong: puts the revision of the store's answer in force, also a lower one."""

    async def _read_once(self) -> None:
        transfer = await self._store.read_latest()
        latest = apply_transfer(empty_configuration(), transfer)
        if latest.revision != self._holder.revision:
            self._holder.apply(latest)


class StuckHolder(ConfigurationHolder):
    """Wrong: applies its first configuration only."""

    def apply(self, accepted: AcceptedConfiguration) -> bool:
        return self.revision == 0 and super().apply(accepted)


# Each row: wrong components, and a pattern of the failure's message.
WRONG_VARIANTS = (
    (Parts(submit=submit_that_rejects_a_lost_answer), "REJECTED"),
    (Parts(submit=submit_that_moves_on), "accepted twice|is at|an edit was lost"),
    (Parts(holder_type=StuckHolder), "did not converge"),
    (Parts(holder_type=RevertingHolder, sync_type=RevertingSync), "went back"),
)


class ConfigurationStatefulTest(unittest.TestCase):
    def test_accepted_changes_reach_every_node_and_never_revert(self) -> None:
        fuzz_settings.run_machine(ConfigurationMachine)

    def test_wrong_variants_are_caught(self) -> None:
        for parts, message in WRONG_VARIANTS:
            variant = type("WrongMachine", (ConfigurationMachine,), {"parts": parts})
            with self.subTest(message), self.assertRaisesRegex(AssertionError, message):
                run_state_machine_as_test(variant, settings=FIRST_FAILURE)
