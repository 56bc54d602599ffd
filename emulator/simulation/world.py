"""Surroundings of the routers of a simulation: engines, platform, network, time."""

from __future__ import annotations

import random

import trio

from emulator.engine.config import EngineConfig
from emulator.engine.in_process import InProcessEngines
from emulator.engine.model import EngineModel
from emulator.engine.records import RunRecord
from emulator.kv_cache_store.model import KvCacheStoreModel
from emulator.link_faults import LinkFaults
from emulator.network import FaultyNetwork
from emulator.platform.machine_list import MachineListModel
from emulator.platform.shared_store import SharedStore
from emulator.platform.store_model import KeyValueStoreModel
from emulator.simulation.history import Accepted, History
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEndKind, Configuration
from hopstep.domain.configuration.encoding import decode_change
from hopstep.domain.configuration.log import (
    AcceptedChange,
    ConfigurationTransfer,
    apply_transfer,
    empty_configuration,
)
from hopstep.ports.machine_list import Machine, MachineState
from hopstep.services.configuration.store import CHANGES_PREFIX

EPOCH_SECONDS = 1_700_000_000.0
"""Unix time at which simulations begin."""

IDLE_TIMEOUT_SECONDS = 2.0
"""Time without a byte after which calls treat an engine as frozen."""

HISTORY_LENGTH = 100_000

KV_CACHE_BLOCKS = 100_000
"""Blocks that each KV cache store holds."""

RunsByNonce = dict[str, list[tuple[str, RunRecord]]]
"""Engine address and record of each run, by nonce."""


class RecordingStoreModel(KeyValueStoreModel):
    """Store model that records every accepted revision at the time of its acceptance.

    A revision that is written again unchanged after a restore isn't recorded a second time.
    """

    def __init__(self, history: History) -> None:
        """Start empty."""
        super().__init__(HISTORY_LENGTH)
        self._accepted = history.accepted
        self._sequence: dict[int, AcceptedConfiguration] = {0: empty_configuration()}

    def apply(self, operation: wire.StoreOperation, now: float) -> object:
        """Execute an operation, and record an accepted revision."""
        result = super().apply(operation, now)
        if isinstance(operation, wire.CompareAndSwap) and operation.value:
            self._note(operation.key, operation.value, now)
        return result

    def _note(self, key: str, value: bytes, now: float) -> None:
        if not key.startswith(CHANGES_PREFIX):
            return
        revision = int(key.removeprefix(CHANGES_PREFIX))
        change = AcceptedChange(revision, decode_change(value))
        transfer = ConfigurationTransfer(changes=(change,))
        after = apply_transfer(self._sequence[revision - 1], transfer)
        self._sequence[revision] = after
        if all(item.accepted != after for item in self._accepted):
            self._accepted.append(Accepted(now, after))


class World:
    """Engines, platform and network that the routers of one simulation share."""

    def __init__(
        self,
        seed: int,
        history: History,
        deployment: Configuration,
        engine_config: EngineConfig,
    ) -> None:
        """Start everything except the routers. Must be called inside the event loop.

        Args:
            seed: Seed of all random choices.
            history: Records the simulation.
            deployment: First configuration; its engines and KV cache stores are started.
            engine_config: Sizes and speeds of every engine.
        """
        self.generator = random.Random(seed)
        self.history = history
        self.links = LinkFaults(random.Random(self.generator.getrandbits(64)))
        self.network = FaultyNetwork(self.links)
        self.store = SharedStore()
        self.store.model = RecordingStoreModel(self.history)
        self.engines = InProcessEngines(idle_timeout_seconds=IDLE_TIMEOUT_SECONDS)
        weights = {model.name: model.weights_version for model in deployment.models}
        self.engine_addresses: list[str] = []
        for back_end in deployment.back_ends:
            if back_end.kind is BackEndKind.ENGINE:
                model = EngineModel(engine_config, weights, name=back_end.name)
                self.engines.add_engine(back_end.address, model)
                self.engine_addresses.append(back_end.address)
            elif back_end.kind is BackEndKind.KV_CACHE_STORE:
                store = KvCacheStoreModel(KV_CACHE_BLOCKS)
                self.engines.add_kv_cache_store(back_end.address, store)
        self.machine_list = MachineListModel(self._machines(frozenset()))
        self.flapping: set[str] = set()

    def wall_clock(self) -> float:
        """Return the Unix time of the simulation."""
        return EPOCH_SECONDS + trio.current_time()

    def show_leaving(self, addresses: frozenset[str]) -> None:
        """Show these engines as leaving in the machine list, and all others as live."""
        self.machine_list.replace(self._machines(addresses), trio.current_time())

    def runs(self) -> RunsByNonce:
        """Return the runs at all engines by nonce."""
        runs: RunsByNonce = {}
        for address in self.engine_addresses:
            for record in self.engines.model(address).runs(trio.current_time()):
                runs.setdefault(record.nonce, []).append((address, record))
        return runs

    def latest(self) -> AcceptedConfiguration:
        """Return the latest accepted configuration."""
        return self.history.accepted[-1].accepted

    def _machines(self, leaving: frozenset[str]) -> tuple[Machine, ...]:
        """Return an edition of the machine list."""
        return tuple(
            Machine(address, MachineState.LEAVING if address in leaving else MachineState.LIVE)
            for address in self.engine_addresses
        )
