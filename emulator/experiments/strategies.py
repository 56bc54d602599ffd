"""Routing strategies under test: hopstep's routing table and the baselines."""

from __future__ import annotations

import abc
import random
from collections.abc import Sequence

from emulator.experiments.traffic import TraceRequest
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd
from hopstep.domain.engines import CacheEventBatch, EngineFacts
from hopstep.domain.rendezvous import Rendezvous
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.domain.routing.selection import Choice
from hopstep.exceptions import DomainError

PREFIX_BLOCKS = 64
"""Length of the prefix that the hashing baselines use as key, in blocks."""

BOUNDED_LOAD_FACTOR = 1.25
"""Ratio to the mean of outstanding requests above which an owner is passed over."""


class Strategy:
    """Chooses engines for one simulated router; updates without an override are ignored."""

    def choose(
        self,
        item: TraceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return the engine for the next attempt, or None when no engine can be used now."""
        raise NotImplementedError

    def update_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Apply a newly accepted configuration."""

    def update_facts(self, address: str, facts: EngineFacts, now: float) -> None:
        """Apply an engine's facts from a probe."""

    def record_events(self, address: str, batch: CacheEventBatch) -> None:
        """Apply an engine's cache events."""

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Record an attempt that is being sent."""

    def record_first_token(
        self, nonce: str, incarnation: str, cached_tokens: int, now: float
    ) -> None:
        """Record the first token of an attempt."""

    def record_end(self, nonce: str, now: float) -> None:
        """Record the end of an attempt."""

    def record_failure(self, address: str, now: float) -> None:
        """Record that an engine failed or refused an attempt."""


class HopstepStrategy(Strategy):
    """The product's routing table."""

    def __init__(self, table: RoutingTable) -> None:
        """Wrap a routing table."""
        self._table = table

    def choose(
        self,
        item: TraceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return the table's choice."""
        try:
            return self._table.choose(item.request, admissible, excluded, now)
        except DomainError:
            return None

    def update_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Forward a configuration to the table."""
        self._table.update_configuration(accepted)

    def update_facts(self, address: str, facts: EngineFacts, now: float) -> None:
        """Forward facts to the table."""
        self._table.update_facts(address, facts, now)

    def record_events(self, address: str, batch: CacheEventBatch) -> None:
        """Forward cache events to the table."""
        self._table.record_events(address, batch)

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Forward a dispatch to the table."""
        self._table.record_dispatch(nonce, choice, now)

    def record_first_token(
        self, nonce: str, incarnation: str, cached_tokens: int, now: float
    ) -> None:
        """Forward a first token to the table."""
        self._table.record_first_token(nonce, incarnation, cached_tokens, now)

    def record_end(self, nonce: str, now: float) -> None:
        """Forward the end of an attempt to the table."""
        self._table.record_end(nonce, now)

    def record_failure(self, address: str, now: float) -> None:
        """Forward a failure to the table."""
        self._table.record_failure(address, now)


class Baseline(Strategy, abc.ABC):
    """A strategy that only knows which engines serve the request's weights."""

    def __init__(self, random_source: random.Random) -> None:
        """Create a strategy without any engine's facts."""
        self._random = random_source
        self._facts: dict[str, EngineFacts] = {}
        self._outstanding: dict[str, int] = {}
        self._sent: dict[str, str] = {}

    def choose(
        self,
        item: TraceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return a choice among the engines that serve the weights."""
        usable = [
            back_end
            for back_end in admissible
            if back_end.name not in excluded and self._serves(back_end, item)
        ]
        if not usable:
            return None
        return plain_choice(self.pick(item, usable, now), item)

    @abc.abstractmethod
    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return one of the usable engines."""

    def update_facts(self, address: str, facts: EngineFacts, now: float) -> None:
        """Store an engine's facts, which name its weights."""
        self._facts[address] = facts

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Count an outstanding attempt."""
        address = choice.back_end.address
        self._sent[nonce] = address
        self._outstanding[address] = self._outstanding.get(address, 0) + 1

    def record_end(self, nonce: str, now: float) -> None:
        """Remove an attempt from the outstanding ones."""
        address = self._sent.pop(nonce, None)
        if address is not None:
            self._outstanding[address] -= 1

    def outstanding(self, back_end: BackEnd) -> int:
        """Return this router's outstanding attempts at an engine."""
        return self._outstanding.get(back_end.address, 0)

    def _serves(self, back_end: BackEnd, item: TraceRequest) -> bool:
        """Return whether an engine has the weights; engines without facts count as serving."""
        facts = self._facts.get(back_end.address)
        model = item.request.model
        return facts is None or facts.weights.get(model.name) == model.weights_version


class RandomBaseline(Baseline):
    """Chooses a random engine."""

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return a random engine."""
        return self._random.choice(usable)


class RoundRobinBaseline(Baseline):
    """Chooses the engines in turn."""

    _picked = 0

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return the next engine."""
        self._picked += 1
        return usable[self._picked % len(usable)]


class LeastOutstandingBaseline(Baseline):
    """Chooses the engine with the fewest outstanding attempts of this router."""

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return the engine with the fewest outstanding attempts, at random among equals."""
        fewest = min(self.outstanding(back_end) for back_end in usable)
        equals = [item for item in usable if self.outstanding(item) == fewest]
        return self._random.choice(equals)


class RendezvousBaseline(Baseline):
    """Chooses the first owner of the prompt's prefix by rendezvous hashing."""

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return the first owner."""
        return ordered_owners(item, usable)[0]


class BoundedLoadBaseline(Baseline):
    """Consistent hashing with bounded load: the first owner that isn't above the bound."""

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return the first owner within the bound."""
        total = sum(self.outstanding(back_end) for back_end in usable) + 1
        bound = BOUNDED_LOAD_FACTOR * total / len(usable)
        owners = ordered_owners(item, usable)
        return next((item for item in owners if self.outstanding(item) + 1 <= bound), owners[0])


def ordered_owners(item: TraceRequest, usable: Sequence[BackEnd]) -> list[BackEnd]:
    """Return the engines in rendezvous order of the prompt's prefix."""
    keys = item.prepared.block_keys
    key = keys[min(PREFIX_BLOCKS, len(keys)) - 1] if keys else 0
    by_name = {back_end.name: back_end for back_end in usable}
    owners = Rendezvous.unweighted(by_name).owners(str(key), len(by_name))
    return [by_name[name] for name in owners]


def plain_choice(
    back_end: BackEnd, item: TraceRequest, *, cached_tokens: int = 0, kv_cache_store: str = ""
) -> Choice:
    """Return a choice of an engine, without a cache or wait estimate unless given."""
    return Choice(
        back_end=back_end,
        incarnation="",
        expected_cached_tokens=cached_tokens,
        relies_on_cache=False,
        expected_wait_seconds=0.0,
        kv_cache_store=kv_cache_store,
        full=False,
        prefill_tokens=item.prepared.token_count - cached_tokens,
        priority=item.request.request_class.priority,
        prefix_heads=(),
    )
