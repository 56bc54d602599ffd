"""Metrics of request handling: attempts, cached prompt tokens, the queue."""

from __future__ import annotations

import enum
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class AttemptKind(enum.StrEnum):
    """Reason of an attempt."""

    FIRST = "first"
    RETRY = "retry"
    CONTINUE = "continue"
    RESUME = "resume"
    HEDGE = "hedge"


class RequestMetrics:
    """Counters that the dispatcher increments, and gauges that read its state on collection."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: Registry that takes the metrics.
        """
        self._registry = registry
        self.attempts = Counter(
            "hopstep_attempts",
            "Calls at engines by kind: first, retry, continue, resume or hedge",
            ("kind",),
            registry=registry,
        )
        self.prompt_tokens = Counter(
            "hopstep_prompt_tokens", "Prompt tokens of answered attempts", registry=registry
        )
        self.cached_prompt_tokens = Counter(
            "hopstep_cached_prompt_tokens",
            "Of these, tokens that engines took from their cache",
            registry=registry,
        )

    def count_attempt(self, kind: AttemptKind) -> None:
        """Count one call to an engine."""
        self.attempts.labels(kind.value).inc()

    def count_answered(self, prompt_tokens: int, cached_tokens: int) -> None:
        """Count the prompt of an attempt whose first frame was received."""
        self.prompt_tokens.inc(prompt_tokens)
        self.cached_prompt_tokens.inc(min(cached_tokens, prompt_tokens))

    def watch_state(
        self,
        queued_requests: Callable[[], int],
        prefix_heads: Callable[[], int],
        configuration_revision: Callable[[], int],
    ) -> None:
        """Register gauges that are read when metrics are collected.

        Args:
            queued_requests: Returns the number of requests that wait for an engine.
            prefix_heads: Returns the number of heads in the prefix index.
            configuration_revision: Returns the revision in force.
        """
        self._gauge("hopstep_queued_requests", "Requests that wait for an engine", queued_requests)
        self._gauge("hopstep_prefix_heads", "Prefix heads in the picture", prefix_heads)
        self._gauge(
            "hopstep_configuration_revision",
            "Configuration revision in force",
            configuration_revision,
        )

    def _gauge(self, name: str, documentation: str, read: Callable[[], int]) -> None:
        Gauge(name, documentation, registry=self._registry).set_function(read)
