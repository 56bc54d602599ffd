"""Client of the platform's metadata store, for the key-value port."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import urlencode

import httpcore
import msgspec
import trio

from hopstep.bounded_body import STORE_BOUND, BodyTooLongError, bounded_answer
from hopstep.decoding import decode_json
from hopstep.domain.store_answers import AnswerHistory, are_within, is_conflict
from hopstep.domain.store_position import UNSPECIFIED_ERA, StoreLease, StorePosition
from hopstep.exceptions import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
)
from hopstep.log_events.instances import ANSWER_TO_ANOTHER_CALL
from hopstep.logs import emit
from hopstep.platform import names
from hopstep.platform.http_call import HttpCall, SendTrace
from hopstep.platform.http_client import HttpClient
from hopstep.platform.vocabulary import UnrecognizedValueReporter
from hopstep.ports.key_value_store import (
    KeyValueStorePort,
    StoredValue,
    StoreListing,
    WatchBatch,
    require_era,
    require_lease_era,
    require_write_era,
)
from hopstep.ports.unrecognized_values import (
    UnrecognizedValueListener,
    ValueLocation,
    ignore_unrecognized,
)

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 2.0
"""Longest wait for a response, beyond the wait time of a watch."""

MILLISECONDS = 1_000
GET = b"GET"
POST = b"POST"
DELETE = b"DELETE"

OK = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
TOO_MANY = 429
UNAVAILABLE = 503
REFUSALS = range(400, 500)


MAX_LEASE_DIGITS = 19
"""Leases have 64-bit numbers; a record of another writer may name anything as one."""

MAX_ERA_DIGITS = 9
"""The era counts restores of the store; Python converts no text of several thousand digits."""


class _Item(msgspec.Struct, frozen=True, rename="camel"):
    private_key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def read(self, era: int) -> StoredValue:
        """Return the stored value, as part of a response of the given era."""
        value = b"" if self.deleted else _decode_value(self.value)
        return StoredValue(self.private_key, value, StorePosition(era, self.revision))


class _Range(msgspec.Struct, frozen=True, rename="camel"):
    at_revision: int
    items: list[_Item] = []
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True, rename="camel"):
    at_revision: int
    events: list[_Item] = []


class _Condition(msgspec.Struct, frozen=True, rename="camel"):
    private_key: str
    revision: int


class _Put(msgspec.Struct, rename="camel", omit_defaults=True):
    private_key: str
    value: str
    lease_id: int = 0


class _Transaction(msgspec.Struct, frozen=True, rename="camel"):
    expected_revision: list[_Condition]
    put: list[_Put] = []
    removals: list[str] = []


class _Conflict(msgspec.Struct, frozen=True):
    items: list[_Condition] = []


class _Written(msgspec.Struct, frozen=True):
    revision: int


class _LeaseRequest(msgspec.Struct, frozen=True, rename="camel"):
    ttl_ms: int


class _Lease(msgspec.Struct, frozen=True, rename="camel"):
    lease_id: int


class _Answer(msgspec.Struct, frozen=True):
    """Status, body and era of a response."""

    status: int
    body: bytes
    era: int


Document = TypeVar("Document", bound=msgspec.Struct)


class PlatformStore(KeyValueStorePort):
    """Client of the store.

    While the store is down every call raises ``StoreError``, at once or after
    ``ANSWER_SECONDS``. A write that was sent and not answered raises
    ``StoreOutcomeUnknownError``; it may still take effect seconds later. The connection of a call
    without a response is closed.
    """

    def __init__(
        self,
        address: str,
        client: HttpClient,
        answer_seconds: float = ANSWER_SECONDS,
        on_unrecognized: UnrecognizedValueListener = ignore_unrecognized,
    ) -> None:
        """Use a client.

        Args:
            address: ``ip:port`` of the store.
            client: HTTP client, owned by the caller.
            answer_seconds: Longest wait for a response, beyond the wait time of a watch.
            on_unrecognized: Called for each unrecognized value in a response.
        """
        self._unrecognized = UnrecognizedValueReporter(on_unrecognized)
        self._address = address
        self._client = client
        self._answer_seconds = answer_seconds
        self._history = AnswerHistory()

    async def get(self, key: str) -> StoredValue | None:
        """Return one value; see the port."""
        answer = await self._call(GET, names.STORE_ITEM, {"privateKey": key})
        if answer.status == NOT_FOUND:
            return None
        item = self._decode(answer, _Item).read(answer.era)
        if item.key != key:
            raise await self._other_answer()
        self._history.note(item.version)
        return item

    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return a page of values; see the port."""
        page, era = await self._page(prefix, after_key)
        return [item.read(era) for item in page.items[:limit]]

    async def listing(self, prefix: str) -> StoreListing:
        """Return all values; see the port."""
        page, era = await self._page(prefix, "")
        position = StorePosition(era, page.at_revision)
        values = [item.read(era) for item in page.items]
        while page.has_more and page.items:
            page, page_era = await self._page(prefix, page.items[-1].private_key)
            require_era(era, page_era)
            values.extend(item.read(era) for item in page.items)
        return StoreListing(position, tuple(values))

    async def compare_and_swap(
        self,
        key: str,
        expected_version: StorePosition,
        value: bytes,
        lease: StoreLease | None = None,
    ) -> StorePosition:
        """Write one key; see the port."""
        put = _Put(key, base64.b64encode(value).decode(), _lease_number(lease))
        condition = _Condition(key, expected_version.revision)
        position = await self._transact(_Transaction([condition], put=[put]))
        require_write_era(expected_version, lease, position.era)
        return position

    async def delete(self, key: str, expected_version: StorePosition) -> None:
        """Delete one key; see the port."""
        condition = _Condition(key, expected_version.revision)
        position = await self._transact(_Transaction([condition], removals=[key]))
        require_write_era(expected_version, None, position.era)

    async def watch(self, prefix: str, after: StorePosition, wait_seconds: float) -> WatchBatch:
        """Return changes; see the port."""
        wait = int(wait_seconds * MILLISECONDS)
        query = {"pathPrefix": prefix, "after": after.revision, "waitMs": wait}
        answer = await self._call(GET, names.STORE_WATCH, query, extra_seconds=wait_seconds)
        if answer.status == GONE:
            raise StoreHistoryLostError(
                ErrorCode.STORE_HISTORY_LOST, "the store no longer has these changes"
            )
        batch = self._decode(answer, _Events)
        require_era(after.era, answer.era)
        position = StorePosition(answer.era, batch.at_revision)
        keys = (item.private_key for item in batch.events)
        if not (self._history.fits(position, after, is_change=False) and are_within(keys, prefix)):
            raise await self._other_answer()
        return WatchBatch(position, tuple(item.read(answer.era) for item in batch.events))

    async def grant_lease(self, time_to_live_seconds: float) -> StoreLease:
        """Return a new lease; see the port."""
        body = msgspec.json.encode(_LeaseRequest(int(time_to_live_seconds * MILLISECONDS)))
        answer = await self._call(POST, names.STORE_LEASE, body=body)
        lease = StoreLease(str(self._decode_write(answer, _Lease).lease_id), answer.era)
        if not self._history.is_new(lease):
            raise await self._other_answer(is_write=True)
        return lease

    async def keep_alive(self, lease: StoreLease) -> None:
        """Renew a lease; see the port."""
        answer = await self._call(POST, f"{names.STORE_RENEW}{_lease_number(lease)}")
        require_lease_era(lease, answer.era)
        if answer.status == NOT_FOUND:
            raise StoreConflictError(ErrorCode.STORE_CONFLICT, "the lease has expired")
        _require_ok(answer)

    async def reconnect(self) -> None:
        """Close idle connections; see the port. Calls in progress keep theirs until they end."""
        await self._client.drop_idle(self._address)

    async def end_lease(self, lease: StoreLease) -> None:
        """End a lease; see the port."""
        await self._call(DELETE, names.STORE_LEASE_END + lease.name)

    async def _page(self, prefix: str, after_key: str) -> tuple[_Range, int]:
        """Return one page of a range, and the era of the response."""
        query: dict[str, object] = {"pathPrefix": prefix}
        if after_key:
            query["after"] = after_key
        asked_at = self._history.latest
        answer = await self._call(GET, names.STORE_RANGE, query)
        page = self._decode(answer, _Range)
        position = StorePosition(answer.era, page.at_revision)
        keys = (item.private_key for item in page.items)
        fits = self._history.fits(position, asked_at, is_change=False)
        if not (fits and are_within(keys, prefix, after_key)):
            raise await self._other_answer()
        return page, answer.era

    async def _transact(self, transaction: _Transaction) -> StorePosition:
        """Carry out a transaction and return its store position."""
        body = msgspec.json.encode(transaction)
        asked_at = self._history.latest
        answer = await self._call(POST, names.STORE_TRANSACTION, body=body)
        if answer.status in (CONDITION_FAILED, NOT_FOUND):
            if not _refuses(answer, transaction):
                raise await self._other_answer(is_write=True)
            raise StoreConflictError(
                ErrorCode.STORE_CONFLICT, "a condition of the write doesn't hold"
            )
        position = StorePosition(answer.era, self._decode_write(answer, _Written).revision)
        if not self._history.fits(position, asked_at, is_change=True):
            raise await self._other_answer(is_write=True)
        return position

    async def _other_answer(self, is_write: bool = False) -> StoreError:
        """Close the idle connections, one of which gives answers to other calls.

        Returns:
            The error of the call.
        """
        emit(ANSWER_TO_ANOTHER_CALL, address=self._address)
        await self.reconnect()
        return _other_answer(is_write)

    def _decode(self, answer: _Answer, document: type[Document]) -> Document:
        """Return the document of a response, and report its unrecognized fields."""
        decoded = _decode(answer, document)
        location = ValueLocation.STORE_ANSWER
        self._unrecognized.report_fields(location, self._address, answer.body, document)
        return decoded

    def _decode_write(self, answer: _Answer, document: type[Document]) -> Document:
        """Return the document of a response to a write.

        Raises:
            StoreOutcomeUnknownError: When the response neither confirms nor refuses the write.
        """
        try:
            return self._decode(answer, document)
        except StoreError as error:
            if answer.status in REFUSALS:
                raise
            raise _unknown_outcome("the store's response to a write can't be used") from error

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, object] | None = None,
        body: bytes = b"",
        extra_seconds: float = 0.0,
    ) -> _Answer:
        """Make one call; raise ``StoreError`` when the store is unavailable or limits the rate."""
        target = f"{path}?{urlencode(query)}" if query else path
        headers = ((b"host", self._address.encode()), (b"content-type", b"application/json"))
        call = HttpCall(
            self._address, method, target.encode(), headers, body, connect_seconds=CONNECT_SECONDS
        )
        trace = SendTrace()
        try:
            seconds = self._answer_seconds + extra_seconds
            with bounded_answer(self._address, STORE_BOUND, seconds) as reader:
                async with self._client.open(call, trace) as response:
                    self._unrecognized.report_headers(
                        ValueLocation.STORE_HEAD, self._address, response.status, response.headers
                    )
                    era = _read_era(response.headers)
                    answer = _Answer(
                        response.status, await reader.read(response.aiter_stream()), era
                    )
        except BodyTooLongError as error:
            raise _too_long(method) from error
        except (httpcore.ProtocolError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise _no_answer(method, trace.proof.sent) from error
        except trio.TooSlowError as error:
            raise _no_answer(method, trace.proof.sent) from error
        if answer.status == TOO_MANY:
            raise StoreError(ErrorCode.STORE_RATE_LIMITED, "the store's rate limit is exceeded")
        if answer.status == UNAVAILABLE:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store is unavailable")
        return answer


def _read_era(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the era that a response names; ``UNSPECIFIED_ERA`` when there is no such number."""
    for name, value in headers:
        is_number = value.isdigit() and len(value) <= MAX_ERA_DIGITS
        if name.lower() == names.STORE_ERA and is_number:
            return int(value)
    return UNSPECIFIED_ERA


def _refuses(answer: _Answer, transaction: _Transaction) -> bool:
    """Return whether a refusal may be of a transaction: by its leases, or by what it expected."""
    if answer.status == NOT_FOUND:
        return any(put.lease_id for put in transaction.put)
    try:
        items = decode_json(answer.body, _Conflict).items
    except msgspec.DecodeError:
        return True
    found = {item.private_key: item.revision for item in items}
    expected = {item.private_key: item.revision for item in transaction.expected_revision}
    return is_conflict(found, expected)


def _decode_value(text: str) -> bytes:
    """Return the bytes of a value; text that isn't base64 is returned as its own bytes.

    Its reader then rejects that one value, and the other items of the response are still read.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode("utf-8", "surrogatepass")


def _lease_number(lease: StoreLease | None) -> int:
    """Return the number of a lease; 0 for none."""
    if lease is None:
        return 0
    if not (lease.name.isdecimal() and len(lease.name) <= MAX_LEASE_DIGITS):
        raise StoreConflictError(ErrorCode.STORE_CONFLICT, "the store never granted this lease")
    return int(lease.name)


def _other_answer(is_write: bool) -> StoreError:
    """Return the error of a call in whose place an answer to another one came."""
    message = "the store's answer is to another call"
    if is_write:
        return _unknown_outcome(message)
    return StoreError(ErrorCode.STORE_UNAVAILABLE, message)


def _no_answer(method: bytes, sent: bool) -> StoreError:
    """Return the error of a call that got no response."""
    if method == GET or not sent:
        return StoreError(ErrorCode.STORE_UNAVAILABLE, "the store didn't respond")
    return _unknown_outcome("the store didn't respond to a write")


def _too_long(method: bytes) -> StoreError:
    """Return the error of a call whose response exceeds its bound."""
    if method == GET:
        return StoreError(ErrorCode.STORE_ANSWER_TOO_LONG, "the store's response is too long")
    return _unknown_outcome("the store's response to a write is too long")


def _unknown_outcome(message: str) -> StoreOutcomeUnknownError:
    """Return the error of a write that may have taken effect."""
    return StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)


def _require_ok(answer: _Answer) -> None:
    """Raise unless a call succeeded."""
    if answer.status != OK:
        message = f"the store responded with status {answer.status}"
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, message)


def _decode(answer: _Answer, document: type[Document]) -> Document:
    """Return the document of a response."""
    _require_ok(answer)
    try:
        return decode_json(answer.body, document)
    except msgspec.DecodeError as error:
        message = f"the store's response can't be decoded: {error}"
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, message) from error
