"""A request that is refused as "not run" has not run."""

import trio

from emulator.engine.faults import EngineFaults, RefusalFault, StreamFault
from emulator.simulation.callers import Mix
from emulator.simulation.history import Outcome
from hopstep.domain.attempts import AttemptState
from hopstep.exceptions import ErrorCode
from hopstep.services.requests.attempt import Attempt
from tests.simulation.harness import SimulationTest, alone_and_in_pairs, call, under_load

ROUTERS = ("r0", "r1", "r2")
IMPATIENT = Mix(leave_share=0.5, once_share=0.6, repeat_share=0.3)


def engines(cluster):
    return [item.name for item in cluster.deployment.back_ends if item.models]


def every_engine(**faults):
    async def induce(cluster):
        for engine in engines(cluster):
            cluster.set_engine_faults(engine, EngineFaults(**faults))
        await trio.sleep(2)
        for engine in engines(cluster):
            cluster.set_engine_faults(engine, EngineFaults())

    return induce


def cut_at(point):
    """Return a fault that cuts a router off from all engines when it reaches a point."""

    async def induce(cluster):
        for router in ROUTERS:

            def cut(router=router):
                for engine in engines(cluster):
                    cluster.cut_engine(router, engine)

            cluster.routers[router].gate.trap(point, cut)
        await trio.sleep(3)
        cluster.heal()

    return induce


async def closed(cluster):
    for engine in engines(cluster):
        cluster.world.engines.set_down(cluster.back_end(engine).address, True)
    await trio.sleep(1)
    for engine in engines(cluster):
        cluster.world.engines.set_down(cluster.back_end(engine).address, False)


FAULTS = {
    "cut before the request": cut_at("engine.generate"),
    "cut after the request": cut_at("engine.generate.answered"),
    "cut in the stream": cut_at("engine.frame"),
    "answers lost": every_engine(lost_answers=3),
    "connections refused": closed,
    "attempts refused": every_engine(refusal=RefusalFault(count=4)),
    "stream broken before its first frame": every_engine(
        stream=StreamFault(streams=4, cut_after_tokens=0)
    ),
    "attempts refused as being loaded": every_engine(
        refusal=RefusalFault(code=ErrorCode.NOT_READY, count=4)
    ),
    "frozen": every_engine(frozen=True),
    "crashed": every_engine(crash=True),
}


def record_as_not_run(attempt, error):
    attempt.cause = error.code
    attempt.state = AttemptState.NOT_RUN


class NotRunTest(SimulationTest):
    @staticmethod
    def body(*names):
        async def run(cluster):
            faults = [FAULTS[name] for name in names]
            await under_load(cluster, *faults, mix=IMPATIENT)

        return run

    def test_a_request_refused_as_not_run_has_not_run(self):
        for names in alone_and_in_pairs(FAULTS):
            with self.subTest(faults=names):
                self.run_clean(self.body(*names))

    def test_a_request_that_no_engine_accepted_is_refused_as_not_run(self):
        async def body(cluster):
            for engine in engines(cluster):
                cluster.world.engines.set_down(cluster.back_end(engine).address, True)
            for request_class in ("quick", "once"):
                answer = await cluster.ask("r0", call(request_class=request_class))
                self.assertEqual(answer.outcome, Outcome.REFUSED)
                self.assertTrue(answer.reports_not_run, answer)

        self.run_clean(body)

    def test_a_variant_that_reports_not_run_without_proof_is_caught(self):
        async def body(cluster):
            for engine in engines(cluster):
                cluster.set_engine_faults(engine, EngineFaults(lost_answers=20))
            await cluster.ask("r0", call(request_class="once"))

        self.run_clean(body)
        self.assert_caught("not run", body, (Attempt, "record_error", record_as_not_run))
