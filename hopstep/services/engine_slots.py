"""How many of its own requests a router has at each engine."""

from __future__ import annotations

from collections.abc import Callable

from hopstep.domain.configuration import BackEnd
from hopstep.domain.routing.selection import Choice


class EngineSlot:
    """One request's room at one engine; given back exactly once.

    Args:
        choice: The engine and what is expected of it.
        taken_at: Time at which it was taken.
        release: Called on the first ``release`` only.
    """

    def __init__(
        self, choice: Choice, taken_at: float, release: Callable[[EngineSlot], None]
    ) -> None:
        self.choice = choice
        self.taken_at = taken_at
        self._release: Callable[[EngineSlot], None] | None = release

    def release(self) -> None:
        """Give the room back; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release(self)


class EngineSlots:
    """Requests in flight by engine address."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}

    def in_flight(self, address: str) -> int:
        """Return this router's requests at an engine."""
        return self._in_flight.get(address, 0)

    def total(self) -> int:
        """Return this router's requests at all engines."""
        return sum(self._in_flight.values())

    def is_free(self, engine: BackEnd) -> bool:
        """Return whether an engine has room for one more of this router's requests."""
        return self.in_flight(engine.address) < engine.max_concurrent_requests

    def take(self, address: str) -> None:
        """Count one more request."""
        self._in_flight[address] = self.in_flight(address) + 1

    def give_back(self, address: str) -> None:
        """Count one request less."""
        remaining = self._in_flight[address] - 1
        if remaining:
            self._in_flight[address] = remaining
        else:
            del self._in_flight[address]
