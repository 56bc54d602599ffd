"""Counters and latency histograms of a node of routed exchanges."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0, 10.0)


class ExchangeMetrics:
    """Metrics of one node; the configuration and the code bound the number of label values."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: Registry of this node.
        """
        self._registry = registry
        self.requests = Counter(
            "hopstep_exchanges",
            "Requests by kind of route and outcome: status, error code, cut, client_left, stopped.",
            ("kind", "outcome"),
            registry=registry,
        )
        self.unanswered = Counter(
            "hopstep_unanswered_requests",
            "Requests that were sent to an instance and whose connection ended without a complete "
            "response, by outcome and by who ended the connection.",
            ("outcome", "closed_by"),
            registry=registry,
        )
        self.attempts = Counter(
            "hopstep_exchange_failed_attempts",
            "Failed attempts by error code and what followed.",
            ("code", "next_step"),
            registry=registry,
        )
        self.first_byte = Histogram(
            "hopstep_exchange_first_byte_seconds",
            "From the head of a request to the first byte of its answer.",
            ("kind",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self.pause = Histogram(
            "hopstep_exchange_pause_seconds",
            "Longest pause within each stream.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self.view_age = Histogram(
            "hopstep_sending_view_age_seconds",
            "Age of this node's view of the instances when a request was sent to one.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self.waiting = Gauge(
            "hopstep_exchanges_waiting",
            "Requests that wait at this node for an instance with capacity, by priority.",
            ("priority",),
            registry=registry,
        )
        self.waited = Histogram(
            "hopstep_exchange_wait_seconds",
            "Waits of requests at this node for an instance with capacity.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self.early_refusals = Counter(
            "hopstep_exchange_early_refusals",
            "Requests refused before they were sent since they would wait too long, by priority.",
            ("priority",),
            registry=registry,
        )
        self.resumes = Counter(
            "hopstep_stream_resumes",
            "Clients' resumes of streams, by where the version that began them was known from.",
            ("known_from",),
            registry=registry,
        )
        self.read_tokens = Counter(
            "hopstep_exchange_read_tokens",
            "Prompt tokens that instances were expected to read.",
            registry=registry,
        )
        self.shared_prefill = Counter(
            "hopstep_exchange_shared_prefill_tokens",
            "Tokens of shared segments that engines were expected to prefill, by cause.",
            ("cause",),
            registry=registry,
        )
        self.rejected_entries = Counter(
            "hopstep_rejected_entries",
            "Documents in the store that this node doesn't trust, by reason.",
            ("reason",),
            registry=registry,
        )
        self.notices = Counter(
            "hopstep_instance_notices",
            "What instances say of themselves, as news: kind (leaving, rest, limit) and source.",
            ("kind", "source"),
            registry=registry,
        )
        self.unknown_words = Counter(
            "hopstep_unknown_words",
            "Words of others that nothing here reads, each time, by where they stood.",
            ("place",),
            registry=registry,
        )
        self.surplus_answers = Counter(
            "hopstep_instance_surplus_answers",
            "Bytes of instances that belonged to no request, by where they were found.",
            ("place",),
            registry=registry,
        )
        self.failed_connections = Counter(
            "hopstep_failed_connections",
            "Clients' connections that a fault of this node has ended.",
            registry=registry,
        )
        self.refused_for_memory = Counter(
            "hopstep_exchanges_refused_for_memory",
            "Requests refused since the node had no space for their body or response.",
            registry=registry,
        )
        self.responses_in_parts = Counter(
            "hopstep_responses_relayed_in_parts",
            "Responses relayed before they were read to their end, for lack of space.",
            registry=registry,
        )
        self.stalled_clients = Counter(
            "hopstep_stalled_clients",
            "Clients disconnected since they didn't read while the node lacked space.",
            registry=registry,
        )

    def watch(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when metrics are scraped."""
        Gauge(name, documentation, registry=self._registry).set_function(read)
