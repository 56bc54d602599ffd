"""Builds what the choice of an engine depends on from a request and the node's knowledge."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.prefill_causes import PrefillCauses, SharedPrefill
from hopstep.domain.exchanges.request import ExchangeRequest, Prompt
from hopstep.domain.exchanges.segment_moves import EngineRequest, KeysOf, StoreSource
from hopstep.domain.exchanges.segments import SegmentKey, segment_keys
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.serving import EngineTraits
from hopstep.domain.exchanges.store_contents import StoreContents
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.requests.choice.engine_separation import EngineSeparation


class EngineRequests:
    """Builds the input to the choice of an engine."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        store_watch: CacheStoreWatch,
        zone: str,
        other_zone_seconds: float,
        count_prefilled: Callable[[SharedPrefill], None],
    ) -> None:
        """Create the builder of one node.

        Args:
            knowledge: Instances, weights and the operators' configuration.
            store_watch: Contents of the cache stores.
            zone: Zone of this node.
            other_zone_seconds: Cost of sending a request to another zone, as a delay.
            count_prefilled: Called with the shared tokens that an engine has to prefill.
        """
        self._knowledge = knowledge
        self._store_watch = store_watch
        self._zone = zone
        self._other_zone_seconds = other_zone_seconds
        self._separation = EngineSeparation()
        self._causes = PrefillCauses()
        self._count_prefilled = count_prefilled

    @property
    def kept_engines(self) -> int:
        """Number of engines that this node keeps free of long prompts."""
        return self._separation.kept_engines

    def note_sent(self, request: ExchangeRequest, candidate: Candidate) -> None:
        """Count a prompt that is sent to an engine."""
        prompt = request.prompt
        if prompt is None:
            return
        self._separation.note_sent(request, candidate, trio.current_time())
        views = self._knowledge.table.of_service(candidate.view.instance.service)
        group = self.cache_group(request)
        prefilled = self._causes.note_sent(prompt, request.isolation_group, group, candidate, views)
        if prefilled is not None:
            self._count_prefilled(prefilled)

    def build(self, request: ExchangeRequest, prompt: Prompt, service: str) -> EngineRequest:
        """Return what the choice of an engine for a request depends on.

        Args:
            request: The request.
            prompt: Its prompt.
            service: Service that its route chose.
        """
        now = trio.current_time()
        keys_of = self.keys_by_salt(request, prompt)
        traits = self._traits(service)
        stores = self._stores(keys_of, traits) if traits is not None else ()
        views = self._knowledge.table.of_service(service)
        return EngineRequest(
            keys_of,
            prompt.model,
            prompt.prompt_tokens,
            _move_seconds(traits),
            stores,
            self._zone,
            self._other_zone_seconds,
            self._knowledge.weights.preferred(prompt.model, now),
            objective_seconds=remaining_objective(request, now),
            nodes=self._knowledge.count_nodes(),
            answer_tokens=prompt.used_tokens(0),
            urgent=self.is_urgent(request, service),
            engine_preference=self._separation.preference(request, service, views, now),
        )

    def cache_group(self, request: ExchangeRequest) -> str:
        """Return the group of callers that a request shares cached segments with now."""
        return self._knowledge.require_index().cache_groups.of(request.caller)

    def salt(self, request: ExchangeRequest, view: InstanceView) -> str:
        """Return the salt of a request's segment keys at an instance; empty without a prompt."""
        if request.prompt is None:
            return ""
        return cache_salt(self.cache_group(request), view.serving_version(request.prompt.model))

    def keys_by_salt(self, request: ExchangeRequest, prompt: Prompt) -> KeysOf:
        """Return a function from an instance to a prompt's keys, which are hashed once a salt."""
        group = self.cache_group(request)
        by_salt: dict[str, tuple[SegmentKey, ...]] = {}

        def keys_of(view: InstanceView) -> tuple[SegmentKey, ...]:
            salt = cache_salt(group, view.serving_version(prompt.model))
            if salt not in by_salt:
                by_salt[salt] = segment_keys(prompt.model, salt, prompt.segments)
            return by_salt[salt]

        return keys_of

    def is_urgent(self, request: ExchangeRequest, service: str) -> bool:
        """Return whether a request's priority is above the least urgent one of the service."""
        return request.route.priority < self._knowledge.require_index().least_urgent(service)

    def _traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines."""
        found = self._knowledge.require_index().services.get(service)
        return found.engine if found is not None else None

    def _stores(self, keys_of: KeysOf, traits: EngineTraits) -> tuple[StoreSource, ...]:
        """Return the cache stores from which segments may be loaded."""
        index = self._knowledge.require_index()
        sources = []
        for store in index.cache_stores():
            contents = self._store_watch.contents(store.address)
            if contents is not None and contents.reachable:
                per_token = traits.move_seconds_per_token(store.link_megabits)
                tokens_for = _tokens_in_store(keys_of, contents)
                sources.append(StoreSource(store.address, store.zone, per_token, tokens_for))
        return tuple(sources)


def remaining_objective(request: ExchangeRequest, now: float) -> float:
    """Return what is left of a request's objective, in seconds.

    Args:
        request: The request.
        now: Steady clock, seconds.
    """
    return request.received_at + request.route.objective_seconds - now


def cache_salt(group: str, version: int) -> str:
    """Return the salt of segments of a group of callers, made under a weights version."""
    return f"{group}.{version}"


def _move_seconds(traits: EngineTraits | None) -> float:
    """Return the time to move one token between engines of a zone; infinite without traits."""
    if traits is None:
        return float("inf")
    return traits.move_seconds_per_token(traits.link_megabits)


def _tokens_in_store(keys_of: KeysOf, contents: StoreContents) -> Callable[[InstanceView], int]:
    """Return a function from an instance to the tokens that a store holds for its weights."""
    return lambda view: contents.cached_tokens(keys_of(view))
