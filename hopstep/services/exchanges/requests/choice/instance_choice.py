"""Chooses the instance of an attempt by the node's view of instances and caches."""

from __future__ import annotations

import random
from collections.abc import Callable, Set
from typing import NamedTuple

import trio

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.prefill_causes import SharedPrefill
from hopstep.domain.exchanges.request import ExchangeRequest, Prompt
from hopstep.domain.exchanges.segments import segment_keys
from hopstep.domain.exchanges.selection import Candidate, choose_engine, choose_server
from hopstep.domain.exchanges.spread_choice import ChoiceBounds
from hopstep.domain.exchanges.store_contents import choose_push_target
from hopstep.domain.instance_admission import LAST_SENDS_SHARE, Admission, Barrier, Purpose
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.requests.choice.engine_requests import (
    EngineRequests,
    remaining_objective,
)
from hopstep.services.exchanges.requests.choice.permit_demand import (
    LimitProbes,
    is_limited,
    note_wanted,
)

LAST_REQUESTS_SHARE = 0.5
"""Fraction of the drain bound during which an instance that is shutting down is still sent requests
that no other instance can serve. The rest is left for connecting, by a gateway if need be, and for
transmission."""

MIN_SAVED_TOKENS = 1_000
"""Prompts with fewer shared tokens are recomputed faster than their cached segments are moved."""


class Opening(NamedTuple):
    """When an instance may accept a request that none accepts now.

    Attributes:
        opens_at: Earliest time at which one accepts it without a permit, by the steady clock in
            seconds; None for too late or never.
        limited: Instances that accept it as soon as this node has a permit.
        permit_by: Latest time at which a permit is of use, by the same clock.
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
        count_prefilled: Callable[[SharedPrefill], None],
    ) -> None:
        """Create the choice of one node.

        Args:
            knowledge: Instances and weights.
            store_watch: Contents of the cache stores.
            pauses: Detects pauses of the node's own process.
            generator: Breaks ties.
            zone: Zone of this node.
            other_zone_seconds: Delay that is added to the estimate of instances in other zones.
            drain_seconds: Time for which an instance still serves after it announced its shutdown.
            count_prefilled: Called with the shared tokens that an engine has to prefill.
        """
        self._last_requests_seconds = LAST_REQUESTS_SHARE * drain_seconds
        self._last_sends_seconds = LAST_SENDS_SHARE * drain_seconds
        self._knowledge = knowledge
        self._limit_probes = LimitProbes(knowledge)
        self._store_watch = store_watch
        self._pauses = pauses
        self._generator = generator
        self._zone = zone
        self._other_zone_seconds = other_zone_seconds
        self._engine_requests = EngineRequests(
            knowledge, store_watch, zone, other_zone_seconds, count_prefilled
        )

    def choose(
        self,
        scope: InstanceScope,
        only: str | None = None,
        within: Set[str] | None = None,
    ) -> Candidate | None:
        """Return the best instance, or None when none may serve the request now.

        Args:
            scope: The request, and which instances may serve it.
            only: Id of the only instance allowed; empty or None for any that wasn't tried.
            within: Ids of the instances with capacity; None when capacity doesn't restrict it.
        """
        self._pauses.check()
        self._knowledge.instances.remove_expired()
        now = trio.current_time()
        request, service = scope.request, scope.service
        eligible = self._eligible(scope, now)
        if only:
            eligible = [view for view in eligible if view.instance.instance_id == only]
        views = self._admissible(scope, eligible, now)
        views = views or self._without_report(eligible, request, now)
        if within is not None:
            views = [view for view in views if view.instance.instance_id in within]
        if views:
            self._note_wanted(request, service, eligible, views, now)
        asked = self._limit_probe(request, service, views, now)
        return asked or self._best(request, service, views, now)

    def admissible(self, scope: InstanceScope) -> list[InstanceView]:
        """Return the instances that a request may be sent to now, whatever their capacity."""
        self._pauses.check()
        self._knowledge.instances.remove_expired()
        now = trio.current_time()
        eligible = self._eligible(scope, now)
        views = self._admissible(scope, eligible, now)
        return views or self._without_report(eligible, scope.request, now)

    def count_instances(self, scope: InstanceScope) -> int:
        """Return the number of listed instances that may serve a request, now or later."""
        return len(self._eligible(scope, trio.current_time()))

    def any_responds(self, scope: InstanceScope) -> bool:
        """Return whether an instance that may serve a request is neither suspended nor silent."""
        now = trio.current_time()
        return any(view.responds(now) for view in self._eligible(scope, now))

    def note_waiting(self, scope: InstanceScope) -> None:
        """Request permits for limited instances on behalf of a request that waits for capacity."""
        now = trio.current_time()
        eligible = self._eligible(scope, now)
        views = self._admissible(scope, eligible, now)
        self._note_wanted(scope.request, scope.service, eligible, views, now)

    def uncached_tokens(
        self, request: ExchangeRequest, prompt: Prompt
    ) -> Callable[[InstanceView], int]:
        """Return a function from an instance to the tokens of a prompt that it hasn't cached."""
        keys_of = self._engine_requests.keys_by_salt(request, prompt)
        tokens = prompt.prompt_tokens
        return lambda view: max(0, tokens - view.segments.cached_tokens(keys_of(view)))

    def _note_wanted(
        self,
        request: ExchangeRequest,
        service: str,
        eligible: list[InstanceView],
        views: list[InstanceView],
        now: float,
    ) -> None:
        """Request a permit if the best instance is limited, or if a limit may be outdated."""
        if all(view.announced_state.limited_sends is None for view in eligible):
            return
        kept = [view for view in eligible if is_limited(view, now)]
        note_wanted(self._best(request, service, [*views, *kept], now), now)
        self._limit_probes.note_doubted([*views, *kept], now)

    def _limit_probe(
        self, request: ExchangeRequest, service: str, views: list[InstanceView], now: float
    ) -> Candidate | None:
        """Return an instance whose limit the request is to probe; None when none is due."""
        probeable = self._limit_probes.probeable(views, now)
        candidate = self._best(request, service, probeable, now)
        if candidate is None or not self._limit_probes.start_probe(request, candidate, now):
            return None
        return candidate

    def _best(
        self, request: ExchangeRequest, service: str, views: list[InstanceView], now: float
    ) -> Candidate | None:
        """Return the best of some instances, preferring those without known problems."""
        usable = [view for view in views if view.is_usable(now)]
        views = usable or views
        if request.prompt is None:
            return self._best_server(request, service, views, now)
        sources = [view for view in self._sources(service) if view.is_usable(now)]
        engine_request = self._engine_requests.build(request, request.prompt, service)
        return choose_engine(views, sources, engine_request, now, self._generator)

    def _best_server(
        self, request: ExchangeRequest, service: str, views: list[InstanceView], now: float
    ) -> Candidate | None:
        """Return the best of some instances of a plain service."""
        nodes = self._knowledge.count_nodes()
        bounds = ChoiceBounds(remaining_objective(request, now), nodes, sampling=False)
        urgent = self._engine_requests.is_urgent(request, service)
        return choose_server(
            views, now, self._generator, self._zone, self._other_zone_seconds, bounds, urgent
        )

    def note_sent(self, request: ExchangeRequest, candidate: Candidate) -> None:
        """Count a request that is sent to the chosen instance."""
        self._engine_requests.note_sent(request, candidate)

    @property
    def kept_engines(self) -> int:
        """Number of engines that this node keeps free of long prompts."""
        return self._engine_requests.kept_engines

    def assume_newest(self, request: ExchangeRequest, view: InstanceView) -> bool:
        """Assume that an instance has the newest weights; return whether the view changed."""
        if request.prompt is None:
            return False
        model = request.prompt.model
        return view.assume_version(model, self._knowledge.weights.newest(model))

    def salt(self, request: ExchangeRequest, view: InstanceView) -> str:
        """Return the salt of a request's segment keys at an instance; empty without a prompt."""
        return self._engine_requests.salt(request, view)

    def _admissible(
        self, scope: InstanceScope, eligible: list[InstanceView], now: float
    ) -> list[InstanceView]:
        """Return the instances that accept a request now; if none, those shutting down."""
        taking = [view for view in eligible if view.takes(Purpose.REQUEST, now)]
        last = (view for view in eligible if self._last_admission(scope, view, now).is_open)
        return taking or list(last)

    def _without_report(
        self, eligible: list[InstanceView], request: ExchangeRequest, now: float
    ) -> list[InstanceView]:
        """Return the instances without a first report, for a request that can't wait for it.

        A missing report alone doesn't justify a refusal: no notice forbids the request.
        """
        answer_by = request.received_at + request.route.objective_seconds
        kept = ((view, view.admission(Purpose.REQUEST, now)) for view in eligible)
        return [
            view
            for view, answer in kept
            if answer.barrier is Barrier.STATE_UNKNOWN
            and answer.until + view.expected_latency > answer_by
        ]

    def _last_admission(self, scope: InstanceScope, view: InstanceView, now: float) -> Admission:
        """Return whether an instance accepts a request that no other can serve."""
        purpose = Purpose.LAST_REQUEST if scope.origin is None else Purpose.RESUME
        return view.admission(purpose, now, self._last_requests_seconds)

    def _eligible(self, scope: InstanceScope, now: float) -> list[InstanceView]:
        """Return the instances able to serve a request, whether or not they accept it now."""
        model = scope.model
        views = [
            view
            for view in self._knowledge.table.of_service(scope.service)
            if scope.admits(view.instance)
            and (not model or (model in view.versions and self._begins_in_time(view, model, now)))
        ]
        return self._of_recorded_versions(scope, views, now) if scope.begins_stream else views

    def _begins_in_time(self, view: InstanceView, model: str, now: float) -> bool:
        """Return whether a request sent now would begin before the engine's weights are too old."""
        weights, version = self._knowledge.weights, view.serving_version(model)
        if version >= weights.newest(model):
            return True
        return version >= weights.required(model, now + view.queue_seconds(now))

    def begins_until(self, model: str, version: int) -> float:
        """Return until when a request may begin on weights, by the steady clock in seconds."""
        return self._knowledge.weights.begins_until(model, version)

    def _of_recorded_versions(
        self, scope: InstanceScope, views: list[InstanceView], now: float
    ) -> list[InstanceView]:
        """Return the instances of recorded versions if they serve; else all."""
        versions = self._knowledge.recorded_versions
        recorded = [
            view
            for view in views
            if versions.may_begin(scope.service, view.instance.software_version, now)
        ]
        if len(recorded) == len(views):
            return views
        is_served = any(v.is_usable(now) and v.takes(Purpose.REQUEST, now) for v in recorded)
        return recorded if is_served else views

    def blocked_instances(self, scope: InstanceScope) -> list[tuple[InstanceView, Admission]]:
        """Return the instances that may serve a request later, and what prevents it now."""
        now = trio.current_time()
        eligible = self._eligible(scope, now)
        asked = ((view, self._last_admission(scope, view, now)) for view in eligible)
        return [(view, answer) for view, answer in asked if not answer.is_open]

    def next_opening(self, scope: InstanceScope, answer_by: float) -> Opening:
        """Return when an instance may accept a request early enough for its response.

        Args:
            scope: The request, and which instances may serve it.
            answer_by: Time by which the response is expected, by the steady clock in seconds.
        """
        kept = self.blocked_instances(scope)
        openings = [
            answer.until
            for view, answer in kept
            if answer.barrier in (Barrier.BACKING_OFF, Barrier.STATE_UNKNOWN)
            and answer.until + view.expected_latency <= answer_by
        ]
        limited = [view for view, answer in kept if answer.barrier is Barrier.LIMITED]
        latency = min((view.expected_latency for view in limited), default=0.0)
        return Opening(min(openings, default=None), limited, answer_by - latency)

    def may_send(self, view: InstanceView, purpose: Purpose) -> bool:
        """Return whether a request may still be sent to an instance that was chosen for it."""
        if not self._knowledge.table.is_trusted(view):
            return False
        return view.admission(purpose, trio.current_time(), self._last_sends_seconds).is_open

    def _sources(self, service: str) -> list[InstanceView]:
        """Return the instances from which segments may be loaded."""
        now = trio.current_time()
        views = self._knowledge.table.of_service(service)
        return [view for view in views if view.takes(Purpose.SOURCE, now)]

    def push_target(self, request: ExchangeRequest, view: InstanceView) -> str:
        """Return the cache store to which an instance should save a prompt; empty for none."""
        prompt = request.prompt
        if prompt is None or len(prompt.segments) <= 1:
            return ""
        shared = prompt.segments[:-1]
        if sum(segment.tokens for segment in shared) < MIN_SAVED_TOKENS:
            return ""
        keys = segment_keys(prompt.model, self.salt(request, view), shared)
        stores = self._knowledge.require_index().cache_stores()
        known = (self._store_watch.contents(store.address) for store in stores)
        contents = [each for each in known if each is not None]
        return choose_push_target(contents, keys, trio.current_time())
