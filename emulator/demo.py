"""Runs both example deployments end to end, as real processes on loopback.

Usage: ``python -m emulator.demo``. The exit code is 0 only when every response is complete and
correct, and came from engines where the tenant's requests may be placed.
"""

from __future__ import annotations

import contextlib
import itertools
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
import trio

from emulator.fleet.fleet import Fleet, FleetOptions, load_example
from emulator.fleet.processes import ProcessGroup
from emulator.load.messages import LoadRequest, LoadResult, Outcome
from emulator.load.prompts import make_prompt
from emulator.load.router_client import RouterClient
from emulator.load.run import run_closed_loop
from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.placement import place_engines
from hopstep.exceptions import HopstepError

DEPLOYMENTS = {
    "catalogue": FleetOptions(weight_load_seconds=0.5, concurrent_weight_loads=3),
    "burdekin": FleetOptions(weight_load_seconds=0.33, concurrent_weight_loads=2),
}
PREFIX_TOKENS = 400
TAIL_TOKENS = 40
OUTPUT_TOKENS = 24
LONG_OUTPUT_TOKENS = 96
ROUNDS = 2
CONCURRENCY = 8
LOAD_REQUESTS = 32
RESPONSES_BEFORE_FAULT = 4
"""Number of responses under load after which the fault is injected."""

IN_FORCE_SECONDS = 14.0
"""Time within which an accepted configuration must be in force on all routers."""

MILLISECONDS = 1_000.0
OUTSIDE = "OUTSIDE"

Item = TypeVar("Item", Tenant, RequestClass, Model)


class Demo:
    """Runs the demo on one deployment."""

    def __init__(self, fleet: Fleet, client: RouterClient) -> None:
        """Create the demo without starting anything.

        Args:
            fleet: Processes of the deployment.
            client: Sends the requests.
        """
        self._fleet = fleet
        self._client = client
        self._request_numbers = itertools.count(1)
        self._admissible: list[Configuration] = [fleet.configuration]
        self.results: list[LoadResult] = []
        self.misplaced = 0

    async def start(self) -> None:
        """Start the processes."""
        await self._fleet.start()

    async def run(self) -> None:
        """Apply the configuration and run every step."""
        revision = await self._fleet.apply(self._fleet.configuration, "demo")
        print(f"{self._fleet.name}: configuration accepted as revision {revision}")
        self._admissible = [self._fleet.configuration]
        await self._fleet.wait_ready()
        await self._send(self._every_class())
        await self._kill_engine_under_load()
        await self._edit_label_under_load()

    def _every_class(self) -> list[LoadRequest]:
        """Return requests of every tenant and each of its classes."""
        configuration = self._fleet.configuration
        return [
            self._request(tenant, request_class, OUTPUT_TOKENS)
            for _ in range(ROUNDS)
            for tenant in configuration.tenants
            for request_class in configuration.classes
            if not tenant.classes or request_class.name in tenant.classes
        ]

    async def _kill_engine_under_load(self) -> None:
        """Kill an engine that serves a tenant, while that tenant's responses stream."""
        tenant, request_class = self._restricted_tenant()
        requests = [
            self._request(tenant, request_class, LONG_OUTPUT_TOKENS) for _ in range(LOAD_REQUESTS)
        ]

        def kill(results: Sequence[LoadResult]) -> None:
            name = results[-1].engines[-1]
            self._fleet.signal(name, signal.SIGKILL)
            print(f"{self._fleet.name}: killed engine {name} under {tenant.name}'s requests")

        await self._send_and_then(requests, kill)

    async def _edit_label_under_load(self) -> None:
        """Move an engine to another zone by its label, while responses stream."""
        tenant, request_class = self._restricted_tenant()
        before = self._fleet.configuration
        engine = self._used_engine(before, tenant, request_class)
        other_zone = next(
            each.labels["zone"]
            for each in self._fleet.back_ends(BackEndKind.ENGINE)
            if not tenant.selector.matches(each.labels)
        )
        after = relabel(before, engine, other_zone)
        # Until the edit has reached all routers, requests may be placed by either configuration.
        self._admissible = [before, after]
        async with trio.open_nursery() as nursery:
            requests = [
                self._request(tenant, request_class, LONG_OUTPUT_TOKENS)
                for _ in range(LOAD_REQUESTS)
            ]
            nursery.start_soon(self._send, requests)
            revision = await self._fleet.apply(after, "demo: move an engine")
            print(f"{self._fleet.name}: revision {revision} moves {engine.name} to {other_zone}")
        with trio.fail_after(IN_FORCE_SECONDS):
            await self._fleet.wait_revision()
        self._admissible = [after]
        await self._send([self._request(tenant, request_class, OUTPUT_TOKENS) for _ in range(8)])

    def _restricted_tenant(self) -> tuple[Tenant, RequestClass]:
        """Return the first tenant with placement requirements and a repeatable class of it."""
        configuration = self._fleet.configuration
        tenant = next(each for each in configuration.tenants if each.selector.requirements())
        request_class = next(
            each
            for each in configuration.classes
            if each.repeatable and (not tenant.classes or each.name in tenant.classes)
        )
        return tenant, request_class

    def _used_engine(
        self, configuration: Configuration, tenant: Tenant, request_class: RequestClass
    ) -> BackEnd:
        """Return the engine that served the last response to a tenant's class."""
        engine = next(
            result.engines[-1]
            for result in reversed(self.results)
            if result.request.tenant == tenant.name
            and result.request.request_class == request_class.name
        )
        return next(each for each in configuration.back_ends if each.name == engine)

    def _request(
        self, tenant: Tenant, request_class: RequestClass, output_tokens: int
    ) -> LoadRequest:
        """Return a request with the tenant's shared prefix and a unique tail."""
        number = next(self._request_numbers)
        return LoadRequest(
            tenant=tenant.name,
            key=f"{self._fleet.name}-{tenant.name}-example-key",
            request_class=request_class.name,
            model=model_for(self._fleet.configuration, tenant, request_class),
            prompt=make_prompt(
                f"{tenant.name}-{request_class.name}", PREFIX_TOKENS, f"tail-{number}", TAIL_TOKENS
            ),
            max_tokens=output_tokens,
            idempotency_key="" if request_class.repeatable else f"demo-{number}",
        )

    async def _send_and_then(
        self, requests: list[LoadRequest], act: Callable[[Sequence[LoadResult]], None]
    ) -> None:
        """Send requests, and call ``act`` once after ``RESPONSES_BEFORE_FAULT`` responses."""
        answered: list[LoadResult] = []

        def record(result: LoadResult) -> None:
            answered.append(result)
            if len(answered) == RESPONSES_BEFORE_FAULT:
                act(answered)

        await self._send(requests, record)

    async def _send(
        self,
        requests: list[LoadRequest],
        on_result: Callable[[LoadResult], None] = lambda result: None,
    ) -> None:
        """Send requests to all routers in turn, and print a line for each."""

        def report(result: LoadResult) -> None:
            self._report(result)
            on_result(result)

        addresses = [each.address for each in self._fleet.back_ends(BackEndKind.ROUTER)]
        await run_closed_loop(self._client, addresses, requests, CONCURRENCY, report=report)

    def _report(self, result: LoadResult) -> None:
        """Print one line and check the placement."""
        self.results.append(result)
        request = result.request
        if result.outcome is not Outcome.COMPLETE:
            print(
                f"{self._fleet.name:9}  {request.tenant:20}  {request.request_class:14}  "
                f"{result.outcome.value}: {result.code} ({result.execution})"
            )
            return
        place = self._check_placement(result)
        engines = ", then ".join(result.engines)
        print(
            f"{self._fleet.name:9}  {request.tenant:20}  {request.request_class:14}  "
            f"{place:17}  {engines:19}  {result.router:8}  {result.tokens:3} tokens  "
            f"{result.cached_tokens:4} of {result.prompt_tokens:4} cached  "
            f"first token {result.first_token_seconds * MILLISECONDS:6.1f} ms"
        )

    def _check_placement(self, result: LoadResult) -> str:
        """Return the zones of the engines that answered; count results placed wrongly."""
        places = [self._admissible_zone(result.request, engine) for engine in result.engines]
        if not places or OUTSIDE in places:
            self.misplaced += 1
        return ", then ".join(dict.fromkeys(places))

    def _admissible_zone(self, request: LoadRequest, engine_name: str) -> str:
        """Return the zone of an engine, or ``OUTSIDE`` if the request may not run there."""
        for configuration in self._admissible:
            placement = place_engines(
                configuration,
                _named(configuration.tenants, request.tenant),
                _named(configuration.classes, request.request_class),
                _named(configuration.models, request.model),
            )
            for engine in placement.admissible:
                if engine.name == engine_name:
                    return engine.labels.get("zone", "")
        return OUTSIDE


def _named(items: Sequence[Item], name: str) -> Item:
    """Return the item with a name."""
    return next(item for item in items if item.name == name)


def model_for(configuration: Configuration, tenant: Tenant, request_class: RequestClass) -> str:
    """Return the first model that the tenant's class can be placed for."""
    return next(
        model.name
        for model in configuration.models
        if place_engines(configuration, tenant, request_class, model).admissible
    )


def relabel(configuration: Configuration, engine: BackEnd, zone: str) -> Configuration:
    """Return the configuration with one engine's zone label changed."""
    edited = msgspec.structs.replace(engine, labels=engine.labels | {"zone": zone})
    return msgspec.structs.replace(
        configuration,
        back_ends=tuple(
            edited if each.name == engine.name else each for each in configuration.back_ends
        ),
    )


async def run_demo(group: ProcessGroup, directory: Path) -> int:
    """Run the demo in a started group and return the exit code."""
    async with contextlib.aclosing(RouterClient()) as client:
        demos = [
            Demo(Fleet(name, load_example(name), group, directory, options), client)
            for name, options in DEPLOYMENTS.items()
        ]
        async with trio.open_nursery() as nursery:
            for demo in demos:
                nursery.start_soon(demo.start)
        async with trio.open_nursery() as nursery:
            for demo in demos:
                nursery.start_soon(demo.run)
    results = [result for demo in demos for result in demo.results]
    misplaced = sum(demo.misplaced for demo in demos)
    complete = sum(result.outcome is Outcome.COMPLETE for result in results)
    wrong = misplaced + sum(result.outcome is Outcome.WRONG for result in results)
    print(f"demo: {len(results)} sent, {complete} complete, {wrong} wrong")
    return 0 if complete == len(results) and wrong == 0 else 1


def main() -> int:
    """Run the demo and stop all its processes at the end."""
    with (
        tempfile.TemporaryDirectory(prefix="hopstep-demo-") as directory,
        ProcessGroup(Path(directory)) as group,
    ):
        try:
            return trio.run(run_demo, group, Path(directory))
        except* (HopstepError, RuntimeError, trio.TooSlowError) as failures:
            traceback.print_exception(failures)
    return 1


if __name__ == "__main__":
    sys.exit(main())
