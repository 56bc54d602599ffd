"""Reads the cache events of the platform's cache stores and engines."""

from __future__ import annotations

from typing import Annotated

import httpcore
import msgspec
import trio

from hopstep.bounded_body import CACHE_EVENTS_BOUND, bounded_answer
from hopstep.decoding import JsonDecoder, decode_json
from hopstep.domain.exchanges.store_contents import CacheEvent
from hopstep.domain.head_numbers import MAX_TOKENS
from hopstep.domain.instance_notices import AnswerKind, NoticeListener, ignore_notice
from hopstep.platform import names
from hopstep.platform.http_call import ConnectionUse, HttpCall, SendTrace
from hopstep.platform.http_client import HttpClient
from hopstep.platform.notices import read_notice
from hopstep.platform.vocabulary import UnrecognizedValueReporter
from hopstep.ports.cache_events import CacheEventBatch, CacheEvents
from hopstep.ports.unrecognized_values import (
    UnrecognizedValueListener,
    ValueLocation,
    ignore_unrecognized,
)

ANSWER_SECONDS = 0.7
"""Longest wait for a response, beyond the wait for events."""

MILLISECONDS = 1_000
OK = 200
MAX_WHOLE = 2**53
"""Largest whole number that floating-point numbers hold exactly."""

MAX_UNREADABLE = 100
"""Unreadable events of a batch after which the rest of it counts as lost."""

UNREADABLE_EVENT = "events: unreadable"
"""Reported in place of the path of a field."""


Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class _Event(msgspec.Struct, frozen=True, array_like=True):
    number: int
    sign: str
    salt: str
    segment_id: str
    tokens: Tokens
    model: str


class _Head(msgspec.Struct, frozen=True, rename="camel", kw_only=True):
    """A batch without its events."""

    epoch: int
    next_page_token: Whole
    lost: bool = False
    born: Whole = 0


class _Events(_Head, frozen=True, rename="camel", kw_only=True):
    """A batch all of whose events can be read."""

    events: tuple[_Event, ...] = ()


class _EncodedEvents(_Head, frozen=True, rename="camel", kw_only=True):
    """A batch whose events are read one by one."""

    events: tuple[msgspec.Raw, ...] = ()


_EVENT_DECODER = JsonDecoder(_Event)


class PlatformCacheEvents(CacheEvents):
    """Reads events by long polling."""

    def __init__(
        self, client: HttpClient, on_unrecognized: UnrecognizedValueListener = ignore_unrecognized
    ) -> None:
        """Use a client.

        Args:
            client: HTTP client, owned by the caller.
            on_unrecognized: Called for each unrecognized value in a response.
        """
        self._client = client
        self._unrecognized = UnrecognizedValueReporter(on_unrecognized)

    async def read(
        self,
        address: str,
        position: int,
        wait_seconds: float,
        on_notice: NoticeListener = ignore_notice,
    ) -> CacheEventBatch | None:
        """Return events; see the port."""
        wait = str(int(wait_seconds * MILLISECONDS)).encode()
        headers = ((b"host", address.encode()), (names.WAIT, wait))
        target = f"{names.CACHE_EVENTS_PATH}?since={position}".encode()
        # A late copy of a later batch in place of the first one would hide all before it.
        use = ConnectionUse.KEPT if position else ConnectionUse.SINGLE
        call = HttpCall(address, b"GET", target, headers, b"", use=use)
        try:
            seconds = ANSWER_SECONDS + wait_seconds
            with bounded_answer(address, CACHE_EVENTS_BOUND, seconds) as answer:
                async with self._client.open(call, SendTrace()) as response:
                    kind = AnswerKind.CACHE_EVENTS
                    on_notice(read_notice(response.status, response.headers, kind))
                    self._unrecognized.report_headers(
                        ValueLocation.ANSWER_HEAD, address, response.status, response.headers
                    )
                    body = await answer.read(response.aiter_stream())
            if response.status != OK:
                return None
            return self._read_batch(address, body)
        except (
            httpcore.ProtocolError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            msgspec.DecodeError,
        ):
            return None

    def _read_batch(self, address: str, body: bytes) -> CacheEventBatch:
        """Return a batch; events that can't be read are reported, and missing like lost ones.

        Raises:
            msgspec.DecodeError: If more than single events can't be read.
        """
        try:
            read = decode_json(body, _Events)
        except msgspec.ValidationError:
            return self._read_single_events(address, decode_json(body, _EncodedEvents))
        self._unrecognized.report_fields(ValueLocation.CACHE_EVENTS, address, body, _Events)
        events = tuple(_read(event) for event in read.events)
        return CacheEventBatch(read.epoch, read.next_page_token, read.lost, events, read.born)

    def _read_single_events(self, address: str, batch: _EncodedEvents) -> CacheEventBatch:
        """Return a batch without the events that can't be read; some never come anyway."""
        events = []
        unreadable = 0
        for each in batch.events:
            try:
                events.append(_read(_EVENT_DECODER.decode(each)))
            except msgspec.DecodeError:
                unreadable += 1
                self._unrecognized.report(ValueLocation.CACHE_EVENTS, UNREADABLE_EVENT, address)
            if unreadable == MAX_UNREADABLE:
                break
        lost = batch.lost or unreadable == MAX_UNREADABLE
        return CacheEventBatch(batch.epoch, batch.next_page_token, lost, tuple(events), batch.born)


def _read(event: _Event) -> CacheEvent:
    """Return one event; 0 tokens mean that the segment was dropped."""
    return CacheEvent(event.salt, event.segment_id, event.tokens, event.model)
