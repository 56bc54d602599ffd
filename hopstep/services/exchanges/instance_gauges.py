"""Gauges of the capacity of instances, as this node knows it."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

import trio
from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics

MAX_LISTED_INSTANCES = 64
"""Instances with gauges of their own, those with the fewest free places first; bounds a scrape."""


class InstanceCollector(Collector):
    """Collects gauges of the instances with the fewest free places."""

    def __init__(self, table: InstanceTable) -> None:
        """Create the collector.

        Args:
            table: All instances.
        """
        self._table = table

    def describe(self) -> Iterable[Metric]:
        """Return nothing: the gauges are known when they are collected."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Return the gauges."""
        now = trio.current_time()
        views = heapq.nsmallest(
            MAX_LISTED_INSTANCES, self._table, key=lambda view: view.free_places(now)
        )
        free = _gauge("free_places", "Requests that it may still be sent; negative for too many.")
        used = _gauge("used_tokens", "Memory of the requests of all nodes, in tokens.")
        slowness = _gauge(
            "slowness", "Learned time to read a prompt; 1 is the median of its service."
        )
        for view in views:
            labels = (view.instance.instance_id,)
            free.add_metric(labels, view.free_places(now))
            used.add_metric(labels, view.total_used_tokens(now))
            slowness.add_metric(labels, view.slowness)
        return (free, used, slowness)


def watch_capacity(
    metrics: ExchangeMetrics, registry: CollectorRegistry, table: InstanceTable
) -> None:
    """Register the gauges of the instances' capacity.

    Args:
        metrics: Receives the sums.
        registry: Receives the gauges of single instances.
        table: All instances.
    """
    registry.register(InstanceCollector(table))
    metrics.watch(
        "hopstep_full_instances",
        "Instances that lately rejected a request for lack of capacity.",
        lambda: _count(table, InstanceView.is_full),
    )
    metrics.watch(
        "hopstep_unresponsive_instances",
        "Instances that are suspended or silent.",
        lambda: _count(table, lambda view, now: not view.responds(now)),
    )
    metrics.watch(
        "hopstep_avoided_instances",
        "Instances that other nodes avoid.",
        lambda: _count(table, lambda view, now: view.avoided_by(now) > 0),
    )


def _count(table: InstanceTable, applies: Callable[[InstanceView, float], bool]) -> int:
    """Return the number of instances to which something applies now."""
    now = trio.current_time()
    return sum(applies(view, now) for view in table)


def _gauge(name: str, documentation: str) -> GaugeMetricFamily:
    """Return an empty gauge of single instances."""
    return GaugeMetricFamily(f"hopstep_instance_{name}", documentation, labels=("instance",))
