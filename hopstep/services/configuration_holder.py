"""The configuration in force at this node: only ever replaced by a higher revision."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.configuration import AcceptedConfiguration
from hopstep.exceptions import ErrorCode, ServiceError

Listener = Callable[[AcceptedConfiguration], None]


class ConfigurationHolder:
    """Holds the highest accepted revision that this node has seen."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._current: AcceptedConfiguration | None = None
        self._listeners: list[Listener] = []
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self._current.revision if self._current else 0

    @property
    def current(self) -> AcceptedConfiguration | None:
        """The configuration in force, or None before the first."""
        return self._current

    def require(self) -> AcceptedConfiguration:
        """Return the configuration in force.

        Raises:
            ServiceError: ``NOT_READY`` when this node has none yet.
        """
        if self._current is None:
            raise ServiceError(ErrorCode.NOT_READY, "this router has no configuration yet")
        return self._current

    def apply(self, accepted: AcceptedConfiguration) -> bool:
        """Put a configuration in force if its revision is higher; return whether it was."""
        if accepted.revision <= self.revision:
            return False
        self._current = accepted
        for listener in self._listeners:
            listener(accepted)
        self._changed.set()
        self._changed = trio.Event()
        return True

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` on every new revision, and at once with the current one."""
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    async def wait_above(self, revision: int) -> AcceptedConfiguration:
        """Wait until a revision above ``revision`` is in force and return it."""
        while self._current is None or self._current.revision <= revision:
            await self._changed.wait()
        return self._current
