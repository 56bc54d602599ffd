"""What the scenarios of one seed gave."""

from __future__ import annotations

import msgspec

from emulator.recovery.measures import RefusalMeasures, SpanMeasures


class TenantHarm(msgspec.Struct, frozen=True):
    """One tenant under the overload that another one makes.

    Attributes:
        tenant: Its name.
        steady: Its measures before.
        overload: Its measures meanwhile.
    """

    tenant: str
    steady: SpanMeasures
    overload: SpanMeasures


class RecoveryTimes(msgspec.Struct, frozen=True):
    """Seconds until a measure is steady for good; None when it isn't within the run."""

    goodput: float | None
    hit_rate: float | None
    ttft_p99: float | None


class OverloadResult(msgspec.Struct, frozen=True):
    """Twice the capacity, and the time after it.

    Attributes:
        capacity: Best goodput, with as many callers as the engines have room, a second.
        steady: Measures before.
        overload: Measures meanwhile.
        goodput_over_best: Goodput meanwhile over ``capacity``.
        refusals: Refusals of the whole run.
        attempts_over_first: Attempts over first attempts, in the whole run.
        tenants: Tenants within their share.
        recovery: Time from the end of the overload.
    """

    capacity: float
    steady: SpanMeasures
    overload: SpanMeasures
    goodput_over_best: float
    refusals: RefusalMeasures
    attempts_over_first: float
    tenants: tuple[TenantHarm, ...]
    recovery: RecoveryTimes


class EventResult(msgspec.Struct, frozen=True):
    """A loss under steady load.

    Attributes:
        steady: Measures before; of the smaller deployment where engines are lost.
        after: Measures of the whole time after the event.
        attempts_over_first: Attempts over first attempts, in the whole run.
        recovery: Time from the event.
    """

    steady: SpanMeasures
    after: SpanMeasures
    attempts_over_first: float
    recovery: RecoveryTimes


class StoreOutageResult(msgspec.Struct, frozen=True):
    """A herd restart while the store is down: routers have no configuration, and refuse.

    Attributes:
        refusals: Refusals from the restart to the first served request.
        first_served_seconds: Time from the store's return to the first token.
        recovery: Time from the store's return.
    """

    refusals: RefusalMeasures
    first_served_seconds: float | None
    recovery: RecoveryTimes


class SeedResult(msgspec.Struct, frozen=True):
    """All scenarios of one seed; None for one that didn't run.

    Attributes:
        seed: Seed of the traffic and of all chance.
        calm: No event at all: what the measures of recovery say of chance alone.
    """

    seed: int
    overload: OverloadResult | None = None
    calm: EventResult | None = None
    herd_restart: EventResult | None = None
    engine_loss: EventResult | None = None
    store_outage: StoreOutageResult | None = None
