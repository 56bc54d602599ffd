"""Simulated link faults between nodes: loss, delay, duplication, partitions and cuts."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec


class LinkQuality(msgspec.Struct, frozen=True):
    """Probabilities and delays that apply to datagrams on every link.

    Attributes:
        loss: Fraction of datagrams lost.
        duplication: Fraction of datagrams that arrive twice.
        min_delay_seconds: Shortest delivery delay.
        max_delay_seconds: Longest delivery delay; a range of delays reorders datagrams.
    """

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_seconds: float = 0.001
    max_delay_seconds: float = 0.004


class LinkFaults:
    """Decides for each datagram whether and when it arrives."""

    def __init__(self, generator: random.Random, quality: LinkQuality | None = None) -> None:
        """Start without partitions or cuts.

        Args:
            generator: Random generator.
            quality: Probabilities and delays; None for the defaults.
        """
        self._generator = generator
        self._groups: dict[str, int] = {}
        self._cut: set[str] = set()
        self._one_way: set[tuple[str, str]] = set()
        self.quality = quality or LinkQuality()

    def partition(self, *groups: Iterable[str]) -> None:
        """Deliver datagrams only within each group; all other addresses form one more group."""
        self._groups = {
            address: number for number, group in enumerate(groups, 1) for address in group
        }

    def cut(self, address: str) -> None:
        """Drop all datagrams to and from one address."""
        self._cut.add(address)

    def cut_one_way(self, source: str, target: str) -> None:
        """Drop all datagrams from ``source`` to ``target``, but not in the other direction."""
        self._one_way.add((source, target))

    def heal(self) -> None:
        """Remove all partitions and cuts; the link quality stays."""
        self._groups = {}
        self._cut = set()
        self._one_way = set()

    def deliveries(self, source: str, target: str) -> list[float]:
        """Return the delay in seconds of each arriving copy; empty for a lost datagram."""
        if not self.connected(source, target) or self._happens(self.quality.loss):
            return []
        copies = 2 if self._happens(self.quality.duplication) else 1
        return [self._delay() for _ in range(copies)]

    def connected(self, source: str, target: str) -> bool:
        """Return whether no partition or cut separates ``source`` from ``target``."""
        if source in self._cut or target in self._cut or (source, target) in self._one_way:
            return False
        return self._groups.get(source, 0) == self._groups.get(target, 0)

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._generator.random() < probability

    def _delay(self) -> float:
        quality = self.quality
        return self._generator.uniform(quality.min_delay_seconds, quality.max_delay_seconds)
