"""Software versions at which streams may have begun, as a record in the store has them.

A list of instances shows what is there now. After a restart of all nodes nobody remembers what was
listed before, so each version is recorded before a stream begins at it. The record outlasts all
nodes, and a version stays in it until no client can hold a stream of it any more.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from hopstep.domain.exchanges.streams.listed_versions import (
    MAX_RETENTION_SECONDS,
    MIN_RETENTION_SECONDS,
)
from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition

MAX_RECORDING_SECONDS = 8.0
"""Longest time for which new streams wait for the record of a version while instances of recorded
versions serve them: longer than a node waits after its start, and than most outages of the store.
"""

StreamSeconds = Annotated[float, msgspec.Meta(ge=MIN_RETENTION_SECONDS, le=MAX_RETENTION_SECONDS)]
"""Time for which clients hold streams."""


class VersionsRecord(msgspec.Struct, frozen=True):
    """The record in the store.

    Attributes:
        versions: Versions at which streams may have begun, by service; each with a position of the
            store before which no stream had begun at it.
        era: Era of the store up to which none is missing.
        stream_seconds: Longest time for which clients are known to hold streams.
    """

    versions: dict[str, dict[str, StorePosition]] = {}
    era: int = UNSPECIFIED_ERA
    stream_seconds: StreamSeconds = MIN_RETENTION_SECONDS


class RecordedVersions:
    """What this node knows of the record, and of nodes whose processes have ended.

    Attributes:
        record: The record; None while the store has none.
    """

    def __init__(self) -> None:
        """Start without a record."""
        self.record: VersionsRecord | None = None
        self._missed_since: dict[tuple[str, str], float] = {}
        self._complete_from = float("inf")
        self._unproved_until = -float("inf")
        self._of_ended: dict[tuple[str, str], float] = {}

    def apply(self, record: VersionsRecord | None) -> None:
        """Replace the record, as the store has it."""
        self.record = record
        self._missed_since.clear()

    def of(self, service: str) -> frozenset[str]:
        """Return the recorded versions of a service."""
        return frozenset(self.record.versions.get(service, ()) if self.record is not None else ())

    def may_begin(self, service: str, version: str, now: float) -> bool:
        """Return whether a stream may begin at a version although others are recorded.

        Args:
            service: The service.
            version: Version of one of its instances; empty when unknown.
            now: Steady clock, seconds.
        """
        if not version or version in self.of(service):
            return True
        missed_since = self._missed_since.setdefault((service, version), now)
        return now - missed_since > MAX_RECORDING_SECONDS

    def is_complete(self, now: float) -> bool:
        """Return whether no version is missing from what this node has read and followed."""
        return now >= self._complete_from

    def start(self, position: StorePosition, now: float, stream_seconds: float) -> None:
        """Note the first reading of the store: all earlier processes have ended, or are known.

        Args:
            position: Position of the store.
            now: Steady clock, seconds.
            stream_seconds: Longest time for which clients hold streams.
        """
        is_outdated = self._is_outdated(position.era)
        self._complete_from = now + stream_seconds if is_outdated else now
        self.note_ended(position, now, stream_seconds)

    def note_ended(self, position: StorePosition, now: float, stream_seconds: float) -> None:
        """Note that a process has ended: it may have begun streams at each version until then.

        Args:
            position: Position of the store at which the process had ended.
            now: Steady clock, seconds.
            stream_seconds: Longest time for which clients hold streams.
        """
        until = now + stream_seconds
        if self.record is None:
            return
        if self._is_outdated(position.era):
            self._unproved_until = until
        for service, versions in self.record.versions.items():
            begun = (version for version, since in versions.items() if since < position)
            self._of_ended |= {(service, version): until for version in begun}

    def of_ended_processes(self, service: str, now: float) -> frozenset[str]:
        """Return the versions at which a process that has ended may have begun a stream.

        Empty when that isn't known.
        """
        if now < self._unproved_until:
            return frozenset()
        ended = self._of_ended.items()
        self._of_ended = {key: until for key, until in ended if now < until}
        return frozenset(version for name, version in self._of_ended if name == service)

    def _is_outdated(self, era: int) -> bool:
        """Return whether the store was restored since, and may have lost versions with that."""
        return self.record is not None and self.record.era < era
