"""Computes when refused clients should retry; a fixed time where nothing was observed."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Set

import msgspec
import trio

from hopstep.domain.exchanges.retry_after import (
    QueueReturn,
    RefusalFacts,
    RetryAdvice,
    RetryReason,
    advise,
    retry_reason,
)
from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.domain.instance_admission import Barrier, Purpose
from hopstep.exceptions import ErrorCode
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits

LAST_RANK = 9
"""Rank of the requests that are served last: a wait that is long enough for any rank."""

RECENT_ADVICE_SECONDS = 0.5
"""Seconds within which clients with the same advice would retry at the same time."""

NODE_ANSWER_SECONDS = 1.0
"""Other nodes are reachable if one answered within this time, in seconds; queries are sent every
0.2 s."""


class RetryAdvisor:
    """Collects the facts of a refusal, and returns the advice for the client."""

    def __init__(
        self, knowledge: ServingKnowledge, limits: InstanceLimits, generator: random.Random
    ) -> None:
        """Start without any advice given.

        Args:
            knowledge: Instances, and the times of the last responses of the store and of nodes.
            limits: When permits for limited instances are expected.
            generator: Spreads clients' retries.
        """
        self._knowledge = knowledge
        self._limits = limits
        self._generator = generator
        self._advised: dict[RetryReason, deque[float]] = {reason: deque() for reason in RetryReason}

    def advise(
        self,
        code: ErrorCode,
        service: str = "",
        tried: Set[str] = frozenset(),
        refused_seconds: float = 0.0,
        queue_return: QueueReturn | None = None,
        origin: StreamOrigin | None = None,
    ) -> RetryAdvice:
        """Return when a client should retry.

        Args:
            code: Why its request is refused.
            service: Service of the request; empty when it wasn't looked up.
            tried: Ids of instances that the request was sent to.
            refused_seconds: Remaining time for which the quarantine refuses the request; else 0.
            queue_return: When the queue has drained; None when it wasn't the reason.
            origin: What began the stream that the request goes on with; None for none.
        """
        if refused_seconds:
            return RetryAdvice(refused_seconds, RetryReason.QUARANTINE)
        now = trio.current_time()
        knowledge = self._knowledge
        listed = [
            view
            for view in knowledge.table.of_service(service)
            if origin is None or origin.allows(view.instance)
        ]
        asked = [(view, view.admission(Purpose.REQUEST, now)) for view in listed]
        views = [view for view, answer in asked if answer.is_open]
        backing_off = [a.until - now for _view, a in asked if a.barrier is Barrier.BACKING_OFF]
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
            backoff_seconds=None if views else min(backing_off, default=None),
            limited_seconds=None if views else min(limited, default=None),
            relisting_seconds=None if views else knowledge.contact.relisting_seconds(now),
            store_silence_seconds=now - knowledge.contact.last_answer_at,
            others_answer=now - knowledge.last_answer_at < NODE_ANSWER_SECONDS,
            queue_return=queue_return,
        )
        return self._spread(facts, now)

    def _spread(self, facts: RefusalFacts, now: float) -> RetryAdvice:
        """Return the advice, spread by how many recent refusals had the same reason."""
        advised = self._advised[retry_reason(facts)]
        while advised and advised[0] < now - RECENT_ADVICE_SECONDS:
            advised.popleft()
        facts = msgspec.structs.replace(facts, recent_refusals=len(advised))
        advised.append(now)
        return advise(facts, self._generator.random())
