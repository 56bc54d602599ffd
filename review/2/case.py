"""Makes a tenant isolated by a configuration, and looks at whose kept parts others read then.

The runners of this case keep the parts of prompts under ``Cache-Salt`` and the part's id, as the
pages say, and remember which tenant's request made each part. The rule is broken if a request
touches a part of another tenant while the configuration in force isolates either of the two.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time  # noqa: TID251 - stand-ins read the real clock
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    LOOPBACK,
    Headers,
    Node,
    Record,
    Runner,
    Store,
    chunk,
    configuration,
    event_stream_head,
    free_port,
    read_body,
    read_head,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, MODEL = "lm", "model-1"
APPLY_SECONDS = 2.0
"""The site's ``configApplyMs``."""

TENANTS = {"tenant-a": "key-a", "tenant-b": "key-b"}
ISOLATED = "tenant-a"
SHARED_PARTS = ("5c1e07a2", "91bd3f06")
ROUTE = {
    "name": "batch-subject",
    "hostname": HOST,
    "pathPrefix": "/subjects/",
    "kind": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 800,
    "targetGapMs": 500,
    "priority": 1,
    "service": SERVICE,
    "maxAttempts": 2,
    "publicAccess": False,
    "stickySessions": True,
    "resumable": True,
}


class Case:
    """The deployment, its clients and what they have seen."""

    def __init__(self, folder: Path) -> None:
        """Prepare without starting anything."""
        self.record = Record(FOLDER / "record.txt")
        self.store = Store()
        self.store_port = free_port()
        self.broken: list[str] = []
        self.kept: dict[tuple[str, str, str], str] = {}
        self.statuses: list[str] = []
        self.isolated_from = float("inf")
        self.sent_at: dict[str, float] = {}
        self.runners = [Runner(f"i{n}", SERVICE, self.record, self.run) for n in range(2)]
        self.nodes = [Node(f"n{n}", folder, self.store_port) for n in range(2)]
        self.version = 5

    async def run(
        self,
        runner: Runner,
        words: list[str],
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request at a runner: use the kept parts of its prompt, keep the others."""
        if await runner.answer_control(words, headers, writer, MODEL):
            return
        request_id, tenant = headers.get("attempt-id", ""), headers.get("tenant", "")
        salt = headers.get("cache-salt", "")
        for part in headers["prompt-prefix"].split(","):
            self.touch(runner, request_id, tenant, salt, part.partition(":")[0])
        writer.write(event_stream_head(request_id))
        for number in range(5):
            await asyncio.sleep(0.02)
            writer.write(chunk(f"id: {number}\ndata: {request_id} {number}\n\n".encode()))
            await writer.drain()
        writer.write(chunk(b""))
        await writer.drain()

    def touch(self, runner: Runner, request_id: str, tenant: str, salt: str, part: str) -> None:
        """Read a part that is kept under the same salt, or make and keep it."""
        key = (runner.instance_id, salt, part)
        maker = self.kept.setdefault(key, tenant)
        is_isolated = self.sent_at[request_id] >= self.isolated_from
        broken = maker != tenant and is_isolated and ISOLATED in (maker, tenant)
        self.record.note(
            f"run {request_id} of {tenant} at {runner.instance_id}, salt {salt!r}: part {part} "
            f"made by {maker}{'  <- OF AN ISOLATED TENANT' if broken else ''}"
        )
        if broken:
            self.broken.append(request_id)

    def configure(self, *, isolates: bool) -> None:
        """Acknowledge a configuration in which one tenant is isolated, or none."""
        self.version += 3
        document = json.loads(configuration(self.version, [ROUTE], [SERVICE]))
        document["services"][0]["engine"] = {
            "slots": 64,
            "kvCapacityTokens": 110556,
            "kvTokenBytes": 163840,
            "linkMbps": 1100000.0,
            "maxConcurrent": 12,
            "models": [{"name": MODEL}],
        }
        document["tenants"] = [
            {
                "name": name,
                "apiKeys": [key],
                "priority": 1,
                "isolated": isolates and name == ISOLATED,
            }
            for name, key in TENANTS.items()
        ]
        self.store.write("op/config", json.dumps(document).encode())
        self.record.note(
            f"configuration {self.version} acknowledged: {ISOLATED} isolated is {isolates}"
        )
        if isolates:
            self.isolated_from = time.monotonic() + APPLY_SECONDS

    async def ask(self, node: Node, request_id: str, tenant: str) -> None:
        """Send one request as a client of a tenant and read its stream."""
        self.sent_at[request_id] = time.monotonic()
        reader, writer = await asyncio.open_connection(LOOPBACK, node.port)
        body = b"{}"
        prefix = ",".join([*(f"{part}:1200" for part in SHARED_PARTS), f"{request_id}:100"])
        writer.write(
            f"POST /subjects/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"X-Api-Key: {TENANTS[tenant]}\r\nDeadline-Ms: 6000\r\nModel: {MODEL}\r\n"
            f"Token-Usage: 2500,20\r\nPrompt-Prefix: {prefix}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        words, headers = await asyncio.wait_for(read_head(reader), 8.0)
        if words:
            await read_body(reader, headers)
        self.statuses.append(words[1] if words else "closed")
        self.record.note(f"answer to {request_id}: {self.statuses[-1]}")
        writer.close()


async def main() -> int:
    """Run the case and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        try:
            return await run(case)
        except Exception as error:
            case.record.note(f"the case couldn't run: {error!r}")
            return 2
        finally:
            for node in case.nodes:
                node.stop()


async def run(case: Case) -> int:
    """Start everything, send requests before and after the change, and judge them."""
    await case.store.serve(case.store_port)
    for runner in case.runners:
        await runner.serve()
        case.store.write(f"servers/{runner.instance_id}", runner.engine_entry(MODEL))
    case.configure(isolates=False)
    for node in case.nodes:
        node.start()
    for node in case.nodes:
        if not await node.wait_ready():
            case.record.note(f"{node.name} isn't ready: {node.log()[-500:]}")
            return 2
    await asyncio.sleep(1.0)
    for turn in range(4):
        await case.ask(case.nodes[turn % 2], f"a{turn}", ISOLATED)
    if TROUBLE:
        case.configure(isolates=True)
    await asyncio.sleep(3 * APPLY_SECONDS)
    for turn in range(4):
        await case.ask(case.nodes[turn % 2], f"b{turn}", "tenant-b")
        await case.ask(case.nodes[turn % 2], f"c{turn}", ISOLATED)
    case.record.note(f"answers {case.statuses}, requests that touched such parts: {case.broken}")
    if case.statuses.count("200") < len(case.statuses):
        return 2
    return 1 if case.broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main()))
