"""Prometheus metrics of membership."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class MembershipMetrics:
    """Counters and gauges of one router's membership."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
            registry: Registry that takes the metrics.
        """
        self.bytes_sent = Counter(
            "hopstep_peer_bytes_sent", "Bytes sent to peers, headers included", registry=registry
        )
        self.messages_received = Counter(
            "hopstep_peer_messages_received", "Authenticated messages", registry=registry
        )
        self.messages_rejected = Counter(
            "hopstep_peer_messages_rejected", "Datagrams that were rejected", registry=registry
        )
        self.messages_withheld = Gauge(
            "hopstep_peer_messages_withheld",
            "Messages kept back by the byte budget since the start",
            registry=registry,
        )
        self.live_members = Gauge(
            "hopstep_members_alive", "Routers that take new work", registry=registry
        )
        self.isolated = Gauge(
            "hopstep_isolated", "1 without contact to a majority of routers", registry=registry
        )
