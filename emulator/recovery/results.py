"""Results of the recovery scenarios for one seed."""

from __future__ import annotations

import msgspec

from emulator.recovery.measures import RefusalMeasures, SpanMeasures


class TenantImpact(msgspec.Struct, frozen=True):
    """Measures of one tenant under an overload that another tenant causes.

    Attributes:
        tenant: Name of the tenant.
        steady: Measures before the overload.
        overload: Measures during the overload.
    """

    tenant: str
    steady: SpanMeasures
    overload: SpanMeasures


class RecoveryTimes(msgspec.Struct, frozen=True):
    """Seconds until each measure is steady and stays so; None if that isn't within the run."""

    goodput: float | None
    hit_rate: float | None
    ttft_p99: float | None


class OverloadResult(msgspec.Struct, frozen=True):
    """Measures of an overload, and of the recovery after it.

    Attributes:
        capacity: Highest goodput per second, with as many callers as the engines accept requests.
        steady: Measures before the overload.
        overload: Measures during the overload.
        goodput_over_best: Goodput during the overload divided by ``capacity``.
        refusals: Refusals of the whole run.
        attempts_over_first: Attempts divided by first attempts, over the whole run.
        tenants: Measures of the tenants whose load stays within their share.
        recovery: Recovery times from the end of the overload.
    """

    capacity: float
    steady: SpanMeasures
    overload: SpanMeasures
    goodput_over_best: float
    refusals: RefusalMeasures
    attempts_over_first: float
    tenants: tuple[TenantImpact, ...]
    recovery: RecoveryTimes


class EventResult(msgspec.Struct, frozen=True):
    """Measures of an event under steady load.

    Attributes:
        steady: Measures before the event; for a loss of engines, those of a run without these
            engines.
        after: Measures of the time after the event.
        attempts_over_first: Attempts divided by first attempts, over the whole run.
        recovery: Recovery times from the event.
    """

    steady: SpanMeasures
    after: SpanMeasures
    attempts_over_first: float
    recovery: RecoveryTimes


class StoreOutageResult(msgspec.Struct, frozen=True):
    """Measures of a restart of all routers while the store is down.

    Without the store, routers have no configuration and refuse requests.

    Attributes:
        refusals: Refusals of the requests that arrived after the restart.
        first_served_seconds: Time from the store's return to the first token.
        recovery: Recovery times from the store's return.
    """

    refusals: RefusalMeasures
    first_served_seconds: float | None
    recovery: RecoveryTimes


class SeedResult(msgspec.Struct, frozen=True):
    """Results of all scenarios for one seed; None for a scenario that didn't run.

    Attributes:
        seed: Seed of all random draws.
        calm: Run without an event, which shows the recovery measures' random variation.
    """

    seed: int
    overload: OverloadResult | None = None
    calm: EventResult | None = None
    herd_restart: EventResult | None = None
    engine_loss: EventResult | None = None
    store_outage: StoreOutageResult | None = None
