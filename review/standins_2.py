"""Stand-ins of the second review: the platform's store, runners, clients, and nodes as processes.

Only the standard library is used. The stand-ins run in the process of the test; the nodes are
separate processes that are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
BORN_MS = 1_700_000_000_000

Headers = dict[str, str]
Reply = tuple[int, Any]


PORTS = range(20_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections, which could take them again."""

_ports = random.SystemRandom()
_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        port = _ports.choice(PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


def now() -> float:
    """Return the steady clock in seconds."""
    return asyncio.get_running_loop().time()


class Record:
    """What was sent, answered and run: lines of ``record.txt``."""

    def __init__(self, path: Path) -> None:
        """Write to a file from now on."""
        self._file = path.open("w")
        self._began_at = now()

    def note(self, what: str, **fields: Any) -> None:
        """Write one line."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now() - self._began_at:8.3f} {what} {shown}\n")
        self._file.flush()


class HttpRequest:
    """A request that was read from a connection."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Keep the parts of a request; names of headers are in lower case."""
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> HttpRequest:
    """Return the next request of a connection."""
    first, headers = await read_head(reader)
    method, target, _version = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, target, headers, body)


def plain_head(status: int, headers: Headers) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.address = ""
        self.era = 1
        self.is_away = False
        self._oldest = 1
        self._open: set[asyncio.StreamWriter] = set()
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 1000
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Serve, and end leases."""
        port = free_port()
        await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{port}"
        keep(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item."""
        self.revision += 1
        known = self.items.get(key)
        created = known["createdRevision"] if known else self.revision
        self.items[key] = {
            "privateKey": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRevision": created,
            "leaseId": lease,
        }
        self._note(self.items[key])
        return self.revision

    def put_json(self, key: str, value: Any) -> None:
        """Write an item, as the operator and the runners do."""
        self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"privateKey": key, "revision": self.revision, "deleted": True})

    def copy(self) -> tuple[int, dict[str, Any], dict[int, tuple[float, float]]]:
        """Return a copy of all that the store holds now."""
        return self.revision, dict(self.items), dict(self._leases)

    def go_away(self) -> None:
        """Be away: connections are reset."""
        self.is_away = True
        for writer in self._open:
            writer.transport.abort()

    def come_back(self, copy: tuple[int, dict[str, Any], dict[int, tuple[float, float]]]) -> None:
        """Come back from a copy, in a new era; the history is gone."""
        self.revision, self.items, leases = copy[0], dict(copy[1]), copy[2]
        self._leases = {lease: (ttl, now() + ttl) for lease, (ttl, _until) in leases.items()}
        self._history.clear()
        self._oldest = self.revision
        self.era += 1
        self.is_away = False

    def _note(self, change: dict[str, Any]) -> None:
        """Keep a change for watches, and wake them."""
        self._history.append(dict(change))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        """End leases that ran out."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (_ttl, until) in list(self._leases.items()):
                if now() >= until:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        """End a lease with its keys."""
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["leaseId"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                if self.is_away:
                    writer.transport.abort()
                    break
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                head = plain_head(
                    status,
                    {
                        "Content-Type": "application/json",
                        "Content-Length": str(len(body)),
                        "Store-Era": str(self.era),
                    },
                )
                writer.write(head + body)
                await writer.drain()
        self._open.discard(writer)
        writer.close()

    async def _answer(self, request: HttpRequest) -> Reply:
        """Return status and body of the response to a call."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query["privateKey"])
            at = {"atRevision": self.revision}
            return (200, {**item, **at}) if item else (404, at)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("pathPrefix", "")))
            found = [self.items[k] for k in keys if k > query.get("after", "")]
            page = first_page(found)
            more = len(page) < len(found)
            return 200, {"items": page, "hasMore": more, "atRevision": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/kv-lease":
            self._last_lease += 1
            seconds = json.loads(request.body)["ttlMs"] / 1000
            self._leases[self._last_lease] = (seconds, now() + seconds)
            return 200, {"leaseId": self._last_lease, "ttlMs": int(seconds * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            seconds = self._leases[lease][0]
            self._leases[lease] = (seconds, now() + seconds)
            return 200, {"ttlMs": int(seconds * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> Reply:
        """Return the changes after a revision, as soon as there are any."""
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        if not self._oldest <= after <= self.revision:
            return 410, {}
        until = now() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            events = [
                change
                for change in self._history
                if change["revision"] > after and change["privateKey"].startswith(prefix)
            ]
            if events or now() >= until:
                return 200, {"events": events, "atRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), until - now())

    def _transact(self, body: dict[str, Any]) -> Reply:
        """Do everything or nothing."""
        rows = body.get("expectedRevision", [])
        held = {row["privateKey"]: self.items.get(row["privateKey"]) for row in rows}
        revisions = {key: item["revision"] if item else 0 for key, item in held.items()}
        if any(revisions[row["privateKey"]] != row["revision"] for row in rows):
            shown = [{"privateKey": key, "revision": at} for key, at in revisions.items()]
            return 412, {"items": shown}
        puts = body.get("put", [])
        if any(put.get("leaseId", 0) not in (0, *self._leases) for put in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["privateKey"], value, put.get("leaseId", 0))
        for key in body.get("removals", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def first_page(items: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the first items: at most about 500, or 1 MB."""
    page: list[dict[str, Any]] = []
    size = 0
    for item in items[:500]:
        page.append(item)
        size += len(item["value"])
        if size > 1_000_000:
            break
    return page


_tasks: set[asyncio.Task[Any]] = set()


def keep(work: Awaitable[Any]) -> asyncio.Task[Any]:
    """Run a task in the background, and keep it from being collected."""
    task = asyncio.ensure_future(work)
    assert isinstance(task, asyncio.Task)  # noqa: S101 - a coroutine was given
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


class Runner:
    """A runner: one server process, as the platform and callers see it.

    Attributes:
        active: Requests that it works on.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        instance_id: str,
        service: str,
        zone: str,
        version: str = "v1",
        slots: int = 16,
        model: str = "",
    ) -> None:
        """Prepare; ``start`` lists it and accepts connections."""
        self.store, self.record = store, record
        self.instance_id, self.service, self.zone = instance_id, service, zone
        self.version, self.slots, self.model = version, slots, model
        self.port = free_port()
        self.active = 0
        self.state = "ready"
        self.lives = 0
        self.extra: Headers = {}
        self.serve: Callable[[Runner, HttpRequest, asyncio.StreamWriter], Awaitable[bool]]
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}
        self._beat: asyncio.Task[Any] | None = None

    @property
    def address(self) -> str:
        """Its ``ip:port``."""
        return f"{HOST}:{self.port}"

    @property
    def born(self) -> int:
        """Unix millisecond of its start."""
        return BORN_MS + 100_000 * self.lives

    @property
    def is_up(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    async def start(self, first_beat_seconds: float = 0.0) -> None:
        """Accept connections and list itself, at once or with the first heartbeat."""
        self.lives += 1
        self.active = 0
        self.state = "ready"
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        if not first_beat_seconds:
            self._list()
        self._beat = keep(self._beats(first_beat_seconds))
        self.record.note("runner-starts", id=self.instance_id, version=self.version)

    def _list(self) -> None:
        """Write its entry."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "callSequence": 0,
            "born": self.born,
        }
        if self.model:
            entry["stage"] = "prefill_decode"
            entry["models"] = [{"name": self.model, "version": 1, "adapters": []}]
        self.store.put_json(f"servers/{self.instance_id}", entry)

    async def _beats(self, first_beat_seconds: float) -> None:
        """Write the entry again at each heartbeat; the store shows no change by it."""
        if first_beat_seconds:
            await asyncio.sleep(first_beat_seconds)
            self._list()
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if f"servers/{self.instance_id}" not in self.store.items:
                self._list()

    def drain(self) -> None:
        """Say that it is about to leave."""
        self.state = "draining"
        self._list()
        self.record.note("runner-drains", id=self.instance_id, version=self.version)

    def unlist(self) -> None:
        """Take its entry away, and serve on."""
        if self._beat is not None:
            self._beat.cancel()
        self.store.remove(f"servers/{self.instance_id}")

    def end(self) -> None:
        """End as planned: the entry goes, and connections close."""
        self.record.note("runner-ends", id=self.instance_id, version=self.version)
        self._stop()
        self.store.remove(f"servers/{self.instance_id}")

    def crash(self) -> None:
        """Crash: the entry stays, connections end as those of a killed process."""
        self._stop()

    def _stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self._server = None
        if self._beat is not None:
            self._beat.cancel()
        for task, writer in list(self._connections.items()):
            writer.close()
            if task is not asyncio.current_task():
                task.cancel()
        self._connections.clear()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None  # noqa: S101 - the server runs this in a task
        self._connections[task] = writer
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.pop(task, None)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve the next request; return whether the connection goes on."""
        request = await read_request(reader)
        expected = request.headers.get("expect-instance", self.instance_id)
        if expected != self.instance_id:
            head = {"Instance-Id": self.instance_id, "Content-Length": "0"}
            writer.write(plain_head(421, head))
            return True
        path = urlsplit(request.target).path
        if path in ("/report", "/kv-events", "/kv-list", "/order", "/health"):
            await self._control(path, request, writer)
            return True
        work = asyncio.ensure_future(self.serve(self, request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        # A sound runner drops a request when its connection closes.
        try:
            await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            return await work and not gone.done()
        finally:
            for each in (work, gone):
                each.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError, Exception):
                await gone
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await work

    async def _control(self, path: str, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Answer a control call."""
        status, document = 200, {}
        if path == "/report":
            models = [{"name": self.model, "version": 1, "adapters": []}]
            document = {
                "stage": "prefill_decode",
                "models": models,
                "busy": False,
                "callSequence": 0,
                "queuedRequests": 0,
                "activeRequests": self.active,
                "kvUsed": 0,
                "kvTotal": 100_000,
                "handledPrefixes": 0,
                "born": self.born,
            }
        elif path == "/kv-events":
            await asyncio.sleep(int(request.headers.get("wait-ms", "0")) / 1000)
            document = {
                "epoch": self.born,
                "nextPageToken": 1,
                "lost": False,
                "events": [],
                "born": self.born,
            }
        elif path == "/order":
            status = 400
        body = json.dumps(document).encode()
        head = {"Content-Type": "application/json", "Content-Length": str(len(body)), **self.extra}
        writer.write(plain_head(status, head) + body)
        await writer.drain()

    def reject(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Turn a request away for want of room."""
        head = {
            "Attempt-Id": request.headers["attempt-id"],
            "Not-Executed": "1",
            "Content-Length": "0",
            **self.extra,
        }
        writer.write(plain_head(503, head))

    def answer_head(self, request: HttpRequest, more: Headers) -> bytes:
        """Return the head of a signed success."""
        stamp = f"{self.instance_id}.{self.lives}"
        head = {"Attempt-Id": request.headers["attempt-id"], "Response-Stamp": stamp}
        if self.model:
            head["Weight-Versions"] = "1"
        return plain_head(200, {**head, **more, **self.extra})


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Node:
    """A node as a separate process, started with the command of the deploy file."""

    def __init__(self, folder: Path, store: Store, name: str, zone: str) -> None:
        """Write the settings."""
        self.name, self.zone = name, zone
        self.port, self.ready_port = free_port(), free_port()
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._process: asyncio.subprocess.Process | None = None
        self.is_in = False
        values = {
            "nodeName": name,
            "zone": zone,
            "listenAddresses.front": f"{HOST}:{self.port}",
            "listenAddresses.ready": f"{HOST}:{self.ready_port}",
            "ipAddress": HOST,
            "internalPortRange.0": free_port(),
            "internalPortRange.1": free_port(),
            "platform.address": store.address,
            "limits.cpuShare": 0.537,
            "limits.cpuCores": 2,
            "limits.memoryMb": 300,
            "bounds.gracePeriodS": 8,
            "bounds.configApplyMs": 2000,
            "bounds.drainTimeoutMs": 2000,
            "bounds.revokeTimeoutMs": 5000,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.retryBudgetExtra": 54,
            "bounds.budgetWindowS": 10,
            "bounds.leaseDurationMs": 3000,
            "bounds.versionPropagationMs": 8000,
        }
        template = (ROOT / "deploy/node.toml.template").read_text()
        text = re.sub(r"\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}", "", template)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda gap: str(values[gap[1]]), text)
        self._settings.write_text(text)

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "HOPSTEP_SETTINGS": str(self._settings),
        }
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kill the process."""
        self.is_in = False
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    async def wait_ended(self) -> None:
        """Wait for the end of the process."""
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.ready_port)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n")
                first, _headers = await read_head(reader)
                writer.close()
                return first.split(" ")[1] == "200"
        return False


class Deployment:
    """Store, nodes and runners of one case; ends all processes at its end."""

    def __init__(self, folder: Path) -> None:
        """Prepare in the folder of a case."""
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.nodes: list[Node] = []
        self.runners: list[Runner] = []
        self.all_in = asyncio.Event()
        self._folder = Path(tempfile.mkdtemp(prefix="hopstep-review-"))

    async def start_nodes(self, zones: list[str]) -> None:
        """Start a node in each of some zones, and wait until all are ready."""
        for number, zone in enumerate(zones):
            self.nodes.append(Node(self._folder, self.store, f"front-{number}", zone))
        for node in self.nodes:
            await node.start()
        keep(self._check_readiness())
        async with asyncio.timeout(30):
            await self.all_in.wait()

    async def _check_readiness(self) -> None:
        """Ask each node once a second whether it is ready, as the platform does."""
        misses = {node.name: 2 for node in self.nodes}
        while True:
            answers = await asyncio.gather(*(node.is_ready() for node in self.nodes))
            for node, answer in zip(self.nodes, answers, strict=True):
                misses[node.name] = 0 if answer else misses[node.name] + 1
                node.is_in = misses[node.name] < 2
            if all(node.is_in for node in self.nodes):
                self.all_in.set()
            await asyncio.sleep(1.0)

    def close(self) -> None:
        """End all processes, and keep the logs of the nodes if that is asked for."""
        for node in self.nodes:
            node.kill()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


class Answer:
    """What a client got for one try."""

    def __init__(self) -> None:
        """Start without any byte."""
        self.status = 0
        self.headers: Headers = {}
        self.body = b""
        self.is_complete = False
        self.problem = ""


async def ask(
    port: int,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    seconds: float = 15.0,
    on_data: Callable[[bytes], None] = lambda _data: None,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    try:
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, port)
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            await _read_body(reader, answer, on_data)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.problem = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_body(
    reader: asyncio.StreamReader, answer: Answer, on_data: Callable[[bytes], None]
) -> None:
    """Read the body of an answer."""
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.is_complete = True
                return
            answer.body += data[:size]
            on_data(data[:size])
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        on_data(answer.body)
    else:
        answer.body = await reader.read(-1)
        on_data(answer.body)
    answer.is_complete = True


MODEL, SERVICE = "m1", "lm"


def lm_configuration(tenants: list[dict[str, Any]], timeout_ms: int = 6000) -> dict[str, Any]:
    """Return a configuration with one service of engines and one route to it."""
    route = {
        "name": "r-stream",
        "hostname": "lm.example",
        "pathPrefix": "/gen/",
        "kind": "streaming",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "publicAccess": False,
        "stickySessions": True,
        "resumable": True,
        "targetGapMs": 500,
    }
    engine = {
        "slots": 64,
        "kvCapacityTokens": 110556,
        "kvTokenBytes": 163840,
        "linkMbps": 1100000.0,
        "models": [{"name": MODEL}],
    }
    service = {
        "name": SERVICE,
        "healthCheckPath": "/health",
        "connectionLimit": 360,
        "protocol": "h1",
        "tlsEnabled": False,
        "engine": engine,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [service],
        "limits": limits,
        "tenants": tenants,
    }


def tenant(name: str, *, isolated: bool = False) -> dict[str, Any]:
    """Return a tenant with one key."""
    return {"name": name, "apiKeys": [f"key-of-{name}"], "priority": 1, "isolated": isolated}


def run_case(folder: Path, case: Callable[[Deployment, bool], Awaitable[int]]) -> None:
    """Run a case, and exit with 0 if the rule held, 1 if it broke, 2 if the case couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body() -> int:
        deployment = Deployment(folder)
        running = asyncio.current_task()
        assert running is not None  # noqa: S101 - it runs in a task
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            await deployment.store.start()
            async with asyncio.timeout(115):
                return await case(deployment, has_trouble)
        except (Exception, asyncio.CancelledError) as error:
            deployment.record.note("case-failed", error=repr(error))
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            return 2
        finally:
            deployment.close()

    code = asyncio.run(body())
    print({0: "the rule held", 1: "the rule was broken", 2: "couldn't run"}[code])
    sys.stdout.flush()
    os._exit(code)
