"""Queries of this node that aren't answered yet."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

MAX_PENDING = 256
"""Queries that may still be answered: 15 a second of a node without the store, for 17 s."""


class PendingQuery(msgspec.Struct, frozen=True):
    """A query that isn't answered yet.

    Attributes:
        node: Name of the node that it was sent to.
        sent_at: When, by the steady clock, in seconds.
        asks_hints: Whether it asks for hints too.
    """

    node: str
    sent_at: float
    asks_hints: bool


class PendingQueries:
    """Queries by their numbers."""

    def __init__(self) -> None:
        """Wait for no answer."""
        self._queries: OrderedDict[int, PendingQuery] = OrderedDict()

    def add(self, number: int, query: PendingQuery) -> None:
        """Remember a query; beyond the bound the oldest is given up."""
        self._queries[number] = query
        while len(self._queries) > MAX_PENDING:
            self._queries.popitem(last=False)

    def take(self, number: int, sender: str) -> PendingQuery | None:
        """Return the query that a node answers; None when it was never asked, or has answered."""
        query = self._queries.pop(number, None)
        return query if query is not None and query.node == sender else None
