"""Request handling keeps no state of a request after its end, whatever its outcome."""

import collections
import gc
import types
import unittest

import msgspec
import trio

from emulator.engine.faults import EngineFaults, RefusalFault
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from hopstep.domain.routing.prompt_heads import MAX_REMEMBERED_PROMPTS
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.services.claims import ClaimService
from hopstep.services.requests.dispatcher import Dispatcher
from hopstep.services.requests.tenant_limits import TenantLimitService
from tests.services.requests.request_path import RequestPath, run

CONTAINERS = (dict, list, set, collections.deque)
OUTSIDE = ("emulator.", "trio.", "tests.")
"""Packages whose objects keep histories of their own, or refer to the whole event loop."""


def entries(root):
    """Return the number of entries of all containers reachable from an object of hopstep."""
    seen = {}
    waiting = [root]
    while waiting:
        item = waiting.pop()
        skipped = isinstance(item, type | types.ModuleType)
        if id(item) in seen or skipped or type(item).__module__.startswith(OUTSIDE):
            continue
        seen[id(item)] = item
        is_function = isinstance(item, types.FunctionType)
        waiting += (item.__closure__ or ()) if is_function else gc.get_referents(item)
    return sum(len(item) for item in seen.values() if isinstance(item, CONTAINERS))


class RequestMemoryTest(unittest.TestCase):
    async def serve(self, path, count):
        """Run requests that complete, are refused, retried at another engine, or abandoned."""
        for number in range(count):
            kind = number % 4
            request = msgspec.structs.replace(
                path.request("once" if kind == 0 else "quick"),
                prompt="the same prompt of all requests " * 20,
                idempotency_key=f"key {number}",
            )
            if kind == 1:
                with trio.move_on_after(0.001):
                    await path.answer(request)
                continue
            refusals = {2: 1, 3: 9}.get(kind, 0)
            fault = RefusalFault(ErrorCode.INTERNAL, Execution.NOT_RUN, count=refusals)
            for back_end in path.holder.require().configuration.back_ends:
                faults = EngineFaults(refusal=fault if refusals else None)
                path.engines.set_faults(back_end.address, faults)
            try:
                await path.answer(request)
            except ServiceError:
                self.failed += 1

    def test_ended_requests_leave_nothing(self):
        async def scenario():
            path = RequestPath()
            claims = ClaimService(InMemoryStore(SharedStore()), path.engines, "r1")
            limits = TenantLimitService(path.holder)
            path.dispatcher = Dispatcher(
                path.engines, path.table, path.holder, path.admission, claims, limits
            )
            await path.learn_facts()
            await self.serve(path, MAX_REMEMBERED_PROMPTS)
            before = entries(path.dispatcher)
            await self.serve(path, 400)
            self.assertGreater(before, 100)
            self.assertEqual(entries(path.dispatcher), before)

        self.failed = 0
        run(scenario)
        self.assertGreater(self.failed, 100)
