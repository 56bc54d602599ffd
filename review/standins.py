"""Stand-ins for the users' platform, runners and clients, written from their published pages.

They use the standard library only and listen on loopback addresses only.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import time  # noqa: TID251 - stand-ins read the real clock
import urllib.parse
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
HOST = "shop.example"
COULD_NOT_RUN = 2
"""Exit code of a case that didn't run to its end."""

Headers = dict[str, str]


def free_port() -> int:
    """Return a loopback port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((LOOPBACK, 0))
            port = int(tcp.getsockname()[1])
            try:
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w")
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], Headers]:
    """Return the words of the first line and the headers; no words at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return [], {}
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first.split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def answer(status: int, body: bytes = b"", headers: Headers | None = None) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection unless the event loop has ended."""
    if not asyncio.get_running_loop().is_closed():
        writer.close()


def chunk(data: bytes) -> bytes:
    """Return a chunk of an answer; no data ends the answer."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event_stream_head(request_id: str) -> bytes:
    """Return the head of an answer that is a stream of events, in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nResponse-Stamp: s.{request_id}\r\n"
        "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.delay = 0.0
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, float] = {}
        self._changed = asyncio.Event()

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key."""
        self.revision += 1
        item = {
            "privateKey": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRevision": self.items.get(key, {}).get("createdRevision", self.revision),
            "leaseId": lease,
        }
        self.items[key] = item
        self._log(item)

    def remove(self, key: str) -> None:
        """Remove one key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._log({"privateKey": key, "revision": self.revision, "deleted": True})

    def _log(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, until in self._leases.items() if until < now]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["leaseId"] == lease]:
            self.remove(key)

    async def serve(self, port: int) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._connection, LOOPBACK, port)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words, headers = await read_head(reader)
                if not words:
                    return
                body = await read_body(reader, headers)
                await asyncio.sleep(self.delay)
                status, document = await self._call(words[0], words[1], body)
                fields = {"Content-Type": "application/json"}
                writer.write(answer(status, json.dumps(document).encode(), fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            close(writer)

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        self._expire()
        path, _, query = target.partition("?")
        given = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
        if method == "GET":
            return await self._read(path, given)
        if path == "/kv-txn":
            return self._transact(json.loads(body))
        if path == "/kv-lease":
            lease = self.revision * 1000 + len(self._leases) + 1
            ttl_ms = json.loads(body)["ttlMs"]
            self._leases[lease] = time.monotonic() + ttl_ms / 1000
            return 200, {"leaseId": lease, "ttlMs": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            self._leases[lease] = max(self._leases[lease], time.monotonic() + 3.0)
            return 200, {}
        self._end(lease)
        return 200, {}

    async def _read(self, path: str, given: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix = given.get("pathPrefix", "")
        if path == "/kv-key":
            item = self.items.get(given["privateKey"])
            return (404, {}) if item is None else (200, {**item, "atRevision": self.revision})
        if path == "/kv-range":
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
            items = [item for item in items if item["privateKey"] > given.get("after", "")]
            return 200, {"items": items, "hasMore": False, "atRevision": self.revision}
        after = int(given["after"])
        until = time.monotonic() + float(given["waitMs"]) / 1000
        while True:
            events = [event for event in self._history if event["revision"] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRevision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in wanted["expectedRevision"]:
            item = self.items.get(row["privateKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in wanted.get("put", []):
            lease = put.get("leaseId", 0)
            if lease and lease not in self._leases:
                return 404, {}
            self.write(put["privateKey"], base64.b64decode(put["value"]), lease)
        for key in wanted.get("removals", []):
            self.remove(key)
        return 200, {"revision": self.revision}


Handler = Callable[
    ["Runner", list[str], Headers, bytes, asyncio.StreamWriter], Awaitable[bool | None]
]


class Runner:
    """A runner; its handler answers one request, and returns False to close the connection."""

    def __init__(self, instance_id: str, service: str, record: Record, handler: Handler) -> None:
        """Prepare without listening."""
        self.instance_id = instance_id
        self.service = service
        self.record = record
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self._handler = handler
        self._server: asyncio.Server | None = None

    def entry(self, state: str = "ready", **more: object) -> bytes:
        """Return its entry in the store."""
        fields = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "callSequence": 0,
            "born": self.born,
        }
        return json.dumps({**fields, **more}).encode()

    def engine_entry(self, model: str, **more: object) -> bytes:
        """Return its entry in the store as a model runner with the first version of a model."""
        models = [{"name": model, "version": 1, "adapters": []}]
        return self.entry(stage="prefill_decode", models=models, **more)

    async def answer_control(
        self, words: list[str], headers: Headers, writer: asyncio.StreamWriter, model: str
    ) -> bool:
        """Answer a report or a call for events as a model runner; return False for other calls."""
        document: dict[str, Any] = {"born": self.born}
        if words[1].startswith("/kv-events"):
            await asyncio.sleep(float(headers.get("wait-ms", "0")) / 1000)
            since = int(words[1].partition("since=")[2] or 0)
            document |= {"epoch": 1, "nextPageToken": since, "lost": False, "events": []}
        elif words[1] == "/report":
            document |= {
                "stage": "prefill_decode",
                "models": [{"name": model, "version": 1, "adapters": []}],
                "busy": False,
                "callSequence": 0,
                "queuedRequests": 0,
                "activeRequests": 0,
                "kvUsed": 0,
                "kvTotal": 110556,
                "handledPrefixes": 0,
            }
        else:
            return False
        fields = {"Content-Type": "application/json"}
        writer.write(answer(200, json.dumps(document).encode(), fields))
        await writer.drain()
        return True

    async def serve(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connection, LOOPBACK, self.port)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words, headers = await read_head(reader)
                if not words:
                    return
                body = await read_body(reader, headers)
                if await self._handler(self, words, headers, body, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            close(writer)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of the settings template that the deploy file names."""

    def section(found: re.Match[str]) -> str:
        value = fields.get(found[1])
        return found[2].replace("{{.}}", str(value)) if value is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(fields.get(found[1], "")), text)


BOUNDS = {
    "gracePeriodS": 8,
    "configApplyMs": 2000,
    "drainTimeoutMs": 2000,
    "revokeTimeoutMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryBudgetExtra": 54,
    "budgetWindowS": 10,
    "leaseDurationMs": 3000,
    "versionPropagationMs": 8000,
}


class Node:
    """One process of the deploy file's only role."""

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        """Write its settings."""
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        fields: dict[str, Any] = {
            "nodeName": name,
            "zone": "z1",
            "ipAddress": LOOPBACK,
            "listenAddresses.front": f"{LOOPBACK}:{self.port}",
            "listenAddresses.ready": f"{LOOPBACK}:{self.ready_port}",
            "internalPortRange.0": free_port(),
            "internalPortRange.1": free_port(),
            "platform.address": f"{LOOPBACK}:{store_port}",
            "limits.cpuShare": 0.537,
            "limits.cpuCores": 2,
            "limits.memoryMb": 300,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        template = (ROOT / "deploy" / "node.toml.template").read_text()
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(render(template, fields))
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HOPSTEP_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "hopstep.cli.node"],  # noqa: S607 - as in the deploy file
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    async def wait_ready(self, seconds: float = 30.0) -> bool:
        """Wait until the process says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Ask the process once whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n")
            words, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return len(words) > 1 and words[1] == "200"
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def configuration(version: int, routes: list[dict[str, Any]], services: list[str]) -> bytes:
    """Return a configuration of the operator with one tenant."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthCheckPath": "/health",
                    "connectionLimit": 100,
                    "protocol": "h1",
                    "tlsEnabled": False,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "isolated": False}],
        }
    ).encode()


def run_case(case: Coroutine[Any, Any, int]) -> int:
    """Run a case and return its exit code; an interrupted one ends its processes too."""

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.create_task(case)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return COULD_NOT_RUN

    return asyncio.run(run())
