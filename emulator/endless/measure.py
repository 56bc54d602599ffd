"""Measures the requests of a node while some of its instances answer without end."""

from __future__ import annotations

import json
import os
import subprocess  # noqa: S404 - only this project's own commands are started
import sys
import tempfile
from pathlib import Path
from typing import IO

import httpx
import hypercorn
import hypercorn.trio
import msgspec
import quart_trio
import trio

from emulator.endless.figures import MILLISECONDS, Measured, Measurement, SentRequest
from emulator.endless.instances import InstancesPlan
from emulator.exchange_platform.store import create_store_app
from emulator.fleet.ports import free_addresses
from emulator.fleet.processes import accepts_connections
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT

HOST = "endless.example"
SERVICE = "plain"
OK_STATUS = 200
START_SECONDS = 20.0
POLL_SECONDS = 0.05
SETTLE_SECONDS = 2.0
"""Time with requests before the first one that counts, and before the first answer without end."""

DEADLINE_MS = 3_000
KIB_OF_A_MIB = 1024


class MeasurePlan(msgspec.Struct, frozen=True):
    """What is measured.

    Attributes:
        instances: Number of instances.
        endless: Number of those that answer without end.
        work_seconds: Time for which an instance works on a request.
        rate: Requests per second.
        seconds: Time for which requests are sent.
        memory_mb: Memory that the node may use, in its settings.
    """

    instances: int = 20
    endless: int = 3
    work_seconds: float = 0.15
    rate: float = 100.0
    seconds: float = 8.0
    memory_mb: int = 160


async def measure(form: str, plan: MeasurePlan) -> Measured:
    """Run a node, its store and its instances, and measure requests.

    Args:
        form: Form of the answers without end, or ``NONE``.
        plan: What is measured.
    """
    node, readiness, peers, store, *instances = free_addresses(4 + plan.instances)
    with tempfile.TemporaryDirectory(prefix="hopstep-endless-") as directory:
        settings = Path(directory) / "node.toml"
        settings.write_text(_settings(node, readiness, peers, store, plan))
        shared = SharedStore()
        await _publish(shared, instances, plan)
        instances_plan = InstancesPlan(
            [_port(address) for address in instances],
            plan.endless,
            form,
            plan.work_seconds,
            SETTLE_SECONDS,
        )
        record = Path(directory) / "endless"
        with record.open("wb") as output:
            started = _start("emulator.endless.instances", settings, output, instances_plan)
            try:
                requests, peak = await _run_node(shared, store, settings, (node, readiness), plan)
            finally:
                started.kill()
                started.wait()
        touched = set(record.read_text().split())
    return Measurement(requests, touched, peak).figures(form)


async def _run_node(
    shared: SharedStore,
    store: str,
    settings: Path,
    addresses: tuple[str, str],
    plan: MeasurePlan,
) -> tuple[list[SentRequest], float]:
    """Run a node beside its store; return its requests and its peak memory in MiB."""
    node, readiness = addresses
    async with trio.open_nursery() as nursery:
        await nursery.start(_serve, create_store_app(shared), store)
        process = _start("hopstep.cli.node", settings, subprocess.DEVNULL)
        try:
            async with httpx.AsyncClient(timeout=DEADLINE_MS / MILLISECONDS + 1.0) as client:
                await _wait_ready(client, readiness, node)
                requests = await _send_requests(client, node, plan)
            peak = _peak_mib(process.pid)
        finally:
            process.kill()
            process.wait()
        nursery.cancel_scope.cancel()
    return requests, peak


async def _send_requests(
    client: httpx.AsyncClient, node: str, plan: MeasurePlan
) -> list[SentRequest]:
    """Send requests at an even rate, whether earlier ones were answered or not."""
    requests: list[SentRequest] = []
    settling = round(SETTLE_SECONDS * plan.rate)
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(settling + round(plan.seconds * plan.rate)):
            await trio.sleep_until(started_at + number / plan.rate)
            request = SentRequest(f"r{number:08d}", number >= settling)
            requests.append(request)
            nursery.start_soon(_send, client, node, request)
    return requests


async def _send(client: httpx.AsyncClient, node: str, request: SentRequest) -> None:
    """Send a request and record its outcome."""
    headers = {
        "Host": HOST,
        "Attempt-Id": request.request_id,
        "Deadline-Ms": str(DEADLINE_MS),
    }
    sent_at = trio.current_time()
    try:
        response = await client.get(f"http://{node}/{request.request_id}", headers=headers)
    except httpx.TransportError:
        return
    request.seconds = trio.current_time() - sent_at
    request.answered = response.status_code == OK_STATUS


def _settings(node: str, readiness: str, peers: str, store: str, plan: MeasurePlan) -> str:
    """Return the node's settings file."""
    values = {
        "name": "n1",
        "zone": "z1",
        "address": node,
        "readiness_address": readiness,
        "peer_address": peers,
        "store": store,
        "memory_mb": plan.memory_mb,
    }
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())


async def _publish(shared: SharedStore, instances: list[str], plan: MeasurePlan) -> None:
    """Write the configuration and the entries of the instances to the store."""
    route = {
        "name": "r",
        "hostname": HOST,
        "pathPrefix": "/",
        "kind": "safe",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 500,
        "maxAttempts": 2,
        "service": SERVICE,
    }
    configuration = {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE}],
        "limits": {"maxBodyBytes": 100_000},
    }
    values = {"op/config": configuration}
    for number, address in enumerate(instances):
        values[f"servers/i{number}"] = {
            "service": SERVICE,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSequence": 0,
        }
    for key, value in values.items():
        await shared.execute(wire.CompareAndSwap(key, ABSENT.revision, json.dumps(value).encode()))


def _start(
    module: str, settings: Path, output: IO[bytes] | int, plan: InstancesPlan | None = None
) -> subprocess.Popen[bytes]:
    """Start a module of the project as a process."""
    arguments = [] if plan is None else [msgspec.json.encode(plan).decode()]
    return subprocess.Popen(  # noqa: S603 - fixed program, no shell
        [sys.executable, "-m", module, *arguments],
        env={**os.environ, "HOPSTEP_SETTINGS": str(settings)},
        stdout=output,
        stderr=subprocess.DEVNULL,
    )


async def _serve(
    app: quart_trio.QuartTrio,
    address: str,
    task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application at an address."""
    config = hypercorn.Config()
    config.bind = [address]
    config.loglevel = "CRITICAL"
    await hypercorn.trio.serve(app, config, task_status=task_status, mode="asgi")


async def _wait_ready(client: httpx.AsyncClient, readiness: str, node: str) -> None:
    """Wait until the node is ready and serves."""
    request = SentRequest("ready", counts=False)
    with trio.fail_after(START_SECONDS):
        while not request.answered:
            await trio.sleep(POLL_SECONDS)
            if await accepts_connections(readiness):
                await _send(client, node, request)


def _peak_mib(process_id: int) -> float:
    """Return the most memory that a process had resident, in MiB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KIB_OF_A_MIB
    raise RuntimeError("/proc/PID/status has no VmHWM line")


def _port(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])
