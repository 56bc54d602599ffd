"""The engine contract on a virtual clock, and features of in-process engines alone."""

import contextlib
import unittest

import msgspec
import trio
import trio.testing

from emulator.engine.in_process import InProcessEngines
from emulator.engine.model import EngineModel
from emulator.kv_cache_store.model import KvCacheStoreModel
from emulator.virtual_time import run_in_virtual_time
from hopstep.exceptions import ErrorCode, Execution
from tests.contract.engine_contract import (
    CONFIG,
    IDLE_TIMEOUT_SECONDS,
    REQUEST,
    WEIGHTS,
    EngineContract,
    EngineFixture,
)


class InProcessEngineTest(EngineContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def fixture(self):
        engines = InProcessEngines(idle_timeout_seconds=IDLE_TIMEOUT_SECONDS)
        engines.add_engine("engine", EngineModel(CONFIG, WEIGHTS))
        engines.add_kv_cache_store("store", KvCacheStoreModel(512))

        async def set_faults(faults):
            engines.set_faults("engine", faults)

        async def runs():
            return engines.model("engine").runs(trio.current_time())

        yield EngineFixture(engines, "engine", "store", set_faults, runs)

    def run_async(self, test):
        run_in_virtual_time(test)

    def test_engine_that_is_down_ran_nothing(self):
        async def test(fixture):
            fixture.port.set_down("engine", True)
            with self.assert_error(ErrorCode.ENGINE_UNREACHABLE, Execution.NOT_RUN):
                await self.finish(fixture)
            fixture.port.set_down("engine", False)
            await self.finish(fixture)

        self.check(test)

    def test_frames_of_several_tokens(self):
        async def test():
            config = msgspec.structs.replace(CONFIG, stream_interval_tokens=5)
            engines = InProcessEngines()
            engines.add_engine("engine", EngineModel(config, WEIGHTS))
            async with engines.generate("engine", REQUEST) as frames:
                sizes = [len(frame.tokens) async for frame in frames]
            self.assertEqual(sizes, [1, 5, 5, 1])

        self.run_async(test)


if __name__ == "__main__":
    unittest.main()
