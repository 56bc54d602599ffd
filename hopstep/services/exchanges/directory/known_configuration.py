"""The operators' configuration in force: by its own version, whatever the store shows."""

from __future__ import annotations

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex
from hopstep.logs import emit
from hopstep.services.exchanges.directory.news import News


class KnownConfiguration:
    """Holds the highest version that the node has seen.

    Attributes:
        index: Lookups over it; None before the first.
    """

    def __init__(self, table: InstanceTable) -> None:
        """Know none yet.

        Args:
            table: Told the memory of each service's instances.
        """
        self.index: ServingIndex | None = None
        self._table = table

    @property
    def current(self) -> ServingConfiguration | None:
        """The configuration, or None before the first."""
        return self.index.configuration if self.index is not None else None

    @property
    def version(self) -> int:
        """Its version; 0 before the first."""
        return self.index.configuration.version if self.index is not None else 0

    def is_outdated(self, configuration: ServingConfiguration) -> bool:
        """Return whether a configuration is known, or one of a higher version."""
        return self.index is not None and configuration.version <= self.version

    def take(self, configuration: ServingConfiguration, news: News) -> None:
        """Put a configuration in force if its version is higher."""
        if self.is_outdated(configuration):
            return
        self.index = ServingIndex(configuration)
        self._table.set_cache_tokens(
            {
                service.name: service.engine.cache_tokens
                for service in configuration.services
                if service.engine is not None
            }
        )
        emit(
            log_events.SERVING_CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants),
            source=news.source,
            age_ms=news.age_ms,
            era=news.place.era,
            revision=news.place.revision,
        )
