"""Request handling of a small router over in-process engines, for tests on a virtual clock."""

import contextlib
import itertools
import random

import structlog.testing
import trio
import trio.testing
from prometheus_client import CollectorRegistry

from emulator.engine.answers import expected_tokens, prompt_digest
from emulator.engine.config import EngineConfig
from emulator.engine.in_process import InProcessEngines
from emulator.engine.model import EngineModel
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Configuration,
    Model,
    RequestClass,
    RoutingPolicy,
    Tenant,
)
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.requests.admission import AdmissionService
from hopstep.services.requests.dispatcher import Dispatcher
from hopstep.services.requests.request_metrics import RequestMetrics

MODEL = Model("m", "v1")
REPEATABLE = RequestClass("quick")
HEDGED = RequestClass("hedged", hedge=True)
ONCE = RequestClass("once", repeatable=False)
CLASSES = {item.name: item for item in (REPEATABLE, HEDGED, ONCE)}
TENANT = Tenant("library")
WORDS = "the quick brown fox "


def engine(index, **changes):
    changes = {"labels": {"zone": "a"}, "max_concurrent_requests": 8} | changes
    return BackEnd(f"e{index}", f"127.0.0.1:{9000 + index}", models=("m",), **changes)


def configuration(engines=2, tenants=(TENANT,), routing=None, **changes):
    return Configuration(
        back_ends=tuple(engine(index, **changes) for index in range(engines)),
        tenants=tenants,
        classes=tuple(CLASSES.values()),
        models=(MODEL,),
        routing=routing or RoutingPolicy(retry_ratio=1.0),
    )


class RequestPath:
    """Dispatcher, admission and routing over emulated engines."""

    def __init__(self, document=None, claims=None, limits=None, engine_config=None):
        self.holder = ConfigurationHolder()
        self.engines = InProcessEngines(idle_timeout_seconds=2.0)
        self.table = RoutingTable(random.Random(1))
        self.holder.subscribe(self.table.update_configuration)
        self.revisions = itertools.count(1)
        self.requests = itertools.count(1)
        self.apply(document or configuration())
        for back_end in self.holder.require().configuration.back_ends:
            model = EngineModel(engine_config or EngineConfig(), {"m": "v1"}, name=back_end.name)
            self.engines.add_engine(back_end.address, model)
        self.admission = AdmissionService(self.holder, self.table)
        self.registry = CollectorRegistry()
        self.metrics = RequestMetrics(self.registry)
        self.dispatcher = Dispatcher(
            self.engines,
            self.table,
            self.holder,
            self.admission,
            claims,
            limits,
            metrics=self.metrics,
        )

    def apply(self, document):
        self.holder.apply(AcceptedConfiguration(next(self.revisions), document))

    async def learn_facts(self):
        for back_end in self.holder.require().configuration.back_ends:
            with contextlib.suppress(Exception):
                facts = await self.engines.probe(back_end.address)
                self.table.update_facts(back_end.address, facts, trio.current_time())

    def request(self, class_name="quick", max_tokens=20, tenant=TENANT, **changes):
        number = next(self.requests)
        return InferenceRequest(
            request_id=f"r{number}",
            tenant=tenant,
            request_class=CLASSES[class_name],
            model=MODEL,
            prompt=f"{number} " + WORDS * 20,
            max_tokens=max_tokens,
            **changes,
        )

    async def answer(self, request, on_part=None):
        parts = []
        async with self.dispatcher.run(request) as stream:
            async for part in stream:
                parts.append(part)
                if on_part is not None:
                    on_part(parts)
        return parts

    def runs(self, request):
        """Count executions of a request's prompt at all engines."""
        now = trio.current_time()
        digest = prompt_digest(request.prompt)
        return sum(run.prompt_digest == digest for m in self.models() for run in m.runs(now))

    def models(self):
        back_ends = self.holder.require().configuration.back_ends
        return [self.engines.model(back_end.address) for back_end in back_ends]


def run(test):
    """Run an async test on a virtual clock, with its log lines captured."""
    with structlog.testing.capture_logs():
        return run_in_virtual_time(test)


def tokens_of(parts):
    return tuple(token for part in parts for token in part.tokens)


def oracle(request):
    return expected_tokens(request.prompt, request.max_tokens)
