"""Admission of requests to engines with free capacity, and a bounded fair queue for the others.

A request gets a slot at once when an engine that it may use has free capacity and no request waits
before it. Otherwise it queues, bounded by its tenant's queue length and by its class's longest
wait. One whose expected wait is too long is refused at once, with a time to retry after; one whose
caller disconnects or whose wait times out is dropped at once. Placement is evaluated again, against
the configuration in force, each time that a queued request is checked.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from hopstep.domain.blocks import count_tokens
from hopstep.domain.configuration.document import BackEnd
from hopstep.domain.fair_queue import FairQueue, QueueEntry
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.queue_pace import QueuePace
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.domain.routing.selection import Choice
from hopstep.exceptions import DomainError, ErrorCode, ServiceError
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.requests.engine_placement import EnginePlacement, PlacementKey, placement_key
from hopstep.services.requests.engine_slots import EngineSlot, EngineSlots

RECHECK_SECONDS = 0.1
"""Interval at which queued requests are checked, for changes that trigger no check."""

HOLD_TIME_SMOOTHING = 0.1
"""Weight of the latest request in the mean time for which a slot is held."""

WAIT_SPREAD = 1.25
"""Factor on the expected wait: waits vary, and a request that times out is refused late."""

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 60.0

STARTED_PRIORITY = -1_000_000
"""Priority of further attempts: requests that have started go before those that haven't."""

ExpectedRequests = Callable[[str], int]
"""Returns the requests expected at an engine address, including those of other routers."""


class _Group(msgspec.Struct, frozen=True):
    """Queued requests that the same engines can take: when one can't be admitted, none can."""

    placement: PlacementKey
    excluded: frozenset[str]


class _Waiting(msgspec.Struct):
    """A queued request."""

    entry: QueueEntry
    request: InferenceRequest
    excluded: frozenset[str]
    granted: trio.Event
    slot: EngineSlot | None = None
    error: ServiceError | None = None


class AdmissionService:
    """Gives each request a slot at one engine, in fair order.

    Args:
        holder: Configuration in force.
        table: Chooses among the engines with free capacity.
        expected_requests: Requests expected at an engine; None counts this router's own requests
            only.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        table: RoutingTable,
        expected_requests: ExpectedRequests | None = None,
    ) -> None:
        self._placement = EnginePlacement(holder)
        self._table = table
        self._expected_requests = expected_requests
        self.slots = EngineSlots()
        self._queue = FairQueue()
        self._pace = QueuePace()
        self._waiting: dict[str, _Waiting] = {}
        self._mean_hold_seconds = 0.0
        self._eligible_choice: Choice | None = None
        self._blocked: set[_Group] = set()
        self._checked_at = float("-inf")
        self._checked_revision = 0
        self._next_entry = 0

    @property
    def queued(self) -> int:
        """Number of requests that wait for an engine."""
        return len(self._queue)

    async def acquire(
        self,
        request: InferenceRequest,
        excluded: frozenset[str] = frozenset(),
        further: bool = False,
    ) -> EngineSlot:
        """Wait for free capacity at an engine and take a slot.

        Args:
            request: The request.
            excluded: Names of engines to avoid while there are others.
            further: Whether this is a further attempt of a request that was admitted before.

        Raises:
            ServiceError: ``NO_ADMISSIBLE_BACK_END`` when placement rules every engine out;
                ``OVERLOADED`` when the wait is or becomes too long; both as not run.
        """
        request = self._placement.in_force(request)
        engines = self._placement.engines(request)
        waiting = self._new_waiting(request, excluded, further)
        self._refuse_backing_off(request, engines)
        if not further:
            self._refuse_long_wait(waiting.entry, request, engines)
        self._queue.push(waiting.entry)
        self._pace.begin(waiting.entry.tenant, waiting.entry.priority, trio.current_time())
        self._waiting[waiting.entry.entry_id] = waiting
        try:
            self._drain()
            await self._wait(waiting)
        except BaseException:
            self._abandon(waiting)
            raise
        assert waiting.slot is not None  # noqa: S101 - set when _wait returns
        return waiting.slot

    def try_acquire(self, request: InferenceRequest, excluded: frozenset[str]) -> EngineSlot | None:
        """Take a slot at an engine that isn't excluded, if one is free and no request waits."""
        if self._waiting:
            return None
        choice = self._choose(request, excluded, excluded_as_last_resort=False)
        return self._take(choice) if choice is not None else None

    def expected_wait(self, entry: QueueEntry, engines: tuple[BackEnd, ...]) -> float:
        """Return the seconds for which a new entry would wait for one of ``engines``."""
        if not self._must_wait(engines):
            return 0.0
        names = {engine.name for engine in engines}
        before = self._queue.count_before(entry, lambda other: self._competes(other, names))
        capacity = sum(engine.max_concurrent_requests for engine in engines)
        by_order = (before + 1) * self._mean_hold_seconds / max(1, capacity)
        return max(by_order, self._expected_wait_by_pace(entry))

    def _expected_wait_by_pace(self, entry: QueueEntry) -> float:
        """Return the expected wait by the rate at which the entry's own tenant was admitted."""
        queued_alongside = self._queue.count_in_same_queue(entry)
        if not queued_alongside:
            return 0.0
        now = trio.current_time()
        return self._pace.expected_wait(entry.tenant, entry.priority, queued_alongside, now)

    def _must_wait(self, engines: tuple[BackEnd, ...]) -> bool:
        """Return whether a new entry for one of ``engines`` would have to queue."""
        return bool(self._queue) or not any(self._has_capacity(engine) for engine in engines)

    def recheck(self) -> None:
        """Check the queue again, after the configuration or an engine's load changed."""
        self._drain()

    def _new_waiting(
        self, request: InferenceRequest, excluded: frozenset[str], further: bool
    ) -> _Waiting:
        """Return the waiting entry of a request."""
        self._next_entry += 1
        entry = QueueEntry(
            entry_id=str(self._next_entry),
            tenant=request.tenant.name,
            weight=request.tenant.weight,
            priority=STARTED_PRIORITY if further else request.request_class.priority,
            cost=float(count_tokens(request.prompt) + request.max_tokens + 1),
        )
        return _Waiting(entry, request, excluded, trio.Event())

    def _refuse_long_wait(
        self, entry: QueueEntry, request: InferenceRequest, engines: tuple[BackEnd, ...]
    ) -> None:
        """Refuse a request that would wait too long."""
        wait = self.expected_wait(entry, engines)
        limit = request.tenant.limits.max_queued_requests
        # Not by the expected wait: it is 0 until a first request has released its slot.
        if self._must_wait(engines) and self._queue.count_of(entry.tenant) >= limit:
            raise self._overloaded("the tenant's queue is full", wait)
        remaining = request.deadline - trio.current_time()
        if wait * WAIT_SPREAD > min(request.request_class.max_queue_seconds, remaining):
            raise self._overloaded("the expected wait for an engine is too long", wait)

    def _refuse_backing_off(self, request: InferenceRequest, engines: tuple[BackEnd, ...]) -> None:
        """Refuse a request at once when all engines are backing off for longer than it may wait."""
        backoff = min((self._backoff_seconds(engine) for engine in engines), default=0.0)
        remaining = request.deadline - trio.current_time()
        if backoff > min(request.request_class.max_queue_seconds, remaining):
            raise self._overloaded("all engines want rest", backoff)

    async def _wait(self, waiting: _Waiting) -> None:
        """Wait until a slot is granted; raise when the wait times out."""
        now = trio.current_time()
        limit = waiting.request.request_class.max_queue_seconds
        give_up_at = min(now + limit, waiting.request.deadline)
        while not waiting.granted.is_set():
            with trio.move_on_at(min(give_up_at, trio.current_time() + RECHECK_SECONDS)):
                await waiting.granted.wait()
            if waiting.granted.is_set():
                break
            if trio.current_time() >= give_up_at:
                raise self._overloaded("no engine had room in time", self._mean_hold_seconds)
            self._recheck_if_due()
        if waiting.error is not None:
            raise waiting.error

    def _abandon(self, waiting: _Waiting) -> None:
        """Remove a request that no longer waits, and release a slot that it was just granted."""
        self._queue.remove(waiting.entry.entry_id)
        self._waiting.pop(waiting.entry.entry_id, None)
        self._forget_pace(waiting.entry)
        if waiting.slot is not None:
            waiting.slot.release()

    def _forget_pace(self, entry: QueueEntry) -> None:
        """Drop a tenant's admission rate once none of its requests waits."""
        if not self._queue.count_in_same_queue(entry):
            self._pace.forget(entry.tenant, entry.priority)

    def _recheck_if_due(self) -> None:
        """Check the queue again, unless another waiting request has just done so."""
        if trio.current_time() - self._checked_at >= RECHECK_SECONDS:
            self._drain()

    def _drain(self) -> None:
        """Grant slots in fair order while engines have free capacity."""
        self._checked_at = trio.current_time()
        self._fail_unplaced()
        self._blocked.clear()
        while self._queue:
            entry = self._queue.pop(self._is_eligible)
            if entry is None:
                return
            waiting = self._waiting.pop(entry.entry_id)
            assert self._eligible_choice is not None  # noqa: S101 - set by _is_eligible
            yields = self._queue.has_much_waiting(entry.tenant)
            waiting.slot = self._take(self._eligible_choice, yields)
            self._pace.record_entry(entry.tenant, entry.priority, trio.current_time())
            self._forget_pace(entry)
            waiting.granted.set()

    def _fail_unplaced(self) -> None:
        """Refuse queued requests that no engine may serve under a new configuration."""
        if self._placement.revision == self._checked_revision:
            return
        self._checked_revision = self._placement.revision
        for entry_id, waiting in list(self._waiting.items()):
            try:
                self._placement.engines(waiting.request)
            except ServiceError as error:
                waiting.error = error
                self._queue.remove(entry_id)
                self._forget_pace(waiting.entry)
                del self._waiting[entry_id]
                waiting.granted.set()

    def _is_eligible(self, entry: QueueEntry) -> bool:
        """Return whether an engine can take a queued request now, and remember the choice."""
        waiting = self._waiting[entry.entry_id]
        group = _Group(placement_key(waiting.request), waiting.excluded)
        if group in self._blocked:
            return False
        self._eligible_choice = self._choose(
            waiting.request, waiting.excluded, excluded_as_last_resort=True
        )
        if self._eligible_choice is None:
            self._blocked.add(group)
        return self._eligible_choice is not None

    def _choose(
        self, request: InferenceRequest, excluded: frozenset[str], *, excluded_as_last_resort: bool
    ) -> Choice | None:
        """Return the best engine with free capacity, or None."""
        placed = self._placement.engines(request)
        preferred = tuple(engine for engine in placed if engine.name not in excluded)
        if not preferred and excluded_as_last_resort:
            preferred = placed
        free = tuple(engine for engine in preferred if self._has_capacity(engine))
        if not free:
            return None
        try:
            current = self._placement.in_force(request)
            return self._table.choose(current, free, frozenset(), trio.current_time())
        except DomainError:
            return None

    def _has_capacity(self, engine: BackEnd) -> bool:
        """Return whether an engine can take one more request."""
        if not self.slots.is_free(engine) or self._backoff_seconds(engine) > 0:
            return False
        if self._expected_requests is None:
            return True
        return self._expected_requests(engine.address) < engine.max_concurrent_requests

    def _backoff_seconds(self, engine: BackEnd) -> float:
        """Return the seconds for which an engine gets no requests, by its own notice."""
        now = trio.current_time()
        active = self.slots.in_flight(engine.address)
        answer = self._table.admission(engine.address, active, now)
        return 0.0 if answer.is_open else answer.until - now

    def _competes(self, other: QueueEntry, names: set[str]) -> bool:
        """Return whether a queued request may use one of the named engines."""
        placed = self._placement.engines(self._waiting[other.entry_id].request)
        return any(engine.name in names for engine in placed)

    def _take(self, choice: Choice, yields: bool = False) -> EngineSlot:
        """Take a slot at an engine."""
        self.slots.take(choice.back_end.address)
        return EngineSlot(choice, trio.current_time(), self._release_slot, yields)

    def _release_slot(self, slot: EngineSlot) -> None:
        """Release a slot, update the mean hold time, and grant slots to waiting requests."""
        held = trio.current_time() - slot.taken_at
        if self._mean_hold_seconds == 0.0:
            self._mean_hold_seconds = held
        else:
            self._mean_hold_seconds += HOLD_TIME_SMOOTHING * (held - self._mean_hold_seconds)
        self.slots.release_one(slot.choice.back_end)
        self._drain()

    @staticmethod
    def _overloaded(message: str, wait: float) -> ServiceError:
        """Return a refusal with a bounded ``Retry-After``."""
        bounded = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return ServiceError(ErrorCode.OVERLOADED, message, retry_after_seconds=bounded)
