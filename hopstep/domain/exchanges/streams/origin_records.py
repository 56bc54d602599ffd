"""Origins of streams that clients may still resume, bounded by time and number."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from hopstep.domain.exchanges.streams.origin import StreamOrigin

KEY_BYTES = 12
"""Length of a stream's key: among 10 million streams two share one with a chance of 1e-15."""

MAX_RECORDS = 16_384
"""Records that a node keeps, the newest: some 5 MB."""


class OriginRecord(msgspec.Struct, frozen=True):
    """The origin of one stream. Times are of the steady clock, in seconds.

    Attributes:
        key: Key of the stream, see ``stream_key``.
        origin: What began it.
        began_at: When its first event was sent to the client.
        keep_until: When its client gives up at the latest.
    """

    key: bytes
    origin: StreamOrigin
    began_at: float
    keep_until: float


class OriginRecords:
    """Records by the keys of streams; the one that began last wins, as clients may reuse ids."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: OrderedDict[bytes, OriginRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records, some of which may have expired."""
        return len(self._records)

    def put(self, record: OriginRecord, now: float) -> bool:
        """Add a record; return False when one of the stream that is as new is known."""
        known = self._records.get(record.key)
        if known is not None and known.began_at >= record.began_at:
            return False
        self._records[record.key] = record
        self._records.move_to_end(record.key)
        self._remove_expired(now)
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return True

    def get(self, key: bytes, now: float) -> OriginRecord | None:
        """Return the record of a stream; None when there is none, or its client has given up."""
        record = self._records.get(key)
        return record if record is not None and now < record.keep_until else None

    def of_service(self, service: str, now: float) -> Iterator[OriginRecord]:
        """Iterate over the records of a service's streams that clients may still resume."""
        for record in tuple(self._records.values()):
            if record.origin.service == service and now < record.keep_until:
                yield record

    def _remove_expired(self, now: float) -> None:
        """Remove expired records, as far as no older one is kept longer."""
        while self._records and next(iter(self._records.values())).keep_until <= now:
            self._records.popitem(last=False)


def stream_key(tenant: str, route: str, request_id: str) -> bytes:
    """Return the key of the stream that a client's request began.

    Ids are the clients' choice, so another tenant's request with the same id has another key.

    Args:
        tenant: Name of the tenant; empty for none.
        route: Name of the route.
        request_id: Id of the request that brought the first event.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (tenant, route, request_id):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()
