"""What the adapters read of what others say, and what they leave unread on purpose.

A word on neither list is told to whoever listens, so that operators see a new one on its first day.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Iterator, Mapping, Set
from typing import Any

import msgspec

from hopstep.platform import names
from hopstep.platform.rejections import FAULTS
from hopstep.ports.unknown_words import UnknownWord, UnknownWordListener, WordPlace

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
"""Headers of answers that decide something here."""

UNREAD_HEADERS: Mapping[bytes, str] = {
    b"content-type": "of the body, which is passed on as it is",
    b"content-encoding": "of the body, which is passed on as it is",
    b"content-language": "of the body, which is passed on as it is",
    b"cache-control": "for the client",
    b"vary": "for the client",
    b"etag": "for the client",
    b"last-modified": "for the client",
    b"expires": "for the client",
    b"location": "for the client",
    b"set-cookie": "for the client",
    b"server": "names a program, and says nothing of its state",
}
"""Headers that are passed on or dropped without being read, with the reason. Those that concern one
connection (``names.PER_CONNECTION``) belong to the HTTP library."""

UNREAD_STORE_HEADERS: Mapping[bytes, str] = {
    b"content-type": "always JSON",
    b"date": "clocks of two machines differ",
    b"server": "names a program, and says nothing of its state",
    names.RETRY_AFTER: "the store's pages give it no meaning; callers back off by themselves",
}
"""The same for answers of the store."""

READ_STORE_HEADERS = frozenset({names.STORE_ERA})
"""Headers of the store's answers that are read."""

KNOWN_HEADERS: Mapping[WordPlace, Set[bytes]] = {
    WordPlace.ANSWER_HEAD: READ_HEADERS | UNREAD_HEADERS.keys() | names.PER_CONNECTION,
    WordPlace.STORE_HEAD: READ_STORE_HEADERS | UNREAD_STORE_HEADERS.keys() | names.PER_CONNECTION,
}

NOT_USED = "what it is for isn't used here"
SEEN_OTHERWISE = "known from what this node sends and hears itself"
BY_REQUESTS = "an instance's health shows in its answers"

UNREAD_FIELDS: Mapping[WordPlace, Mapping[str, str]] = {
    WordPlace.CONFIGURATION: {
        "routes.stickySessions": "prompts meet where their segments are kept",
        "routes.targetGapMs": "events are passed on as they come",
        "services.healthCheckPath": BY_REQUESTS,
        "services.protocol": "instances speak HTTP/1.1",
        "services.tlsEnabled": "instances speak plain HTTP",
        "services.maxConcurrent": "readers of events are shared out among nodes, one an engine",
        "services.engine.maxConcurrent": "as above",
        "services.engine.backups": NOT_USED,
        "services.engine.migrations": NOT_USED,
        "services.engine.stride": NOT_USED,
        "services.engine.pinDurationMs": NOT_USED,
        "services.engine.holdMs": NOT_USED,
        "services.engine.handle_s": NOT_USED,
        "limits.maxHeaderBytes": "the HTTP library has its own bound",
        "limits.headerTimeoutMs": "the HTTP library has its own bound",
        "limits.idleTimeoutMs": "the HTTP library has its own bound",
    },
    WordPlace.ENTRY: {"models.adapters": "no route names an adapter"},
    WordPlace.REPORT: {
        "stage": "all engines read and write",
        "models.adapters": "no route names an adapter",
        "queuedRequests": SEEN_OTHERWISE,
        "activeRequests": SEEN_OTHERWISE,
        "kvUsed": SEEN_OTHERWISE,
        "kvTotal": SEEN_OTHERWISE,
        "handledPrefixes": NOT_USED,
        "pinned": NOT_USED,
        "held": NOT_USED,
    },
    WordPlace.STORE_ANSWER: {
        "atRevision": "of a single item; its own revision counts",
        "items.createdRevision": NOT_USED,
        "items.leaseId": NOT_USED,
        "events.createdRevision": NOT_USED,
        "events.leaseId": NOT_USED,
        "createdRevision": NOT_USED,
        "leaseId": NOT_USED,
        "ttlMs": "the lease runs for what was asked, or longer",
    },
}
"""Fields that are left unread, with the reason."""


class Vocabulary:
    """Tells a listener of words that nothing here reads."""

    def __init__(self, listener: UnknownWordListener) -> None:
        """Use a listener.

        Args:
            listener: Told of each unknown word, each time.
        """
        self._listener = listener

    def note_headers(
        self,
        place: WordPlace,
        source: str,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Tell of the unknown headers of an answer."""
        known = KNOWN_HEADERS[place]
        for name, _value in headers:
            if name.lower() not in known:
                known_as = name.lower().decode("latin-1")
                self._listener(UnknownWord(place, known_as, source, status))

    def note_fields(
        self, place: WordPlace, source: str, value: bytes, shape: type[msgspec.Struct]
    ) -> None:
        """Tell of the unknown fields of a document that was read.

        Args:
            place: What the document is.
            source: Address or key that it came from.
            value: Its JSON.
            shape: Type that it was read as.
        """
        unread = UNREAD_FIELDS.get(place, {})
        try:
            document = msgspec.json.decode(value)
        except FAULTS:
            # What was read has none, and unknown parts may be nested too deeply to look at.
            return
        for path in unknown_fields(document, shape):
            if path not in unread:
                self._listener(UnknownWord(place, path, source))


class _Shape(msgspec.Struct):
    """What a part of a document may hold.

    Attributes:
        fields: Its fields by name; None for what isn't an object.
        items: What each item of it holds; None for what isn't a list.
    """

    fields: dict[str, _Shape] | None = None
    items: _Shape | None = None


def unknown_fields(document: Any, shape: type[msgspec.Struct]) -> set[str]:
    """Return the paths of the fields that a type doesn't have, without the numbers of items."""
    return set(_unknown(document, _shape_of(shape), ""))


def _unknown(value: Any, shape: _Shape, path: str) -> Iterator[str]:
    """Yield the paths of unknown fields below a value."""
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
    """Return what a document of a type may hold."""
    return _read_shape(msgspec.inspect.type_info(struct))


def _read_shape(known: msgspec.inspect.Type) -> _Shape:
    """Return what a part of a type may hold."""
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
