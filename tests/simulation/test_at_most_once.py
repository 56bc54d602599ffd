"""A request that isn't repeatable runs at most once, when routers and engines fail or pause."""

import trio

from emulator.engine.faults import EngineFaults
from emulator.platform.faults import FaultOrder
from emulator.simulation.history import Outcome
from hopstep.domain.claims import EarlierAttempt, HeldClaim
from hopstep.services import claims
from hopstep.services.claims import ClaimService
from tests.simulation.harness import SimulationTest, call

KEY = call(request_class="once", text="print the plate", key="plate-1")
CLAIM = "store.CompareAndSwap"
DISPATCH = "engine.generate"


def trap(point, action):
    """Return a fault that calls ``action`` when the first router reaches a point."""

    async def induce(cluster):
        cluster.routers["r0"].gate.trap(point, lambda: action(cluster))

    return induce


def kill(cluster):
    cluster.routers["r0"].kill()


def pause(cluster):
    cluster.pause("r0")


def crash_engines(cluster):
    for engine in cluster.deployment.back_ends:
        if engine.models:
            cluster.crash(engine.name)


async def nothing(cluster):
    await trio.lowlevel.checkpoint()


def platform(**faults):
    async def induce(cluster):
        cluster.order_platform_faults(FaultOrder(**faults))

    return induce


async def lose_engine_answers(cluster):
    for engine in cluster.deployment.back_ends:
        if engine.models:
            cluster.set_engine_faults(engine.name, EngineFaults(lost_answers=1))


RUNS = {
    "no fault": (nothing, 1),
    "killed before the claim": (trap(CLAIM, kill), 1),
    "killed between claim and dispatch": (trap(f"{CLAIM}.answered", kill), 1),
    "killed at the dispatch": (trap(DISPATCH, kill), 1),
    "killed after the dispatch": (trap(f"{DISPATCH}.answered", kill), 1),
    "killed in the stream": (trap("engine.frame", kill), 1),
    "paused before the claim": (trap(CLAIM, pause), 1),
    "paused between claim and dispatch": (trap(f"{CLAIM}.answered", pause), 1),
    "paused at the dispatch": (trap(DISPATCH, pause), 1),
    "paused after the dispatch": (trap(f"{DISPATCH}.answered", pause), 1),
    "engines crash at the dispatch": (trap(DISPATCH, crash_engines), 0),
    "engines crash after the dispatch": (trap(f"{DISPATCH}.answered", crash_engines), 0),
    "the claim's answer is lost": (platform(lost_answers=1), 1),
    "the claim is lost": (platform(lost_requests=1), 1),
    "the store is slow": (platform(slow_seconds=1.0), 1),
    "the store is down": (platform(outage=True), 0),
    "the engine's answer is lost": (lose_engine_answers, 1),
}
"""Faults, each with the fewest runs of the key over all its requests."""


async def swap_nothing(service, key, expected_version, own):
    await trio.lowlevel.checkpoint()
    return HeldClaim(key, 1, own)


async def trust_missing_answer(engines, claim):
    await trio.lowlevel.checkpoint()
    return EarlierAttempt.NEVER_STARTS


class AtMostOnceTest(SimulationTest):
    @staticmethod
    def body(fault, pause_seconds=4.0):
        """Send a key to two routers at once, and again to routers during and after a fault."""

        async def run(cluster):
            await fault(cluster)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.ask, "r0", KEY)
                await trio.sleep(0.05)
                nursery.start_soon(cluster.ask, "r0", KEY)
                nursery.start_soon(cluster.ask, "r1", KEY)
                await trio.sleep(pause_seconds)
                nursery.start_soon(cluster.ask, "r2", KEY)
                await trio.sleep(1)
                if cluster.routers["r0"].gate.paused:
                    cluster.resume("r0")
            await cluster.restart()
            await trio.sleep(3)
            await cluster.ask("r0", KEY)
            await cluster.ask("r2", KEY)

        return run

    def test_every_key_runs_once_at_most(self):
        for name, (fault, fewest) in RUNS.items():
            with self.subTest(fault=name):
                cluster = self.run_clean(self.body(fault))
                runs = sum(len(records) for records in cluster.runs.values())
                self.assertGreaterEqual(runs, fewest)
                answers = cluster.history.answers
                complete = [item for item in answers if item.outcome is Outcome.COMPLETE]
                self.assertLessEqual(len(complete), 1)

    def test_two_faults_together(self):
        for one, other in (
            ("paused at the dispatch", "the claim's answer is lost"),
            ("killed between claim and dispatch", "the store is slow"),
            ("paused after the dispatch", "the engine's answer is lost"),
            ("killed after the dispatch", "the claim is lost"),
        ):
            with self.subTest(faults=(one, other)):

                async def both(cluster, one=one, other=other):
                    await RUNS[one][0](cluster)
                    await RUNS[other][0](cluster)

                self.run_clean(self.body(both))

    def test_a_claim_holder_that_resumes_after_a_long_pause_runs_nothing(self):
        cluster = self.run_clean(self.body(RUNS["paused at the dispatch"][0], pause_seconds=90.0))
        self.assertEqual(sum(len(records) for records in cluster.runs.values()), 1)

    def test_a_refusal_with_the_store_down_is_at_once_and_not_run(self):
        cluster = self.run_clean(self.body(RUNS["the store is down"][0]))
        first = cluster.history.answers[0]
        self.assertEqual((first.code, first.execution), ("claims_unavailable", "not_run"))
        self.assertLess(first.ended_at - first.started_at, 0.1)

    def test_wrong_variants_are_caught(self):
        for name, fault, variant in (
            ("swap skipped", "no fault", (ClaimService, "_swap", swap_nothing)),
            (
                "an unresponsive attempt taken for dead",
                "paused after the dispatch",
                (claims, "fence_claim", trust_missing_answer),
            ),
        ):
            with self.subTest(variant=name):
                self.assert_caught("at most once", self.body(RUNS[fault][0]), variant)
