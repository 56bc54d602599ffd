"""Callers receive streams complete and in order, each with the answer to its own request."""

import trio

from emulator.engine.faults import EngineFaults, StreamFault
from emulator.simulation.history import Outcome
from hopstep.domain.attempts import FrameCheck, FrameChecker, FrameVerdict
from hopstep.domain.inference import AnswerFinish, AnswerPart
from hopstep.services.requests.answer_progress import AnswerProgress
from tests.simulation.harness import (
    STEADY,
    SimulationTest,
    alone_and_in_pairs,
    call,
    under_load,
)

ENGINES = ("e0", "e1", "e2", "e3")
MANY = 8
STREAM_FAULTS = {
    "cut at the first token": StreamFault(streams=MANY, cut_after_tokens=0),
    "cut after the first token": StreamFault(streams=MANY, cut_after_tokens=1),
    "cut in the middle": StreamFault(streams=MANY, cut_after_tokens=7),
    "cut at the last token": StreamFault(streams=MANY, cut_after_tokens=20),
    "duplicated": StreamFault(streams=MANY, duplicate_frames=True),
    "reordered": StreamFault(streams=MANY, reorder_frames=True),
    "late": StreamFault(streams=MANY, late_seconds=0.3),
    "crossed with another attempt": StreamFault(streams=MANY, injected_nonce="r0.1.1"),
    "of another attempt": StreamFault(streams=MANY, foreign_nonce="r0.1.1"),
    "of before the restart, doubled": StreamFault(
        streams=MANY, injected_nonce="r9.0.1", duplicate_frames=True
    ),
}


def stream_fault(*faults):
    async def induce(cluster):
        for engine, fault in zip(ENGINES, faults * len(ENGINES), strict=False):
            cluster.set_engine_faults(engine, EngineFaults(stream=fault))
        await trio.sleep(3)
        for engine in ENGINES:
            cluster.set_engine_faults(engine, EngineFaults())

    return induce


async def crash(cluster):
    for engine in ENGINES:
        cluster.crash(engine)
        await trio.sleep(0.4)


async def freeze(cluster):
    for engine in ENGINES[:3]:
        cluster.set_engine_faults(engine, EngineFaults(frozen=True))
        await trio.sleep(2.5)
        cluster.set_engine_faults(engine, EngineFaults())


async def freeze_longer_than_the_idle_timeout(cluster):
    cluster.set_engine_faults("e1", EngineFaults(frozen=True))
    await trio.sleep(6)
    cluster.crash("e1")


async def cut_links(cluster):
    for router in ("r0", "r1", "r2"):
        for engine in ENGINES:
            cluster.cut_engine(router, engine)
        await trio.sleep(1)
        cluster.heal()


async def pause_router(cluster):
    cluster.pause("r1")
    await trio.sleep(4)
    cluster.resume("r1")


ENGINE_FAULTS = {
    "crash": crash,
    "freeze": freeze,
    "long freeze, then crash": freeze_longer_than_the_idle_timeout,
    "cut links": cut_links,
    "paused router": pause_router,
}


CHECK = FrameChecker.check


def check_without_nonce(checker, nonce, incarnation, sequence, token_count, last):
    return CHECK(checker, checker.nonce, incarnation, sequence, token_count, last)


def check_without_sequence(checker, nonce, incarnation, sequence, token_count, last):
    if nonce != checker.nonce:
        return FrameCheck(FrameVerdict.FOREIGN)
    checker.next_sequence += token_count
    return FrameCheck(FrameVerdict.ACCEPT)


def finish_at_the_interruption(progress, engine):
    part = AnswerPart(progress.delivered_tokens, (), engine, AnswerFinish.LENGTH, progress._usage())
    progress._stream.put_now(part)
    return True


class StreamTest(SimulationTest):
    def check_answers(self, fault, mix=STEADY):
        async def body(cluster):
            await under_load(cluster, fault, mix=mix)

        cluster = self.run_clean(body)
        complete = [item for item in cluster.history.answers if item.outcome is Outcome.COMPLETE]
        self.assertGreater(len(complete), 10)
        return cluster

    def test_no_fault_of_a_stream_is_seen_by_callers(self):
        for names in alone_and_in_pairs(STREAM_FAULTS):
            with self.subTest(faults=names):
                faults = [STREAM_FAULTS[name] for name in names]
                self.assert_all_complete(self.check_answers(stream_fault(*faults)))

    def test_engines_links_and_routers_fail_under_streams(self):
        for names in alone_and_in_pairs(ENGINE_FAULTS):
            with self.subTest(faults=names):

                async def body(cluster, names=names):
                    faults = [ENGINE_FAULTS[name] for name in names]
                    await under_load(cluster, *faults, mix=STEADY)

                self.assert_all_complete(self.run_clean(body), Outcome.FAILED)

    def test_a_slow_reader_gets_everything_while_its_engine_crashes(self):
        async def body(cluster):
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    asked = call(text=str(number), max_tokens=60)
                    nursery.start_soon(
                        lambda asked=asked: cluster.ask("r0", asked, seconds_per_part=0.3)
                    )
                await trio.sleep(0.7)
                for engine in ENGINES:
                    cluster.crash(engine)

        cluster = self.run_clean(body)
        self.assertEqual({item.outcome for item in cluster.history.answers}, {Outcome.COMPLETE})

    def test_wrong_variants_are_caught(self):
        for name, fault, variant in (
            (
                "nonce ignored",
                "crossed with another attempt",
                (FrameChecker, "check", check_without_nonce),
            ),
            ("sequence ignored", "duplicated", (FrameChecker, "check", check_without_sequence)),
            (
                "truncated without an error",
                "cut in the middle",
                (AnswerProgress, "finish_if_complete", finish_at_the_interruption),
            ),
        ):
            with self.subTest(variant=name):

                async def body(cluster, fault=fault):
                    await under_load(cluster, stream_fault(STREAM_FAULTS[fault]), mix=STEADY)

                self.assert_caught("stream", body, variant)
