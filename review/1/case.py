"""Uploads bodies while a node changes from one limit of body sizes to a higher one.

Phase A: the operator raises ``maxBodyBytes``; clients use the new limit after its acknowledgement.
Phase B: the limit stays; a node is killed and starts again while the store is slow.

The rule is broken if a runner runs a request with another body than its client sent.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import random
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    KEY,
    LOOPBACK,
    Headers,
    Node,
    Record,
    Runner,
    Store,
    answer,
    configuration,
    free_port,
    read_body,
    read_head,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEBIBYTE = 1 << 20
LOW_LIMIT, HIGH_LIMIT, LARGE_LIMIT = MEBIBYTE, 4 * MEBIBYTE, 8 * MEBIBYTE
PIECE = 1 << 16
CYCLES = 6
APPLY_SECONDS = 2.0
SLOW_SECONDS = 60 * 0.004
"""The site's ``platform_slow`` has x = 60; an answer takes 4 ms as a rule."""

SERVICE = "desk"
ROUTE = {
    "name": "job-ticket",
    "hostname": HOST,
    "pathPrefix": "/tickets/",
    "kind": "unsafe",
    "timeoutMs": 4000,
    "targetLatencyMs": 400,
    "priority": 2,
    "service": SERVICE,
    "maxAttempts": 1,
    "publicAccess": False,
    "stickySessions": False,
    "resumable": False,
}


def make_bodies(size: int) -> list[bytes]:
    """Return bodies whose parts all differ."""
    return [random.Random(turn).randbytes(size) for turn in range(3)]  # noqa: S311 - no secret


class Case:
    """The deployment, its clients and what they have seen."""

    def __init__(self, folder: Path) -> None:
        """Prepare without starting anything."""
        self.record = Record(FOLDER / "record.txt")
        self.store = Store()
        self.store_port = free_port()
        self.sent: dict[str, bytes] = {}
        self.statuses: dict[str, str] = {}
        self.broken: list[str] = []
        self.runs = 0
        self.runners = [Runner(f"i{n}", SERVICE, self.record, self.run) for n in range(3)]
        self.nodes = [Node(f"n{n}", folder, self.store_port) for n in range(3)]
        self.version = 5

    async def run(
        self,
        runner: Runner,
        words: list[str],
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request at a runner and compare its body with what the client sent."""
        request_id = headers.get("attempt-id", "")
        self.runs += 1
        sent = self.sent.get(request_id)
        same = sent == body
        self.record.note(
            f"run {request_id} {words[0]} {words[1]} at {runner.instance_id}: "
            f"{len(body)} bytes, sha256 {digest(body)}{'' if same else '  <- NOT THE BODY SENT'}"
        )
        if not same:
            self.broken.append(request_id)
        await asyncio.sleep(0.05)
        fields = {"Attempt-Id": request_id, "Response-Stamp": f"s.{request_id}"}
        writer.write(answer(200, b"done", fields))
        await writer.drain()

    def configure(self, limit: int) -> None:
        """Acknowledge a configuration with a limit of body sizes."""
        self.version += 3
        document = json.loads(configuration(self.version, [ROUTE], [SERVICE]))
        document["limits"]["maxBodyBytes"] = limit
        self.store.write("op/config", json.dumps(document).encode())
        self.record.note(f"configuration {self.version} acknowledged: maxBodyBytes {limit}")

    async def upload(
        self, node: Node, request_id: str, body: bytes, ready: int, rate: float
    ) -> None:
        """Send one request as a client that has some bytes ready and produces the others.

        Args:
            node: The node.
            request_id: Id of the client attempt.
            body: The body.
            ready: Bytes that are sent at once.
            rate: Bytes a second of the remainder.
        """
        reader, writer = await connect(node)
        size = len(body)
        self.sent[request_id] = body
        self.record.note(f"send {request_id} to {node.name}: {size} bytes, sha256 {digest(body)}")
        head = (
            f"POST /tickets/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"X-Api-Key: {KEY}\r\nDeadline-Ms: 4000\r\nContent-Length: {size}\r\n\r\n"
        )
        try:
            writer.write(head.encode())
            clock = asyncio.get_running_loop().time
            start = clock()
            writer.write(body[:ready])
            for first in range(ready, size, PIECE):
                await writer.drain()
                await asyncio.sleep(max(0.0, start + (first - ready) / rate - clock()))
                writer.write(body[first : first + PIECE])
            words, headers = await asyncio.wait_for(read_head(reader), 5.0)
            self.statuses[request_id] = words[1] if words else "closed"
            if words:
                await read_body(reader, headers)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.statuses[request_id] = type(error).__name__
        finally:
            writer.close()
        self.record.note(f"answer to {request_id}: {self.statuses[request_id]}")

    async def phase_a(self) -> None:
        """Raise the limit several times; clients send larger bodies after the acknowledgement."""
        bodies = make_bodies(3 * MEBIBYTE)
        for cycle in range(CYCLES):
            self.configure(LOW_LIMIT if TROUBLE else HIGH_LIMIT)
            await asyncio.sleep(2 * APPLY_SECONDS)
            if TROUBLE:
                self.configure(HIGH_LIMIT)
            uploads = [
                self.upload(
                    node, f"a{cycle}{turn}{node.name}", body, MEBIBYTE + PIECE, 4 * MEBIBYTE
                )
                for turn, body in enumerate(bodies)
                for node in self.nodes
            ]
            await asyncio.gather(*uploads)

    async def phase_b(self) -> None:
        """Kill and start each node in turn while the store is slow; the limit doesn't change."""
        self.configure(LARGE_LIMIT)
        await asyncio.sleep(2 * APPLY_SECONDS)
        bodies = make_bodies(6 * MEBIBYTE)
        for node in self.nodes:
            if TROUBLE:
                self.store.delay = SLOW_SECONDS
                node.stop()
                self.record.note(f"{node.name} killed; the store is slow")
                await asyncio.sleep(0.3)
                node.start()
            uploads = [
                self.upload(node, f"b{turn}{node.name}", body, PIECE, 40 * MEBIBYTE)
                for turn, body in enumerate(bodies)
            ]
            await asyncio.gather(*uploads)
            self.store.delay = 0.0
            await asyncio.sleep(1.0)


async def connect(node: Node) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a node; a refused connection is tried again."""
    for _ in range(200):
        try:
            return await asyncio.open_connection(LOOPBACK, node.port)
        except OSError:
            await asyncio.sleep(0.02)
    raise OSError("no connection")


def digest(body: bytes) -> str:
    """Return a short digest."""
    return hashlib.sha256(body).hexdigest()[:12]


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
    """Start everything, run both phases and judge them."""
    await case.store.serve(case.store_port)
    for runner in case.runners:
        await runner.serve()
        case.store.write(f"servers/{runner.instance_id}", runner.entry())
    case.configure(HIGH_LIMIT)
    for node in case.nodes:
        node.start()
    for node in case.nodes:
        if not await node.wait_ready():
            case.record.note(f"{node.name} isn't ready: {node.log()[-500:]}")
            return 2
    await case.phase_a()
    await case.phase_b()
    counts = {each: list(case.statuses.values()).count(each) for each in case.statuses.values()}
    case.record.note(f"answers {counts}, runs {case.runs}, changed bodies: {case.broken}")
    return 1 if case.broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main()))
