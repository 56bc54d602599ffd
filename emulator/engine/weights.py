"""Weights of an emulated engine: fenced orders, draining before a load, loading time."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

LoadTime = Callable[[float], float]
"""Returns the duration of a load begun at a given time, in seconds; infinity if not known yet."""


class _Load(msgspec.Struct):
    """A load of weights, begun once running requests of the model have ended."""

    version: str
    begun: bool = False
    ready_at: float = float("inf")


class WeightsTable:
    """Loaded versions by model, and loads in progress."""

    def __init__(self, loaded: dict[str, str], load_time: LoadTime) -> None:
        """Start with ``loaded`` versions by model."""
        self.loaded = dict(loaded)
        self._load_time = load_time
        self._loads: dict[str, _Load] = {}

    @property
    def busy(self) -> bool:
        """Whether any load is in progress or waiting."""
        return bool(self._loads)

    def loading(self, model: str) -> bool:
        """Return whether a load of ``model`` is in progress or waiting."""
        return model in self._loads

    def request(self, weights: dict[str, str]) -> list[str]:
        """Request versions by model; return the models whose weights must change."""
        changed = []
        for model, version in weights.items():
            load = self._loads.get(model)
            target = load.version if load else self.loaded.get(model)
            if version == target:
                continue
            self._loads[model] = _Load(version)
            self.loaded.pop(model, None)
            changed.append(model)
        return changed

    def waiting_models(self) -> list[str]:
        """Return models whose load waits for their running requests to end."""
        return [model for model, load in self._loads.items() if not load.begun]

    def begin(self, model: str, now: float) -> None:
        """Begin the load of a model without running requests."""
        load = self._loads[model]
        load.begun = True
        load.ready_at = now + self._load_time(now)

    def loads_without_end(self) -> dict[str, str]:
        """Return versions by model of loads that have begun and whose end isn't known yet."""
        return {
            model: load.version
            for model, load in self._loads.items()
            if load.begun and load.ready_at == float("inf")
        }

    def set_ready_time(self, model: str, version: str, ready_at: float) -> None:
        """Set when a load ends; ignored when another order has replaced it."""
        load = self._loads.get(model)
        if load is not None and load.begun and load.version == version:
            load.ready_at = ready_at

    def complete(self, now: float) -> None:
        """Complete every load that is ready by ``now``."""
        for model, load in list(self._loads.items()):
            if load.ready_at <= now:
                del self._loads[model]
                self.loaded[model] = load.version

    def next_ready_time(self) -> float:
        """Return when the next load is ready; infinite for none."""
        return min((load.ready_at for load in self._loads.values()), default=float("inf"))

    def shift(self, seconds: float) -> None:
        """Delay loads in progress by ``seconds``, after a freeze."""
        for load in self._loads.values():
            load.ready_at += seconds
