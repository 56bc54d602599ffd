"""Which engines load named weights now, and until when their streams may end first.

The load that this addresses: operators name several versions within seconds while bursts run. An
engine that loads serves nothing meanwhile, loses its cache and what it was generating, so half of
the engines loading at once turns a burst into rejections. Engines load as far as the others have
capacity for the running requests; otherwise they wait until the operators' bound leaves no more
time, and then skip to the newest version.
"""

from __future__ import annotations

import math
from collections.abc import Sequence, Set

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.read_speed import READ_SECONDS_PER_TOKEN
from hopstep.domain.exchanges.weights import NamedWeightsTable, engines_behind

RUNNING_SHARE = 0.75
"""Part of the other engines' slots that the running requests may take while engines load."""

SUCCESSION_SECONDS = 1.0
"""Time in which versions named one after another are expected to be followed by a further one."""

TRIAL_LOADS = 1
"""Engines that load without regard to capacity until the duration of a load is known: a load that
waits until it is due would be late if loads took longer than estimated."""

SETTLE_SECONDS = 0.15
"""Time after which no node sends further requests to an engine that is about to be ordered."""

START_SECONDS = 0.1
"""Longest time from the end of a load until the next one starts in its place."""

MAX_OBJECTIVE_SECONDS = 60.0
"""Longest objective by which pending prompts count."""

DRAIN_SECONDS = 0.6
"""Longest time for which an order waits for the engine's streams to end."""


class LoadStart(msgspec.Struct, frozen=True):
    """An engine that is to load the newest weights now.

    Attributes:
        view: The engine.
        order_by: Steady clock, seconds: when the order is sent even if streams haven't ended.
    """

    view: InstanceView
    order_by: float


class LoadPlan(msgspec.Struct, frozen=True):
    """What to start for a model.

    Attributes:
        starts: Engines that are to load now.
        waiting: Engines whose load waits for capacity of the others or for a further version.
        due_at: Steady clock, seconds: when loads start without regard to capacity.
    """

    starts: tuple[LoadStart, ...] = ()
    waiting: int = 0
    due_at: float = math.inf


class _DueTimes(msgspec.Struct, frozen=True):
    start_by: float = math.inf
    order_by: float = math.inf


class SpareCapacity:
    """What the engines that don't load can take: requests in slots, and prompt tokens.

    It covers the requests and the pending prompts of all engines, also of those that load.
    """

    def __init__(
        self,
        engines: Sequence[InstanceView],
        serving: Sequence[InstanceView],
        objective_seconds: float,
        now: float,
    ) -> None:
        """Count the load and the capacity of engines.

        Args:
            engines: All engines of the model.
            serving: Those that serve requests now.
            objective_seconds: Target time to the first token; infinite for none.
            now: Steady clock, seconds.
        """
        self._objective_seconds = min(objective_seconds, MAX_OBJECTIVE_SECONDS)
        self._serving = {view.incarnation for view in serving}
        self._slots = sum(self._slots_of(view) for view in serving)
        self._tokens = sum(self._tokens_of(view) for view in serving)
        self._running = sum(view.total_active(now) for view in engines)
        self._pending = sum(view.total_pending_tokens(now) for view in engines)

    def take(self, view: InstanceView) -> None:
        """Count an engine as loading."""
        if view.incarnation not in self._serving:
            return
        self._serving.remove(view.incarnation)
        self._slots -= self._slots_of(view)
        self._tokens -= self._tokens_of(view)

    def can_spare(self, view: InstanceView) -> bool:
        """Return whether the other engines have capacity for everything without this one."""
        if view.incarnation not in self._serving:
            return True
        slots = self._slots - self._slots_of(view)
        tokens = self._tokens - self._tokens_of(view)
        return self._running <= slots * RUNNING_SHARE and self._pending <= tokens

    def _slots_of(self, view: InstanceView) -> int:
        """Return an engine's slots."""
        return max(1, view.instance.slots)

    def _tokens_of(self, view: InstanceView) -> float:
        """Return the prompt tokens that an engine prefills within the objective."""
        return self._objective_seconds / (READ_SECONDS_PER_TOKEN * view.slowness)


class RolloutState(msgspec.Struct, frozen=True):
    """What the holder of the rollout lease knows when it plans loads of a model.

    Attributes:
        table: The named versions and their bounds.
        model: The model.
        engines: Trusted engines of the model.
        occupied: Incarnations whose load was started and hasn't ended, of any model.
        resting: Incarnations whose load has just ended or failed, which aren't ordered for now.
        objective_seconds: Target time to the first token; infinite for none.
        now: Steady clock, seconds.
    """

    table: NamedWeightsTable
    model: str
    engines: Sequence[InstanceView]
    occupied: Set[str]
    resting: Set[str]
    objective_seconds: float
    now: float

    @property
    def together(self) -> int:
        """Number of engines that may load at once."""
        return self.table.together(len(self.engines))

    @property
    def free(self) -> int:
        """Number of further engines that may start to load."""
        return max(0, self.together - len(self.occupied))

    def behind(self) -> list[InstanceView]:
        """Return the engines with an older version, in the order in which they load."""
        newest = self.table.newest(self.model)
        return engines_behind(self.engines, self.model, newest, self.now)

    def spare_capacity(self) -> SpareCapacity:
        """Return the capacity of the engines that serve requests now."""
        required = self.table.required(self.model, self.now)
        serving = [
            view
            for view in self.engines
            if view.incarnation not in self.occupied
            and view.is_usable(self.now)
            and view.serving_version(self.model) >= required
        ]
        return SpareCapacity(self.engines, serving, self.objective_seconds, self.now)

    def expects_newer_version(self, *, short: bool) -> bool:
        """Return whether a further version is to be expected, so that a first wave waits for it.

        Args:
            short: Whether engines lack capacity, so that each load costs answers.
        """
        if self.now - self.table.newest_since(self.model) >= SUCCESSION_SECONDS:
            return False
        return short or self.table.newest_gap(self.model) < SUCCESSION_SECONDS


def plan_loads(state: RolloutState) -> LoadPlan:
    """Return which engines load a model's newest weights now."""
    behind = state.behind()
    if not behind:
        return LoadPlan()
    due = _due_times(state, behind)
    unavailable = state.occupied | state.resting
    idle = [view for view in behind if view.incarnation not in unavailable]
    forced = [view for view in idle if due[view.versions[state.model]].start_by <= state.now]
    forced = forced[: state.free]
    wave = _first_wave(state, behind, idle, forced)
    chosen, waiting = _start_of_wave(state, wave, forced)
    starts = [
        LoadStart(view, due[view.versions[state.model]].order_by) for view in (*forced, *chosen)
    ]
    return LoadPlan(tuple(starts), waiting, min(times.start_by for times in due.values()))


def _first_wave(
    state: RolloutState,
    behind: Sequence[InstanceView],
    idle: Sequence[InstanceView],
    forced: Sequence[InstanceView],
) -> list[InstanceView]:
    """Return the engines that load before they are due, if the others have capacity."""
    have_newest = len(state.engines) - len(behind)
    loading = sum(view.incarnation in state.occupied for view in behind)
    wave = state.table.first_wave(len(state.engines)) - have_newest - loading - len(forced)
    taken = {view.incarnation for view in forced}
    return [view for view in idle if view.incarnation not in taken][: max(0, wave)]


def _start_of_wave(
    state: RolloutState, wave: Sequence[InstanceView], forced: Sequence[InstanceView]
) -> tuple[list[InstanceView], int]:
    """Return the engines of a first wave that start now, and how many wait.

    Args:
        state: What is known.
        wave: Engines of the wave.
        forced: Engines that start now because they are due.
    """
    spare = state.spare_capacity()
    for view in forced:
        spare.take(view)
    chosen = []
    for view in wave[: state.free - len(forced)]:
        if spare.can_spare(view):
            spare.take(view)
            chosen.append(view)
    waiting = min(len(wave), state.free - len(forced)) - len(chosen)
    if state.expects_newer_version(short=waiting > 0):
        return [], len(wave)
    if not (state.table.load_measured or state.occupied or forced or chosen):
        chosen = list(wave[:TRIAL_LOADS])
        waiting -= len(chosen)
    return chosen, max(0, waiting)


def _due_times(state: RolloutState, behind: Sequence[InstanceView]) -> dict[int, _DueTimes]:
    """Return when engines must start to load, by their version.

    Each version has a bound of its own, and engines with older versions load first: the time
    for a version covers the loads of all engines with this or an older one. Loads start earlier by
    the time in which streams may end first, and by the time between two loads.

    Args:
        state: What is known.
        behind: Engines with an older version than the newest.
    """
    versions = [view.versions[state.model] for view in behind]
    busy = any(view.total_active(state.now) for view in behind)
    further_seconds = START_SECONDS + (DRAIN_SECONDS - SETTLE_SECONDS if busy else 0.0)
    due: dict[int, _DueTimes] = {}
    times = _DueTimes()
    for version in sorted(set(versions), reverse=True):
        count = sum(other <= version for other in versions)
        order_by = state.table.due_at(state.model, count, state.together, version)
        batches = -(-count // state.together)
        start_by = order_by - batches * further_seconds
        times = _DueTimes(min(times.start_by, start_by), min(times.order_by, order_by))
        due[version] = times
    return due
