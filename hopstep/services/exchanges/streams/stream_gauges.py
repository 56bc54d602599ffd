"""Gauges of the software versions of services, and of the streams that are bound to them."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from hopstep.domain.exchanges.streams.listed_versions import ListedVersions
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.streams.stream_origins import StreamOrigins

ONE_SERVICE = ("service",)


class VersionCollector(Collector):
    """Collects gauges of each service."""

    def __init__(self, versions: ListedVersions, origins: StreamOrigins) -> None:
        """Create the collector.

        Args:
            versions: Software versions of the listed instances.
            origins: Streams that this node has begun.
        """
        self._versions = versions
        self._origins = origins

    def describe(self) -> Iterable[Metric]:
        """Return nothing: the services are known when the gauges are collected."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Return the gauges."""
        count = GaugeMetricFamily(
            "hopstep_service_versions",
            "Software versions of the listed instances of a service.",
            labels=ONE_SERVICE,
        )
        scarce = GaugeMetricFamily(
            "hopstep_streams_with_few_instances",
            "Streams that this node has begun, whose clients may still resume them, and whose "
            "version has fewer than two listed instances.",
            labels=ONE_SERVICE,
        )
        for service in self._versions.services():
            count.add_metric((service,), len(self._versions.listed(service)))
            scarce.add_metric((service,), self._origins.count_scarce(service))
        return (count, scarce)


def watch_streams(
    metrics: ExchangeMetrics,
    registry: CollectorRegistry,
    versions: ListedVersions,
    origins: StreamOrigins,
) -> None:
    """Register the gauges of software versions and of resumable streams.

    Args:
        metrics: Receives the sum.
        registry: Receives the gauges of each service.
        versions: Software versions of the listed instances.
        origins: Streams that this node has begun or whose records it keeps.
    """
    registry.register(VersionCollector(versions, origins))
    metrics.watch(
        "hopstep_kept_stream_origins",
        "Origins of streams that this node keeps for other nodes.",
        origins.count_kept,
    )
