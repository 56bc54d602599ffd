"""Random faults of instances and of the store during random requests, checked by what was run."""

import random
import unittest
import unittest.mock

import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.attempt_rules import NextStep
from hopstep.domain.exchanges.streams.event_stream import EventFramer
from hopstep.services.exchanges.requests import exchange
from tests.services.exchanges.exchange_world import BOUNDS, ExchangeWorld

SEEDS = range(1, 6)
SECONDS = 30.0
ROUTES = ("safe", "unsafe", "unsafe2", "stream", "resumable")
AT_MOST_ONCE = ("unsafe", "unsafe2", "stream")
MAX_ATTEMPTS = {"safe": 2, "unsafe": 1, "unsafe2": 2, "stream": 1, "resumable": 2}
COMPLETE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))
WEIGHTS_SECONDS = BOUNDS.weights_ms / 1_000


class Chaos:
    """One random run, determined by its seed."""

    def __init__(self, seed, behaviours=tuple(Behaviour)):
        self.behaviours = (Behaviour.SERVE, *behaviours)
        self.generator = random.Random(seed)
        self.world = ExchangeWorld(nodes=3, seed=seed)
        self.sent = {}
        self.answers = {}
        self.named = []
        for number in range(3):
            self.world.add(f"p{number}")
            self.world.add(f"e{number}", "llm")

    def play(self):
        self.world.run(self.script)
        return self.violations()

    async def script(self, world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_requests, nursery)
            nursery.start_soon(self.change_instances)
            nursery.start_soon(self.change_store)
            nursery.start_soon(self.name_weights)
            await trio.sleep(SECONDS)
            nursery.cancel_scope.cancel()

    async def send_requests(self, nursery):
        number = 0
        while True:
            await trio.sleep(self.generator.expovariate(15.0))
            number += 1
            nursery.start_soon(self.request, f"c{number}", self.generator.choice(ROUTES))

    async def request(self, request_id, name):
        self.sent[request_id] = name
        with trio.move_on_after(self.generator.choice((0.1, 5.0, 5.0, 5.0))):
            answer = await self.world.request(
                name, node=self.generator.randrange(3), request_id=request_id
            )
            self.answers[request_id] = answer

    async def change_instances(self):
        while True:
            await trio.sleep(self.generator.expovariate(2.0))
            server = self.generator.choice(list(self.world.instances.servers.values()))
            server.behaviour = self.generator.choice(self.behaviours)

    async def change_store(self):
        while True:
            await trio.sleep(self.generator.uniform(2.0, 6.0))
            for directory in self.world.directories:
                directory.down = self.generator.random() < 0.3
            if self.generator.random() < 0.2:
                self.world.shared.faults.lost_answers = self.generator.randrange(4)

    async def name_weights(self):
        version = 1
        while True:
            await trio.sleep(self.generator.uniform(3.0, 12.0))
            version += 1
            self.world.name_weights(version)
            self.named.append((trio.current_time(), version))

    def violations(self):
        """Return the violated guarantees."""
        found = []
        for request_id, name in self.sent.items():
            runs = self.world.instances.runs(request_id)
            answer = self.answers.get(request_id)
            if name in AT_MOST_ONCE and len(runs) > 1:
                found.append(("run twice", request_id))
            if len(runs) > MAX_ATTEMPTS[name]:
                found.append(("too many attempts", request_id))
            if answer is None:
                continue
            if answer.promised_not_run and runs:
                found.append(("promised not run", request_id))
            stream = name in ("stream", "resumable")
            if stream and answer.status == 200:
                if not COMPLETE_STREAM.startswith(answer.body):
                    found.append(("out of order", request_id))
                if answer.finished and answer.body != COMPLETE_STREAM:
                    found.append(("looks whole", request_id))
        return found


class ExchangeChaosTest(unittest.TestCase):
    def test_what_must_hold_holds_under_drawn_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                chaos = Chaos(seed)
                self.assertEqual(chaos.play(), [])
                served = sum(a.status == 200 for a in chaos.answers.values())
                self.assertGreater(served, 50)

    def kinds_of_violations(self, behaviours=tuple(Behaviour)):
        return {kind for seed in SEEDS for kind, _ in Chaos(seed, behaviours).play()}

    def test_repeating_an_unknown_outcome_is_caught(self):
        original = exchange.decide_step

        def repeat_unknown(progress):
            step = original(progress)
            again = progress.attempts < 2 and step is NextStep.ANSWER_UNKNOWN
            return NextStep.RETRY if again else step

        with unittest.mock.patch.object(exchange, "decide_step", repeat_unknown):
            self.assertIn("run twice", self.kinds_of_violations())

    def test_keeping_a_cut_event_is_caught(self):
        with unittest.mock.patch.object(EventFramer, "restart", lambda _self: None):
            self.assertIn("out of order", self.kinds_of_violations((Behaviour.CUT_EVENT,)))

    def test_counting_a_request_at_work_as_not_run_is_caught(self):
        with unittest.mock.patch.object(
            exchange.Exchange, "_record_failure", lambda _self, _view, _error: None
        ):
            self.assertIn("promised not run", self.kinds_of_violations())
