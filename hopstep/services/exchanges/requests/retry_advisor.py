"""Tells refused clients when to come back; without any observation, after a fixed time."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Set

import msgspec
import trio

from hopstep.domain.exchanges.retry_after import (
    RefusalFacts,
    RetryAdvice,
    RetryReason,
    advise,
    retry_reason,
)
from hopstep.domain.instance_admission import Barrier, Purpose
from hopstep.exceptions import ErrorCode
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits

LAST_RANK = 9
"""Rank of the requests that are served last: a wait that suits all."""

LATELY_SECONDS = 0.5
"""Clients that were told the same within this time would come back together."""

ANSWERED_SECONDS = 1.0
"""Other nodes are within reach if one has answered in this time; queries leave each 0.2 s."""


class RetryAdvisor:
    """Collects what is observed at a refusal."""

    def __init__(
        self, knowledge: ServingKnowledge, limits: InstanceLimits, generator: random.Random
    ) -> None:
        """Use what the node knows.

        Args:
            knowledge: Instances, and the age of what is known.
            limits: When permits for limited instances come.
            generator: Spreads clients.
        """
        self._knowledge = knowledge
        self._limits = limits
        self._generator = generator
        self._told: dict[RetryReason, deque[float]] = {reason: deque() for reason in RetryReason}

    def advise(
        self,
        code: ErrorCode,
        service: str = "",
        tried: Set[str] = frozenset(),
        refused_seconds: float = 0.0,
    ) -> RetryAdvice:
        """Return when a client should come back.

        Args:
            code: Why it is refused.
            service: Service that it asked for; empty when it wasn't looked up.
            tried: Ids of instances that the request was sent to.
            refused_seconds: For how much longer the request itself is refused; 0 for not at all.
        """
        if refused_seconds:
            return RetryAdvice(refused_seconds, RetryReason.QUARANTINE)
        now = trio.current_time()
        knowledge = self._knowledge
        listed = knowledge.table.of_service(service)
        asked = [(view, view.admission(Purpose.REQUEST, now)) for view in listed]
        views = [view for view, answer in asked if answer.is_open]
        resting = [a.until - now for _view, a in asked if a.barrier is Barrier.RESTING]
        limited = [
            self._limits.expected_seconds(view, LAST_RANK)
            for view, answer in asked
            if answer.barrier is Barrier.LIMITED
        ]
        loading = [view.loading_until - now for view in views if view.loading_until > now]
        untried = [view for view in views if view.instance.instance_id not in tried]
        facts = RefusalFacts(
            code=code,
            other_instance=bool(tried) and any(view.is_usable(now) for view in untried),
            loading_seconds=min(loading, default=None),
            resting_seconds=None if views else min(resting, default=None),
            limited_seconds=None if views else min(limited, default=None),
            relisting_seconds=None if views else knowledge.contact.relisting_seconds(now),
            store_silence_seconds=now - knowledge.contact.heard_at,
            others_answer=now - knowledge.last_answer_at < ANSWERED_SECONDS,
        )
        return self._spread(facts, now)

    def _spread(self, facts: RefusalFacts, now: float) -> RetryAdvice:
        """Return the advice, by how many were told the same lately."""
        told = self._told[retry_reason(facts)]
        while told and told[0] < now - LATELY_SECONDS:
            told.popleft()
        facts = msgspec.structs.replace(facts, told_lately=len(told))
        told.append(now)
        return advise(facts, self._generator.random())
