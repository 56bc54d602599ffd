"""A router's own requests in flight at each engine, within a window."""

from __future__ import annotations

from collections.abc import Callable

from hopstep.domain.configuration.document import BackEnd
from hopstep.domain.routing.selection import Choice

OVERLOAD_DECREASE = 0.7
"""Factor on a router's window at an engine that refused a request as overloaded."""


def engine_priority(class_priority: int, yields: bool) -> int:
    """Return the priority that an engine is asked to honour; lower numbers go first.

    Engines serve equal priorities in order of arrival. So that a tenant within its share doesn't
    wait there behind another one's burst, requests of the burst come after it in their class.

    Args:
        class_priority: Priority of the request's class, which always takes precedence.
        yields: Whether the tenant had many requests waiting when this one was admitted.
    """
    return 2 * class_priority + int(yields)


class EngineSlot:
    """One request's slot at one engine; released exactly once.

    Args:
        choice: The engine and its expected state.
        taken_at: Time at which it was taken.
        release: Called on the first ``release`` only.
        yields: Whether requests of other tenants should go before it at the engine.
    """

    def __init__(
        self,
        choice: Choice,
        taken_at: float,
        release: Callable[[EngineSlot], None],
        yields: bool = False,
    ) -> None:
        self.choice = choice
        self.taken_at = taken_at
        self.yields = yields
        self._release: Callable[[EngineSlot], None] | None = release

    def release(self) -> None:
        """Release the slot; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release(self)


class EngineSlots:
    """Requests in flight by engine address, within a window for each engine.

    Several routers share an engine without a central counter. A router's window starts at the
    engine's ``max_concurrent_requests``, shrinks by a factor when the engine refuses a request as
    overloaded, and grows by about one request for each window of requests that ended since.
    """

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        self._windows: dict[str, float] = {}

    def in_flight(self, address: str) -> int:
        """Return this router's requests at an engine."""
        return self._in_flight.get(address, 0)

    def total(self) -> int:
        """Return this router's requests at all engines."""
        return sum(self._in_flight.values())

    def window(self, engine: BackEnd) -> int:
        """Return the number of requests that this router may have at an engine; at least 1."""
        limit = float(engine.max_concurrent_requests)
        return max(1, int(min(limit, self._windows.get(engine.address, limit))))

    def is_free(self, engine: BackEnd) -> bool:
        """Return whether this router's window at an engine admits another request."""
        return self.in_flight(engine.address) < self.window(engine)

    def record_overloaded(self, engine: BackEnd) -> None:
        """Shrink the window of an engine that refused a request as overloaded."""
        reached = min(self.window(engine), self.in_flight(engine.address))
        self._windows[engine.address] = max(1.0, reached * OVERLOAD_DECREASE)

    def take(self, address: str) -> None:
        """Count another request in flight."""
        self._in_flight[address] = self.in_flight(address) + 1

    def release_one(self, engine: BackEnd) -> None:
        """Count a request as ended, and let the window grow."""
        self._grow(engine)
        remaining = self._in_flight[engine.address] - 1
        if remaining:
            self._in_flight[engine.address] = remaining
        else:
            del self._in_flight[engine.address]

    def _grow(self, engine: BackEnd) -> None:
        """Grow a reduced window; a window at its limit is dropped."""
        window = self._windows.get(engine.address)
        if window is None:
            return
        grown = window + 1.0 / window
        if grown >= engine.max_concurrent_requests:
            del self._windows[engine.address]
        else:
            self._windows[engine.address] = grown
