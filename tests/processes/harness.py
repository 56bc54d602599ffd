"""A small fleet of real processes: one engine, one router, the store."""

from __future__ import annotations

import contextlib
import itertools
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from emulator.fleet.fleet import Fleet, FleetOptions
from emulator.fleet.processes import ProcessGroup
from emulator.load.messages import LoadRequest, LoadResult
from emulator.load.router_client import RouterClient
from emulator.load.run import send_until_settled
from hopstep.adapters.http_api.authentication import hash_key
from hopstep.adapters.tls import client_context
from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.settings import TlsSettings

KEY = "a-key"
TEST_TIMEOUT_SECONDS = 90.0
UNUSED = "127.0.0.1:1"
PLAIN_HTTP = TlsSettings()

CONFIGURATION = Configuration(
    back_ends=(
        BackEnd("engine", UNUSED, labels={"zone": "z"}, models=("small",)),
        BackEnd("router", UNUSED, BackEndKind.ROUTER, {"zone": "z"}),
    ),
    tenants=(Tenant("tenant", (hash_key(KEY.encode()),), default_class="quick"),),
    classes=(RequestClass("quick"),),
    models=(Model("small", "w1"),),
)


class SmallFleet:
    """A running fleet and a client for it."""

    def __init__(self, fleet: Fleet, group: ProcessGroup, client: RouterClient) -> None:
        self.fleet = fleet
        self.group = group
        self.client = client
        self.router = fleet.back_end("router").address
        self.router_process = fleet.process_name("router")
        self._numbers = itertools.count()

    def request(self, output_tokens: int) -> LoadRequest:
        prompt = f"prompt {next(self._numbers)} " + "of some length " * 20
        return LoadRequest("tenant", KEY, "quick", "small", prompt, output_tokens)

    async def send(self, output_tokens: int) -> LoadResult:
        """Send one request, and send it again while it is proved not run."""
        return await send_until_settled(
            self.client, itertools.repeat(self.router), self.request(output_tokens)
        )

    async def collect(self, results: list[LoadResult], output_tokens: int) -> None:
        """Send one request once, and add its result."""
        results.append(await self.client.send(self.router, self.request(output_tokens)))


@contextlib.asynccontextmanager
async def small_fleet(
    *router_arguments: str,
    configuration: Configuration = CONFIGURATION,
    tls: TlsSettings = PLAIN_HTTP,
) -> AsyncIterator[SmallFleet]:
    """Start the fleet; all its processes are stopped at the end."""
    options = FleetOptions(router_arguments=router_arguments, tls=tls)
    context = client_context(tls.trusted) if tls.certificate else None
    with (
        tempfile.TemporaryDirectory() as directory,
        ProcessGroup(Path(directory)) as group,
    ):
        fleet = Fleet("small", configuration, group, Path(directory), options)
        await fleet.start()
        await fleet.apply(fleet.configuration, "test")
        await fleet.wait_ready()
        async with contextlib.aclosing(RouterClient(tls=context)) as client:
            yield SmallFleet(fleet, group, client)
