"""A cache store that asks its readers to back off isn't read during that time."""

import unittest

import msgspec
import trio

from hopstep.domain.exchanges.serving import CacheStore, Service
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges import exchange_world
from tests.services.exchanges.exchange_world import ExchangeWorld

STORE = "10.9.9.9:80"
BACKOFF_SECONDS = 3.0


class StoreWatchTest(unittest.TestCase):
    def test_a_refused_reader_keeps_to_the_wait(self):
        world = ExchangeWorld()
        service = Service("kept", cache_store=CacheStore(STORE, "z1", 1_000, 100.0))
        services = (*exchange_world.SERVICES, service)
        configuration = msgspec.structs.replace(exchange_world.configuration(2), services=services)
        world.publish(ConfigurationPublished(configuration))

        async def script(world):
            world.cache_events.notices[STORE] = InstanceNotice(backoff_seconds=BACKOFF_SECONDS)
            await trio.sleep(1.0)
            reads = world.cache_events.reads[STORE]
            self.assertGreater(reads, 0)
            await trio.sleep(BACKOFF_SECONDS - 1.0)
            self.assertLessEqual(world.cache_events.reads[STORE], reads + 1)

        world.run(script)
