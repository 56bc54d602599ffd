"""Gauges of a node's state: its knowledge, active work and limits."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.byte_budget import ByteBudget
from hopstep.domain.reachability.instance_links import InstanceLinks
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.weights.rollout_lease import RolloutLease
from hopstep.services.exchanges.weights.weights_rollout import WeightsRollout
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.quarantine.quarantine import Quarantine

LOOP_DELAY_WINDOW_SECONDS = 10.0


def watch_knowledge(metrics: ExchangeMetrics, knowledge: ServingKnowledge) -> None:
    """Register the metrics of a node's configuration and view of the store, and of their age."""
    knowledge.documents.subscribe_rejections(
        lambda reason: metrics.rejected_entries.labels(reason.value).inc()
    )
    metrics.watch(
        "hopstep_knowledge_age_seconds",
        "Age of what is known of configuration, keys and instances.",
        lambda: knowledge.keys.age_seconds,
    )
    metrics.watch(
        "hopstep_store_silence_seconds",
        "Time since the store last answered this node or whoever told it.",
        lambda: trio.current_time() - knowledge.contact.last_answer_at,
    )
    metrics.watch(
        "hopstep_store_era",
        "How often the store had been restored from a copy, by the newest answer; -1 for none.",
        lambda: knowledge.store_position.era,
    )
    metrics.watch(
        "hopstep_serving_configuration_version",
        "Version of the operators' configuration in force; 0 for none.",
        lambda: knowledge.current.version if knowledge.current is not None else 0,
    )


def watch_work(
    metrics: ExchangeMetrics, lifecycle: Lifecycle, quarantine: Quarantine, lease: RolloutLease
) -> None:
    """Register the gauges of requests and of the rollout lease."""
    metrics.watch(
        "hopstep_exchanges_active",
        "Requests under way.",
        lambda: lifecycle.active_requests,
    )
    metrics.watch(
        "hopstep_quarantined_requests",
        "Requests that are refused since several instances have ended under them.",
        lambda: quarantine.refused_requests,
    )
    metrics.watch(
        "hopstep_quarantined_prompt_parts",
        "Parts of prompts for which requests are refused since instances have ended under them.",
        lambda: quarantine.refused_parts,
    )
    metrics.watch(
        "hopstep_rollout_fencing_token",
        "Fencing token while this node holds the rollout lease; else 0.",
        lambda: lease.fencing_token,
    )


def watch_rollout(metrics: ExchangeMetrics, rollout: WeightsRollout) -> None:
    """Register the gauges of the loads of weights that this node orders."""
    metrics.watch(
        "hopstep_weights_loads",
        "Engines that this node is loading weights into.",
        lambda: rollout.loads_in_progress,
    )
    metrics.watch(
        "hopstep_weights_loads_waiting",
        "Engines whose load waits for capacity of the others, or for a further version.",
        lambda: rollout.loads_waiting,
    )


def watch_held_bytes(metrics: ExchangeMetrics, budget: ByteBudget) -> None:
    """Register the gauges of the bytes that are held for clients and instances."""
    metrics.watch(
        "hopstep_held_bytes",
        "Bytes of requests and responses that this node holds; 0 without a limit.",
        lambda: budget.held_bytes,
    )
    metrics.watch(
        "hopstep_held_bytes_limit",
        "Most bytes of requests and responses that this node may hold; 0 for no limit.",
        lambda: budget.limit_bytes,
    )


def watch_limits(metrics: ExchangeMetrics, notices: InstanceNotices) -> None:
    """Register the gauges of rate-limited instances and of the requests sent to them."""
    metrics.watch(
        "hopstep_limited_instances",
        "Listed instances that take only so many requests from all nodes together.",
        lambda: len(notices.limited()),
    )
    metrics.watch(
        "hopstep_instance_limits_per_second",
        "Requests a second that these instances take, in all.",
        lambda: sum(limited.per_second for limited in notices.limited()),
    )
    metrics.watch(
        "hopstep_limited_sends",
        "What this node has sent them within the window that limits are counted over.",
        lambda: sum(each.sends.sent(trio.current_time()) for each in notices.limited()),
    )
    metrics.watch(
        "hopstep_send_permits",
        "Permits to send to them that this node holds.",
        lambda: sum(each.sends.permits.held(trio.current_time()) for each in notices.limited()),
    )


def watch_links(metrics: ExchangeMetrics, links: InstanceLinks) -> None:
    """Register the gauges of this node's links to instances."""
    metrics.watch(
        "hopstep_cut_links",
        "Instances that other nodes reach and this one doesn't.",
        lambda: links.cut_count,
    )
    metrics.watch(
        "hopstep_cut_off_seconds",
        "Time for which this node has reached no instance itself; 0 while it does.",
        lambda: links.cut_off_seconds(trio.current_time()),
    )


def watch_loop(metrics: ExchangeMetrics, pauses: PauseWatch) -> None:
    """Register the gauge of the event loop's delays."""
    metrics.watch(
        "hopstep_loop_delay_seconds",
        "Longest delay of the event loop within the last ten seconds.",
        lambda: pauses.longest_delay_since(trio.current_time() - LOOP_DELAY_WINDOW_SECONDS),
    )


def watch_tunnels(metrics: ExchangeMetrics, count: Callable[[], int]) -> None:
    """Register the gauge of other nodes' tunnels.

    Args:
        metrics: Registers the gauge.
        count: Returns the number of tunnels.
    """
    metrics.watch(
        "hopstep_gateway_tunnels",
        "Connections to instances that this node makes for nodes whose links are cut.",
        count,
    )
