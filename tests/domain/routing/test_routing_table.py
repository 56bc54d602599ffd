import random
import unittest

import msgspec

from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    RoutingPolicy,
    Tenant,
)
from hopstep.domain.engines import (
    CacheEvent,
    CacheEventBatch,
    CacheEventKind,
    EngineFacts,
    EngineRole,
    LoadReport,
)
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import DomainError, ErrorCode

NOW = 100.0
PROMPT = "".join(f"{number:04d}" for number in range(3_000))
POLICY = RoutingPolicy(prefix_stride_blocks=1, prefill_tokens_per_second=1_000.0)
NONE = frozenset()


def engine(index, **changes):
    name = f"e{index}"
    return BackEnd(name, f"10.0.0.{index}:1", models=("m",), **changes)


def configuration(back_ends, policy=POLICY):
    document = Configuration(tuple(back_ends), (Tenant("a"), Tenant("b")), routing=policy)
    return AcceptedConfiguration(1, document)


def request(tenant="a", prompt=PROMPT, weights="w1", name="r"):
    return InferenceRequest(
        name, Tenant(tenant), RequestClass("c"), Model("m", weights), prompt, 10
    )


def facts(incarnation="i1", weights="w1", **changes):
    return EngineFacts(incarnation, {"m": weights}, **changes)


class RoutingTableTest(unittest.TestCase):
    def setUp(self):
        self.engines = tuple(engine(index) for index in range(4))
        self.table = self.fresh()

    def fresh(self, policy=POLICY):
        table = RoutingTable(random.Random(0))
        table.update_configuration(configuration(self.engines, policy))
        return table

    def receive_facts(self, index, *values, now=NOW, **changes):
        self.table.update_facts(self.engines[index].address, facts(*values, **changes), now)

    def choose(self, *arguments, excluded=NONE, now=NOW, table=None, **changes):
        chooser = table or self.table
        return chooser.choose(request(*arguments, **changes), self.engines, excluded, now)

    def run_at(self, index, incarnation="i1", **changes):
        """Run the request at one engine to its end."""
        asked = request(**changes)
        choice = self.table.choose(asked, (self.engines[index],), NONE, NOW)
        self.table.record_dispatch("n", choice, NOW)
        self.table.record_first_token("n", incarnation, 0, NOW)
        self.table.record_end("n", NOW)

    def test_routers_without_any_picture_agree(self):
        names = set()
        for number in range(20):
            prompt = f"{number:04d}" + PROMPT
            choices = [self.choose(prompt=prompt, name="r", table=self.fresh()) for _ in range(3)]
            self.assertEqual(len({choice.back_end.name for choice in choices}), 1)
            self.assertFalse(choices[0].relies_on_cache)
            names.add(choices[0].back_end.name)
        self.assertEqual(len(names), 4)

    def test_a_learned_prefix_is_relied_on_with_its_incarnation(self):
        for index in range(4):
            self.receive_facts(index)
        self.run_at(2)
        choice = self.choose(prompt=PROMPT + "more")
        self.assertEqual(choice.back_end, self.engines[2])
        self.assertEqual((choice.relies_on_cache, choice.incarnation), (True, "i1"))
        self.assertEqual(choice.expected_cached_tokens, 3_000 // 16 * 16)

    def test_what_ends_reliance_on_an_engine(self):
        cases = {
            "another tenant": lambda: {"tenant": "b"},
            "other weights asked": lambda: self.receive_facts(2, "i1", "w2") or {"weights": "w2"},
            "a new incarnation": lambda: self.receive_facts(2, "i2") or {},
            "weights rolled and back": lambda: (
                self.receive_facts(2, "i1", "w2") or self.receive_facts(2, "i1", "w1") or {}
            ),
            "an answer of another incarnation": lambda: self.run_at(2, "i2", name="q") or {},
            "a failed precondition": lambda: (
                self.table.record_precondition_failed(self.engines[2].address, NOW) or {}
            ),
            "an eviction": lambda: self.evict("i1") or {},
        }
        for name, change in cases.items():
            with self.subTest(name):
                self.table = self.fresh()
                self.receive_facts(2)
                self.run_at(2)
                self.assertTrue(
                    self.table.choose(request(), self.engines[2:3], NONE, NOW).relies_on_cache
                )
                asked = request(**change())
                choice = self.table.choose(asked, self.engines[2:3], NONE, NOW)
                self.assertFalse(choice.relies_on_cache)

    def test_late_events_of_an_earlier_incarnation_change_nothing(self):
        self.receive_facts(2, "i2")
        self.run_at(2, "i2")
        self.evict("i1")
        self.assertTrue(self.table.choose(request(), self.engines[2:3], NONE, NOW).relies_on_cache)

    def evict(self, incarnation):
        """Record an eviction of all heads of the prompt at the third engine."""
        heads = self.table.choose(request(), self.engines[2:3], NONE, NOW).prefix_heads
        event = CacheEvent(1, CacheEventKind.EVICTED, heads)
        batch = CacheEventBatch(incarnation, (event,))
        self.table.record_events(self.engines[2].address, batch)

    def test_a_stored_event_makes_another_routers_work_known(self):
        self.receive_facts(3)
        heads = self.choose().prefix_heads
        event = CacheEvent(1, CacheEventKind.STORED, heads)
        self.table.record_events(self.engines[3].address, CacheEventBatch("i1", (event,)))
        self.assertEqual(self.choose().back_end, self.engines[3])

    def test_engines_that_never_get_new_work(self):
        cases = {
            "excluded": lambda: frozenset({"e1"}),
            "says that it is leaving": lambda: self.receive_facts(1, leaving=True),
            "listed as leaving": lambda: self.table.update_leaving(
                frozenset({self.engines[1].address})
            ),
            "other weights": lambda: self.receive_facts(1, "i1", "w0"),
            "standby": lambda: self.receive_facts(1, role=EngineRole.STANDBY),
        }
        for name, change in cases.items():
            with self.subTest(name):
                self.table = self.fresh()
                self.receive_facts(1)
                self.run_at(1)
                excluded = change() or NONE
                choice = self.choose(excluded=excluded)
                self.assertNotEqual(choice.back_end, self.engines[1])
                with self.assertRaises(DomainError) as caught:
                    self.table.choose(request(), self.engines[1:2], excluded, NOW)
                self.assertEqual(caught.exception.code, ErrorCode.NO_ADMISSIBLE_BACK_END)

    def test_a_long_wait_outweighs_a_cached_prefix(self):
        self.receive_facts(2)
        self.run_at(2)
        self.assertEqual(self.choose().back_end, self.engines[2])
        self.receive_facts(
            2, load=LoadReport(running=1, waiting_prefill_tokens=20_000), now=NOW + 1
        )
        self.assertNotEqual(self.choose(now=NOW + 1).back_end, self.engines[2])

    def test_a_prefix_is_kept_while_every_engine_has_a_backlog(self):
        for other_wait, moved in ((0, True), (16_000, False)):
            with self.subTest(other_wait):
                self.table = self.fresh()
                self.receive_facts(2)
                self.run_at(2)
                for index in range(4):
                    tokens = 20_000 if index == 2 else other_wait
                    self.receive_facts(index, load=LoadReport(1, 0, tokens), now=NOW + 1)
                choice = self.choose(now=NOW + 1)
                self.assertEqual(choice.back_end != self.engines[2], moved)

    def test_own_requests_since_the_report_count(self):
        first = self.choose().back_end
        other = request(prompt="0000" * 20_000, name="q")
        self.table.record_dispatch("n", self.table.choose(other, (first,), NONE, NOW), NOW)
        self.assertEqual(self.table.expected_requests(first.address), 1)
        self.assertNotEqual(self.choose().back_end, first)
        self.table.record_end("n", NOW)
        self.assertEqual(self.table.expected_requests(first.address), 0)

    def test_work_of_lower_priority_does_not_count(self):
        for priority, moved in ((5, False), (10, True), (20, True)):
            with self.subTest(priority):
                self.table = self.fresh()
                first = self.choose().back_end
                other = request(prompt="0000" * 20_000, name="q")
                self.table.record_dispatch("n", self.table.choose(other, (first,), NONE, NOW), NOW)
                self.receive_facts(
                    self.engines.index(first), load=LoadReport(1, 0, 20_000), now=NOW + 1
                )
                asked = request()
                asked = msgspec.structs.replace(
                    asked, request_class=RequestClass("c", priority=priority)
                )
                choice = self.table.choose(asked, self.engines, NONE, NOW + 1)
                self.assertEqual(choice.back_end != first, moved)

    def test_a_failed_engine_is_avoided_and_comes_back(self):
        first = self.choose().back_end
        self.table.record_failure(first.address, NOW)
        self.assertNotEqual(self.choose().back_end, first)
        self.assertEqual(self.choose(now=NOW + 60).back_end, first)
        only = self.table.choose(request(), (first,), NONE, NOW)
        self.assertEqual(only.back_end, first)

    def test_the_kv_cache_store_is_one_of_the_tenants_places(self):
        store = BackEnd("s", "10.0.1.1:1", BackEndKind.KV_CACHE_STORE, {"zone": "z"})
        for speed, expected in ((0.0, ""), (1_000.0, store.address)):
            with self.subTest(speed):
                policy = RoutingPolicy(import_tokens_per_second=speed)
                self.table.update_configuration(configuration((*self.engines, store), policy))
                self.assertEqual(self.choose().kv_cache_store, expected)
