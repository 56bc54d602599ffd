"""The weights that operators named: the highest version of each model."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.exchanges.weights import NamedWeightsTable
from hopstep.log_events.instances import WEIGHTS_NAMED
from hopstep.logs import emit
from hopstep.services.exchanges.directory.change_origin import ChangeOrigin

MILLISECONDS = 1_000


class KnownWeights:
    """Applies named weights to the node's registry of weights."""

    def __init__(self, registry: NamedWeightsTable, contact: StoreContact) -> None:
        """Use a registry.

        Args:
            registry: Receives the versions.
            contact: Provides until when the store was unavailable.
        """
        self._registry = registry
        self._contact = contact

    def is_outdated(self, weights: NamedWeights) -> bool:
        """Return whether this version of the model or a higher one is already known."""
        return weights.version <= self._registry.newest(weights.model)

    def apply(self, weights: NamedWeights, origin: ChangeOrigin) -> None:
        """Apply named weights; the time bound of their rollout excludes an outage of the store."""
        counted_from = max(origin.since, self._contact.outage_until)
        if not self._registry.put(weights, counted_from):
            return
        emit(
            WEIGHTS_NAMED,
            model=weights.model,
            version=weights.version,
            age_ms=origin.age_ms,
            counted_ms=round((trio.current_time() - counted_from) * MILLISECONDS),
            era=origin.position.era,
            revision=origin.position.revision,
        )
