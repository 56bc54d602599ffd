"""Weights versions named by operators: when they become required, and which engines load them."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.instance_admission import Barrier, Purpose
from hopstep.domain.rendezvous import hash_name

LOAD_SMOOTHING = 0.3
"""Weight of the latest load time in the mean."""

MIN_TOGETHER = 2
"""Engines of a model that may always load at once."""

FIRST_WAVE = 0.5
"""Part of a model's engines that load a named version immediately; the others may wait."""

PREFERRED_FROM_SECONDS = 1.0
"""Time after naming from which engines with a version are preferred to those with older ones."""

START_SECONDS = 2.5
"""Time in which a node that has just started still sends requests to engines with older weights."""

TAKE_BACK_SECONDS = 0.4
"""Time before the end of the propagation time at which a request that waits at an engine with older
weights is taken back. Its connection must have been closed there by then."""

DIGEST_MASK = 2**32 - 1


class WeightsBounds(msgspec.Struct, frozen=True):
    """Bounds of a rollout.

    Attributes:
        propagation_seconds: Time from naming a version until no request may start on an older one.
        reserve_seconds: Part of that time reserved for waiting requests.
        together: Part of a model's engines that may load at once.
        load_seconds: Initial estimate of the duration of one load.
    """

    propagation_seconds: float = 8.0
    reserve_seconds: float = 1.5
    together: float = 1 / 3
    load_seconds: float = 1.0


class NamedVersion(msgspec.Struct, frozen=True):
    """A version with the start of its propagation time.

    Attributes:
        version: The version.
        since: Steady clock, seconds: a time no later than the naming, as far as known.
    """

    version: int
    since: float


class NamedWeightsTable:
    """The versions that operators named, by model."""

    def __init__(self, bounds: WeightsBounds) -> None:
        """Start empty.

        Args:
            bounds: Bounds of a rollout.
        """
        self.bounds = bounds
        self.load_seconds = bounds.load_seconds
        self.load_measured = False
        self._named: dict[str, list[NamedVersion]] = {}

    def put(self, weights: NamedWeights, since: float) -> bool:
        """Add a named version; return whether it is the newest of its model.

        Args:
            weights: The version.
            since: Start of its propagation time.
        """
        versions = self._named.setdefault(weights.model, [])
        if versions and weights.version <= versions[-1].version:
            return False
        versions.append(NamedVersion(weights.version, since))
        return True

    def record_load(self, seconds: float) -> None:
        """Update the mean load time, from the order until the load is known to be done.

        A first load that takes longer than the estimate replaces it, as further loads are planned
        by it at once.
        """
        if not self.load_measured:
            self.load_measured = True
            self.load_seconds = max(self.load_seconds, seconds)
            return
        self.load_seconds += LOAD_SMOOTHING * (seconds - self.load_seconds)

    def oldest_since(self, now: float) -> float:
        """Return the start of the propagation time for a version of unknown age.

        A node that has just started gets ``START_SECONDS`` until the version is required.
        """
        bounds = self.bounds
        return now - (bounds.propagation_seconds - bounds.reserve_seconds - START_SECONDS)

    @property
    def digest(self) -> int:
        """32-bit hash, equal at nodes that know the same weights; 0 without any."""
        if not self._named:
            return 0
        named = sorted((model, versions[-1].version) for model, versions in self._named.items())
        return hash_name(repr(named)) & DIGEST_MASK

    def models(self) -> tuple[str, ...]:
        """Return the models for which weights were named."""
        return tuple(self._named)

    def newest(self, model: str) -> int:
        """Return the newest version; 0 when none was named."""
        versions = self._named.get(model)
        return versions[-1].version if versions else 0

    def newest_since(self, model: str) -> float:
        """Return the start of the newest version's propagation time."""
        return self._named[model][-1].since

    def newest_gap(self, model: str) -> float:
        """Return the time in seconds between the naming of the newest version and the previous."""
        versions = self._named[model]
        return versions[-1].since - versions[-2].since if len(versions) > 1 else math.inf

    def required(self, model: str, now: float) -> int:
        """Return the oldest version on which a request may still be sent; 0 for any."""
        bounds = self.bounds
        limit = bounds.propagation_seconds - bounds.reserve_seconds
        required = 0
        for named in self._named.get(model, ()):
            if now - named.since >= limit:
                required = named.version
        return required

    def begins_until(self, model: str, version: int) -> float:
        """Return until when a request may begin to run on a version.

        Infinite for the newest one, and for an unknown one, which is 0. Part of the propagation
        time is left for taking back a request that hasn't begun.
        """
        if not version:
            return math.inf
        newer = (n.since for n in self._named.get(model, ()) if n.version > version)
        return min(newer, default=math.inf) + self.bounds.propagation_seconds - TAKE_BACK_SECONDS

    def preferred(self, model: str, now: float) -> int:
        """Return the newest version named long enough ago to be preferred; 0 for none."""
        versions = [
            named.version
            for named in self._named.get(model, ())
            if now - named.since >= PREFERRED_FROM_SECONDS
        ]
        return max(versions, default=0)

    def first_wave(self, engines: int) -> int:
        """Return how many of a model's engines load a named version immediately.

        Engines with the oldest version go first, so consecutive versions alternate between two
        halves: one serves the previous version while the other loads the newest.
        """
        return math.ceil(engines * FIRST_WAVE)

    def together(self, engines: int) -> int:
        """Return how many of a model's engines may load at once."""
        return max(MIN_TOGETHER, int(engines * self.bounds.together))

    def due_at(self, model: str, behind: int, together: int, oldest: int) -> float:
        """Return when loading must begin so that all engines are done in time.

        Waiting until then needs only one load for versions named in quick succession.

        Args:
            model: The model.
            behind: Number of engines that don't have the newest version.
            together: Number of engines that load at once.
            oldest: Lowest version among those engines.
        """
        bounds = self.bounds
        batches = -(-behind // together)
        needed = batches * self.load_seconds + bounds.reserve_seconds
        pending = [named for named in self._named.get(model, ()) if named.version > oldest]
        if not pending:
            return float("inf")
        first = pending[0]
        return first.since + max(0.0, bounds.propagation_seconds - needed)


def _may_be_ordered(view: InstanceView, now: float) -> bool:
    """Return whether an engine may get an order now or once there is a permit for it."""
    barrier = view.admission(Purpose.ORDER, now).barrier
    return barrier is None or barrier is Barrier.LIMITED


def engines_behind(
    views: Iterable[InstanceView], model: str, version: int, now: float
) -> list[InstanceView]:
    """Return the engines with an older version: lowest version first, then the smallest loss.

    An engine that loads loses its cached prompts, and what its running requests still produce.
    Within a version, engines that don't serve come last: their orders are likely to fail, and would
    take up the places of others.
    """
    behind = [
        view
        for view in views
        if _may_be_ordered(view, now) and 0 < view.versions.get(model, 0) < version
    ]
    return sorted(
        behind, key=lambda view: (view.versions[model], not view.is_usable(now), _loss(view, now))
    )


def _loss(view: InstanceView, now: float) -> float:
    """Return what an engine loses by a load: its used slots and used cache, as fractions."""
    return view.occupancy(now) + view.segments.used_share
