"""Single claims: the result of each fault of the store or the engine."""

import contextlib
import functools
import unittest

import structlog
import trio

from emulator.engine.config import EngineConfig
from emulator.engine.in_process import InProcessEngines
from emulator.engine.model import EngineModel
from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.claims import (
    CLAIM_PREFIX,
    TAKE_OVER_SECONDS,
    Claim,
    EarlierAttempt,
    claim_key,
    may_delete,
)
from hopstep.exceptions import ErrorCode, Execution, ServiceError, StoreError
from hopstep.ports.engine import GenerateRequest
from hopstep.services.claims import ClaimService

ENGINE = "127.0.0.1:1"
CLAIMED = (ErrorCode.ALREADY_CLAIMED, Execution.UNKNOWN)
UNAVAILABLE = (ErrorCode.CLAIMS_UNAVAILABLE, Execution.NOT_RUN)

STORE_FAULTS = (
    ("down", FaultOrder(outage=True), UNAVAILABLE),
    ("rate-limited", FaultOrder(requests_per_second=1e-9), UNAVAILABLE),
    ("stalled", FaultOrder(slow_seconds=60.0), UNAVAILABLE),
    ("claim lost", FaultOrder(lost_requests=1), UNAVAILABLE),
    ("answer lost, read back", FaultOrder(lost_answers=1), None),
    ("answer lost, stale read-back", FaultOrder(lost_answers=1, stale_reads=2), UNAVAILABLE),
)

# State of the earlier attempt, and the expected refusal of a repeat of the key, or None.
EARLIER = (
    ("on its way", lambda world: None, None),
    ("queued", lambda world: world.deliver("other", "n1"), CLAIMED),
    ("running", lambda world: world.deliver("n1"), CLAIMED),
    ("finished", lambda world: world.deliver("n1", seconds=10.0), CLAIMED),
    ("cancelled while running", lambda world: world.cancel_running("n1"), CLAIMED),
    ("cancelled before its start", lambda world: world.cancel("n1"), None),
    ("lost with its engine", lambda world: world.model.crash(trio.current_time()), CLAIMED),
    ("at an unreachable engine", lambda world: world.engines.set_down(ENGINE, True), CLAIMED),
    ("at a frozen engine", lambda world: world.model.freeze(trio.current_time()), CLAIMED),
    ("unreadable", lambda world: world.spoil_claim(), CLAIMED),
)


class World:
    def __init__(self):
        self.shared = SharedStore()
        self.engines = InProcessEngines()
        config = EngineConfig(max_batch_size=1, retained_attempts=1, retained_nonces=1)
        self.model = EngineModel(config, {"m": "w1"})
        self.wall_time = 0.0
        self.engines.add_engine(ENGINE, self.model)
        self.services = [self.service("r0"), self.service("r1")]

    def service(self, name):
        return ClaimService(InMemoryStore(self.shared), self.engines, name, lambda: self.wall_time)

    async def claim(self, service, nonce, key="k", replaces=None):
        incarnation = self.model.incarnation
        return await self.services[service].claim("t", key, nonce, ENGINE, incarnation, replaces)

    def deliver(self, *nonces, seconds=0.0):
        for nonce in nonces:
            request = GenerateRequest(nonce, "m", "p", 100, 0, "s", "w1", self.model.incarnation)
            self.model.submit(request, trio.current_time())
        self.model.advance(trio.current_time() + seconds)

    def cancel(self, nonce):
        self.model.cancel(nonce, self.model.incarnation, trio.current_time())

    def cancel_running(self, nonce):
        self.deliver(nonce)
        self.cancel(nonce)

    def spoil_claim(self):
        key = claim_key("t", "k")
        store = self.shared.model
        store._values[key] = type(store._values[key])(key, b"{", store._values[key].version)


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())

    def run_async(self, test):
        run_in_virtual_time(test, World())

    async def check(self, call, expected):
        if expected is None:
            await call
            return
        with self.assertRaises(ServiceError) as caught:
            await call
        self.assertEqual((caught.exception.code, caught.exception.execution), expected)
        self.assertGreater(caught.exception.retry_after_seconds, 0)

    def test_store_faults(self):
        for name, fault, expected in STORE_FAULTS:
            with self.subTest(name):
                self.run_async(functools.partial(self.check_store_fault, fault, expected))

    async def check_store_fault(self, fault, expected, world):
        world.shared.order_faults(fault)
        with contextlib.suppress(StoreError):
            await InMemoryStore(world.shared).get("uses up a burst of one")
        await self.check(world.claim(0, "n1"), expected)

    def test_a_repeat_is_decided_by_the_earlier_attempt(self):
        for name, happen, expected in EARLIER:
            with self.subTest(name):
                self.run_async(functools.partial(self.check_repeat, happen, expected))

    async def check_repeat(self, happen, expected, world):
        await world.claim(0, "n1")
        happen(world)
        await self.check(world.claim(1, "n2"), expected)

    def test_a_repeat_leaves_a_running_attempt_alone(self):
        async def test(world):
            await world.claim(0, "n1")
            world.deliver("n1")
            await self.check(world.claim(1, "n2"), CLAIMED)
            await trio.sleep(10.0)
            outcome = await world.engines.cancel(ENGINE, "n1", world.model.incarnation)
            self.assertEqual(outcome.value, "finished")

        self.run_async(test)

    def test_an_own_attempt_proved_not_run_is_replaced_or_released(self):
        async def test(world):
            first = await world.claim(0, "n1")
            world.engines.set_down(ENGINE, True)
            second = await world.claim(0, "n2", replaces=first)
            await self.check(world.claim(0, "n3", replaces=first), CLAIMED)
            await world.services[0].release(second)
            await world.claim(1, "n4")

        self.run_async(test)

    def test_an_old_claim_is_not_taken_over_as_engines_forget_nonces(self):
        async def test(world, age, expected):
            await world.claim(0, "n1")
            world.deliver("n1", seconds=10.0)
            world.deliver("n2", seconds=20.0)
            world.wall_time = age
            await self.check(world.claim(1, "n3"), expected)

        # Up to that age the take-over relies on the engine's fence. Here the engine has dropped the
        # nonce, as the take-over of the first row shows; so only the age prevents the second one.
        for age, expected in ((TAKE_OVER_SECONDS, None), (TAKE_OVER_SECONDS + 1.0, CLAIMED)):
            with self.subTest(age=age):
                self.run_async(functools.partial(test, age=age, expected=expected))

    def test_release_during_an_outage_keeps_the_claim(self):
        async def test(world):
            held = await world.claim(0, "n1")
            world.shared.order_faults(FaultOrder(outage=True))
            await world.services[0].release(held)
            self.assertEqual(len(world.shared.model.snapshot()), 1)

        self.run_async(test)

    def test_an_unknown_incarnation_is_refused(self):
        async def test(world):
            claim = world.services[0].claim("t", "k", "n1", ENGINE, "")
            await self.check(claim, UNAVAILABLE)

        self.run_async(test)

    def test_keys_of_two_tenants_never_collide(self):
        keys = {claim_key("a", "bc"), claim_key("ab", "c"), claim_key("1:a", "b")}
        self.assertEqual(len(keys), 3)
        self.assertTrue(all(key.startswith(CLAIM_PREFIX) for key in keys))

    def test_what_may_be_forgotten(self):
        claim = Claim("n", ENGINE, "i", "r", 100.0)
        for earlier, age, expected in (
            (EarlierAttempt.NEVER_STARTS, 9.0, False),
            (EarlierAttempt.NEVER_STARTS, 10.0, True),
            (EarlierAttempt.OVER, 10.0, True),
            (EarlierAttempt.OTHER_INCARNATION, 10.0, True),
            (EarlierAttempt.IN_PROGRESS, 99.0, False),
            (EarlierAttempt.UNKNOWN, 1e9, False),
        ):
            with self.subTest(earlier=earlier, age=age):
                self.assertEqual(may_delete(claim, earlier, 100.0 + age, 10.0), expected)
