"""What an instance is, which faults it has, and what its responses announce."""

from __future__ import annotations

import msgspec


class InstanceTraits(msgspec.Struct, frozen=True):
    """Fixed properties of one incarnation of an instance.

    Attributes:
        instance_id: Its id, which a restart keeps.
        service: Name of its service.
        zone: Its zone.
        slots: Largest number of concurrent requests; more are refused as not run.
        model: Name of its model; empty for a plain service.
        load_seconds: Time to load weights.
        born_ms: Unix time of this start in milliseconds.
        software_version: Version of its software.
    """

    instance_id: str
    service: str
    zone: str
    slots: int = 32
    model: str = ""
    load_seconds: float = 0.5
    born_ms: int = 1
    software_version: str = "v1"

    @property
    def incarnation(self) -> str:
        """Name of this incarnation: the instance's id and the time of its start."""
        return f"{self.instance_id}@{self.born_ms}"


class InstanceFaults(msgspec.Struct):
    """Shares (0 to 1) of requests, streams and orders that are hit by a fault.

    Attributes:
        failing: Requests answered with 500 after the run.
        losing: Requests that run, but whose response breaks off.
        breaking: Streams that break off midway.
        failing_streams: Streams answered with 500 in place of their first event.
        late_orders: Orders that get no answer and are executed later.
        late_order_seconds: Delay of these orders.
    """

    failing: float = 0.0
    losing: float = 0.0
    breaking: float = 0.0
    failing_streams: float = 0.0
    late_orders: float = 0.0
    late_order_seconds: float = 2.0


class ResponseNotices(msgspec.Struct):
    """Notices in an instance's response headers, independent of its entry in the store.

    Attributes:
        leaving: Whether every response announces that the instance is about to shut down.
        backoff_seconds: Backoff that refusals ask for; while above 0, every request is refused.
        limit: Announced limit in requests per second, over all nodes; None for no limit.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0
    limit: float | None = None
