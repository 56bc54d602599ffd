"""Faults of the links between nodes: loss, delay, duplication, partitions, cuts."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec


class LinkQuality(msgspec.Struct, frozen=True):
    """What happens to datagrams on every link.

    Attributes:
        loss: Share that is lost.
        duplication: Share that arrives twice.
        min_delay_seconds: Shortest time on the way.
        max_delay_seconds: Longest time on the way; datagrams overtake one another within it.
    """

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_seconds: float = 0.001
    max_delay_seconds: float = 0.004


class LinkFaults:
    """Decides for each datagram whether and when it arrives."""

    def __init__(self, generator: random.Random, quality: LinkQuality | None = None) -> None:
        """Start with whole links.

        Args:
            generator: Source of chance.
            quality: Chance of faults; None for the defaults.
        """
        self._generator = generator
        self._groups: dict[str, int] = {}
        self._cut: set[str] = set()
        self._one_way: set[tuple[str, str]] = set()
        self.quality = quality or LinkQuality()

    def partition(self, *groups: Iterable[str]) -> None:
        """Let datagrams through within each group only; others make up one more group."""
        self._groups = {
            address: number for number, group in enumerate(groups, 1) for address in group
        }

    def cut(self, address: str) -> None:
        """Lose everything to and from one address."""
        self._cut.add(address)

    def cut_one_way(self, source: str, target: str) -> None:
        """Lose everything from ``source`` to ``target``, but not the other way."""
        self._one_way.add((source, target))

    def heal(self) -> None:
        """Take back partitions and cuts; the quality stays."""
        self._groups = {}
        self._cut = set()
        self._one_way = set()

    def deliveries(self, source: str, target: str) -> list[float]:
        """Return the delays after which a datagram arrives; none when it is lost."""
        if not self.connected(source, target) or self._chance(self.quality.loss):
            return []
        copies = 2 if self._chance(self.quality.duplication) else 1
        return [self._delay() for _ in range(copies)]

    def connected(self, source: str, target: str) -> bool:
        """Return whether anything sent from one address reaches another."""
        if source in self._cut or target in self._cut or (source, target) in self._one_way:
            return False
        return self._groups.get(source, 0) == self._groups.get(target, 0)

    def _chance(self, share: float) -> bool:
        return share > 0 and self._generator.random() < share

    def _delay(self) -> float:
        quality = self.quality
        return self._generator.uniform(quality.min_delay_seconds, quality.max_delay_seconds)
