"""Routing strategies under test: hopstep's routing table, and its plain baselines."""

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
"""Depth of the prefix that the hashing baselines hash, in blocks."""

BOUNDED_LOAD_FACTOR = 1.25
"""Outstanding requests over the mean at which bounded consistent hashing goes on."""


class Strategy:
    """Chooses engines at one simulated router; news that isn't overridden is ignored."""

    def choose(
        self,
        item: TraceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return the engine for the next attempt, or None when none can be used now."""
        raise NotImplementedError

    def update_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Follow a newly accepted configuration."""

    def update_facts(self, address: str, facts: EngineFacts, now: float) -> None:
        """Take the facts of a probe."""

    def record_events(self, address: str, batch: CacheEventBatch) -> None:
        """Take cache events."""

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Note an attempt that is being sent."""

    def record_first_token(
        self, nonce: str, incarnation: str, cached_tokens: int, now: float
    ) -> None:
        """Note the first token of an attempt."""

    def record_end(self, nonce: str, now: float) -> None:
        """Note the end of an attempt."""

    def record_failure(self, address: str, now: float) -> None:
        """Note that an engine failed or refused."""


class HopstepStrategy(Strategy):
    """The routing table of the product, unchanged."""

    def __init__(self, table: RoutingTable) -> None:
        """Wrap a table."""
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
        """Pass a configuration on."""
        self._table.update_configuration(accepted)

    def update_facts(self, address: str, facts: EngineFacts, now: float) -> None:
        """Pass facts on."""
        self._table.update_facts(address, facts, now)

    def record_events(self, address: str, batch: CacheEventBatch) -> None:
        """Pass events on."""
        self._table.record_events(address, batch)

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Pass a dispatch on."""
        self._table.record_dispatch(nonce, choice, now)

    def record_first_token(
        self, nonce: str, incarnation: str, cached_tokens: int, now: float
    ) -> None:
        """Pass a first token on."""
        self._table.record_first_token(nonce, incarnation, cached_tokens, now)

    def record_end(self, nonce: str, now: float) -> None:
        """Pass an end on."""
        self._table.record_end(nonce, now)

    def record_failure(self, address: str, now: float) -> None:
        """Pass a failure on."""
        self._table.record_failure(address, now)


class Baseline(Strategy, abc.ABC):
    """A plain strategy that knows which engines serve the request's weights, and no more."""

    def __init__(self, random_source: random.Random) -> None:
        """Start with nothing known."""
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
        """Return the pick among the engines that serve the weights."""
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
        """Remember which weights an engine has."""
        self._facts[address] = facts

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Count an outstanding attempt."""
        address = choice.back_end.address
        self._sent[nonce] = address
        self._outstanding[address] = self._outstanding.get(address, 0) + 1

    def record_end(self, nonce: str, now: float) -> None:
        """Count an attempt as ended."""
        address = self._sent.pop(nonce, None)
        if address is not None:
            self._outstanding[address] -= 1

    def outstanding(self, back_end: BackEnd) -> int:
        """Return this router's outstanding attempts at an engine."""
        return self._outstanding.get(back_end.address, 0)

    def _serves(self, back_end: BackEnd, item: TraceRequest) -> bool:
        """Return whether an engine has the weights, as far as is known."""
        facts = self._facts.get(back_end.address)
        model = item.request.model
        return facts is None or facts.weights.get(model.name) == model.weights_version


class RandomBaseline(Baseline):
    """Any engine."""

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return a random engine."""
        return self._random.choice(usable)


class RoundRobinBaseline(Baseline):
    """One engine after the other."""

    _turn = 0

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return the next engine."""
        self._turn += 1
        return usable[self._turn % len(usable)]


class LeastOutstandingBaseline(Baseline):
    """The engine with the fewest outstanding attempts of this router."""

    def pick(self, item: TraceRequest, usable: Sequence[BackEnd], now: float) -> BackEnd:
        """Return the engine with the fewest outstanding attempts, at random among equals."""
        fewest = min(self.outstanding(back_end) for back_end in usable)
        equals = [item for item in usable if self.outstanding(item) == fewest]
        return self._random.choice(equals)


class RendezvousBaseline(Baseline):
    """The first owner of the prompt's prefix by rendezvous hashing."""

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
    """Return a choice that says no more than the engine."""
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
