"""Routers, a store and engine models, driven by a state machine on another thread."""

import collections
import contextlib
import random

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from emulator.engine.config import EngineConfig
from emulator.engine.in_process import InProcessEngines
from emulator.engine.model import EngineModel
from emulator.engine.refusal import EngineRefusalError
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.claims import claim_key
from hopstep.exceptions import EngineError, ErrorCode, Execution, ServiceError, StoreError
from hopstep.ports.engine import AttemptStatus, GenerateRequest
from hopstep.services.claim_sweeper import ClaimSweeper
from hopstep.services.claims import ClaimService

ENGINES = ("127.0.0.1:1", "127.0.0.1:2")


class RouterKilledError(Exception):
    """Raised in the tasks of a killed router to end them."""


class Router:
    """A process that can be paused before and after each of its calls, or killed."""

    def __init__(self, world, name):
        self.world = world
        self.calls_until_pause = None
        self.killed = False
        self.lose_fence_answer = False
        self.resumed = trio.Event()
        self.store = InMemoryStore(world.shared)
        self.claims = world.claims_class(
            PausingStore(self), PausingEngines(self), name, lambda: world.wall_time
        )

    async def gate(self):
        """Block while paused, shielded from the deadlines of the calling code."""
        if self.calls_until_pause is not None:
            self.calls_until_pause -= 1
        with trio.CancelScope(shield=True):
            while not self.killed and self.calls_until_pause is not None:
                if self.calls_until_pause >= 0:
                    break
                await self.resumed.wait()
        if self.killed:
            raise RouterKilledError

    def resume(self):
        self.calls_until_pause = None
        self.resumed.set()
        self.resumed = trio.Event()

    def kill(self):
        self.killed = True
        self.resumed.set()


class PausingStore:
    """A router's access to the store; a world with ``leased`` binds every claim to a lease."""

    def __init__(self, router):
        self.router = router

    def __getattr__(self, name):
        async def call(*arguments):
            await self.router.gate()
            if name == "compare_and_swap" and self.router.world.leased:
                arguments = (*arguments, await self.router.store.grant_lease(10.0))
            result = await getattr(self.router.store, name)(*arguments)
            await self.router.gate()
            return result

        return call


class PausingEngines:
    """A router's access to the engines' fences, with the world's mutations."""

    def __init__(self, router):
        self.router = router

    async def fence_nonce(self, address, nonce, incarnation):
        await self.router.gate()
        status = await self.fence(address, nonce, incarnation)
        await self.router.gate()
        if self.router.lose_fence_answer:
            self.router.lose_fence_answer = False
            raise EngineError(ErrorCode.ENGINE_UNREACHABLE, "lost", Execution.UNKNOWN)
        return status

    async def fence(self, address, nonce, incarnation):
        world = self.router.world
        if world.peek_only and nonce not in world.delivered:
            return AttemptStatus.NOT_SEEN
        try:
            return await world.engines.fence_nonce(address, nonce, incarnation)
        except EngineError as error:
            if world.trust_restarts and error.code is ErrorCode.PRECONDITION_FAILED:
                return AttemptStatus.NOT_SEEN
            raise


class Submission:
    """One request with a caller's key."""

    def __init__(self, key, generation, nonce):
        self.key = key
        self.generation = generation
        self.nonce = nonce
        self.router = None
        self.address = ""
        self.request = None
        self.held = None
        self.refusal = None


class ClaimWorld:
    """Routers, store and engines of one example of the state machine."""

    claims_class = ClaimService
    sweeper_class = ClaimSweeper
    leased = False
    peek_only = False
    trust_restarts = False

    def __init__(self, nursery, clock):
        self.nursery = nursery
        self.clock = clock
        self.wall_time = 0.0
        self.shared = SharedStore()
        self.engines = InProcessEngines(latency_seconds=0.0)
        for number, address in enumerate(ENGINES):
            model = EngineModel(EngineConfig(), {"m": "w1"}, name=f"engine{number}")
            self.engines.add_engine(address, model)
        self.routers = [Router(self, "r0"), Router(self, "r1")]
        self.submissions = []
        self.generations = {}
        self.delivered = set()
        self.checked_runs = set()

    async def submit(self, key, router, address, replaced=None):
        """Start a caller's request at a router, and run it until all tasks are blocked."""
        nonce = f"n{len(self.submissions)}"
        submission = Submission(key, self.generations.get(key, 0), nonce)
        self.submissions.append(submission)
        self.nursery.start_soon(self.serve, submission, router, address, replaced)
        await wait_all_tasks_blocked()

    async def serve(self, submission, router, address, replaced):
        """Claim, and send the request once the claim is held."""
        incarnation = self.engines.model(address).incarnation
        try:
            held = await router.claims.claim(
                "t", submission.key, submission.nonce, address, incarnation, replaced
            )
            await router.gate()
        except ServiceError as error:
            submission.refusal = error
            return
        except RouterKilledError:
            return
        submission.router, submission.address, submission.held = router, address, held
        submission.request = GenerateRequest(
            submission.nonce, "m", "p", 1, 0, "salt", "w1", incarnation
        )

    def sent(self):
        """Return the requests in transit; each may arrive late, and more than once."""
        return [submission for submission in self.submissions if submission.request]

    def deliver(self, submission):
        self.delivered.add(submission.nonce)
        try:
            self.engines.model(submission.address).submit(submission.request, trio.current_time())
        except EngineRefusalError:
            return

    def recall(self, submission):
        """Prove a request not run, as no byte of it was sent; return its claim."""
        submission.request = None
        return submission.held

    async def advance(self, seconds):
        self.clock.jump(seconds)
        self.wall_time += seconds
        await wait_all_tasks_blocked()

    def runs(self):
        """Return the nonces that started to run, over all engines and incarnations."""
        now = trio.current_time()
        return [
            record.nonce for address in ENGINES for record in self.engines.model(address).runs(now)
        ]

    async def deliver_all(self):
        """Deliver all requests in the order of sending, and let the engines start them."""
        await wait_all_tasks_blocked()
        for submission in self.sent():
            self.deliver(submission)
        await self.advance(0.1)
        self.check()

    def check(self):
        """Check that each key runs once, and a deleted or refused nonce never."""
        by_nonce = {submission.nonce: submission for submission in self.submissions}
        runs = [by_nonce[nonce] for nonce in self.runs()]
        counts = collections.Counter((ran.key, ran.generation) for ran in runs)
        assert all(count == 1 for count in counts.values()), counts
        for ran in runs:
            refused_as_not_run = ran.refusal and ran.refusal.execution is Execution.NOT_RUN
            assert not refused_as_not_run, "a request refused as not run has run"
            newest = ran.generation == self.generations.get(ran.key, 0)
            assert newest or ran.nonce in self.checked_runs, "a forgotten nonce has run"
        self.checked_runs = {ran.nonce for ran in runs}

    async def sweep(self):
        """Sweep, and begin a new generation of each key whose claim was deleted."""
        self.check()
        before = self.claimed_keys()
        sweeper = self.sweeper_class(
            self.routers[0].store, self.engines, random.Random(0), lambda: self.wall_time
        )
        with contextlib.suppress(StoreError):
            await sweeper.sweep_page()
        for key in before - self.claimed_keys():
            self.generations[key] = self.generations.get(key, 0) + 1

    def claimed_keys(self):
        stored = self.shared.model.snapshot()
        return {s.key for s in self.submissions if claim_key("t", s.key) in stored}


def run_in_world(call):
    """Run ``call(nursery, clock)`` on a thread next to a trio loop with a stopped clock."""

    async def main():
        clock = trio.lowlevel.current_clock()
        async with trio.open_nursery() as nursery:
            await trio.to_thread.run_sync(call, nursery, clock)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main, clock=MockClock())
