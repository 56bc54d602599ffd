"""Chooses the instance of an attempt from what the node believes."""

from __future__ import annotations

import random
from collections.abc import Set

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest, Prompt
from hopstep.domain.exchanges.segments import SegmentKey, chain_keys
from hopstep.domain.exchanges.selection import Candidate, choose_engine, choose_server
from hopstep.services.exchanges.knowledge import ServingKnowledge


class InstanceChoice:
    """Applies the domain's choice to the instances of a service."""

    def __init__(self, knowledge: ServingKnowledge, generator: random.Random) -> None:
        """Use what the node knows.

        Args:
            knowledge: Instances and weights.
            generator: Breaks ties.
        """
        self._knowledge = knowledge
        self._generator = generator

    def choose(self, request: ExchangeRequest, service: str, tried: Set[str]) -> Candidate | None:
        """Return the best instance, or None when none may serve the request now.

        Args:
            request: The request.
            service: Service that the route chose.
            tried: Ids of instances that it was sent to.
        """
        now = trio.current_time()
        views = self._admissible(request, service, tried, now)
        usable = [view for view in views if view.is_usable(now)]
        views = usable or views
        if request.prompt is None:
            return choose_server(views, now, self._generator)
        prompt = request.prompt
        return choose_engine(
            views,
            lambda view: self._keys(request, prompt, view),
            prompt.prompt_tokens,
            now,
            self._generator,
        )

    def salt(self, request: ExchangeRequest, view: InstanceView) -> str:
        """Return the text under which a request's segments are kept at an instance."""
        if request.prompt is None:
            return ""
        version = view.versions.get(request.prompt.model, 0)
        tenant = request.tenant
        group = tenant.name if tenant is not None and tenant.isolated else ""
        return f"{version}.{group}"

    def _admissible(
        self, request: ExchangeRequest, service: str, tried: Set[str], now: float
    ) -> list[InstanceView]:
        """Return the instances that may serve a request at all."""
        model = request.prompt.model if request.prompt is not None else ""
        required = self._knowledge.weights.required(model, now) if model else 0
        return [
            view
            for view in self._knowledge.table.of_service(service)
            if not view.instance.draining
            and view.instance.instance_id not in tried
            and (not required or view.versions.get(model, 0) >= required)
        ]

    def _keys(
        self, request: ExchangeRequest, prompt: Prompt, view: InstanceView
    ) -> tuple[SegmentKey, ...]:
        """Return the keys of a prompt's segments for an instance."""
        return chain_keys(self.salt(request, view), prompt.segments)
