"""Holder of the configuration in force at this node; only a higher revision replaces it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.exceptions import ErrorCode, ServiceError

Listener = Callable[[AcceptedConfiguration], None]


class _InForce(msgspec.Struct, frozen=True):
    """A configuration with its index."""

    accepted: AcceptedConfiguration
    index: ConfigurationIndex


class ConfigurationHolder:
    """Holds the highest accepted revision that this node has seen."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._in_force: _InForce | None = None
        self._listeners: list[Listener] = []
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self._in_force.accepted.revision if self._in_force else 0

    @property
    def current(self) -> AcceptedConfiguration | None:
        """The configuration in force, or None before the first."""
        return self._in_force.accepted if self._in_force else None

    def require(self) -> AcceptedConfiguration:
        """Return the configuration in force.

        Raises:
            ServiceError: ``NOT_READY`` when this node has none yet.
        """
        return self._require().accepted

    def require_index(self) -> ConfigurationIndex:
        """Return the index of the configuration in force; see ``require``."""
        return self._require().index

    def apply(self, accepted: AcceptedConfiguration) -> bool:
        """Put a configuration in force if its revision is higher; return whether it was."""
        if accepted.revision <= self.revision:
            return False
        self._in_force = _InForce(accepted, ConfigurationIndex(accepted.configuration))
        for listener in self._listeners:
            listener(accepted)
        self._changed.set()
        self._changed = trio.Event()
        return True

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with every new revision, and at once with the current one."""
        self._listeners.append(listener)
        if self._in_force is not None:
            listener(self._in_force.accepted)

    async def wait_above(self, revision: int) -> AcceptedConfiguration:
        """Wait until a revision above ``revision`` is in force and return it."""
        while self._in_force is None or self.revision <= revision:
            await self._changed.wait()
        return self._in_force.accepted

    def _require(self) -> _InForce:
        if self._in_force is None:
            raise ServiceError(ErrorCode.NOT_READY, "this router has no configuration yet")
        return self._in_force
