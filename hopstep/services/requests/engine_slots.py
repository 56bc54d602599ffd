"""How many of its own requests a router has at each engine."""

from __future__ import annotations

from collections.abc import Callable

from hopstep.domain.configuration.document import BackEnd
from hopstep.domain.routing.selection import Choice

OVERLOAD_DECREASE = 0.7
"""Factor on what a router sends an engine at once, after the engine refused for want of room."""


def engine_priority(class_priority: int, yields: bool) -> int:
    """Return the priority that an engine is asked to honour; lower numbers go first.

    Engines serve equal priorities in order of arrival. So that a tenant within its share doesn't
    wait there behind another one's flood, requests of the flood come after it in their class.

    Args:
        class_priority: Priority of the request's class, which always goes first.
        yields: Whether the tenant had more requests waiting when this one was let in.
    """
    return 2 * class_priority + int(yields)


class EngineSlot:
    """One request's room at one engine; given back exactly once.

    Args:
        choice: The engine and what is expected of it.
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
        """Give the room back; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release(self)


class EngineSlots:
    """Requests in flight by engine address, within a window for each engine.

    Several routers share an engine without a central counter. A router's window starts at the
    engine's ``max_concurrent_requests``, shrinks by a factor when the engine refuses for want
    of room, and grows by about one request for each window of requests that ended since.
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
        """Return how many requests this router may have at an engine; at least 1."""
        limit = float(engine.max_concurrent_requests)
        return max(1, int(min(limit, self._windows.get(engine.address, limit))))

    def is_free(self, engine: BackEnd) -> bool:
        """Return whether an engine has room for one more of this router's requests."""
        return self.in_flight(engine.address) < self.window(engine)

    def record_overloaded(self, engine: BackEnd) -> None:
        """Shrink the window of an engine that refused for want of room."""
        reached = min(self.window(engine), self.in_flight(engine.address))
        self._windows[engine.address] = max(1.0, reached * OVERLOAD_DECREASE)

    def take(self, address: str) -> None:
        """Count one more request."""
        self._in_flight[address] = self.in_flight(address) + 1

    def give_back(self, engine: BackEnd) -> None:
        """Count one request less, and let the window grow."""
        self._grow(engine)
        remaining = self._in_flight[engine.address] - 1
        if remaining:
            self._in_flight[engine.address] = remaining
        else:
            del self._in_flight[engine.address]

    def _grow(self, engine: BackEnd) -> None:
        """Grow a window that was shrunk; a window at its limit is forgotten."""
        window = self._windows.get(engine.address)
        if window is None:
            return
        grown = window + 1.0 / window
        if grown >= engine.max_concurrent_requests:
            del self._windows[engine.address]
        else:
            self._windows[engine.address] = grown
