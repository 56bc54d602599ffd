"""Headers and fields that the adapters read, and those that they ignore on purpose.

One on neither list is reported to a listener, so that operators notice new ones at once.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Iterator, Mapping, Set
from typing import Any

import msgspec

from hopstep.decoding import decode_json
from hopstep.platform import names
from hopstep.platform.rejections import DECODING_ERRORS
from hopstep.ports.unrecognized_values import (
    UnrecognizedValue,
    UnrecognizedValueListener,
    ValueLocation,
)

READ_HEADERS = frozenset(
    {
        names.REQUEST_ID,
        names.SIGNATURE,
        names.NOT_EXECUTED,
        names.INSTANCE_ID,
        names.RETRY_AFTER,
        names.LEAVING,
        names.LIMIT,
        names.DATE,
        names.VERSIONS,
    }
)
"""Response headers of instances and cache stores that are read."""

UNREAD_HEADERS: Mapping[bytes, str] = {
    b"content-type": "of the body, which is forwarded unchanged",
    b"content-encoding": "of the body, which is forwarded unchanged",
    b"content-language": "of the body, which is forwarded unchanged",
    b"cache-control": "for the client",
    b"vary": "for the client",
    b"etag": "for the client",
    b"last-modified": "for the client",
    b"expires": "for the client",
    b"location": "for the client",
    b"set-cookie": "for the client",
    b"server": "names a program, not its state",
}
"""Headers that are forwarded or dropped without being read, with the reason. Hop-by-hop headers
(``names.PER_CONNECTION``) are left to the HTTP library."""

UNREAD_STORE_HEADERS: Mapping[bytes, str] = {
    b"content-type": "always JSON",
    b"date": "clocks of two machines differ",
    b"server": "names a program, not its state",
    names.RETRY_AFTER: "the store's documentation gives it no meaning; callers back off anyway",
}
"""Headers of the store's responses that aren't read, with the reason."""

READ_STORE_HEADERS = frozenset({names.STORE_ERA})
"""Headers of the store's responses that are read."""

KNOWN_HEADERS: Mapping[ValueLocation, Set[bytes]] = {
    ValueLocation.ANSWER_HEAD: READ_HEADERS | UNREAD_HEADERS.keys() | names.PER_CONNECTION,
    ValueLocation.STORE_HEAD: READ_STORE_HEADERS
    | UNREAD_STORE_HEADERS.keys()
    | names.PER_CONNECTION,
}

NOT_USED = "hopstep doesn't use the feature"
KNOWN_OTHERWISE = "known from the node's own requests and the responses to them"
HEALTH_BY_REQUESTS = "an instance's health shows in its responses"

UNREAD_FIELDS: Mapping[ValueLocation, Mapping[str, str]] = {
    ValueLocation.CONFIGURATION: {
        "routes.stickySessions": "prompts are routed by cached segments instead",
        "routes.targetGapMs": "events are forwarded as they arrive",
        "services.healthCheckPath": HEALTH_BY_REQUESTS,
        "services.protocol": "instances speak HTTP/1.1",
        "services.tlsEnabled": "instances speak plain HTTP",
        "services.maxConcurrent": "one node reads the events of each engine",
        "services.engine.maxConcurrent": "one node reads the events of each engine",
        "services.engine.backups": NOT_USED,
        "services.engine.migrations": NOT_USED,
        "services.engine.stride": NOT_USED,
        "services.engine.pinDurationMs": NOT_USED,
        "services.engine.holdMs": NOT_USED,
        "services.engine.handle_s": NOT_USED,
        "limits.headerTimeoutMs": "the HTTP library has its own limit",
        "limits.idleTimeoutMs": "the HTTP library has its own limit",
    },
    ValueLocation.ENTRY: {"models.adapters": "no route names an adapter"},
    ValueLocation.REPORT: {
        "stage": "all engines both prefill and decode",
        "models.adapters": "no route names an adapter",
        "queuedRequests": KNOWN_OTHERWISE,
        "activeRequests": KNOWN_OTHERWISE,
        "kvUsed": KNOWN_OTHERWISE,
        "kvTotal": KNOWN_OTHERWISE,
        "handledPrefixes": NOT_USED,
        "pinned": NOT_USED,
        "held": NOT_USED,
    },
    ValueLocation.STORE_ANSWER: {
        "atRevision": "of a single item, whose own revision is used",
        "items.createdRevision": NOT_USED,
        "items.leaseId": NOT_USED,
        "events.createdRevision": NOT_USED,
        "events.leaseId": NOT_USED,
        "createdRevision": NOT_USED,
        "leaseId": NOT_USED,
        "ttlMs": "the lease lasts for the requested time or longer",
    },
}
"""Fields that aren't read, with the reason."""


class UnrecognizedValueReporter:
    """Reports unrecognized headers and fields to a listener."""

    def __init__(self, listener: UnrecognizedValueListener) -> None:
        """Use a listener.

        Args:
            listener: Called for each unrecognized value, also for repeated ones.
        """
        self._listener = listener

    def report(self, location: ValueLocation, name: str, source: str) -> None:
        """Report a part of a document that isn't a field of its own.

        Args:
            location: Kind of the document.
            name: What it is.
            source: Address or key that it came from.
        """
        self._listener(UnrecognizedValue(location, name, source))

    def report_headers(
        self,
        location: ValueLocation,
        source: str,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Report the unrecognized headers of a response."""
        known = KNOWN_HEADERS[location]
        for name, _value in headers:
            if name.lower() not in known:
                text = name.lower().decode(names.HEADER_ENCODING)
                self._listener(UnrecognizedValue(location, text, source, status))

    def report_fields(
        self, location: ValueLocation, source: str, value: bytes, shape: type[msgspec.Struct]
    ) -> None:
        """Report the unrecognized fields of a document that was read.

        Args:
            location: Kind of the document.
            source: Address or key that it came from.
            value: Its JSON.
            shape: Type that it was decoded as.
        """
        unread = UNREAD_FIELDS.get(location, {})
        try:
            document = decode_json(value, Any)
        except DECODING_ERRORS:
            # Unrecognized parts may be nested too deeply for a decoder without a type.
            return
        for path in unknown_fields(document, shape):
            if path not in unread:
                self._listener(UnrecognizedValue(location, path, source))


class _Shape(msgspec.Struct):
    """Known structure of a part of a document.

    Attributes:
        fields: Structure of its fields by name; None unless it is an object.
        items: Structure of each item; None unless it is a list.
    """

    fields: dict[str, _Shape] | None = None
    items: _Shape | None = None


def unknown_fields(document: Any, shape: type[msgspec.Struct]) -> set[str]:
    """Return the paths of the fields that a type doesn't have, without list indexes."""
    return set(_unknown(document, _shape_of(shape), ""))


def _unknown(value: Any, shape: _Shape, path: str) -> Iterator[str]:
    """Yield the paths of the unknown fields within a value."""
    if isinstance(value, list) and shape.items is not None:
        for item in value:
            yield from _unknown(item, shape.items, path)
    if not isinstance(value, dict) or shape.fields is None:
        return
    for name, part in value.items():
        known = shape.fields.get(name)
        if known is None:
            yield path + name
        else:
            yield from _unknown(part, known, f"{path}{name}.")


@functools.cache
def _shape_of(struct: type[msgspec.Struct]) -> _Shape:
    """Return the known structure of a type."""
    return _read_shape(msgspec.inspect.type_info(struct))


def _read_shape(known: msgspec.inspect.Type) -> _Shape:
    """Return the known structure of a part of a type."""
    if isinstance(known, msgspec.inspect.StructType):
        if known.array_like:
            return _Shape()
        fields = {field.encode_name: _read_shape(field.type) for field in known.fields}
        return _Shape(fields=fields)
    if isinstance(known, msgspec.inspect.ListType | msgspec.inspect.VarTupleType):
        return _Shape(items=_read_shape(known.item_type))
    if isinstance(known, msgspec.inspect.UnionType):
        members = [_read_shape(member) for member in known.types]
        return next((shape for shape in members if shape.fields or shape.items), _Shape())
    return _Shape()
