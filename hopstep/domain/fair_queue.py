"""Order of queued requests: by priority, then weighted fair queueing between tenants.

Within each priority this is start-time fair queueing: a tenant's next request starts at the virtual
time at which its last served one finished, or at the current one if none was waiting; the lowest
start is served first. Only served requests are charged, so a dropped request costs its tenant
nothing. A priority that was passed over ``MAX_PASSED_OVER`` times is served next, which bounds the
wait of low priorities.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator

import msgspec

MAX_PASSED_OVER = 16
"""Requests of other priorities that may be served before one of a waiting priority."""

MIN_WEIGHT = 1e-6
"""Lowest tenant weight, which avoids a division by 0."""


class QueueEntry(msgspec.Struct, frozen=True):
    """A queued request.

    Attributes:
        entry_id: Unique.
        tenant: Tenant name.
        weight: Weight of the tenant.
        priority: Lower numbers are served first.
        cost: Expected work, in tokens; above 0.
    """

    entry_id: str
    tenant: str
    weight: float
    priority: int
    cost: float


Eligible = Callable[[QueueEntry], bool]


class _TenantQueue:
    """Requests of one tenant and one priority, oldest first."""

    def __init__(self) -> None:
        self.entries: OrderedDict[str, QueueEntry] = OrderedDict()
        self.start = 0.0

    def starts(self) -> Iterator[tuple[float, QueueEntry]]:
        """Yield each request with the virtual time at which it starts after those before it."""
        start = self.start
        for entry in self.entries.values():
            yield start, entry
            start += entry.cost / max(entry.weight, MIN_WEIGHT)

    def finish(self, entry: QueueEntry) -> float:
        """Return the virtual time at which ``entry`` finishes if it is served next."""
        return self.start + entry.cost / max(entry.weight, MIN_WEIGHT)


class _PriorityQueue:
    """Tenants of one priority with their virtual times."""

    def __init__(self) -> None:
        self.tenants: dict[str, _TenantQueue] = {}
        self.finishes: dict[str, float] = {}
        self.virtual_time = 0.0
        self.passed_over = 0

    def push(self, entry: QueueEntry) -> None:
        """Add an entry after the others of its tenant."""
        queue = self.tenants.get(entry.tenant)
        if queue is None:
            queue = _TenantQueue()
            queue.start = self.next_start(entry.tenant)
            self.tenants[entry.tenant] = queue
        queue.entries[entry.entry_id] = entry

    def next_start(self, tenant: str) -> float:
        """Return the virtual start of a tenant's first waiting request."""
        queue = self.tenants.get(tenant)
        if queue is not None:
            return queue.start
        return max(self.virtual_time, self.finishes.get(tenant, 0.0))

    def in_order(self) -> Iterator[QueueEntry]:
        """Yield all entries, tenant by tenant in the order of their virtual starts."""
        for tenant in sorted(self.tenants, key=lambda name: (self.tenants[name].start, name)):
            yield from self.tenants[tenant].entries.values()

    def serve(self, entry: QueueEntry) -> None:
        """Remove an entry and charge its tenant."""
        queue = self.tenants[entry.tenant]
        self.virtual_time = max(self.virtual_time, queue.start)
        queue.start = queue.finish(entry)
        self.finishes[entry.tenant] = queue.start
        self.passed_over = 0
        self.discard(entry)

    def last(self) -> QueueEntry:
        """Return the entry with the latest virtual start; some entry must wait."""
        starts = [each for queue in self.tenants.values() for each in queue.starts()]
        return max(starts, key=lambda each: (each[0], each[1].tenant))[1]

    def discard(self, entry: QueueEntry) -> None:
        """Remove an entry without charging its tenant."""
        queue = self.tenants[entry.tenant]
        del queue.entries[entry.entry_id]
        if not queue.entries:
            del self.tenants[entry.tenant]
        self._reset_when_empty()

    def _reset_when_empty(self) -> None:
        """Drop virtual finish times when no tenant waits, which bounds memory."""
        if self.tenants:
            return
        self.passed_over = 0
        self.virtual_time = max(self.finishes.values(), default=self.virtual_time)
        self.finishes.clear()


class FairQueue:
    """All queued requests of a router."""

    def __init__(self) -> None:
        self._priorities: dict[int, _PriorityQueue] = {}
        self._entries: dict[str, QueueEntry] = {}
        self._tenant_counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def count_of(self, tenant: str) -> int:
        """Return the number of a tenant's queued requests."""
        return self._tenant_counts.get(tenant, 0)

    def has_much_waiting(self, tenant: str) -> bool:
        """Return whether a tenant has at least the mean queue length of the waiting tenants."""
        count = self.count_of(tenant)
        return count > 0 and count * len(self._tenant_counts) >= len(self)

    def count_in_same_queue(self, entry: QueueEntry) -> int:
        """Return the number of queued requests of an entry's tenant and priority."""
        queue = self._priorities.get(entry.priority)
        waiting = queue.tenants.get(entry.tenant) if queue else None
        return len(waiting.entries) if waiting else 0

    def push(self, entry: QueueEntry) -> None:
        """Queue a request."""
        self._priorities.setdefault(entry.priority, _PriorityQueue()).push(entry)
        self._entries[entry.entry_id] = entry
        self._tenant_counts[entry.tenant] = self.count_of(entry.tenant) + 1

    def remove(self, entry_id: str) -> bool:
        """Drop a request without charging its tenant; return whether it was queued."""
        entry = self._entries.get(entry_id)
        if entry is None:
            return False
        self._priorities[entry.priority].discard(entry)
        self._forget(entry)
        return True

    def pop(self, eligible: Eligible) -> QueueEntry | None:
        """Remove and return the next request that is ``eligible``, or None.

        Args:
            eligible: Whether a back end can take the request now. Other requests don't hold up
                those after them.
        """
        for priority in self._order():
            queue = self._priorities[priority]
            entry = next((entry for entry in queue.in_order() if eligible(entry)), None)
            if entry is not None:
                self._pass_over(priority)
                queue.serve(entry)
                self._forget(entry)
                return entry
        return None

    def count_before(self, entry: QueueEntry, competes: Eligible) -> int:
        """Return how many queued requests would be served before a new ``entry``.

        Args:
            entry: Request that isn't queued yet.
            competes: Whether a queued request waits for the same back ends.
        """
        queue = self._priorities.get(entry.priority, _PriorityQueue())
        return self._count_before(entry, _start_behind_own(queue, entry), competes)

    def position(self, entry_id: str, competes: Eligible) -> int:
        """Return how many queued requests would be served before a queued one.

        Args:
            entry_id: The queued request.
            competes: Whether another request counts.
        """
        entry = self._entries[entry_id]
        waiting = self._priorities[entry.priority].tenants[entry.tenant]
        start = next(start for start, other in waiting.starts() if other is entry)
        return self._count_before(
            entry, start, lambda other: other is not entry and competes(other)
        )

    def _count_before(self, entry: QueueEntry, start: float, competes: Eligible) -> int:
        """Return how many queued requests would be served before one with a virtual start."""
        queue = self._priorities.get(entry.priority, _PriorityQueue())
        better = (e for e in self._entries.values() if e.priority < entry.priority)
        before = sum(1 for other in better if competes(other))
        for tenant, waiting in queue.tenants.items():
            for virtual_start, other in waiting.starts():
                if virtual_start > start or (virtual_start == start and tenant > entry.tenant):
                    break
                before += 1 if competes(other) else 0
        return before

    def waiting_priorities(self) -> list[int]:
        """Return the priorities that wait."""
        return [p for p, queue in self._priorities.items() if queue.tenants]

    def lowest_priority(self) -> int | None:
        """Return the least urgent waiting priority, or None when nothing waits."""
        return max(self.waiting_priorities(), default=None)

    def last(self) -> QueueEntry | None:
        """Return the request that would be served last, or None when nothing waits."""
        priority = self.lowest_priority()
        return None if priority is None else self._priorities[priority].last()

    def _order(self) -> list[int]:
        """Return the waiting priorities in the order in which they are tried now."""
        return sorted(self.waiting_priorities(), key=self._urgency)

    def _urgency(self, priority: int) -> tuple[int, int]:
        """Return the sort key of a priority: passed over too often first, then by number."""
        passed_over = self._priorities[priority].passed_over
        return (-passed_over if passed_over >= MAX_PASSED_OVER else 0, priority)

    def _pass_over(self, served: int) -> None:
        """Count a served request of priority ``served`` for every other waiting priority."""
        for priority, queue in self._priorities.items():
            if priority != served and queue.tenants:
                queue.passed_over += 1

    def _forget(self, entry: QueueEntry) -> None:
        """Remove an entry from the index and the counts."""
        del self._entries[entry.entry_id]
        remaining = self._tenant_counts[entry.tenant] - 1
        if remaining:
            self._tenant_counts[entry.tenant] = remaining
        else:
            del self._tenant_counts[entry.tenant]


def _start_behind_own(queue: _PriorityQueue, entry: QueueEntry) -> float:
    """Return the virtual start of a new entry after its tenant's queued ones."""
    start = queue.next_start(entry.tenant)
    waiting = queue.tenants.get(entry.tenant)
    if waiting is None:
        return start
    return start + sum(e.cost / max(e.weight, MIN_WEIGHT) for e in waiting.entries.values())
