"""Chooses the instance of an attempt from what the node believes."""

from __future__ import annotations

import random
from collections.abc import Callable, Set
from typing import NamedTuple

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest, Prompt
from hopstep.domain.exchanges.segment_moves import EngineRequest, KeysOf, StoreSource
from hopstep.domain.exchanges.segments import SegmentKey, segment_keys
from hopstep.domain.exchanges.selection import Candidate, choose_engine, choose_server
from hopstep.domain.exchanges.serving import EngineTraits
from hopstep.domain.exchanges.store_contents import StoreContents
from hopstep.domain.instance_admission import Admission, Barrier, Purpose
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.requests.permit_demand import LimitAsking, is_limited, note_wanted

LAST_REQUESTS_SHARE = 0.5
"""Part of the drain bound in which an instance that leaves is sent what nobody else can serve. The
rest is left for connecting, 0.4 s at most, and for the way there."""

MIN_SAVED_TOKENS = 1_000
"""Prompts with fewer shared tokens are read anew faster than they are moved about."""


class Opening(NamedTuple):
    """How an instance may come to take a request.

    Attributes:
        opens_at: When the first one takes it by itself; None for too late or never.
        limited: Those that take it as soon as this node has a permit.
        permit_by: A permit must come by then.
    """

    opens_at: float | None
    limited: list[InstanceView]
    permit_by: float


class InstanceChoice:
    """Applies the domain's choice to the instances of a service."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        store_watch: CacheStoreWatch,
        pauses: PauseWatch,
        generator: random.Random,
        zone: str,
        other_zone_seconds: float,
        drain_seconds: float,
    ) -> None:
        """Use what the node knows.

        Args:
            knowledge: Instances and weights.
            store_watch: What the cache stores keep.
            pauses: Notices pauses of the node itself.
            generator: Breaks ties.
            zone: Zone of this node.
            other_zone_seconds: Delay that a request to another zone counts for.
            drain_seconds: Time after an instance's word that it leaves in which it still serves.
        """
        self._last_requests_seconds = LAST_REQUESTS_SHARE * drain_seconds
        self._knowledge = knowledge
        self._asking = LimitAsking(knowledge)
        self._store_watch = store_watch
        self._pauses = pauses
        self._generator = generator
        self._zone = zone
        self._other_zone_seconds = other_zone_seconds

    def choose(
        self, request: ExchangeRequest, service: str, tried: Set[str], only: str | None = None
    ) -> Candidate | None:
        """Return the best instance, or None when none may serve the request now.

        Args:
            request: The request.
            service: Service that the route chose.
            tried: Ids of instances that it was sent to.
            only: Id of the one instance that it may go to; none for any that wasn't tried.
        """
        self._pauses.look()
        self._knowledge.instances.remove_expired()
        now = trio.current_time()
        eligible = self._eligible(request, service, tried, now)
        if only:
            eligible = [view for view in eligible if view.instance.instance_id == only]
        views = self._admissible(eligible, now) or self._unheard(eligible, request, now)
        if views:
            self._note_wanted(request, service, eligible, views, now)
        asked = self._asked(request, service, views, now)
        return asked or self._best(request, service, views, now)

    def _note_wanted(
        self,
        request: ExchangeRequest,
        service: str,
        eligible: list[InstanceView],
        views: list[InstanceView],
        now: float,
    ) -> None:
        """Ask for a permit where the best instance is one under a limit, or a limit is in doubt."""
        if all(view.standing.limited_sends is None for view in eligible):
            return
        kept = [view for view in eligible if is_limited(view, now)]
        note_wanted(self._best(request, service, [*views, *kept], now), now)
        self._asking.note_doubted([*views, *kept], now)

    def _asked(
        self, request: ExchangeRequest, service: str, views: list[InstanceView], now: float
    ) -> Candidate | None:
        """Return an instance that the request finds out about; None when none is in doubt."""
        askable = self._asking.askable(views, now)
        candidate = self._best(request, service, askable, now)
        if candidate is None or not self._asking.asks(request, candidate, now):
            return None
        return candidate

    def _best(
        self, request: ExchangeRequest, service: str, views: list[InstanceView], now: float
    ) -> Candidate | None:
        """Return the best of some instances, those of which nothing bad is known first."""
        usable = [view for view in views if view.is_usable(now)]
        views = usable or views
        if request.prompt is None:
            return choose_server(views, now, self._generator, self._zone, self._other_zone_seconds)
        sources = [view for view in self._sources(service) if view.is_usable(now)]
        engine_request = self._engine_request(request, request.prompt, service)
        return choose_engine(views, sources, engine_request, now, self._generator)

    def assume_newest(self, request: ExchangeRequest, view: InstanceView) -> bool:
        """Take an instance to have the newest weights, and return whether that is news."""
        if request.prompt is None:
            return False
        model = request.prompt.model
        return view.assume_version(model, self._knowledge.weights.newest(model))

    def salt(self, request: ExchangeRequest, view: InstanceView) -> str:
        """Return the text under which a request's segments are kept at an instance."""
        if request.prompt is None:
            return ""
        version = view.serving_version(request.prompt.model)
        tenant = request.tenant
        group = tenant.name if tenant is not None and tenant.isolated else ""
        return f"{version}.{group}"

    def _admissible(self, eligible: list[InstanceView], now: float) -> list[InstanceView]:
        """Return the instances that take a request now; those that leave only alone."""
        taking = [view for view in eligible if view.takes(Purpose.REQUEST, now)]
        return taking or [view for view in eligible if self._last_admission(view, now).is_open]

    def _unheard(
        self, eligible: list[InstanceView], request: ExchangeRequest, now: float
    ) -> list[InstanceView]:
        """Return the instances that this node hasn't heard of yet, for a request that can't wait.

        Nothing is refused for that: nobody has said anything against it.
        """
        answer_by = request.received_at + request.route.objective_seconds
        kept = ((view, view.admission(Purpose.REQUEST, now)) for view in eligible)
        return [
            view
            for view, answer in kept
            if answer.barrier is Barrier.UNHEARD
            and answer.until + view.expected_latency > answer_by
        ]

    def _last_admission(self, view: InstanceView, now: float) -> Admission:
        """Return whether an instance takes what no other may serve."""
        return view.admission(Purpose.LAST_REQUEST, now, self._last_requests_seconds)

    def _eligible(
        self, request: ExchangeRequest, service: str, tried: Set[str], now: float
    ) -> list[InstanceView]:
        """Return the instances that may serve a request, apart from whether they want it."""
        model = request.prompt.model if request.prompt is not None else ""
        required = self._knowledge.weights.required(model, now) if model else 0
        return [
            view
            for view in self._knowledge.table.of_service(service)
            if view.instance.instance_id not in tried
            and (not model or model in view.versions)
            and (not required or view.serving_version(model) >= required)
        ]

    def kept_from(
        self, request: ExchangeRequest, service: str, tried: Set[str]
    ) -> list[tuple[InstanceView, Admission]]:
        """Return the instances that may serve a request at another time, and what is in the way.

        Args:
            request: The request.
            service: Service that the route chose.
            tried: Ids of instances that it was sent to.
        """
        now = trio.current_time()
        eligible = self._eligible(request, service, tried, now)
        asked = ((view, self._last_admission(view, now)) for view in eligible)
        return [(view, answer) for view, answer in asked if not answer.is_open]

    def next_opening(
        self, request: ExchangeRequest, service: str, tried: Set[str], answer_by: float
    ) -> Opening:
        """Return how an instance may come to take a request early enough for its answer.

        Args:
            request: The request.
            service: Service that the route chose.
            tried: Ids of instances that it was sent to.
            answer_by: An answer is expected by then.
        """
        kept = self.kept_from(request, service, tried)
        openings = [
            answer.until
            for view, answer in kept
            if answer.barrier in (Barrier.RESTING, Barrier.UNHEARD)
            and answer.until + view.expected_latency <= answer_by
        ]
        limited = [view for view, answer in kept if answer.barrier is Barrier.LIMITED]
        latency = min((view.expected_latency for view in limited), default=0.0)
        return Opening(min(openings, default=None), limited, answer_by - latency)

    def may_send(self, view: InstanceView, purpose: Purpose) -> bool:
        """Return whether a request may still be sent to an instance that was chosen for it."""
        listed = self._knowledge.table.is_trusted(view)
        return listed and view.takes(purpose, trio.current_time())

    def _sources(self, service: str) -> list[InstanceView]:
        """Return the instances from which segments may be brought."""
        now = trio.current_time()
        views = self._knowledge.table.of_service(service)
        return [view for view in views if view.takes(Purpose.SOURCE, now)]

    def _engine_request(
        self, request: ExchangeRequest, prompt: Prompt, service: str
    ) -> EngineRequest:
        """Return what the choice of an engine depends on."""
        by_salt: dict[str, tuple[SegmentKey, ...]] = {}

        def keys_of(view: InstanceView) -> tuple[SegmentKey, ...]:
            salt = self.salt(request, view)
            if salt not in by_salt:
                by_salt[salt] = segment_keys(prompt.model, salt, prompt.segments)
            return by_salt[salt]

        traits = self._traits(service)
        if traits is None:
            return EngineRequest(keys_of, prompt.model, prompt.prompt_tokens, float("inf"))
        return EngineRequest(
            keys_of,
            prompt.model,
            prompt.prompt_tokens,
            traits.move_seconds_per_token(traits.link_megabits),
            self._stores(keys_of, traits),
            self._zone,
            self._other_zone_seconds,
            self._knowledge.weights.preferred(prompt.model, trio.current_time()),
        )

    def _stores(self, keys_of: KeysOf, traits: EngineTraits) -> tuple[StoreSource, ...]:
        """Return the cache stores from which segments may be brought."""
        index = self._knowledge.require_index()
        sources = []
        for store in index.cache_stores():
            contents = self._store_watch.contents(store.address)
            if contents is not None and contents.reachable:
                per_token = traits.move_seconds_per_token(store.link_megabits)
                tokens_for = _tokens_in_store(keys_of, contents)
                sources.append(StoreSource(store.address, store.zone, per_token, tokens_for))
        return tuple(sources)

    def push_target(self, request: ExchangeRequest, view: InstanceView) -> str:
        """Return the cache store to which an instance should save a prompt; empty for none."""
        prompt = request.prompt
        if prompt is None or len(prompt.segments) <= 1:
            return ""
        shared = prompt.segments[:-1]
        if sum(segment.tokens for segment in shared) < MIN_SAVED_TOKENS:
            return ""
        keys = segment_keys(prompt.model, self.salt(request, view), shared)
        for store in self._knowledge.require_index().cache_stores():
            contents = self._store_watch.contents(store.address)
            now = trio.current_time()
            if contents is not None and contents.claim_push(keys, now):
                return store.address
        return ""

    def _traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines."""
        found = self._knowledge.require_index().services.get(service)
        return found.engine if found is not None else None


def _tokens_in_store(keys_of: KeysOf, contents: StoreContents) -> Callable[[InstanceView], int]:
    """Return a function that tells how many tokens a store keeps for an instance's weights."""
    return lambda view: contents.cached_tokens(keys_of(view))
