"""Queries of this node that are not answered yet."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

MAX_PENDING = 256
"""Most pending queries: a node that lost the store sends 15 a second; enough for 17 s."""


class PendingQuery(msgspec.Struct, frozen=True):
    """A query that is not answered yet.

    Attributes:
        node: Name of the node that it was sent to.
        sent_at: Steady clock, seconds: when it was sent.
        asks_hints: Whether it also asks for hints.
    """

    node: str
    sent_at: float
    asks_hints: bool


class PendingQueries:
    """Keeps pending queries by their numbers."""

    def __init__(self) -> None:
        """Start without pending queries."""
        self._queries: OrderedDict[int, PendingQuery] = OrderedDict()

    def add(self, number: int, query: PendingQuery) -> None:
        """Add a query; beyond ``MAX_PENDING`` the oldest is dropped."""
        self._queries[number] = query
        while len(self._queries) > MAX_PENDING:
            self._queries.popitem(last=False)

    def take(self, number: int, sender: str) -> PendingQuery | None:
        """Remove and return the query that a node answers; None if it has none pending."""
        query = self._queries.pop(number, None)
        return query if query is not None and query.node == sender else None
