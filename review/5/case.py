"""Streams go on at another software version after all nodes were killed during a release."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (  # noqa: E402
    MODEL,
    SERVICE,
    Deployment,
    HttpRequest,
    Runner,
    ask,
    chunk,
    keep,
    lm_configuration,
    now,
    run_case,
    tenant,
)

STREAMS = 12
EVENTS = 50
EVENT_SECONDS = 0.2
DEADLINE_SECONDS = 15.0
DOWN_SECONDS = 2.0
RETRY_SECONDS = (1.0, 2.5, 4.5)
"""Times of a client's tries after its connection broke: a few, each on a new connection."""

CONFIGURATION = lm_configuration([tenant("t1")], timeout_ms=15000)


async def serve_stream(runner: Runner, request: HttpRequest, writer: asyncio.StreamWriter) -> bool:
    """Write a stream, event by event, from behind ``Last-Event-Id``."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    attempt = request.headers["attempt-id"]
    runner.record.note(
        "runs", runner=runner.instance_id, version=runner.version, attempt=attempt, first=first
    )
    head = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    writer.write(runner.answer_head(request, head))
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        event = f"id: {number}\ndata: {runner.version} {runner.instance_id}\n\n".encode()
        writer.write(chunk(event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


class Client:
    """A client with one stream, which it takes up again when its connection breaks.

    Attributes:
        versions: Software versions of the runners whose events it got.
    """

    def __init__(self, deployment: Deployment, number: int, generator: random.Random) -> None:
        """Prepare."""
        self.versions: dict[str, int] = {}
        self._deployment, self._number, self._generator = deployment, number, generator
        self._last = 0
        self._partial = b""
        self._began = ""
        self._attempt = ""

    def _take(self, data: bytes) -> None:
        """Take bytes of the stream."""
        *events, self._partial = (self._partial + data).split(b"\n\n")
        for event in events:
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n") if line)
            self._last = int(fields["id"])
            version = fields["data"].split(" ")[0]
            self._began = self._began or self._attempt
            self.versions[version] = self.versions.get(version, 0) + 1

    async def run(self) -> None:
        """Begin the stream, and take it up again."""
        began_at = now()
        broke_at = 0.0
        for number in range(1 + len(RETRY_SECONDS)):
            if number:
                await asyncio.sleep(max(0.0, broke_at + RETRY_SECONDS[number - 1] - now()))
            remaining = DEADLINE_SECONDS - (now() - began_at)
            if remaining <= 0:
                return
            if await self._try(number, remaining):
                return
            broke_at = broke_at or now()

    async def _try(self, number: int, remaining: float) -> bool:
        """Make one try; return whether the stream is complete."""
        nodes = [node for node in self._deployment.nodes if node.is_in] or self._deployment.nodes
        node = nodes[(self._number + number) % len(nodes)]
        self._attempt = f"{self._generator.getrandbits(64):016x}"
        self._partial = b""
        headers = {
            "Host": "lm.example",
            "Attempt-Id": self._attempt,
            "Model": MODEL,
            "Token-Usage": f"1460,{EVENTS}",
            "Prompt-Prefix": f"5c1e07a2:800,{0xA0000000 + self._number:x}:660",
            "Deadline-Ms": str(int(remaining * 1000)),
            "X-Api-Key": "key-of-t1",
        }
        if self._last:
            headers["Last-Event-Id"] = str(self._last)
            headers["Resumes"] = self._began
        record = self._deployment.record
        record.note(
            "sends",
            client=self._number,
            node=node.name,
            attempt=self._attempt,
            last=self._last,
            resumes=headers.get("Resumes", "-"),
        )
        body = b"prompt %d" % self._number
        answer = await ask(
            node.port, "POST", "/gen/1", headers, body, remaining, on_data=self._take
        )
        record.note(
            "got",
            client=self._number,
            attempt=self._attempt,
            status=answer.status,
            complete=answer.is_complete,
            problem=answer.problem or "-",
            last=self._last,
            retry_after=answer.headers.get("retry-after", "-"),
            versions=self.versions,
        )
        return answer.status == 200 and answer.is_complete


async def release(deployment: Deployment, old: list[Runner]) -> None:
    """Replace the runners one after the other; the second one never says that it drains."""
    for number, runner in enumerate(old):
        await add_runner(deployment, f"i-new{number}", runner.zone, "v2")
        await asyncio.sleep(0.1)
        keep(leave(deployment, runner, says_draining=number == 0))
        await asyncio.sleep(0.9)


async def leave(deployment: Deployment, runner: Runner, *, says_draining: bool) -> None:
    """Let a runner serve on for the drain time and a little longer, or until its last stream."""
    if says_draining:
        runner.drain()
    else:
        deployment.record.note("entry-goes", id=runner.instance_id)
        runner.unlist()
    await asyncio.sleep(2.1)
    if says_draining:
        runner.unlist()
    await asyncio.sleep(15.0)
    runner.end()


async def add_runner(deployment: Deployment, name: str, zone: str, version: str) -> Runner:
    """Start a runner."""
    runner = Runner(deployment.store, deployment.record, name, SERVICE, zone, version, 64, MODEL)
    runner.serve = serve_stream
    await runner.start()
    deployment.runners.append(runner)
    return runner


async def case(deployment: Deployment, has_trouble: bool) -> int:
    """Run the case; return its exit code."""
    record = deployment.record
    deployment.store.put_json("op/version/m1", {"model": MODEL, "version": 1})
    deployment.store.put_json("op/config", CONFIGURATION)
    old = [
        await add_runner(deployment, "i-old0", "z1", "v1"),
        await add_runner(deployment, "i-old1", "z2", "v1"),
    ]
    await deployment.start_nodes(["z1", "z1", "z2", "z2"])
    await asyncio.sleep(4.0)
    generator = random.Random(4)  # noqa: S311 - ids of requests
    clients = [Client(deployment, number, generator) for number in range(STREAMS)]
    streams = [keep(client.run()) for client in clients]
    await asyncio.sleep(2.0)
    if has_trouble:
        record.note("all-nodes-lose-power", seconds=DOWN_SECONDS)
        for node in deployment.nodes:
            node.kill()
    keep(release(deployment, old))
    if has_trouble:
        await asyncio.sleep(DOWN_SECONDS)
        for node in deployment.nodes:
            await node.start()
        record.note("nodes-start-again")
    await asyncio.gather(*streams)
    mixed = [client for client in clients if len(client.versions) > 1]
    begun = [client for client in clients if client.versions]
    record.note("result", streams=len(clients), begun=len(begun), of_two_versions=len(mixed))
    print(f"{len(mixed)} of {len(begun)} streams hold events of two software versions")
    if len(begun) < STREAMS:
        return 2
    return 1 if len(mixed) > 2 else 0


run_case(Path(__file__).resolve().parent, case)
