"""Measures the cost of storing, encoding and changing the configuration by its size."""

from __future__ import annotations

import msgspec

from emulator.capacity import samples
from emulator.capacity.slopes import Slope, bytes_held, fit, seconds_per_call
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.encoding import decode_snapshot, encode
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.configuration.log import Change, Edit, Section, apply_change
from hopstep.domain.placement import place_engines

SIZES = (250, 500, 1_000, 2_000)


def tenant_memory() -> Slope:
    """Measure the memory of a configuration by number of tenants."""
    return fit("held configuration", "tenant", "byte", SIZES, lambda size: _memory_bytes(size, 0))


def engine_memory() -> Slope:
    """Measure the memory of a configuration by number of engines."""
    return fit("held configuration", "engine", "byte", SIZES, lambda size: _memory_bytes(0, size))


def tenant_bytes() -> Slope:
    """Measure the bytes of a snapshot by number of tenants."""
    return fit("snapshot", "tenant", "byte", SIZES, lambda size: _snapshot_bytes(size, 0))


def engine_bytes() -> Slope:
    """Measure the bytes of a snapshot by number of engines."""
    return fit("snapshot", "engine", "byte", SIZES, lambda size: _snapshot_bytes(0, size))


def snapshot_decoding() -> Slope:
    """Measure the time to decode a snapshot by number of engines (a quarter as many tenants)."""
    return fit("snapshot decoding", "engine", "second", SIZES, _decoding_seconds)


def change_application() -> Slope:
    """Measure the time to apply one change by number of engines (a quarter as many tenants)."""
    return fit("change application", "engine", "second", SIZES, _application_seconds)


def change_bytes() -> float:
    """Return the encoded bytes of a change to one tenant."""
    return float(len(encode(_change(1))))


def placement() -> Slope:
    """Measure the time to place a request by number of engines in the configuration."""
    return fit("placement by the plain rules", "engine", "second", SIZES, _placement_seconds)


def index_building() -> Slope:
    """Measure the time to index a configuration by engines (a quarter as many tenants)."""
    return fit("configuration index", "engine", "second", SIZES, _index_seconds)


def indexed_placement() -> Slope:
    """Measure the time of a cached placement by number of engines in the configuration."""
    return fit("placement by the index", "engine", "second", SIZES, _indexed_seconds)


def _memory_bytes(tenants: int, engines: int) -> float:
    """Return the memory in bytes of a configuration as a router decodes it."""
    data = encode(samples.accepted(tenants, engines))
    return bytes_held(lambda: decode_snapshot(data))


def _snapshot_bytes(tenants: int, engines: int) -> float:
    return float(len(encode(samples.accepted(tenants, engines))))


def _decoding_seconds(engines: int) -> float:
    data = encode(samples.accepted(engines // 4, engines))
    return seconds_per_call(lambda: decode_snapshot(data))


def _application_seconds(engines: int) -> float:
    accepted = samples.accepted(engines // 4, engines)
    change = _change(accepted.revision)
    return seconds_per_call(lambda: apply_change(accepted, change))


def _placement_seconds(engines: int) -> float:
    accepted = _one_model(samples.accepted(1, engines))
    request = samples.request(1)
    return seconds_per_call(
        lambda: place_engines(
            accepted.configuration, request.tenant, request.request_class, request.model
        )
    )


def _index_seconds(engines: int) -> float:
    configuration = samples.accepted(engines // 4, engines).configuration
    return seconds_per_call(lambda: ConfigurationIndex(configuration))


def _indexed_seconds(engines: int) -> float:
    index = ConfigurationIndex(_one_model(samples.accepted(1, engines)).configuration)
    request = samples.request(1)
    return seconds_per_call(
        lambda: index.engines(request.tenant, request.request_class, request.model)
    )


def _one_model(accepted: AcceptedConfiguration) -> AcceptedConfiguration:
    """Return the configuration with every engine serving the first model."""
    name = samples.model().name
    back_ends = tuple(
        msgspec.structs.replace(back_end, models=(name,))
        for back_end in accepted.configuration.back_ends
    )
    configuration = msgspec.structs.replace(accepted.configuration, back_ends=back_ends)
    return AcceptedConfiguration(accepted.revision, configuration)


def _change(base_revision: int) -> Change:
    """Return a change that replaces one tenant."""
    edited = msgspec.structs.replace(samples.tenant(0), weight=2.0)
    edit = Edit(Section.TENANTS, edited.name, edited)
    return Change("9f1c2d3e4a5b6c7d", "operator", "raise a weight", base_revision, (edit,))
