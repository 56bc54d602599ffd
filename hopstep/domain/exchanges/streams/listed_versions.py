"""Software versions of each service whose instances may have begun a stream that still runs."""

from __future__ import annotations

from collections import Counter

from hopstep.domain.exchanges.instances import Instance

MIN_RETENTION_SECONDS = 30.0
"""Time for which a version counts after its last instance has gone; longer while clients hold
streams for longer."""

MAX_RETENTION_SECONDS = 600.0
"""Longest such time, whatever timeouts clients state."""


class ListedVersions:
    """Versions of the listed instances, and of those that have gone lately.

    Attributes:
        retention_seconds: Time for which a version counts after its last instance has gone.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self.retention_seconds = MIN_RETENTION_SECONDS
        self._listed: dict[str, Counter[str]] = {}
        self._gone_at: dict[str, dict[str, float]] = {}

    def note_stream_seconds(self, seconds: float) -> None:
        """Note for how long a client holds a stream."""
        longest = min(MAX_RETENTION_SECONDS, seconds)
        self.retention_seconds = max(self.retention_seconds, longest)

    def replace(self, previous: Instance | None, current: Instance | None, now: float) -> None:
        """Note a change of one entry.

        Args:
            previous: The instance that was listed; None for none.
            current: The instance that is listed from now on; None for none.
            now: Steady clock, seconds.
        """
        if current is not None:
            self._listed.setdefault(current.service, Counter())[current.software_version] += 1
        if previous is None:
            return
        listed = self._listed[previous.service]
        listed[previous.software_version] -= 1
        if listed[previous.software_version] <= 0:
            del listed[previous.software_version]
            gone = self._gone_at.setdefault(previous.service, {})
            gone[previous.software_version] = now

    def count(self, service: str, version: str) -> int:
        """Return the number of listed instances of a version."""
        return self._listed.get(service, Counter())[version]

    def listed(self, service: str) -> frozenset[str]:
        """Return the versions of the listed instances; an unknown version is empty."""
        return frozenset(self._listed.get(service, ()))

    def services(self) -> list[str]:
        """Return the services that have listed instances."""
        return [service for service, versions in self._listed.items() if versions]

    def recent(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that are listed, or were within the retention time."""
        gone = self._gone_at.get(service, {})
        for version, gone_at in tuple(gone.items()):
            if now - gone_at > self.retention_seconds:
                del gone[version]
        return self.listed(service) | gone.keys()

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether streams of a service may have begun at different versions."""
        versions = self.recent(service, now)
        return len(versions) > 1 or "" in versions
