"""Replays prompts of many nodes at engines that prefill one prompt after another."""

import heapq
import itertools
import random

import msgspec

from hopstep.domain.exchanges.engine_partition import NO_PARTITION, plan_partition
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.route_work import RouteWork, RouteWorkWindow
from hopstep.domain.exchanges.segment_moves import EngineRequest
from hopstep.domain.exchanges.selection import READ_SECONDS_PER_TOKEN, choose_engine

MODEL = "m"
REPORT_SECONDS = 0.2
DECODE_SECONDS = 0.008


class Load(msgspec.Struct, frozen=True):
    """Prompts of one route: rate a second over all nodes, tokens, objective in seconds."""

    route: str
    rate: float
    prompt_tokens: int
    objective: float
    answer_tokens: int = 10


class Replay:
    """Engines, and nodes that see each other's load up to two report intervals late.

    Without ``improved``, engines are chosen by cost alone, as by a single node without objectives.
    """

    def __init__(self, nodes, slowness, improved=True, versions=None, separate=None, seed=1):
        self.improved = improved
        self.separate = improved if separate is None else separate
        self.preferred = max(versions) if versions else 0
        self.generator = random.Random(seed)
        self.slowness = slowness
        self.busy_until = [0.0] * len(slowness)
        self.views = [
            [self._view(number, versions) for number in range(len(slowness))] for _ in range(nodes)
        ]
        self.windows = [RouteWorkWindow() for _ in range(nodes)]
        self.partitions = [NO_PARTITION] * nodes
        self.delays = {}
        self._events = []
        self._order = itertools.count()

    def _view(self, number, versions):
        version = versions[number] if versions else 0
        instance = Instance(f"e{number}", "llm", f"e:{number}", "", 16, versions={MODEL: version})
        view = InstanceView(instance)
        view.slowness = self.slowness[number]
        return view

    def run(self, loads, seconds):
        """Replay the loads; return the share of late prompts by route."""
        for load in loads:
            at = 0.0
            while (at := at + self.generator.expovariate(load.rate)) < seconds:
                self._at(at, self._send, load)
        for tick in range(int(seconds / REPORT_SECONDS)):
            self._at(tick * REPORT_SECONDS, self._report)
        while self._events:
            now, _order, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return {
            load.route: sum(delay > load.objective for delay in self.delays[load.route])
            / len(self.delays[load.route])
            for load in loads
        }

    def _at(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def _report(self, now):
        """Let all nodes know one interval later what all others have at each engine now."""
        for number in range(len(self.slowness)):
            own = [views[number] for views in self.views]
            active = sum(view.active for view in own)
            pending = sum(view.pending_tokens for view in own)
            for view in own:
                load = InstanceLoad("", active - view.active, pending - view.pending_tokens)
                self._at(now + REPORT_SECONDS, self._hear, view, load)
        if self.separate:
            for node, window in enumerate(self.windows):
                work, views = window.by_route(now), self.views[node]
                self.partitions[node] = plan_partition(work, views, self.partitions[node])

    @staticmethod
    def _hear(now, view, load):
        view.set_load_of_others(load, now)

    def _send(self, now, load):
        node = self.generator.randrange(len(self.views))
        request = EngineRequest(
            lambda _view: (),
            MODEL,
            load.prompt_tokens,
            1.0,
            preferred_version=self.preferred,
            answer_tokens=load.answer_tokens,
        )
        if self.improved:
            preference = self.partitions[node].preference(load.route, load.prompt_tokens)
            request = msgspec.structs.replace(
                request,
                objective_seconds=load.objective,
                nodes=len(self.views),
                engine_preference=preference,
            )
        view = choose_engine(self.views[node], (), request, now, self.generator).view
        tokens, name = load.prompt_tokens, str(next(self._order))
        work = RouteWork(load.objective, 1, tokens, tokens)
        self.windows[node].record(load.route, work, now)
        number = self.views[node].index(view)
        first = max(now, self.busy_until[number])
        first += tokens * READ_SECONDS_PER_TOKEN * view.slowness
        self.busy_until[number] = first
        self.delays.setdefault(load.route, []).append(first - now)
        view.begin(name, tokens, now)
        self._at(first, lambda at: view.first_byte(name, tokens, at))
        self._at(first + load.answer_tokens * DECODE_SECONDS, lambda _at: view.end(name, tokens))
