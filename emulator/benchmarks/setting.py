"""Starts the fleet and the load processes that benchmarks use."""

from __future__ import annotations

import contextlib
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import msgspec
import trio

from emulator.fleet.fleet import EMULATOR_MODULE, Fleet, FleetOptions
from emulator.fleet.processes import ProcessGroup
from emulator.load.summary import LoadSummary
from hopstep.adapters.http_api.authentication import hash_key
from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)

KEY = "benchmark-key"
TENANT = "benchmark"
REQUEST_CLASS = "benchmark"
MODEL = "benchmark"
ROUTER = "router"
PLACEHOLDER_ADDRESS = "127.0.0.1:1"
ENGINE_BATCH = 64
SETTLE_SECONDS = 8.0
"""Time after which a newly started router has its whole part of tenants' limits."""

ENGINE_ARGUMENTS = (
    f"--max_batch_size={ENGINE_BATCH}",
    "--decode_base_seconds=0.02",
    "--decode_seconds_per_request=0.0001",
)


class LoadPlan(msgspec.Struct, frozen=True):
    """What one load process sends.

    Attributes:
        requests: Requests to send.
        concurrency: Concurrent requests.
        output_tokens: Tokens of each response.
        seed: Seed of the prompts.
        mode: ``router`` or ``direct``.
    """

    requests: int
    concurrency: int
    output_tokens: int
    seed: int
    mode: str = "router"


def configuration(engines: int) -> Configuration:
    """Return a configuration with one router and a number of engines."""
    engine_back_ends = tuple(
        BackEnd(
            f"engine-{number}",
            PLACEHOLDER_ADDRESS,
            labels={"zone": "local"},
            models=(MODEL,),
            max_concurrent_requests=ENGINE_BATCH,
        )
        for number in range(engines)
    )
    return Configuration(
        back_ends=(
            *engine_back_ends,
            BackEnd(ROUTER, PLACEHOLDER_ADDRESS, BackEndKind.ROUTER, {"zone": "local"}),
        ),
        tenants=(Tenant(TENANT, (hash_key(KEY.encode()),), default_class=REQUEST_CLASS),),
        classes=(RequestClass(REQUEST_CLASS, max_queue_seconds=60.0),),
        models=(Model(MODEL, "1"),),
    )


class Setting:
    """A started fleet with one router."""

    def __init__(self, fleet: Fleet, group: ProcessGroup) -> None:
        """Wrap a started fleet.

        Args:
            fleet: The fleet.
            group: Processes of the fleet.
        """
        self.router = fleet.back_end(ROUTER).address
        self.engines = [each.address for each in fleet.back_ends(BackEndKind.ENGINE)]
        self._process_id = group.process(fleet.process_name(ROUTER)).pid

    def resident_bytes(self) -> int:
        """Return the router's resident memory in bytes."""
        for line in Path(f"/proc/{self._process_id}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError("/proc/PID/status has no VmRSS line")

    async def load(self, address: str, plan: LoadPlan) -> LoadSummary:
        """Run one load process and return its figures.

        Raises:
            RuntimeError: When a response was wrong or incomplete.
        """
        completed = await trio.run_process(
            [
                sys.executable,
                "-m",
                EMULATOR_MODULE,
                "load",
                f"--targets={address}",
                f"--mode={plan.mode}",
                f"--requests={plan.requests}",
                f"--concurrency={plan.concurrency}",
                f"--output_tokens={plan.output_tokens}",
                f"--seed={plan.seed}",
                f"--tenant={TENANT}",
                f"--key={KEY}",
                f"--class={REQUEST_CLASS}",
                f"--model={MODEL}",
                "--prefix_tokens=128",
                "--max_seconds=300",
                "--format=json",
            ],
            capture_stdout=True,
            check=False,
        )
        if completed.returncode:
            raise RuntimeError(f"a load process failed: {completed.stdout.decode()}")
        return msgspec.json.decode(completed.stdout, type=LoadSummary)

    async def loads(self, plans: Sequence[LoadPlan]) -> list[LoadSummary]:
        """Run load processes against the router concurrently."""
        summaries: list[LoadSummary] = []

        async def run(plan: LoadPlan) -> None:
            summaries.append(await self.load(self.router, plan))

        async with trio.open_nursery() as nursery:
            for plan in plans:
                nursery.start_soon(run, plan)
        return summaries


@contextlib.asynccontextmanager
async def open_setting(engines: int) -> AsyncIterator[Setting]:
    """Start one router and a number of engines, and stop them at the end."""
    with (
        tempfile.TemporaryDirectory(prefix="hopstep-bench-") as directory,
        ProcessGroup(Path(directory)) as group,
    ):
        options = FleetOptions(engine_arguments=ENGINE_ARGUMENTS)
        fleet = Fleet("bench", configuration(engines), group, Path(directory), options)
        await fleet.start()
        await fleet.apply(fleet.configuration, "benchmark")
        await fleet.wait_ready()
        await trio.sleep(SETTLE_SECONDS)
        yield Setting(fleet, group)
