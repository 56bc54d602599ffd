"""Requests of a measurement, and the figures of its runs."""

from __future__ import annotations

import math
import os
from collections.abc import Iterable, Sequence

import msgspec

MILLISECONDS = 1_000.0
HIGH_PERCENTILE = 0.99


class Measured(msgspec.Struct, frozen=True):
    """Figures of one run.

    Attributes:
        form: Form of the answers without end.
        sent: Requests that count.
        failed: Those without a success.
        others: Those that reached no instance without end and were answered.
        others_high_ms: 99th percentile of the latencies of ``others``, in milliseconds; infinite if
            there are none.
        peak_mib: Most memory that the node's process had resident.
        load: Load average of the machine at the end.
        latencies: Latencies of ``others`` in seconds, in rising order.
    """

    form: str
    sent: int
    failed: int
    others: int
    others_high_ms: float
    peak_mib: float
    load: float
    latencies: tuple[float, ...]


class SentRequest(msgspec.Struct):
    """A request.

    Attributes:
        request_id: Its id.
        counts: Whether the figures count it.
        seconds: Latency of its answer; infinite without one.
        answered: Whether it was answered with a success.
    """

    request_id: str
    counts: bool
    seconds: float = math.inf
    answered: bool = False


class Measurement(msgspec.Struct, frozen=True):
    """What was seen in one run.

    Attributes:
        requests: Requests that were sent.
        touched: Ids of requests that an instance answered without end.
        peak_mib: Most memory that the node's process had resident, in MiB.
    """

    requests: list[SentRequest]
    touched: set[str]
    peak_mib: float

    def figures(self, form: str) -> Measured:
        """Return the figures of the run, whose answers without end had a form."""
        counted = [request for request in self.requests if request.counts]
        others = sorted(
            request.seconds
            for request in counted
            if request.answered and request.request_id not in self.touched
        )
        return Measured(
            form,
            len(counted),
            sum(not request.answered for request in counted),
            len(others),
            _high_ms(others),
            self.peak_mib,
            os.getloadavg()[0],
            tuple(others),
        )


class Pair(msgspec.Struct, frozen=True):
    """Two runs side by side.

    Attributes:
        without: All instances answered whole.
        measured: Some answered without end.
    """

    without: Measured
    measured: Measured


def pooled_high_ms(runs: Iterable[Measured]) -> float:
    """Return the 99th percentile of the latencies of the others of several runs, in milliseconds.

    A pause of the machine of 50 ms delays enough requests of a single run of 400 to set its 99th
    percentile.
    """
    return _high_ms(sorted(seconds for run in runs for seconds in run.latencies))


def _high_ms(latencies: Sequence[float]) -> float:
    """Return the 99th percentile of latencies in rising order; infinite without any."""
    rank = max(0, math.ceil(HIGH_PERCENTILE * len(latencies)) - 1)
    return latencies[rank] * MILLISECONDS if latencies else math.inf
