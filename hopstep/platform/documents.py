"""Documents that operators and instances write, and their conversion to hopstep's types."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

from hopstep.decoding import decode_json
from hopstep.domain.addresses import parse_address
from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.serving import (
    CacheStore,
    EngineTraits,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    ServiceShare,
    ServingConfiguration,
    Tenant,
)
from hopstep.domain.limits.quota_ledger import TenantQuota
from hopstep.exceptions import ValidationError
from hopstep.platform import names
from hopstep.platform.rejections import MAX_DETAIL, FieldValueError

MILLISECONDS = 1_000.0
MIN_EVENT_PATIENCE_MS = 2_000.0
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8
"""Clients give a stream up after the longest of ``MIN_EVENT_PATIENCE_MS``, this many objectives or
this many longest pauses without an event."""

MAX_SLOTS = 65_536
"""Upper bound of an entry's ``slots``: a thousand times the slots of the largest engines."""

MAX_ENTRY_BYTES = 64 * 1024
"""Longest entry: ``MAX_MODELS`` models of 200 characters and the other fields. An entry of the
store's longest value takes the loop for tens of milliseconds to decode."""

MAX_MODELS = 256
"""Most models in one entry: engines serve a few each."""

MAX_NUMBER = 2**53
"""Largest integer that every JSON parser represents exactly."""

INSTANCE_ID = re.compile(r"[!-~]{1,200}")
"""Ids are sent in a header, and keys have at most 200 bytes."""

_Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""Larger integers raise errors where they are converted to floating-point numbers."""

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_UnixMilliseconds = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

KINDS = {
    names.KIND_SAFE: RequestKind.REPEATABLE,
    names.KIND_UNSAFE: RequestKind.AT_MOST_ONCE,
    names.KIND_STREAMING: RequestKind.STREAM,
}


class _Share(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    kind: str = names.KIND_UNSAFE
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    target_gap_ms: float = 0.0
    priority: _Integer = 5
    service: str = ""
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: _Integer = 1
    public_access: bool = False
    resumable: bool = False

    def read(self) -> Route:
        """Return the route."""
        shares = [ServiceShare(share.service, share.weight) for share in self.traffic_split]
        if not shares and self.service:
            shares = [ServiceShare(self.service)]
        return Route(
            name=self.name,
            host=self.hostname.lower(),
            path_prefix=self.path_prefix,
            kind=KINDS.get(self.kind, RequestKind.AT_MOST_ONCE),
            timeout_seconds=self.timeout_ms / MILLISECONDS,
            objective_seconds=self.target_latency_ms / MILLISECONDS,
            priority=self.priority,
            shares=tuple(shares),
            max_attempts=self.max_attempts,
            public=self.public_access,
            resumable=self.resumable,
            event_patience_seconds=self._event_patience_seconds(),
        )

    def _event_patience_seconds(self) -> float:
        """Return the time without an event after which clients give a stream up."""
        if self.kind != names.KIND_STREAMING:
            return 0.0
        patience_ms = max(
            MIN_EVENT_PATIENCE_MS,
            PATIENCE_OBJECTIVES * self.target_latency_ms,
            PATIENCE_GAPS * self.target_gap_ms,
        )
        return patience_ms / MILLISECONDS


class _Model(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    version: _Integer = 0


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slots: _Integer = 1
    kv_capacity_tokens: _Integer = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    models: tuple[_Model, ...] = ()

    def read(self) -> EngineTraits:
        """Return the traits."""
        return EngineTraits(
            slots=self.slots,
            cache_tokens=self.kv_capacity_tokens,
            token_bytes=self.kv_token_bytes,
            link_megabits=self.link_mbps,
            models=tuple(model.name for model in self.models),
        )


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    connection_limit: _Integer = 100
    engine: _Engine | None = None
    kv_store_address: str = ""
    zone: str = ""
    kv_capacity_tokens: _Integer = 0
    link_mbps: float = 0.0

    def read(self) -> Service:
        """Return the service."""
        store = None
        if self.kv_store_address:
            store = CacheStore(
                self.kv_store_address, self.zone, self.kv_capacity_tokens, self.link_mbps
            )
        engine = self.engine.read() if self.engine is not None else None
        return Service(self.name, self.connection_limit, engine, store)


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_body_bytes: _Integer = RequestLimits().max_body_bytes
    max_header_bytes: _Integer = RequestLimits().max_head_bytes


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: _Integer | None = None
    isolated: bool = False
    rate_per_s: _Amount = 0.0
    burst_size: _Amount = 0.0
    unit: str = names.UNIT_REQUESTS
    uncached_tokens: _Count = 0

    def read(self) -> Tenant:
        """Return the tenant; a rate of 0 means no quota."""
        quota = TenantQuota(
            per_second=self.rate_per_s,
            burst=self.burst_size,
            in_tokens=self.unit == names.UNIT_TOKENS,
            plain_tokens=self.uncached_tokens,
        )
        return Tenant(
            self.name,
            tuple(self.api_keys),
            self.priority,
            self.isolated,
            quota if self.rate_per_s else None,
        )


class ConfigurationDocument(msgspec.Struct, frozen=True, rename="camel"):
    """The operators' configuration as it is written."""

    version: _Integer
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _ListedModel(msgspec.Struct, frozen=True, rename="camel"):
    name: _Text
    version: _Count


class EntryDocument(msgspec.Struct, frozen=True, rename="camel"):
    """An instance's entry; every instance writes the fields that have no default."""

    service: _Text
    address: str
    zone: _Text
    version: Annotated[str, msgspec.Meta(max_length=200)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: _Milliseconds
    call_sequence: _Count
    stage: str = ""
    models: Annotated[tuple[_ListedModel, ...], msgspec.Meta(max_length=MAX_MODELS)] = ()
    born: _UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET


class WeightsDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Named weights as they are written."""

    model: _Text
    version: _Count


def read_configuration(value: bytes) -> ServingConfiguration:
    """Return the operators' configuration.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    document = decode_json(value, ConfigurationDocument)
    return ServingConfiguration(
        version=document.version,
        routes=tuple(route.read() for route in document.routes),
        services=tuple(service.read() for service in document.services),
        tenants=tuple(tenant.read() for tenant in document.tenants),
        limits=RequestLimits(document.limits.max_body_bytes, document.limits.max_header_bytes),
    )


def read_instance(instance_id: str, value: bytes) -> Instance:
    """Return an instance's entry, which isn't trusted: any client may have written it.

    Raises:
        Exception: One of ``rejections.DECODING_ERRORS``.
    """
    if not INSTANCE_ID.fullmatch(instance_id):
        raise FieldValueError("", "expected an id of visible ASCII characters")
    if len(value) > MAX_ENTRY_BYTES:
        raise msgspec.DecodeError(f"expected at most {MAX_ENTRY_BYTES} bytes, got {len(value)}")
    entry = decode_json(value, EntryDocument)
    return Instance(
        instance_id=instance_id,
        service=entry.service,
        address=_read_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        draining=entry.state == names.DRAINING,
        versions={model.name: model.version for model in entry.models},
        order_sequence=entry.call_sequence,
        born_ms=0 if entry.born is msgspec.UNSET else entry.born,
        software_version=entry.version,
    )


def _read_address(text: str) -> str:
    """Return an address of an IP address and a port above 0."""
    try:
        address = parse_address(text)
    except ValidationError as error:
        raise FieldValueError("address", error.message[:MAX_DETAIL]) from error
    if not address.port:
        raise FieldValueError("address", "expected a port above 0")
    return str(address)


def read_weights(value: bytes) -> NamedWeights:
    """Return named weights.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    document = decode_json(value, WeightsDocument)
    return NamedWeights(document.model, document.version)
