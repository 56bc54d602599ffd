"""News that are gathered in busy moments, so that what a node sends doesn't grow with their rate.

Load pattern: 75 long prompts a second at 79 nodes, each told to every node at once, were 5,900
datagrams a second. Sent no more often than every ``GATHER_SECONDS`` they are at most 25 messages a
second to each node, of at most ``MAX_GATHERED`` news, whatever the fleet sends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

import msgspec

GATHER_SECONDS = 0.04
"""A fifth of the time between two tellings of loads, which news of single prompts precede."""

MAX_GATHERED = 64
"""The latest ones; some 100 bytes each. Loads that are told regularly hold what is left out."""

News = TypeVar("News")


class Bundle(msgspec.Struct, Generic[News], frozen=True):
    """News for some nodes.

    Attributes:
        news: In the order in which they came.
        targets: Names of nodes that haven't sent any of them.
    """

    news: tuple[News, ...]
    targets: tuple[str, ...]


class GatheredNews(Generic[News]):
    """Holds news until they are sent on."""

    def __init__(self, bound: int = MAX_GATHERED) -> None:
        """Hold none.

        Args:
            bound: Most news that are held; the oldest are left out.
        """
        self._news: deque[tuple[str, News]] = deque(maxlen=bound)

    def __len__(self) -> int:
        """Return how many are held."""
        return len(self._news)

    def add(self, origin: str, news: Iterable[News]) -> None:
        """Add news of a node, which won't get them back."""
        self._news.extend((origin, each) for each in news)

    def take(self, targets: Sequence[str]) -> list[Bundle[News]]:
        """Return what to send to nodes, at most one bundle for each, and hold nothing.

        Args:
            targets: Names of the nodes.
        """
        held = list(self._news)
        self._news.clear()
        origins = {origin for origin, _ in held}
        others = tuple(name for name in targets if name not in origins)
        bundles = [Bundle(tuple(news for _, news in held), others)]
        for name in targets:
            if name in origins:
                bundles.append(Bundle(tuple(n for origin, n in held if origin != name), (name,)))
        return [bundle for bundle in bundles if bundle.news and bundle.targets]
