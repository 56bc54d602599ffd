"""The HTTP application with a scripted request runner, under a virtual clock."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable

import trio
import trio.testing
from prometheus_client import CollectorRegistry
from quart_trio import QuartTrio

from emulator.virtual_time import run_in_virtual_time
from hopstep.adapters.http_api.app import create_app
from hopstep.adapters.http_api.authentication import Authenticator, hash_key
from hopstep.adapters.http_api.context import ApiContext, NodeHealth, RequestRunner
from hopstep.adapters.http_api.metrics import ApiMetrics
from hopstep.adapters.pacing import Pacer
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.inference import AnswerFinish, AnswerPart, AnswerUsage, InferenceRequest
from hopstep.domain.labels import LabelSelector
from hopstep.domain.stop_schedule import StopSchedule
from hopstep.exceptions import ServiceError
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.lifecycle import Lifecycle
from hopstep.settings import RouterSettings

KEY = "key-of-inside"
OUTSIDE_KEY = "key-of-outside"
MAX_BODY_BYTES = 2_000
TOKENS = ("one ", "two ", "three")

CONFIGURATION = Configuration(
    back_ends=(
        BackEnd("e1", "127.0.0.1:9001", labels={"site": "a"}, models=("small",)),
        BackEnd("r2", "127.0.0.1:9102", BackEndKind.ROUTER, {"site": "b"}),
    ),
    tenants=(
        Tenant(
            "inside",
            (hash_key(KEY.encode()),),
            LabelSelector({"site": "a"}),
            classes=("quick",),
            default_class="quick",
        ),
        Tenant("outside", (hash_key(OUTSIDE_KEY.encode()),), LabelSelector({"site": "b"})),
    ),
    classes=(RequestClass("quick", max_output_tokens=50), RequestClass("batch")),
    models=(Model("small", "w1", max_prompt_tokens=100), Model("unserved", "w1")),
)


class ScriptedRunner:
    """Answers every request with ``TOKENS``; may refuse it, or fail or hang after some of them."""

    def __init__(self) -> None:
        self.requests: list[InferenceRequest] = []
        self.refusal: ServiceError | None = None
        self.fail_after: int | None = None
        self.failure: Exception | None = None
        self.hang_after: int | None = None
        self.cleaned_up = 0

    @contextlib.asynccontextmanager
    async def run(self, request: InferenceRequest) -> AsyncIterator[AsyncIterator[AnswerPart]]:
        self.requests.append(request)
        if self.refusal is not None:
            raise self.refusal
        try:
            yield self._parts()
        finally:
            with trio.CancelScope(shield=True):
                await trio.sleep(1.0)
            self.cleaned_up += 1

    async def _parts(self) -> AsyncIterator[AnswerPart]:
        for index, token in enumerate(TOKENS):
            if index == self.hang_after:
                await trio.sleep_forever()
            if index == self.fail_after and self.failure is not None:
                raise self.failure
            await trio.sleep(0.1)
            yield AnswerPart(index, (token,), "e1")
        usage = AnswerUsage(40, 32, len(TOKENS))
        yield AnswerPart(len(TOKENS), (), "e1", AnswerFinish.STOP, usage)


class Harness:
    """The application and the objects that tests change or inspect."""

    def __init__(
        self, nursery: trio.Nursery, configured: bool = True, runner: RequestRunner | None = None
    ) -> None:
        self.nursery = nursery
        self.runner = ScriptedRunner()
        self.holder = ConfigurationHolder()
        self.lifecycle = Lifecycle(self.holder, StopSchedule(0.0, 60.0))
        self.isolated = False
        self.peer_calls: list[tuple[str, bytes]] = []
        authenticator = Authenticator()
        self.holder.subscribe(authenticator.update_tenants)
        if configured:
            self.holder.apply(AcceptedConfiguration(7, CONFIGURATION))
        settings = RouterSettings(
            "r1", "127.0.0.1:0", "z1", {"site": "a"}, max_body_bytes=MAX_BODY_BYTES
        )
        context = ApiContext(
            settings=settings,
            incarnation="i1",
            holder=self.holder,
            runner=runner or self.runner,
            lifecycle=self.lifecycle,
            authenticator=authenticator,
            metrics=ApiMetrics(CollectorRegistry()),
            pacer=Pacer(),
            health=NodeHealth(lambda: self.isolated, lambda: 0.5, lambda: 3),
            spawn=nursery.start_soon,
            handle_peer=self._handle_peer,
        )
        self.app: QuartTrio = create_app(context)
        self.client = self.app.test_client()

    async def _handle_peer(self, name: str, body: bytes) -> bytes:
        self.peer_calls.append((name, body))
        return body


def with_harness(
    test: Callable[..., Awaitable[None]], *, configured: bool = True
) -> Callable[..., None]:
    """Run an asynchronous test method with a harness under a virtual clock."""

    @functools.wraps(test)
    def run(self: object) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await test(self, Harness(nursery, configured))
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    return run


def headers(key: str = KEY, **more: str) -> dict[str, str]:
    """Return request headers with a bearer key."""
    return {"Authorization": f"Bearer {key}", **more}
