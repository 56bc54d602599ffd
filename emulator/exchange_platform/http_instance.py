"""An instance of a service over HTTP, by the platform's published protocol.

It answers plain requests and event streams, checks preconditions, takes fenced orders to load
weights, and reports what it does to a listener. Faults are fields that may change at any time.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import random
from collections.abc import AsyncIterator, Iterator
from typing import Protocol, cast

import msgspec
import quart
import quart_trio
import trio
from werkzeug.datastructures import Headers

from emulator.http_responses import json_response, lost_response

FATAL_PART_START = "fa7a1"
"""First digits of the ids of parts that crash each instance that begins a prompt with them."""

MISDIRECTED = 421
UNAVAILABLE = 503
FAILED = 500
SERVED = 200
EVENT_SECONDS = 0.02
FIRST_EPOCH = 1
MILLISECONDS = 1_000.0


class InstanceTraits(msgspec.Struct, frozen=True):
    """Fixed properties of one incarnation of an instance.

    Attributes:
        instance_id: Its id, which a restart keeps.
        service: Name of its service.
        zone: Its zone.
        slots: Largest number of concurrent requests; more are refused as not run.
        model: Name of its model; empty for a plain service.
        load_seconds: Time to load weights.
        born_ms: Unix time of this start in milliseconds.
        software_version: Version of its software.
    """

    instance_id: str
    service: str
    zone: str
    slots: int = 32
    model: str = ""
    load_seconds: float = 0.5
    born_ms: int = 1
    software_version: str = "v1"

    @property
    def incarnation(self) -> str:
        """Name of this incarnation: the instance's id and the time of its start."""
        return f"{self.instance_id}@{self.born_ms}"


class InstanceFaults(msgspec.Struct):
    """Shares (0 to 1) of requests, streams and orders that are hit by a fault.

    Attributes:
        failing: Requests answered with 500 after the run.
        losing: Requests that run, but whose response breaks off.
        breaking: Streams that break off midway.
        failing_streams: Streams answered with 500 in place of their first event.
        late_orders: Orders that get no answer and are executed later.
        late_order_seconds: Delay of these orders.
    """

    failing: float = 0.0
    losing: float = 0.0
    breaking: float = 0.0
    failing_streams: float = 0.0
    late_orders: float = 0.0
    late_order_seconds: float = 2.0


class ResponseNotices(msgspec.Struct):
    """Notices in an instance's response headers, independent of its entry in the store.

    Attributes:
        leaving: Whether every response announces that the instance is about to shut down.
        backoff_seconds: Backoff that refusals ask for; while above 0, every request is refused.
        limit: Announced limit in requests per second, over all nodes; None for no limit.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0
    limit: float | None = None


TRY_HEADER = "X-Try"
"""Header by which callers number the tries of one id; nodes pass it on unchanged."""

PASSED_ON = ("Attempt-Id", "Model", "Token-Usage", "Prompt-Prefix", "X-Note", TRY_HEADER)
"""Headers that nodes pass on unchanged."""


def request_name(attempt_id: str, try_number: str) -> str:
    """Return the name of one try: its id, and its number where tries of one id are numbered."""
    return f"{attempt_id}#{try_number}" if try_number else attempt_id


class RunHeaders(msgspec.Struct, frozen=True):
    """What an instance received with a request.

    Attributes:
        request_id: Name of the request: its id, and its number among the tries of that id.
        tenant: Tenant.
        salt: Cache salt.
        key_shown: Whether the caller's key was among them.
        first_event: Number of the first event that the caller lacks.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        passed_on: Values of ``PASSED_ON`` headers; empty for missing ones.
    """

    request_id: str
    tenant: str
    salt: str
    key_shown: bool
    first_event: int = 0
    method: str = ""
    target: str = ""
    body: bytes = b""
    passed_on: tuple[str, ...] = ()


class InstanceListener(Protocol):
    """Receives events of an instance."""

    def request_arrived(self, instance: HttpInstance, request_id: str) -> None:
        """Handle the arrival of a request, before it is run or refused."""

    def notices_sent(
        self, instance: HttpInstance, request_id: str, notices: ResponseNotices
    ) -> None:
        """Handle a response that carries notices of the instance."""

    def run_started(self, instance: HttpInstance, headers: RunHeaders, stamp: str) -> None:
        """Handle the start of a run."""

    def run_ended(self, instance: HttpInstance, stamp: str) -> None:
        """Handle the end of a run, complete or not."""

    def run_answered(self, stamp: str, status: int, body: bytes | None) -> None:
        """Handle the answer of a run as it begins; None as ``body`` if it is a stream."""

    def order_answered(self, instance: HttpInstance, order: WeightsOrder, status: int) -> None:
        """Handle the answer of an order."""

    def order_executed(self, instance: HttpInstance, holder: str, token: int) -> None:
        """Handle the execution of an order."""

    def control_request_arrived(self, instance: HttpInstance) -> None:
        """Handle the arrival of an order or of a query for the report."""

    def entry_changed(self, instance: HttpInstance) -> None:
        """Handle a change of the instance's entry."""

    def fatal_request_started(self, instance: HttpInstance, request: str) -> None:
        """Handle the start of a request that crashes the instance.

        Args:
            instance: The instance.
            request: Name that the caller gave it, or id of the part of its prompt that does so.
        """


class WeightsOrder(msgspec.Struct, rename="camel"):
    """An order to load weights, as a node sends it."""

    operation: str
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_revision: int | None = None


class HttpInstance:
    """State of one instance; ``app`` serves it."""

    def __init__(
        self, traits: InstanceTraits, listener: InstanceListener, generator: random.Random
    ) -> None:
        """Start without faults and without requests.

        Args:
            traits: Fixed properties of the instance.
            listener: Receives the instance's events.
            generator: Draws faults.
        """
        self.traits = traits
        self.faults = InstanceFaults()
        self.notices = ResponseNotices()
        self.version = 1 if traits.model else 0
        self.draining = False
        self.order_sequence = 0
        self.active = 0
        self.app = _create_app(self)
        self._listener = listener
        self._generator = generator
        self._loading = False
        self._highest_fence = 0
        self._nursery: trio.Nursery | None = None

    def use_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which loads and late orders run."""
        self._nursery = nursery

    def entry(self, address: str) -> dict[str, object]:
        """Return the entry that the instance publishes in the store."""
        traits = self.traits
        models = [{"name": traits.model, "version": self.version}] if traits.model else []
        return {
            "service": traits.service,
            "address": address,
            "zone": traits.zone,
            "version": traits.software_version,
            "slots": traits.slots,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "models": models,
            "callSequence": self.order_sequence,
            "born": traits.born_ms,
        }

    async def serve(self) -> quart.Response:
        """Handle the current request."""
        headers = quart.request.headers
        request_id = _current_request_name()
        body = cast(bytes, await quart.request.get_data())
        self._listener.request_arrived(self, request_id)
        refusal = self._refusal(headers)
        if refusal is not None:
            return refusal
        stamp = self._stamp(request_id)
        shown = RunHeaders(
            request_id,
            headers.get("Tenant", ""),
            headers.get("Cache-Salt", ""),
            "X-Api-Key" in headers,
            int(headers["Last-Event-Id"]) + 1 if "Last-Event-Id" in headers else 0,
            quart.request.method,
            _target(),
            body,
            tuple(headers.get(name, "") for name in PASSED_ON),
        )
        self._listener.run_started(self, shown, stamp)
        wanted = json.loads(body) if body else {}
        fatal = wanted.get("fatal", "") or _fatal_part(headers)
        if fatal:
            self._listener.fatal_request_started(self, fatal)
            with self._running(stamp):
                await trio.sleep_forever()
        fields = {
            "Attempt-Id": headers.get("Attempt-Id", ""),
            "Response-Stamp": stamp,
            "Weight-Versions": str(self.version),
        }
        if "events" in wanted and self._draw_fault(self.faults.failing_streams):
            with self._running(stamp):
                await trio.sleep(EVENT_SECONDS)
            return self._answered(stamp, FAILED, b"failed", fields)
        if "events" in wanted:
            self._listener.run_answered(stamp, SERVED, None)
            events = self._events(request_id, stamp, shown.first_event, int(wanted["events"]))
            return quart.Response(events, headers=fields, content_type="text/event-stream")
        return await self._plain(request_id, stamp, fields, float(wanted.get("work_ms", 20.0)))

    def _refusal(self, headers: Headers) -> quart.Response | None:
        """Return the response that refuses a request; None if it can run."""
        own = self.traits.instance_id
        expected = headers.get("Expect-Version")
        if headers.get("Expect-Instance", own) != own or (
            expected is not None and int(expected) != self.version
        ):
            return quart.Response(b"", status=MISDIRECTED, headers={"Instance-Id": own})
        if self.notices.backoff_seconds:
            fields = {
                "Not-Executed": "1",
                "Attempt-Id": headers.get("Attempt-Id", ""),
                "Retry-After": f"{self.notices.backoff_seconds:.3f}",
            }
            return quart.Response(b"", status=UNAVAILABLE, headers=fields)
        if self._loading or self.active >= self.traits.slots:
            return quart.Response(b"", status=UNAVAILABLE, headers={"Not-Executed": "1"})
        return None

    @contextlib.contextmanager
    def _running(self, stamp: str) -> Iterator[None]:
        """Count a run as active while the context is open."""
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1
            self._listener.run_ended(self, stamp)

    async def _plain(
        self, request_id: str, stamp: str, fields: dict[str, str], work_ms: float
    ) -> quart.Response:
        """Run a plain request and return its response."""
        with self._running(stamp):
            await trio.sleep(work_ms / MILLISECONDS)
        if self._draw_fault(self.faults.losing):
            return lost_response()
        if self._draw_fault(self.faults.failing):
            return self._answered(stamp, FAILED, b"failed", fields)
        return self._answered(stamp, SERVED, f"done {request_id}".encode(), fields)

    def _answered(
        self, stamp: str, status: int, body: bytes, fields: dict[str, str]
    ) -> quart.Response:
        """Return the response of a run, after notifying the listener of it."""
        self._listener.run_answered(stamp, status, body)
        return quart.Response(body, status=status, headers=fields)

    async def _events(
        self, request_id: str, stamp: str, first: int, count: int
    ) -> AsyncIterator[bytes]:
        """Yield the events of a stream, or break off in the middle of one."""
        breaks_at = -1
        if self._draw_fault(self.faults.breaking):
            breaks_at = self._generator.randrange(first, max(first + 1, count))
        with self._running(stamp):
            for number in range(first, count):
                await trio.sleep(EVENT_SECONDS)
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                if number == breaks_at:
                    yield event[: len(event) // 2]
                    raise ConnectionResetError
                yield event

    async def order(self) -> quart.Response:
        """Execute an order, or lose its answer and execute it later."""
        if quart.request.headers.get("Expect-Instance", "") != self.traits.instance_id:
            return quart.Response(b"", status=MISDIRECTED)
        order = msgspec.json.decode(await quart.request.get_data(), type=WeightsOrder)
        if self._draw_fault(self.faults.late_orders) and self._nursery is not None:
            self._nursery.start_soon(self._execute_late, order)
            return lost_response()
        status = self._execute(order)
        self._listener.order_answered(self, order, status)
        return quart.Response(b"", status=status)

    async def _execute_late(self, order: WeightsOrder) -> None:
        """Execute an order after its answer was lost."""
        await trio.sleep(self.faults.late_order_seconds)
        self._execute(order)

    def _execute(self, order: WeightsOrder) -> int:
        """Execute an order if its conditions hold; return the HTTP status."""
        if order.fencing_token < self._highest_fence:
            return 412
        self._highest_fence = order.fencing_token
        if order.version == self.version:
            return 200
        expected = order.expected_revision
        if self._loading or (expected is not None and expected != self.order_sequence):
            return 409
        self._listener.order_executed(self, order.holder, order.fencing_token)
        self.order_sequence += 1
        self._loading = True
        if self._nursery is not None:
            self._nursery.start_soon(self._load, order.version)
        return 202

    async def _load(self, version: int) -> None:
        """Load a weights version."""
        await trio.sleep(self.traits.load_seconds)
        self.version = version
        self._loading = False
        self._listener.entry_changed(self)

    def report(self) -> dict[str, object]:
        """Return the instance's report."""
        return {
            "busy": self._loading,
            "callSequence": self.order_sequence,
            "activeRequests": self.active,
            "models": [{"name": self.traits.model, "version": self.version}],
            "born": self.traits.born_ms,
        }

    def report_notices(self, request_id: str, *, asks_backoff: bool) -> None:
        """Notify the listener of the notices in a response, if there are any."""
        announced = self.notices
        sent = ResponseNotices(
            announced.leaving, announced.backoff_seconds if asks_backoff else 0.0, announced.limit
        )
        if sent != ResponseNotices():
            self._listener.notices_sent(self, request_id, sent)

    def report_control_request(self) -> None:
        """Notify the listener of an order or a query for the report."""
        self._listener.control_request_arrived(self)

    def _stamp(self, request_id: str) -> str:
        """Return a signature that is unique to a run."""
        salt = self._generator.randbytes(8)
        text = f"{self.traits.instance_id} {request_id}".encode()
        return hashlib.blake2b(text, key=salt, digest_size=8).hexdigest()

    def _draw_fault(self, share: float) -> bool:
        """Draw whether a fault occurs that has this share."""
        return share > 0 and self._generator.random() < share


def _current_request_name() -> str:
    """Return the name of the current request; empty if it has no id."""
    headers = quart.request.headers
    return request_name(headers.get("Attempt-Id", ""), headers.get(TRY_HEADER, ""))


def _target() -> str:
    """Return the path and query of the current request."""
    scope = quart.request.scope
    query = scope["query_string"]
    target = scope["raw_path"] + (b"?" + query if query else b"")
    return bytes(target).decode("latin-1")


def _create_app(instance: HttpInstance) -> quart_trio.QuartTrio:
    """Return the HTTP application of an instance."""
    app = quart_trio.QuartTrio(__name__)

    @app.after_request
    async def add_notices(response: quart.Response) -> quart.Response:
        """Add the instance's notices to a response and notify the listener."""
        request_id = _current_request_name()
        if instance.notices.leaving:
            response.headers["Server-Leaving"] = "1"
        if instance.notices.limit is not None:
            response.headers["Server-Limit"] = f"{instance.notices.limit:g}"
        if request_id:
            instance.report_notices(request_id, asks_backoff="Retry-After" in response.headers)
        return response

    @app.get("/report")
    async def report() -> quart.Response:
        """Return the instance's report, unless another instance is expected here."""
        instance.report_control_request()
        own = instance.traits.instance_id
        if quart.request.headers.get("Expect-Instance", own) != own:
            return quart.Response(b"", status=MISDIRECTED, headers={"Instance-Id": own})
        return json_response(instance.report())

    @app.get("/kv-events")
    async def cache_events() -> quart.Response:
        """Return no events after the wait, as these instances keep no segments."""
        await trio.sleep(float(quart.request.headers.get("Wait-Ms", "0")) / MILLISECONDS)
        position = int(quart.request.args.get("since", "0"))
        return json_response(
            {
                "epoch": FIRST_EPOCH,
                "nextPageToken": position,
                "lost": False,
                "events": [],
                "born": instance.traits.born_ms,
            }
        )

    @app.post("/order")
    async def order() -> quart.Response:
        """Execute an order."""
        instance.report_control_request()
        return await instance.order()

    @app.route("/<path:path>", methods=["GET", "POST"])
    async def serve(path: str) -> quart.Response:
        """Run a request."""
        return await instance.serve()

    return app


def _fatal_part(headers: Headers) -> str:
    """Return the id of the shared part of a prompt that crashes instances; empty for none."""
    ids = [part.partition(":")[0] for part in headers.get("Prompt-Prefix", "").split(",")]
    return next((part for part in ids[:-1] if part.startswith(FATAL_PART_START)), "")
