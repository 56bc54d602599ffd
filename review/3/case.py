"""Stops nodes in turn while clients still send bodies on connections that they have kept.

The rule is broken if a node has read a whole request, has passed it on to a runner, and its
connection then ends without an answer, from SIGTERM until 1 s after the grace period. What the rule
excuses isn't counted: the runner never breaks off here, and a request whose time was up, or whose
run reached the last sixth of the grace period, is left out.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time  # noqa: TID251 - stand-ins read the real clock
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BOUNDS,
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
GRACE_SECONDS = float(BOUNDS["gracePeriodS"])
LAST_SIXTH = GRACE_SECONDS * 5 / 6
ROUNDS = 2
CLIENTS = 15
TIMEOUT_SECONDS, DEADLINE_SECONDS = 2.0, 4.0
"""As for ``holdings-search`` of the site."""

WORK_SECONDS = 0.4
"""The site's runners work 0.06 s on the mean request of this kind, and up to 0.45 s."""

SEND_SECONDS = 6.0
"""Clients send during this time after SIGTERM."""

UPLOAD_SECONDS = (0.3, 0.9)
BODY = b"x" * 600
SERVICE = "portal"
ROUTE = {
    "name": "holdings-search",
    "hostname": HOST,
    "pathPrefix": "/holdings/",
    "kind": "unsafe",
    "timeoutMs": int(TIMEOUT_SECONDS * 1000),
    "targetLatencyMs": 400,
    "priority": 2,
    "service": SERVICE,
    "maxAttempts": 1,
    "publicAccess": False,
    "stickySessions": False,
    "resumable": False,
}


@dataclass
class Sent:
    """What was seen of one request; times are of the steady clock.

    Attributes:
        began_at: When its first byte was sent.
        sent_at: When its last byte was sent.
        run_at: When a runner began to work on it; None if none did.
        status: Status of the answer, or how the connection ended.
        ended_at: When the answer or the end of the connection came.
    """

    began_at: float = 0.0
    sent_at: float | None = None
    run_at: float | None = None
    status: str = ""
    ended_at: float = 0.0

    def is_lost(self, stopped_at: float) -> bool:
        """Return whether the rule counts it."""
        if self.run_at is None or self.sent_at is None or self.status != "closed":
            return False
        in_time = self.ended_at < self.began_at + TIMEOUT_SECONDS - 0.2
        reached_last_sixth = self.run_at + WORK_SECONDS >= stopped_at + LAST_SIXTH
        return (
            in_time
            and not reached_last_sixth
            and stopped_at <= self.ended_at <= stopped_at + GRACE_SECONDS + 1
        )


class Case:
    """The deployment, its clients and what they have seen."""

    def __init__(self, folder: Path) -> None:
        """Prepare without starting anything."""
        self.record = Record(FOLDER / "record.txt")
        self.store = Store()
        self.store_port = free_port()
        self.requests: dict[str, Sent] = {}
        self.lost: list[str] = []
        self.runners = [Runner(f"i{n}", SERVICE, self.record, self.run) for n in range(3)]
        self.nodes = [Node(f"n{n}", folder, self.store_port) for n in range(3)]
        self.generator = random.Random()  # noqa: S311 - draws times, no secrets

    async def run(
        self,
        runner: Runner,
        words: list[str],
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request at a runner."""
        request_id = headers.get("attempt-id", "")
        self.requests[request_id].run_at = time.monotonic()
        self.record.note(f"run {request_id} at {runner.instance_id}: {len(body)} bytes")
        await asyncio.sleep(WORK_SECONDS)
        self.record.note(f"run {request_id} ended, answered 200")
        fields = {"Attempt-Id": request_id, "Response-Stamp": f"s.{request_id}"}
        writer.write(answer(200, b"done", fields))
        await writer.drain()

    async def client(self, node: Node, name: str, delay: float) -> None:
        """Keep a connection after a first request, and send a second one some time later."""
        reader, writer = await asyncio.open_connection(LOOPBACK, node.port)
        try:
            await self.send(reader, writer, f"{name}-1", 0.0)
            await asyncio.sleep(delay)
            await self.send(reader, writer, f"{name}-2", self.generator.uniform(*UPLOAD_SECONDS))
        finally:
            writer.close()

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        upload_seconds: float,
    ) -> None:
        """Send one request, the second half of its body some time after the first."""
        request = self.requests[request_id] = Sent(time.monotonic())
        head = (
            f"POST /holdings/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"X-Api-Key: {KEY}\r\nDeadline-Ms: {DEADLINE_SECONDS * 1000:.0f}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        try:
            writer.write(head.encode() + BODY[:300])
            await writer.drain()
            await asyncio.sleep(upload_seconds)
            writer.write(BODY[300:])
            await writer.drain()
            request.sent_at = time.monotonic()
            words, headers = await asyncio.wait_for(read_head(reader), DEADLINE_SECONDS)
            request.status = words[1] if words else "closed"
            if words:
                await read_body(reader, headers)
        except (OSError, asyncio.IncompleteReadError):
            request.status = "closed"
        except TimeoutError:
            request.status = "deadline"
        request.ended_at = time.monotonic()
        self.record.note(
            f"{request_id}: sent in {upload_seconds:.2f} s, "
            f"{'run' if request.run_at else 'not run'}, {request.status}"
        )

    async def stop_in_turn(self, node: Node, number: int) -> None:
        """Stop one node by SIGTERM while its clients go on sending, and start it again."""
        names = [f"{number}{node.name}c{n}" for n in range(CLIENTS)]
        delays = [self.generator.uniform(0.5, 0.5 + SEND_SECONDS) for _ in names]
        clients = [
            asyncio.create_task(self.client(node, name, delay))
            for name, delay in zip(names, delays, strict=True)
        ]
        await asyncio.sleep(1.0)
        stopped_at = time.monotonic()
        if TROUBLE and node.process is not None:
            node.process.send_signal(signal.SIGTERM)
            self.record.note(f"SIGTERM to {node.name}")
        await asyncio.gather(*clients, return_exceptions=True)
        lost = [
            request_id
            for request_id, request in self.requests.items()
            if request_id.startswith(f"{number}{node.name}") and request.is_lost(stopped_at)
        ]
        for request_id in lost:
            request = self.requests[request_id]
            self.record.note(
                f"LOST {request_id}: sent whole {(request.sent_at or 0) - stopped_at:.3f} s, run "
                f"{(request.run_at or 0) - stopped_at:.3f} s, its connection closed "
                f"{request.ended_at - stopped_at:.3f} s after SIGTERM"
            )
        self.lost += lost
        if TROUBLE:
            await asyncio.sleep(max(0.0, stopped_at + GRACE_SECONDS - time.monotonic()))
            node.stop()
            node.start()


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
    """Start everything, stop the nodes in turn, and judge what was lost."""
    await case.store.serve(case.store_port)
    for runner in case.runners:
        await runner.serve()
        case.store.write(f"servers/{runner.instance_id}", runner.entry())
    case.store.write("op/config", configuration(7, [ROUTE], [SERVICE]))
    for node in case.nodes:
        node.start()
    for number in range(ROUNDS):
        for node in case.nodes:
            if not await node.wait_ready():
                case.record.note(f"{node.name} isn't ready: {node.log()[-500:]}")
                return 2
            await case.stop_in_turn(node, number)
    statuses = [request.status for request in case.requests.values()]
    counts = {status: statuses.count(status) for status in statuses}
    case.record.note(f"answers {counts}, lost after they were passed on: {case.lost}")
    return 1 if case.lost else 0


if __name__ == "__main__":
    sys.exit(run_case(main()))
