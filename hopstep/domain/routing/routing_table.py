"""One router's view of all engines, and the choice of an engine from it.

The table is deterministic: time and randomness are passed in, and it does no I/O. It doesn't
depend on the configuration store or the event streams: without them it still chooses, by
rendezvous hashing on the prompt's prefix.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from hopstep.domain.blocks import block_keys
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    BackEndKind,
    Configuration,
    RoutingPolicy,
)
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.engines import CacheEventBatch, CacheEventKind, EngineFacts
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.instance_admission import (
    OPEN,
    Admission,
    AskedInstance,
    Purpose,
    admission,
)
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.domain.requests_in_force import choose_kv_cache_store
from hopstep.domain.retry_after_header import MAX_BACKOFF_SECONDS
from hopstep.domain.routing.engine_view import EngineView, WaitFactors
from hopstep.domain.routing.prefix_index import PrefixIndex
from hopstep.domain.routing.prefix_owners import PrefixOwners
from hopstep.domain.routing.priority_mix import PriorityMix
from hopstep.domain.routing.prompt_heads import HashPrompt, Prompt, PromptHasher
from hopstep.domain.routing.selection import (
    Candidate,
    Choice,
    make_choice,
    rank,
)
from hopstep.exceptions import DomainError, ErrorCode


class _SentAttempt(msgspec.Struct, frozen=True):
    """Engine, incarnation and prefix heads of an attempt in flight."""

    address: str
    incarnation: str
    heads: tuple[int, ...]


class RoutingTable:
    """Views of engines, by their ``ip:port`` addresses."""

    def __init__(self, random_source: random.Random, hash_prompt: HashPrompt = block_keys) -> None:
        """Start without any views: every admissible engine may be chosen at once.

        Args:
            random_source: Seeded source of randomness.
            hash_prompt: Hashes a prompt; experiments pass one that caches the keys.
        """
        self._hasher = PromptHasher(hash_prompt)
        self._random = random_source
        self._index = ConfigurationIndex(Configuration())
        self._policy = RoutingPolicy()
        self._views: dict[str, EngineView] = {}
        self._prefix_index = PrefixIndex(
            self._policy.max_prefix_heads, self._policy.prefix_stride_blocks
        )
        self._owners = PrefixOwners()
        self._sent: dict[str, _SentAttempt] = {}
        self._leaving: frozenset[str] = frozenset()
        self._other_routers = 0
        self._priority_mix = PriorityMix()
        self._on_restart: Callable[[str, str], None] = lambda _address, _incarnation: None

    def set_restart_listener(self, listener: Callable[[str, str], None]) -> None:
        """Call a listener for each observed restart, with the address and the old incarnation."""
        self._on_restart = listener

    def update_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Apply a newly accepted configuration; drop the views of engines that it doesn't list."""
        self._index = ConfigurationIndex(accepted.configuration)
        policy = accepted.configuration.routing
        if policy.prefix_stride_blocks != self._policy.prefix_stride_blocks:
            self._prefix_index = _new_prefix_index(policy)
            for address, view in self._views.items():
                if view.incarnation:
                    self._prefix_index.begin_incarnation(address, view.incarnation)
        self._policy = policy
        self._prefix_index.resize(policy.max_prefix_heads)
        routers = (item.kind is BackEndKind.ROUTER for item in accepted.configuration.back_ends)
        self._other_routers = max(sum(routers) - 1, 0)
        configured = {back_end.address for back_end in accepted.configuration.back_ends}
        for address in set(self._views) - configured:
            del self._views[address]
            self._prefix_index.forget_engine(address)

    @property
    def prefix_heads(self) -> int:
        """Number of heads in the prefix index."""
        return len(self._prefix_index)

    def facts(self, address: str) -> EngineFacts | None:
        """Return the latest facts of an engine, or None."""
        view = self._views.get(address)
        return view.facts if view else None

    def update_facts(self, address: str, facts: EngineFacts, now: float) -> None:
        """Apply an engine's facts; a new incarnation or new weights drop its index entries."""
        view = self._view(address)
        before = view.facts
        if before is not None and before.incarnation != facts.incarnation:
            self._on_restart(address, before.incarnation)
        view.update_facts(facts, now)
        if before is None or _cache_identity(before) != _cache_identity(facts):
            self._prefix_index.begin_incarnation(address, facts.incarnation)

    def update_leaving(self, addresses: frozenset[str]) -> None:
        """Set the engines that get no new work, whatever their own facts say."""
        self._leaving = addresses

    def record_events(self, address: str, batch: CacheEventBatch) -> None:
        """Apply cache events; those of another incarnation than the one last seen are ignored."""
        for event in batch.events:
            if event.kind is CacheEventKind.STORED:
                self._prefix_index.record_stored(address, batch.incarnation, event.block_keys)
            else:
                self._prefix_index.record_evicted(address, batch.incarnation, event.block_keys)

    def choose(
        self,
        request: InferenceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> Choice:
        """Return the engine for the next attempt.

        Args:
            request: The request.
            admissible: Engines that placement allows.
            excluded: Names of engines already tried.
            now: Time.

        Raises:
            DomainError: ``NO_ADMISSIBLE_BACK_END`` when no engine is left.
        """
        prompt, ranked = self._rank(request, admissible, excluded, now)
        return self._choice(request, prompt, ranked[0])

    def ranking(
        self,
        request: InferenceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> tuple[Choice, ...]:
        """Return a choice for every usable engine, the best first; see ``choose``."""
        prompt, ranked = self._rank(request, admissible, excluded, now)
        return tuple(self._choice(request, prompt, candidate) for candidate in ranked)

    def expected_requests(self, address: str) -> int:
        """Return the requests expected at an engine, those of other routers included."""
        view = self._views.get(address)
        return view.requests() if view else 0

    def _rank(
        self,
        request: InferenceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> tuple[Prompt, list[Candidate]]:
        """Return the sampled prompt, and the usable engines, the best first."""
        usable = [
            back_end
            for back_end in admissible
            if back_end.name not in excluded and self._is_usable(back_end, request)
        ]
        if not usable:
            raise DomainError(
                ErrorCode.NO_ADMISSIBLE_BACK_END, "no admissible engine can take the request now"
            )
        prompt = self._hasher.prompt(request, self._policy.prefix_stride_blocks)
        factors = self._wait_factors(request)
        return prompt, rank(prompt, self._candidates(prompt, usable, factors, now), self._policy)

    def record_dispatch(self, nonce: str, choice: Choice, now: float) -> None:
        """Count an attempt that is being sent; its prefix will be held there soon.

        Args:
            nonce: Name of the attempt.
            choice: What ``choose`` returned for it.
            now: Time.
        """
        address = choice.back_end.address
        tokens, priority = choice.prefill_tokens, choice.priority
        self._view(address).record_dispatch(nonce, tokens, priority, now)
        self._priority_mix.record(priority, tokens, now)
        self._sent[nonce] = _SentAttempt(address, choice.incarnation, choice.prefix_heads)
        heads = choice.prefix_heads
        self._prefix_index.learn(address, choice.incarnation, heads, len(heads))

    def record_first_token(
        self, nonce: str, incarnation: str, cached_tokens: int, now: float
    ) -> None:
        """Learn from the first frame of an attempt: the engine now holds the whole prompt.

        Args:
            nonce: Name of the attempt.
            incarnation: Incarnation that answered.
            cached_tokens: Prompt tokens that the engine reports as cached.
            now: Time.
        """
        sent = self._sent.get(nonce)
        if sent is None:
            return
        view = self._view(sent.address)
        view.record_first_token(nonce)
        if view.incarnation and view.incarnation != incarnation:
            self._forget_facts(sent.address)
        self._prefix_index.learn(sent.address, incarnation, sent.heads, len(sent.heads))

    def record_end(self, nonce: str, now: float) -> None:
        """Forget an attempt that has ended, however it ended."""
        sent = self._sent.pop(nonce, None)
        if sent is not None:
            self._view(sent.address).record_end(nonce)

    def record_failure(self, address: str, now: float) -> None:
        """Avoid an engine for a while after a failed attempt or probe."""
        self._view(address).record_failure(now)

    def record_backoff(self, address: str, seconds: float, now: float) -> None:
        """Send an engine nothing for the seconds that its refusal asked for; 0 for none."""
        if seconds > 0:
            notice = InstanceNotice(backoff_seconds=min(seconds, MAX_BACKOFF_SECONDS))
            self._view(address).announced_state.take(notice, now)

    def admission(self, address: str, active: int, now: float) -> Admission:
        """Return whether an engine's announced state admits one more request.

        Args:
            address: The engine.
            active: This router's requests there.
            now: Time.
        """
        view = self._views.get(address)
        if view is None:
            return OPEN
        return admission(AskedInstance(view.announced_state, active=active), Purpose.REQUEST, now)

    def record_precondition_failed(self, address: str, now: float) -> None:
        """Forget the facts of an engine that refused a precondition.

        It runs another incarnation or other weights than expected, so it is avoided until newer
        facts arrive or its backoff ends.
        """
        self._forget_facts(address)
        self._view(address).record_failure(now)

    def _forget_facts(self, address: str) -> None:
        """Drop an engine's facts and index entries until its next facts arrive."""
        self._view(address).facts = None
        self._prefix_index.forget_engine(address)

    def _view(self, address: str) -> EngineView:
        """Return the view of an engine, created on first use."""
        view = self._views.get(address)
        if view is None:
            view = self._views[address] = EngineView()
        return view

    def _is_usable(self, back_end: BackEnd, request: InferenceRequest) -> bool:
        """Return whether an engine may get new work of this model."""
        if back_end.address in self._leaving:
            return False
        view = self._views.get(back_end.address)
        if view is None:
            return True
        model = request.model
        return not view.leaving and view.serves(model.name, model.weights_version)

    def _choice(self, request: InferenceRequest, prompt: Prompt, candidate: Candidate) -> Choice:
        """Return the choice of one candidate."""
        store = choose_kv_cache_store(self._index, request, candidate.back_end)
        return make_choice(
            prompt,
            candidate,
            self._policy,
            kv_cache_store=store,
            priority=request.request_class.priority,
        )

    def _wait_factors(self, request: InferenceRequest) -> WaitFactors:
        """Return what the request's expected wait depends on, besides the engine."""
        priority = request.request_class.priority
        return WaitFactors(
            priority=priority,
            share_before=self._priority_mix.share_before(priority),
            prefill_tokens_per_second=self._policy.prefill_tokens_per_second,
            other_routers=self._other_routers,
        )

    def _candidates(
        self, prompt: Prompt, usable: list[BackEnd], factors: WaitFactors, now: float
    ) -> list[Candidate]:
        """Return the expected state of each usable engine."""
        held = self._prefix_index.held_heads(prompt.heads, [item.address for item in usable])
        ranks = self._owners.ranks(prompt, usable, self._policy.hot_prefix_copies)
        assumed = 0 if any(held) else prompt.tokens_of(len(prompt.heads))
        return [
            self._candidate(prompt, back_end, heads, ranks, assumed, factors, now)
            for back_end, heads in zip(usable, held, strict=True)
        ]

    def _candidate(
        self,
        prompt: Prompt,
        back_end: BackEnd,
        held_heads: int,
        ranks: dict[str, int],
        assumed_tokens: int,
        factors: WaitFactors,
        now: float,
    ) -> Candidate:
        """Return the expected state of one engine."""
        view = self._view(back_end.address)
        preference = ranks.get(back_end.name, len(ranks))
        return Candidate(
            back_end=back_end,
            incarnation=view.incarnation,
            cached_tokens=prompt.tokens_of(held_heads),
            waiting_prefill_tokens=view.waiting_prefill_tokens(now, factors),
            requests=view.requests(),
            suspect=view.is_suspect(now),
            preference=preference,
            assumed_tokens=assumed_tokens if preference == 0 else 0,
        )


def _new_prefix_index(policy: RoutingPolicy) -> PrefixIndex:
    """Return an empty index."""
    return PrefixIndex(policy.max_prefix_heads, policy.prefix_stride_blocks)


def _cache_identity(facts: EngineFacts) -> tuple[str, dict[str, str]]:
    """Return the incarnation and weights that an engine's cached blocks belong to."""
    return facts.incarnation, facts.weights
