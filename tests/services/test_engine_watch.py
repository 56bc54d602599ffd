"""Probes, publications and event reads stay within their rates for few and for many engines."""

import random
import unittest
from collections import Counter
from unittest import mock

import structlog.testing
import trio

from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd, Configuration
from hopstep.domain.engines import CacheEvent, CacheEventBatch, CacheEventKind, EngineFacts
from hopstep.domain.routing.event_budget import BYTES_PER_KEY
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.services import engine_watch
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.engine_watch import EngineWatch

RUN_SECONDS = 20.0
KEYS_PER_EVENT = 50


class CountingEngines:
    """Answers every probe at once, with one new event of many keys, and counts probes and keys."""

    def __init__(self):
        self.probes = Counter()
        self.keys_read = 0

    async def probe(self, address):
        self.probes[address] += 1
        sequence = self.probes[address]
        return EngineFacts(f"incarnation-of-{address}", {"model": "1"}, event_sequence=sequence)

    async def cache_events(self, address, incarnation, after):
        self.keys_read += KEYS_PER_EVENT
        event = CacheEvent(after + 1, CacheEventKind.STORED, tuple(range(KEYS_PER_EVENT)))
        return CacheEventBatch(incarnation, (event,))


async def watch(engine_count, event_bytes_per_second=0):
    """Return the engines and the number of publications over ``RUN_SECONDS``."""
    holder = ConfigurationHolder()
    back_ends = tuple(BackEnd(f"e{n}", f"10.0.0.1:{n + 1}") for n in range(engine_count))
    holder.apply(AcceptedConfiguration(1, Configuration(back_ends=back_ends)))
    engines = CountingEngines()
    table = RoutingTable(random.Random(1))
    published = []
    service = EngineWatch(
        engines,
        table,
        holder,
        lambda address: True,
        lambda address, _: published.append(address),
        event_bytes_per_second,
    )
    with trio.move_on_after(RUN_SECONDS):
        await service.run()
    return engines, len(published)


class ProbeRateTest(unittest.TestCase):
    def watch(self, *arguments):
        return run_in_virtual_time(watch, *arguments)

    def test_few_engines_are_probed_twice_a_second(self):
        probes = self.watch(6)[0].probes
        self.assertEqual(len(probes), 6)
        self.assertGreaterEqual(min(probes.values()), RUN_SECONDS / engine_watch.PROBE_SECONDS)

    def test_many_engines_share_a_bounded_rate(self):
        probes = self.watch(120)[0].probes
        first_round = 120
        rate = engine_watch.MAX_PROBES_PER_SECOND
        self.assertEqual(len(probes), 120)
        self.assertLessEqual(sum(probes.values()), first_round + rate * RUN_SECONDS)
        self.assertGreaterEqual(min(probes.values()), 2)

    def test_unchanged_facts_are_published_at_a_bounded_rate(self):
        for engines in (6, 120):
            _, published = self.watch(engines)
            rate = min(engines / engine_watch.PUBLISH_SECONDS, 2.5)
            self.assertGreaterEqual(published, engines, "the first facts are published")
            self.assertLessEqual(published, engines + rate * RUN_SECONDS + 1)

    def test_cache_events_are_read_within_their_budget(self):
        engines, _ = self.watch(6, 0)
        self.assertEqual(engines.keys_read, 0)
        rate = 3 * KEYS_PER_EVENT * BYTES_PER_KEY
        engines, _ = self.watch(6, rate)
        debt = KEYS_PER_EVENT * BYTES_PER_KEY
        allowed = (rate * (RUN_SECONDS + 1) + debt) / BYTES_PER_KEY
        self.assertLessEqual(engines.keys_read, allowed)
        self.assertGreater(engines.keys_read, 0.6 * allowed, "the budget is used")


class OddReportsTest(unittest.TestCase):
    def test_a_report_that_cannot_be_used_ends_no_watch_of_other_engines(self):
        # Whatever it made the router raise ended the task that watches all engines.
        async def main():
            holder = ConfigurationHolder()
            back_ends = tuple(BackEnd(f"e{n}", f"10.0.0.1:{n + 1}") for n in range(3))
            holder.apply(AcceptedConfiguration(1, Configuration(back_ends=back_ends)))
            engines = CountingEngines()
            table = mock.Mock(wraps=RoutingTable(random.Random(1)))
            table.record_events.side_effect = fail_for_first
            service = EngineWatch(engines, table, holder, lambda _: True, lambda *_: None, 10**9)
            with trio.move_on_after(RUN_SECONDS):
                await service.run()
            return engines.probes

        with structlog.testing.capture_logs() as lines:
            probes = run_in_virtual_time(main)
        self.assertGreaterEqual(min(probes.values()), RUN_SECONDS / engine_watch.PROBE_SECONDS)
        reasons = [line["reason"] for line in lines if line["event"] == "engine_unreachable"]
        self.assertTrue(reasons[0].startswith("OverflowError at "), reasons)


def fail_for_first(address, _batch):
    """Fail as an index of fixed-size numbers does with a number that is too large."""
    if address.endswith(":1"):
        raise OverflowError


if __name__ == "__main__":
    unittest.main()
