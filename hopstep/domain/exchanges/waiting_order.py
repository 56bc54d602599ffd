"""Order of the requests of one service that wait at a node for an instance with capacity.

The load that this answers: bursts in which urgent and less urgent requests of many tenants compete
for the same engines, one tenant sends several times its usual traffic, and part of the requests can
no longer be answered in time. Priority decides first. Within a priority, requests that can still
meet their objective go before the others, and tenants share by tokens (``FairQueue``). No priority
waits for more than ``MAX_PASSED_OVER`` requests of others at a time.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopstep.domain.fair_queue import FairQueue, QueueEntry

STARTED_RANK = -1
"""Rank of requests whose stream has begun, in this answer or an earlier one: their clients have a
part of it already."""

CLASSES_PER_RANK = 2
"""Priorities of the fair queue for each rank: requests in time, then late ones."""

EVEN_WEIGHT = 1.0
"""Weight of every tenant."""


class WaitingRequest(msgspec.Struct):
    """A request that waits.

    Attributes:
        entry_id: Unique.
        tenant: Name of its tenant; empty for none.
        rank: Priority, the most urgent first.
        tokens: Tokens of its prompt and answer, by which tenants share; above 0.
        late_from: When it can no longer meet its objective, by the steady clock in seconds.
        late: Whether it is ordered as one that can't.
    """

    entry_id: str
    tenant: str
    rank: int
    tokens: int
    late_from: float
    late: bool = False

    @property
    def order_class(self) -> int:
        """Priority in the fair queue, by rank and by whether it can meet its objective."""
        return CLASSES_PER_RANK * self.rank + int(self.late)


class Place(msgspec.Struct, frozen=True):
    """Place of a request in the order.

    Attributes:
        ahead: Requests that go before it now; others may overtake it.
        ahead_in_class: Those of them in its own order class.
        order_class: Priority of the fair queue: rank, and whether the objective can be met.
    """

    ahead: int
    ahead_in_class: int
    order_class: int


class WaitingOrder:
    """Waiting requests of one service."""

    def __init__(self) -> None:
        """Start empty."""
        self._queue = FairQueue()
        self._waiting: dict[str, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def __contains__(self, entry_id: str) -> bool:
        """Return whether a request waits."""
        return entry_id in self._waiting

    def add(self, request: WaitingRequest, now: float) -> None:
        """Add a request.

        Args:
            request: The request.
            now: Steady clock, seconds.
        """
        request.late = request.late or now >= request.late_from
        self._waiting[request.entry_id] = request
        self._queue.push(_entry(request))

    def discard(self, entry_id: str) -> bool:
        """Drop a request that no longer waits; return whether it did."""
        self._waiting.pop(entry_id, None)
        return self._queue.remove(entry_id)

    def pop(self, may_leave: Callable[[str], bool]) -> str | None:
        """Remove the next request that may leave, and return its id; None for none.

        Args:
            may_leave: Whether an instance has capacity for a request, by its id.
        """
        entry = self._queue.pop(lambda entry: may_leave(entry.entry_id))
        if entry is None:
            return None
        del self._waiting[entry.entry_id]
        return entry.entry_id

    def place_of(self, request: WaitingRequest, now: float, *, late: bool = False) -> Place:
        """Return the place of a request that doesn't wait yet.

        Args:
            request: The request.
            now: Steady clock, seconds.
            late: Whether it will be late even if it isn't yet.
        """
        late = late or request.late or now >= request.late_from
        entry = _entry(msgspec.structs.replace(request, late=late))
        ahead = self._queue.count_before(entry, lambda _other: True)
        ahead_in_class = self._queue.count_before(
            entry, lambda other: other.priority == entry.priority
        )
        return Place(ahead, ahead_in_class, entry.priority)

    def place(self, entry_id: str) -> Place:
        """Return the place of a waiting request."""
        order_class = self._waiting[entry_id].order_class
        ahead = self._queue.position(entry_id, lambda _other: True)
        ahead_in_class = self._queue.position(entry_id, lambda other: other.priority == order_class)
        return Place(ahead, ahead_in_class, order_class)

    def classes(self) -> list[int]:
        """Return the order classes that wait."""
        return self._queue.waiting_priorities()

    def sort_late(self, now: float) -> None:
        """Move requests that can no longer meet their objective behind those that can.

        Args:
            now: Steady clock, seconds.
        """
        late = [r for r in self._waiting.values() if not r.late and now >= r.late_from]
        for request in late:
            self._queue.remove(request.entry_id)
            request.late = True
            self._queue.push(_entry(request))

    def has_less_urgent(self, rank: int) -> bool:
        """Return whether a request of a less urgent rank waits."""
        lowest = self._queue.lowest_priority()
        return lowest is not None and lowest // CLASSES_PER_RANK > rank

    def last(self) -> WaitingRequest | None:
        """Return the request that would be served last, or None when none waits."""
        entry = self._queue.last()
        return self._waiting[entry.entry_id] if entry is not None else None


def _entry(request: WaitingRequest) -> QueueEntry:
    """Return a request as an entry of the fair queue."""
    return QueueEntry(
        entry_id=request.entry_id,
        tenant=request.tenant,
        weight=EVEN_WEIGHT,
        priority=request.order_class,
        cost=float(request.tokens),
    )
