"""The weights that operators named: by their own versions."""

from __future__ import annotations

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.exchanges.weights import NamedWeightsTable
from hopstep.logs import emit
from hopstep.services.exchanges.directory.news import News

MILLISECONDS = 1_000


class KnownWeights:
    """Puts named weights into the book."""

    def __init__(self, book: NamedWeightsTable, contact: StoreContact) -> None:
        """Use a book.

        Args:
            book: Takes the versions.
            contact: Tells until when the store was away.
        """
        self._book = book
        self._contact = contact

    def is_outdated(self, weights: NamedWeights) -> bool:
        """Return whether a version is known, or a higher one of its model."""
        return weights.version <= self._book.newest(weights.model)

    def take(self, weights: NamedWeights, news: News) -> None:
        """Take named weights; their bound leaves out the time in which the store was away."""
        counts_from = max(news.since, self._contact.outage_until)
        if not self._book.put(weights, counts_from):
            return
        emit(
            log_events.WEIGHTS_NAMED,
            model=weights.model,
            version=weights.version,
            age_ms=news.age_ms,
            counted_ms=round((trio.current_time() - counts_from) * MILLISECONDS),
            era=news.place.era,
            revision=news.place.revision,
        )
