"""The operators' configuration in force: the highest version, whatever the store shows."""

from __future__ import annotations

from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex
from hopstep.log_events.configuration import SERVING_CONFIGURATION_APPLIED
from hopstep.logs import emit
from hopstep.services.exchanges.directory.change_origin import ChangeOrigin


class KnownConfiguration:
    """Holds the configuration with the highest version that the node has received.

    Attributes:
        index: Lookups over the configuration; None before the first.
    """

    def __init__(self, table: InstanceTable) -> None:
        """Start without a configuration.

        Args:
            table: Receives the cache size of each service's instances.
        """
        self.index: ServingIndex | None = None
        self._table = table

    @property
    def current(self) -> ServingConfiguration | None:
        """The configuration, or None before the first."""
        return self.index.configuration if self.index is not None else None

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first."""
        return self.index.configuration.version if self.index is not None else 0

    def is_outdated(self, configuration: ServingConfiguration) -> bool:
        """Return whether this version or a higher one is already in force."""
        return self.index is not None and configuration.version <= self.version

    def apply(self, configuration: ServingConfiguration, origin: ChangeOrigin) -> None:
        """Apply a configuration if its version is higher than the current one."""
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
            SERVING_CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants),
            isolated=sum(tenant.isolated for tenant in configuration.tenants),
            sharing=self.index.cache_groups.common,
            source=origin.source,
            age_ms=origin.age_ms,
            era=origin.position.era,
            revision=origin.position.revision,
        )
