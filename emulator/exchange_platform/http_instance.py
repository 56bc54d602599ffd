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
from typing import cast

import msgspec
import quart
import trio
from werkzeug.datastructures import Headers

from emulator.exchange_platform.instance_application import MILLISECONDS, MISDIRECTED, create_app
from emulator.exchange_platform.instance_listener import InstanceListener, WeightsOrder
from emulator.exchange_platform.instance_requests import (
    PASSED_ON,
    RunHeaders,
    current_request_name,
    current_target,
    fatal_part,
)
from emulator.exchange_platform.instance_traits import (
    InstanceFaults,
    InstanceTraits,
    ResponseNotices,
)
from emulator.http_responses import lost_response

UNAVAILABLE = 503
FAILED = 500
SERVED = 200
EVENT_SECONDS = 0.02


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
        self.app = create_app(self)
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
        request_id = current_request_name()
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
            current_target(),
            body,
            tuple(headers.get(name, "") for name in PASSED_ON),
        )
        self._listener.run_started(self, shown, stamp)
        wanted = json.loads(body) if body else {}
        fatal = wanted.get("fatal", "") or fatal_part(headers)
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
