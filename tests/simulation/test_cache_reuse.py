"""Cache entries of a crashed engine, another tenant or older weights are never used."""

import contextlib
from unittest import mock

import msgspec
import trio

from emulator.engine.faults import EngineFaults
from emulator.simulation.deployment import MODEL, sample_deployment
from emulator.simulation.history import Outcome
from hopstep.domain.blocks import block_keys, cache_salt
from hopstep.domain.configuration.document import Model
from hopstep.domain.configuration.log import Section
from hopstep.domain.engines import CacheEvent, CacheEventBatch, CacheEventKind
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.services.requests import attempt_factory
from hopstep.services.requests.attempt_factory import AttemptFactory
from tests.simulation.harness import (
    PROMPT,
    STEADY,
    SimulationTest,
    alone_and_in_pairs,
    call,
    under_load,
)

ENGINES = [item.name for item in sample_deployment().back_ends if item.models]


async def warm(cluster, tenant="anywhere"):
    for number in range(4):
        await cluster.ask("r0", call(tenant, text=f"warm {number}", max_tokens=4))


async def crash_between_routing_and_dispatch(cluster):
    def crash():
        for engine in ENGINES:
            cluster.crash(engine)

    for router in ("r0", "r1", "r2"):
        cluster.routers[router].gate.trap("engine.generate", crash)
    await trio.lowlevel.checkpoint()


async def roll_weights(cluster):
    await cluster.edit(Model(MODEL, "v2"), Section.MODELS)


async def roll_there_and_back(cluster):
    await roll_weights(cluster)
    await trio.sleep(1.5)
    await cluster.edit(Model(MODEL, "v1"), Section.MODELS)


async def forged_and_stale_events(cluster):
    """Report to all routers that each engine holds all prefixes, in a past incarnation too."""
    keys = tuple(
        key
        for tenant in ("anywhere", "inland", "harbour")
        for key in block_keys(PROMPT, cache_salt(tenant, "v1"))
    )
    for engine in ENGINES:
        address = cluster.back_end(engine).address
        for incarnation in (f"{engine}.1", f"{engine}.0"):
            event = CacheEvent(1, CacheEventKind.STORED, keys)
            batch = CacheEventBatch(incarnation, (event,))
            for router in cluster.routers.values():
                router.services.table.record_events(address, batch)
    await trio.lowlevel.checkpoint()


async def events_lost_and_late(cluster):
    for engine in ENGINES:
        faults = EngineFaults(drop_events=True, event_delay_seconds=3.0, report_lag_seconds=5.0)
        cluster.set_engine_faults(engine, faults)
    await trio.lowlevel.checkpoint()


FAULTS = {
    "crash between routing and dispatch": crash_between_routing_and_dispatch,
    "weights rolled under load": roll_weights,
    "forged and stale events": forged_and_stale_events,
    "weights rolled there and back": roll_there_and_back,
    "events lost and late": events_lost_and_late,
}


def with_kv_cache_store():
    return sample_deployment(max_concurrent_requests=2, kv_cache_store=True)


def salt_without_tenant(tenant, weights_version):
    return cache_salt("", weights_version)


def salt_without_weights(tenant, weights_version):
    return cache_salt(tenant, "")


ASSEMBLE = AttemptFactory._assemble


def assemble_without_incarnation(factory, request, slot, incarnation, delivered):
    attempt = ASSEMBLE(factory, request, slot, incarnation, delivered)
    attempt.request = msgspec.structs.replace(attempt.request, incarnation="")
    return attempt


@contextlib.contextmanager
def choices():
    """Collect the routing choice of each attempt, by nonce."""
    found = {}
    original = RoutingTable.record_dispatch

    def record(table, nonce, choice, now):
        found[nonce] = choice
        original(table, nonce, choice, now)

    with mock.patch.object(RoutingTable, "record_dispatch", record):
        yield found


class CacheReuseTest(SimulationTest):
    def test_faults_lead_to_no_wrong_hit(self):
        for names in alone_and_in_pairs(FAULTS):
            with self.subTest(faults=names):

                async def body(cluster, names=names):
                    await warm(cluster)
                    await under_load(cluster, *[FAULTS[name] for name in names], mix=STEADY)

                cluster = self.run_clean(body, deployment=with_kv_cache_store())
                self.assert_all_complete(cluster)
                dispatches = cluster.history.dispatches
                self.assertTrue(any(item.cached_tokens for item in dispatches))
                self.assertTrue(any(item.imported_tokens for item in dispatches))

    async def crash_under_a_choice(self, cluster):
        await warm(cluster)
        await crash_between_routing_and_dispatch(cluster)
        answer = await cluster.ask("r0", call(text="after the crash"))
        self.assertEqual(answer.outcome, Outcome.COMPLETE)

    def attempts_without_incarnation(self):
        """Return attempts that relied on cached blocks without naming the incarnation."""
        with choices() as found:
            cluster = self.run_clean(self.crash_under_a_choice)
        sent = {item.request.nonce: item.request for item in cluster.history.dispatches}
        relied = [nonce for nonce, choice in found.items() if choice.relies_on_cache]
        self.assertTrue(relied)
        return [
            n
            for n in relied
            if sent[n].incarnation != found[n].incarnation or not sent[n].incarnation
        ]

    def test_an_attempt_that_relies_on_blocks_names_their_incarnation(self):
        self.assertEqual(self.attempts_without_incarnation(), [])
        variant = (AttemptFactory, "_assemble", assemble_without_incarnation)
        with mock.patch.object(*variant):
            self.assertTrue(self.attempts_without_incarnation())

    def test_the_same_prompt_of_two_tenants_shares_nothing(self):
        async def body(cluster):
            for tenant in ("anywhere", "inland", "anywhere", "inland"):
                await cluster.ask("r0", call(tenant, max_tokens=4))

        deployment = sample_deployment(engines=2)
        cluster = self.run_clean(body, deployment=deployment)
        hits = [answer.cached_tokens > 0 for answer in cluster.history.answers]
        self.assertEqual(hits[:2], [False, False])
        self.assertTrue(any(hits[2:]))

    def test_wrong_variants_are_caught(self):
        async def two_tenants(cluster):
            for tenant in ("anywhere", "inland", "harbour"):
                for _ in range(3):
                    await cluster.ask("r1", call(tenant, max_tokens=4))

        async def two_weights(cluster):
            await warm(cluster)
            await roll_weights(cluster)
            await trio.sleep(3)
            await warm(cluster)

        for name, body, salt in (
            ("salt without tenant", two_tenants, salt_without_tenant),
            ("salt without weights", two_weights, salt_without_weights),
        ):
            with self.subTest(variant=name):
                self.assert_caught(
                    "cache",
                    body,
                    (attempt_factory, "cache_salt", salt),
                    deployment=with_kv_cache_store(),
                )
