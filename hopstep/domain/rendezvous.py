"""Rendezvous (highest random weight) hashing of keys over named members.

A member's score for a key depends on these two alone, so a member that joins or leaves moves only
the keys that it gains or loses. Names and keys are hashed once each by BLAKE2b; a pair is mixed by
one multiplication (multiply-shift hashing), which costs far less than one BLAKE2b for each pair. A
CRC of the pair isn't suitable: it is linear, so the order of two members would be correlated over
most keys.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Iterable, Mapping

import msgspec

_MASK = (1 << 64) - 1
_CACHE_LIMIT = 65_536


def hash_name(name: str) -> int:
    """Return a 64-bit hash of ``name`` that is the same on every node."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class _Ranking(msgspec.Struct, frozen=True):
    """Owners of one key with their scores, highest first."""

    owners: tuple[str, ...]
    scores: tuple[float, ...]


class Rendezvous:
    """Owners of keys over a fixed set of members; ``updated`` returns the table for another set."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Compute the hashes of the members.

        Args:
            weights: Weight of each member; those at or below 0 own nothing.
        """
        self._weights = {name: weight for name, weight in weights.items() if weight > 0}
        self._names = sorted(self._weights)
        self._hashes = [hash_name(name) for name in self._names]
        self._weighted = len(set(self._weights.values())) > 1
        self._rankings: dict[tuple[str, int], _Ranking] = {}

    @classmethod
    def unweighted(cls, names: Iterable[str]) -> Rendezvous:
        """Return a table in which all members have the same weight."""
        return cls(dict.fromkeys(names, 1.0))

    def owners(self, key: str, replicas: int = 1) -> tuple[str, ...]:
        """Return up to ``replicas`` members that own ``key``, the first owner first."""
        ranking = self._rankings.get((key, replicas))
        if ranking is None:
            ranking = self._rank(key, replicas)
            if len(self._rankings) >= _CACHE_LIMIT:
                self._rankings.clear()
            self._rankings[key, replicas] = ranking
        return ranking.owners

    def owners_once(self, key: str, replicas: int) -> tuple[str, ...]:
        """Return the same as ``owners`` for a key that isn't looked up again."""
        return self._rank(key, replicas).owners

    def owns(self, member: str, key: str, replicas: int = 1) -> bool:
        """Return whether ``member`` is among the owners of ``key``."""
        return member in self.owners(key, replicas)

    def updated(self, weights: Mapping[str, float]) -> Rendezvous:
        """Return the table for changed members, reusing every ranking that is still valid.

        A removed member invalidates only the keys that it owned; an added one is compared with the
        lowest owner of each key. So a change costs a hundredth of ranking every key again.
        """
        successor = Rendezvous(weights)
        if self._weighted or successor._weighted:
            return successor
        removed = self._weights.keys() - successor._weights.keys()
        added = [
            (name, hash_name(name)) for name in successor._weights.keys() - self._weights.keys()
        ]
        for (key, replicas), ranking in self._rankings.items():
            if not removed.isdisjoint(ranking.owners):
                continue
            if added and not _keeps(ranking, hash_name(key), added, replicas):
                continue
            successor._rankings[key, replicas] = ranking
        return successor

    def _rank(self, key: str, replicas: int) -> _Ranking:
        """Rank the members for one key."""
        hashed = hash_name(key)
        scores: list[float] = [((hashed ^ value) * (value | 1)) & _MASK for value in self._hashes]
        if self._weighted:
            scores = [self._weigh(index, score) for index, score in enumerate(scores)]
        best = heapq.nlargest(replicas, scores)
        return _Ranking(tuple(self._names[scores.index(score)] for score in best), tuple(best))

    def _weigh(self, index: int, score: float) -> float:
        """Return a score under which a member wins in proportion to its weight."""
        uniform = (score + 1) / (_MASK + 2)
        return -self._weights[self._names[index]] / math.log(uniform)


def _keeps(ranking: _Ranking, hashed: int, added: list[tuple[str, int]], replicas: int) -> bool:
    """Return whether no added member displaces an owner of a key."""
    if len(ranking.owners) < replicas:
        return False
    lowest = ranking.scores[-1]
    return all(((hashed ^ value) * (value | 1)) & _MASK < lowest for _, value in added)


def owners(key: str, members: Mapping[str, float], replicas: int = 1) -> tuple[str, ...]:
    """Return the owners of one key over weighted members (see ``Rendezvous``)."""
    return Rendezvous(members).owners(key, replicas)
