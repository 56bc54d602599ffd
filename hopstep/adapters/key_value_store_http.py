"""Client of the platform's key-value service over HTTP."""

from __future__ import annotations

from typing import Generic, TypeVar, cast

import httpx
import msgspec
import trio

from hopstep.adapters import key_value_store_wire as wire
from hopstep.adapters.answer_parts import UNENCODED, answer_parts
from hopstep.adapters.platform_http import PlatformHttpClient
from hopstep.bounded_body import KEY_VALUE_BOUND, BodyTooLongError, bounded_answer
from hopstep.decoding import JsonDecoder, decode_json
from hopstep.domain.store_position import UNSPECIFIED_ERA, StoreLease, StorePosition
from hopstep.exceptions import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from hopstep.ports.key_value_store import (
    KeyValueStorePort,
    StoredValue,
    WatchBatch,
    require_era,
    require_lease_era,
    require_write_era,
)

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Failures before the first byte of a request was sent."""

NO_EFFECT_CODES = frozenset(
    {ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_RATE_LIMITED, ErrorCode.STORE_CONFLICT}
)
"""Error codes by which the service reports that nothing was written."""

Result = TypeVar("Result")

_ITEM = JsonDecoder(cast(type[wire.Item | None], wire.Item | None))
_PAGE = JsonDecoder(list[wire.Item])
_REVISION = JsonDecoder(int)
_CHANGES = JsonDecoder(wire.Changes)
_LEASE = JsonDecoder(str)
_NOTHING = JsonDecoder(type(None))


class _Answer(msgspec.Struct, Generic[Result], frozen=True):
    """Result of an operation, and the store's era as given in the answer."""

    result: Result
    era: int


class HttpKeyValueStore(PlatformHttpClient, KeyValueStorePort):
    """Client of the key-value service; see ``PlatformHttpClient`` for its arguments.

    Every method raises ``StoreError``: at once when the service is down, after the timeout when
    it doesn't answer. A write that was sent raises ``StoreOutcomeUnknownError`` unless the answer
    proves that it had no effect.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``; see the port."""
        answer = await self._call(wire.Get(key), _ITEM)
        return answer.result.to_stored_value(answer.era) if answer.result is not None else None

    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return a page of values; see the port."""
        answer = await self._call(wire.List(prefix, after_key, limit), _PAGE)
        return [item.to_stored_value(answer.era) for item in answer.result]

    async def compare_and_swap(
        self,
        key: str,
        expected_version: StorePosition,
        value: bytes,
        lease: StoreLease | None = None,
    ) -> StorePosition:
        """Write one key at an expected version; see the port."""
        name = lease.name if lease is not None else ""
        operation = wire.CompareAndSwap(key, expected_version.revision, value, name)
        answer = await self._call(operation, _REVISION)
        require_write_era(expected_version, lease, answer.era)
        return StorePosition(answer.era, answer.result)

    async def delete(self, key: str, expected_version: StorePosition) -> None:
        """Delete one key at an expected version; see the port."""
        answer = await self._call(wire.Delete(key, expected_version.revision), _NOTHING)
        require_write_era(expected_version, None, answer.era)

    async def watch(self, prefix: str, after: StorePosition, wait_seconds: float) -> WatchBatch:
        """Return changes after a store position; see the port."""
        operation = wire.Watch(prefix, after.revision, wait_seconds)
        answer = await self._call(operation, _CHANGES, extra_seconds=wait_seconds)
        require_era(after.era, answer.era)
        values = tuple(item.to_stored_value(answer.era) for item in answer.result.values)
        return WatchBatch(StorePosition(answer.era, answer.result.revision), values)

    async def grant_lease(self, time_to_live_seconds: float) -> StoreLease:
        """Return a new lease; see the port."""
        answer = await self._call(wire.GrantLease(time_to_live_seconds), _LEASE)
        return StoreLease(answer.result, answer.era)

    async def keep_alive(self, lease: StoreLease) -> None:
        """Renew a lease; see the port."""
        answer = await self._call(wire.KeepAlive(lease.name), _NOTHING)
        require_lease_era(lease, answer.era)

    async def _call(
        self,
        operation: wire.StoreOperation,
        decoder: JsonDecoder[Result],
        extra_seconds: float = 0.0,
    ) -> _Answer[Result]:
        """Send one operation and decode its result."""
        timeout = httpx.Timeout(self._timeout_seconds, read=self._timeout_seconds + extra_seconds)
        content = msgspec.json.encode(operation)
        try:
            url = self._base_url + wire.STORE_PATH
            seconds = 2 * self._timeout_seconds + extra_seconds
            # httpx limits each read only; the outer timeout limits the whole answer.
            with bounded_answer(self._base_url, KEY_VALUE_BOUND, seconds) as answer:
                async with self._client.stream(
                    "POST", url, content=content, headers=UNENCODED, timeout=timeout
                ) as response:
                    body = await answer.read(answer_parts(response))
        except NOT_SENT_ERRORS as error:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store can't be reached") from error
        except (httpx.HTTPError, BodyTooLongError, trio.TooSlowError) as error:
            raise _no_usable_answer(operation) from error
        if response.status_code != httpx.codes.OK:
            raise _failure(operation, body)
        try:
            result = decoder.decode(body)
        except msgspec.DecodeError as error:
            raise _no_usable_answer(operation) from error
        return _Answer(result, _read_era(response.headers.get(wire.ERA_HEADER, "")))


def _read_era(text: str) -> int:
    """Return the era of a header's value; ``UNSPECIFIED_ERA`` if it isn't a number."""
    return int(text) if text.isdecimal() and text.isascii() else UNSPECIFIED_ERA


def _failure(operation: wire.StoreOperation, content: bytes) -> StoreError:
    """Return the error for the body of a refusal."""
    try:
        failure = decode_json(content, wire.StoreFailure)
    except msgspec.DecodeError:
        return _no_usable_answer(operation)
    if failure.code not in NO_EFFECT_CODES:
        return _no_usable_answer(operation)
    if failure.code is ErrorCode.STORE_CONFLICT:
        return StoreConflictError(failure.code, failure.message)
    return StoreError(failure.code, failure.message)


def _no_usable_answer(operation: wire.StoreOperation) -> StoreError:
    """Return the error for a request that was sent and got no usable answer."""
    message = "the store gave no usable answer"
    if wire.is_write(operation):
        return StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)
    return StoreError(ErrorCode.STORE_UNAVAILABLE, message)
