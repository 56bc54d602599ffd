"""Measures the requests of a node while some of its instances answer without end."""

from __future__ import annotations

import tempfile
from pathlib import Path

import httpx
import msgspec
import trio

from emulator.endless.figures import MILLISECONDS, Measured, Measurement, SentRequest
from emulator.endless.instances import InstancesPlan
from emulator.endless.setting import (
    DEADLINE_MS,
    HOST,
    Addresses,
    MeasurePlan,
    node_settings,
    publish,
    reserve_addresses,
)
from emulator.exchange_platform.store import create_store_app
from emulator.fleet.processes import ProcessGroup, accepts_connections
from emulator.local_server import serve
from emulator.platform.shared_store import SharedStore

NODE, INSTANCES = "node", "instances"
"""Names of the processes."""

OK_STATUS = 200
START_SECONDS = 20.0
POLL_SECONDS = 0.05
SETTLE_SECONDS = 2.0
"""Time with requests before the first one that counts, and before the first answer without end."""

KIB_OF_A_MIB = 1024


async def measure(form: str, plan: MeasurePlan) -> Measured:
    """Run a node, its store and its instances, and measure requests.

    Args:
        form: Form of the answers without end, or ``NONE``.
        plan: What is measured.
    """
    addresses = reserve_addresses(plan)
    shared = SharedStore()
    await publish(shared, addresses)
    with tempfile.TemporaryDirectory(prefix="hopstep-endless-") as directory:
        settings = Path(directory) / "node.toml"
        settings.write_text(node_settings(addresses, plan))
        with ProcessGroup(Path(directory)) as processes:
            async with trio.open_nursery() as nursery:
                await nursery.start(serve, create_store_app(shared), addresses.store)
                arguments = [_instances_plan(form, addresses, plan)]
                processes.start(INSTANCES, "emulator.endless.instances", arguments)
                processes.start(NODE, "hopstep.cli.node", [f"--node_settings={settings}"])
                requests = await _send_requests(addresses, plan)
                peak_mib = _peak_mib(processes.process(NODE).pid)
                nursery.cancel_scope.cancel()
            touched = set(processes.log_path(INSTANCES).read_text().split())
    return Measurement(requests, touched, peak_mib).figures(form)


def _instances_plan(form: str, addresses: Addresses, plan: MeasurePlan) -> str:
    """Return the argument of the process with the instances: its plan as JSON."""
    ports = [int(address.rpartition(":")[2]) for address in addresses.instances]
    instances = InstancesPlan(ports, plan.endless, form, plan.work_seconds, SETTLE_SECONDS)
    return msgspec.json.encode(instances).decode()


async def _send_requests(addresses: Addresses, plan: MeasurePlan) -> list[SentRequest]:
    """Send requests at an even rate, whether earlier ones were answered or not."""
    requests: list[SentRequest] = []
    settling = round(SETTLE_SECONDS * plan.rate)
    async with httpx.AsyncClient(timeout=DEADLINE_MS / MILLISECONDS + 1.0) as client:
        await _wait_ready(client, addresses)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(settling + round(plan.seconds * plan.rate)):
                await trio.sleep_until(started_at + number / plan.rate)
                request = SentRequest(f"r{number:08d}", number >= settling)
                requests.append(request)
                nursery.start_soon(_send, client, addresses.node, request)
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


async def _wait_ready(client: httpx.AsyncClient, addresses: Addresses) -> None:
    """Wait until the node is ready and serves."""
    request = SentRequest("ready", counts=False)
    with trio.fail_after(START_SECONDS):
        while not request.answered:
            await trio.sleep(POLL_SECONDS)
            if await accepts_connections(addresses.readiness):
                await _send(client, addresses.node, request)


def _peak_mib(process_id: int) -> float:
    """Return the most memory that a process had resident, in MiB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KIB_OF_A_MIB
    raise RuntimeError("/proc/PID/status has no VmHWM line")
