"""A key runs at most once under all faults: the oracle counts runs at the engines."""

import contextlib
import unittest

import structlog
import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from trio.testing import MockClock, wait_all_tasks_blocked

from emulator.platform.faults import FaultOrder
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.claims import HeldClaim
from hopstep.services.claim_sweeper import DEFAULT_RETENTION_SECONDS, ClaimSweeper
from hopstep.services.claims import ClaimService
from tests import fuzz_settings
from tests.services.claim_world import ENGINES, ClaimWorld, Router, RouterKilledError, run_in_world

KEYS = st.sampled_from(["k1", "k2"])
ROUTERS = st.integers(0, 1)
ADDRESSES = st.sampled_from(ENGINES)
PAUSES = st.sampled_from([None, None, 0, 1, 2, 3, 4, 5, 6])
CALLS_OF_A_CLAIM = 2  # Before and after the swap; the next one is before the dispatch.
FAULTS = st.sampled_from(
    [
        FaultOrder(outage=True),
        FaultOrder(outage=False),
        FaultOrder(outage=False, stale_reads=2),
        FaultOrder(lost_answers=1),
        FaultOrder(lost_requests=1),
        FaultOrder(lapse_leases=True),
    ]
)


class ClaimMachine(RuleBasedStateMachine):
    world_class = ClaimWorld
    nursery = None
    clock = None

    def __init__(self):
        super().__init__()
        trio.from_thread.run(self.start)

    async def start(self):
        self.world = self.world_class(self.nursery, self.clock)

    def teardown(self):
        for router in self.world.routers:
            self.run(self.act, router.kill)

    def run(self, call, *arguments):
        trio.from_thread.run(call, *arguments)

    def pick(self, data, submissions):
        return data.draw(st.sampled_from(submissions))

    @rule(key=KEYS, router=ROUTERS, address=ADDRESSES, pause=PAUSES)
    def submit(self, key, router, address, pause):
        chosen = self.world.routers[router]
        if pause is not None:
            chosen.calls_until_pause = pause
        self.run(self.world.submit, key, chosen, address)

    @precondition(lambda self: self.world.sent())
    @rule(data=st.data())
    def deliver(self, data):
        submission = self.pick(data, self.world.sent())
        trio.from_thread.run_sync(self.world.deliver, submission)

    @rule(router=ROUTERS)
    def resume(self, router):
        self.run(self.act, self.world.routers[router].resume)

    @rule(router=ROUTERS)
    def kill(self, router):
        self.run(self.act, self.world.routers[router].kill)
        self.run(self.act, self.replace_router, router)

    @rule(router=ROUTERS, lose_fence_answer=st.booleans(), cut_off=st.booleans())
    def disturb(self, router, lose_fence_answer, cut_off):
        self.world.routers[router].lose_fence_answer = lose_fence_answer
        self.world.routers[router].store.cut_off = cut_off

    @rule(fault=FAULTS)
    def disturb_store(self, fault):
        self.run(self.act, self.world.shared.order_faults, fault)

    @rule(address=ADDRESSES, down=st.booleans())
    def reach(self, address, down):
        self.world.engines.set_down(address, down)

    @rule(address=ADDRESSES)
    def crash(self, address):
        self.run(self.act, lambda: self.world.engines.model(address).crash(trio.current_time()))

    @rule(seconds=st.sampled_from([0.5, 5.0]))
    def advance(self, seconds):
        self.run(self.world.advance, seconds)

    @precondition(lambda self: self.unsent())
    @rule(data=st.data(), again=st.booleans(), address=ADDRESSES)
    def recall(self, data, again, address):
        submission = self.pick(data, self.unsent())
        held = self.world.recall(submission)
        if again:
            self.run(self.world.submit, submission.key, submission.router, address, held)
        else:
            self.nursery_start(submission.router.claims.release, held)

    @rule()
    def sweep(self):
        self.run(self.world.advance, DEFAULT_RETENTION_SECONDS)
        self.run(self.world.sweep)

    @invariant()
    def runs_at_most_once(self):
        trio.from_thread.run_sync(self.world.check)

    def unsent(self):
        return [
            submission
            for submission in self.world.sent()
            if submission.nonce not in self.world.delivered and not submission.router.killed
        ]

    def nursery_start(self, call, *arguments):
        self.run(self.act, self.nursery.start_soon, swallow_kill, call, *arguments)

    async def act(self, action, *arguments):
        action(*arguments)
        await wait_all_tasks_blocked()

    def replace_router(self, index):
        self.world.routers[index] = Router(self.world, f"r{len(self.world.submissions)}")


async def swallow_kill(call, *arguments):
    """Run a task of a router that may be killed during it."""
    with contextlib.suppress(RouterKilledError):
        await call(*arguments)


class AssumingClaims(ClaimService):
    """Wrong variant: takes a lost answer for a success."""

    async def _read_back(self, key, own):
        return HeldClaim(key, 0, own)


class TakingClaims(ClaimService):
    """Wrong variant: dispatches without waiting for the swap."""

    async def _take_over(self, found, own):
        return HeldClaim(found.key, found.version, own)


class UnfencedSweeper(ClaimSweeper):
    """Wrong variant: deletes old claims without fencing them at their engines."""

    async def _delete_if_old(self, value):
        await self._store.delete(value.key, value.version)
        return True


async def lose_a_claim(world):
    world.shared.order_faults(FaultOrder(lost_requests=1))
    await world.submit("k1", world.routers[0], ENGINES[0])
    await world.submit("k1", world.routers[1], ENGINES[1])


async def repeat_before_delivery(world):
    await world.submit("k1", world.routers[0], ENGINES[0])
    await world.submit("k1", world.routers[1], ENGINES[1])


async def repeat_after_a_crash(world):
    await world.submit("k1", world.routers[0], ENGINES[0])
    await world.deliver_all()
    world.engines.model(ENGINES[0]).crash(trio.current_time())
    await world.submit("k1", world.routers[1], ENGINES[1])


async def wake_a_holder_after_its_lease(world):
    world.routers[0].calls_until_pause = CALLS_OF_A_CLAIM
    await world.submit("k1", world.routers[0], ENGINES[0])
    world.shared.order_faults(FaultOrder(lapse_leases=True))
    await world.submit("k1", world.routers[1], ENGINES[1])


async def wake_a_holder_after_the_sweep(world):
    world.routers[0].calls_until_pause = CALLS_OF_A_CLAIM
    await world.submit("k1", world.routers[0], ENGINES[0])
    await world.advance(DEFAULT_RETENTION_SECONDS)
    await world.sweep()
    await world.submit("k1", world.routers[1], ENGINES[1])


async def wake_a_holder_at_an_engine_that_was_cut_off(world):
    world.engines.set_down(ENGINES[0], True)
    world.routers[0].calls_until_pause = CALLS_OF_A_CLAIM
    await world.submit("k1", world.routers[0], ENGINES[0])
    for _ in range(10):
        await world.advance(DEFAULT_RETENTION_SECONDS)
        await world.sweep()
    world.engines.set_down(ENGINES[0], False)


async def kill_a_holder_before_dispatch(world):
    world.routers[0].calls_until_pause = CALLS_OF_A_CLAIM
    await world.submit("k1", world.routers[0], ENGINES[0])
    world.routers[0].kill()
    await world.submit("k1", world.routers[1], ENGINES[1])
    await world.submit("k1", world.routers[1], ENGINES[0])


# Name, script, and the mutation that the script detects.
SCRIPTS = (
    ("a lost answer counts as a claim", lose_a_claim, {"claims_class": AssumingClaims}),
    ("taken over without a fence", repeat_before_delivery, {"peek_only": True}),
    ("taken over after a restart", repeat_after_a_crash, {"trust_restarts": True}),
    ("claims lapse", wake_a_holder_after_its_lease, {"leased": True}),
    ("forgotten unfenced", wake_a_holder_after_the_sweep, {"sweeper_class": UnfencedSweeper}),
    (
        "forgotten by age",
        wake_a_holder_at_an_engine_that_was_cut_off,
        {"sweeper_class": UnfencedSweeper},
    ),
    ("taken over unproved", kill_a_holder_before_dispatch, {"claims_class": TakingClaims}),
)


class ClaimsStatefulTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())

    def test_at_most_once(self):
        def run(nursery, clock):
            machine = type("Machine", (ClaimMachine,), {"nursery": nursery, "clock": clock})
            fuzz_settings.run_machine(machine, base_examples=60, base_steps=40)

        run_in_world(run)

    def test_one_runs_and_wrong_variants_are_caught(self):
        for name, script, mutation in SCRIPTS:
            with self.subTest(name):
                self.assertEqual(run_script(ClaimWorld, script), 1)
                wrong_world = type("WrongWorld", (ClaimWorld,), mutation)
                with self.assertRaises(AssertionError):
                    run_script(wrong_world, script)


def run_script(world_class, script):
    """Run a script, then deliver all requests; return the number of runs."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = world_class(nursery, trio.lowlevel.current_clock())
            await script(world)
            await world.deliver_all()
            for router in world.routers:
                router.resume()
            await world.deliver_all()
            runs.append(len(world.runs()))

    runs = []
    with unwrapped_failures():
        run_in_virtual_time(main, clock=MockClock())
    return runs[0]


@contextlib.contextmanager
def unwrapped_failures():
    """Raise the oracle's failure itself instead of the nursery's exception group."""
    try:
        yield
    except* AssertionError as group:
        raise AssertionError(str(group.exceptions[0])) from None
