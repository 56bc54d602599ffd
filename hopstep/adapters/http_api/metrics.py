"""Prometheus metrics of the HTTP API."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class ApiMetrics:
    """Metrics of the HTTP API; the configuration limits the number of label values."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: Registry of this node, which ``/metrics`` renders.
        """
        self.registry = registry
        self.requests = Counter(
            "hopstep_requests",
            "Requests by class and outcome (ok or the error code).",
            ("request_class", "outcome"),
            registry=registry,
        )
        self.active = Gauge(
            "hopstep_active_requests", "Requests being answered.", registry=registry
        )
        self.tokens = Counter(
            "hopstep_answer_tokens", "Tokens delivered to callers.", registry=registry
        )
        self.first_token = Histogram(
            "hopstep_first_token_seconds",
            "Time from the request's headers to the first token.",
            ("request_class",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
