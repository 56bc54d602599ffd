"""One emulated instance, and the responses that it gives.

It records its runs, so that tests can check invariants.
"""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator

import msgspec
import trio
import trio.lowlevel

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import Headers
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.domain.instance_notices import InstanceNotice, LimitNotice
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import InstanceAnswer, InstanceCall, InstanceCallError
from hopstep.ports.weights_orders import WeightsOrder


class Behaviour(enum.StrEnum):
    """Behaviour of an instance towards requests."""

    SERVE = "serve"
    FAIL = "fail"
    REJECT = "reject"
    REPLACED = "replaced"
    UNREACHABLE = "unreachable"
    NO_CONNECTION = "no_connection"
    UNRESPONSIVE = "unresponsive"
    LOSE_ANSWER = "lose_answer"
    BREAK_STREAM = "break_stream"
    CUT_EVENT = "cut_event"
    SKIP_EVENT = "skip_event"
    OTHER_ANSWER = "other_answer"
    PROMISE_WITHOUT_PROOF = "promise_without_proof"
    UNSIGNED = "unsigned"
    END_UNWRITTEN = "end_unwritten"


BREAKING = frozenset({Behaviour.BREAK_STREAM, Behaviour.CUT_EVENT, Behaviour.SKIP_EVENT})
"""Behaviours that end a stream before its last event."""


class Run(msgspec.Struct, frozen=True):
    """One request that an instance began to run.

    Attributes:
        request_id: Id of the request.
        at: Start time on the monotonic clock, in seconds.
        version: Weights version at the instance.
        salt: Cache salt that separates the segments of tenants.
        resume_after: Id of the last event that the client has received.
    """

    request_id: str
    at: float
    version: int
    salt: str
    resume_after: str


class SentEvent(msgspec.Struct, frozen=True):
    """One complete event of a stream that an instance has sent.

    Attributes:
        request_id: Id of the request.
        number: Number of the event.
        software_version: Version of the instance's software.
    """

    request_id: str
    number: int
    software_version: str


class EmulatedInstance:
    """One instance.

    ``queue_seconds`` is the time for which an accepted request waits until it begins to run.
    """

    def __init__(self, instance: Instance) -> None:
        """Start without faults.

        Args:
            instance: The instance's published entry.
        """
        self.instance = instance
        self.behaviour = Behaviour.SERVE
        self.queue_seconds = 0.0
        self.work_seconds = 0.05
        self.events = 5
        self.event_seconds = 0.02
        self.events_before_break = 2
        self.load_seconds = 0.6
        self.lost_order_answers = 0
        self.order_delay_seconds = 0.0
        self.runs: list[Run] = []
        self.sent_events: list[SentEvent] = []
        self.arrivals = 0
        self.cancelled: list[str] = []
        self.versions = dict(instance.versions)
        self.order_sequence = instance.order_sequence
        self.highest_fence = 0
        self.orders: list[tuple[float, WeightsOrder]] = []
        self.received_orders: list[tuple[float, WeightsOrder]] = []
        self.busy = False
        self.reported_born_ms = instance.born_ms
        self.connect_seconds = 0.0
        self.announces_leaving = False
        self.requested_backoff_seconds = 0.0
        self.announced_limit: float | None = None
        self.arrived_at: list[float] = []
        self.ended_at: float | None = None
        self._ended = trio.Event()

    def end(self) -> None:
        """Terminate at once: responses in progress break off, connections are refused."""
        if self.ended_at is None:
            self.ended_at = trio.current_time()
            self._ended.set()

    @property
    def is_reachable(self) -> bool:
        """Whether it accepts connections."""
        return self.ended_at is None and self.behaviour is not Behaviour.UNREACHABLE

    def notice(self) -> InstanceNotice:
        """Return the notice in its response headers.

        ``requested_backoff_seconds`` is the backoff that refusals ask for, ``announced_limit`` the
        requests per second that the instance accepts from all nodes together.
        """
        return InstanceNotice(
            self.announces_leaving,
            self.requested_backoff_seconds,
            LimitNotice(self.announced_limit),
        )

    async def work(self, seconds: float) -> None:
        """Wait for the duration of a request's work.

        Raises:
            InstanceCallError: When the instance terminates before the end.
        """
        with trio.move_on_after(seconds):
            await self._ended.wait()
        if self.ended_at is not None:
            raise broken_off()


class EmulatedAnswer(InstanceAnswer):
    """Response of an emulated instance."""

    def __init__(self, server: EmulatedInstance, call: InstanceCall, status: int) -> None:
        """Create the response to a call.

        Args:
            server: The instance.
            call: The call.
            status: HTTP status.
        """
        self.status = status
        self.headers: Headers = ((b"x-instance", server.instance.instance_id.encode()),)
        self.signed = server.behaviour is not Behaviour.UNSIGNED
        self.weights_version = max(server.versions.values(), default=0)
        self.ends_with_connection = server.behaviour is Behaviour.END_UNWRITTEN
        self._server = server
        self._call = call

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; see the port."""
        if self._call.request.route.kind is not RequestKind.STREAM:
            await trio.lowlevel.checkpoint()
            if self.ends_with_connection:
                return
            yield b"answer of " + self._call.request.request_id.encode()
            return
        async for data in self._stream():
            yield data

    async def _stream(self) -> AsyncIterator[bytes]:
        """Yield the events of the stream, until its end or the configured break."""
        server = self._server
        behaviour = server.behaviour
        resumed = self._call.resume_after
        first = int(resumed) + 1 if resumed else 0
        for number in range(first, server.events):
            await server.work(server.event_seconds)
            if behaviour in BREAKING and number - first >= server.events_before_break:
                if behaviour is Behaviour.CUT_EVENT:
                    yield f"id: {number}\ndata: cut o".encode()
                if behaviour is Behaviour.SKIP_EVENT:
                    yield _event(number) + _event(number + 2)
                raise broken_off()
            version = server.instance.software_version
            server.sent_events.append(SentEvent(self._call.request.request_id, number, version))
            yield _event(number)


def _event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def broken_off() -> InstanceCallError:
    """Return the error of a response that broke off."""
    return InstanceCallError(ErrorCode.STREAM_INTERRUPTED, "broke off", Execution.UNKNOWN)
