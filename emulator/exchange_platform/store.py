"""The platform's metadata store over HTTP, with the model and faults of ``emulator.platform``."""

from __future__ import annotations

import base64
from typing import Any

import msgspec
import quart
import quart_trio
import trio

from emulator.http_responses import json_response, lost_response
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import UNSPECIFIED_ERA
from hopstep.exceptions import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)

LEASE_NAME = "lease-"
MILLISECONDS = 1_000.0
PAGE_LIMIT = 500
PAGE_BYTES = 1_000_000
"""A page ends with the item that reaches this size."""

ERA_HEADER = "Store-Era"

STATUS_OF_CODE = {
    ErrorCode.STORE_CONFLICT: 412,
    ErrorCode.STORE_RATE_LIMITED: 429,
    ErrorCode.STORE_UNAVAILABLE: 503,
}


class _Condition(msgspec.Struct, rename="camel"):
    private_key: str
    revision: int


class _Put(msgspec.Struct, rename="camel"):
    private_key: str
    value: str
    lease_id: int = 0


class _Transaction(msgspec.Struct, rename="camel"):
    expected_revision: list[_Condition] = []
    put: list[_Put] = []
    removals: list[str] = []


class _LeaseRequest(msgspec.Struct, rename="camel"):
    ttl_ms: int


def create_store_app(shared: SharedStore) -> quart_trio.QuartTrio:
    """Return the HTTP application.

    Args:
        shared: The store that it serves.
    """
    app = quart_trio.QuartTrio(__name__)
    _add_reads(app, shared)
    _add_writes(app, shared)
    _add_leases(app, shared)

    @app.errorhandler(StoreError)
    async def refused(error: StoreError) -> quart.Response:
        """Return the response for an error, or break off the response of a lost write."""
        if isinstance(error, StoreOutcomeUnknownError):
            return lost_response()
        refusal = json_response({"error": error.message}, STATUS_OF_CODE[error.code])
        return _with_era(refusal, shared.model.era)

    return app


def _add_reads(app: quart_trio.QuartTrio, shared: SharedStore) -> None:
    """Add the routes of single items, ranges and watches."""

    @app.get("/kv-key")
    async def item() -> quart.Response:
        """Return one item."""
        effect = await shared.execute_in_era(wire.Get(quart.request.args["privateKey"]))
        value, at_revision = effect.result, {"atRevision": effect.revision}
        if value is None:
            return _with_era(json_response(at_revision, 404), effect.era)
        assert isinstance(value, wire.Item)  # noqa: S101 - the result of a read
        return _with_era(json_response({**_item(value), **at_revision}), effect.era)

    @app.get("/kv-range")
    async def items() -> quart.Response:
        """Return a page of items."""
        arguments = quart.request.args
        operation = wire.List(arguments["pathPrefix"], arguments.get("after", ""), PAGE_LIMIT)
        effect = await shared.execute_in_era(operation)
        found: Any = effect.result
        page = _first_items(found)
        body = {
            "items": [_item(value) for value in page],
            "hasMore": len(page) < len(found) or len(found) == PAGE_LIMIT,
            "atRevision": effect.revision,
        }
        return _with_era(json_response(body), effect.era)

    @app.get("/kv-watch")
    async def watch() -> quart.Response:
        """Return changes as soon as there are any, none after the wait time."""
        arguments = quart.request.args
        after = int(arguments["after"])
        if not shared.model.has_history_after(after):
            gone = json_response({"error": "the history is gone"}, 410)
            return _with_era(gone, shared.model.era)
        wait = float(arguments["waitMs"]) / MILLISECONDS
        effect = await shared.execute_in_era(wire.Watch(arguments["pathPrefix"], after, wait))
        changes: wire.Changes = effect.result
        events = [_event(value) for value in changes.values]
        body = {"events": events, "atRevision": changes.revision}
        return _with_era(json_response(body), effect.era)


def _first_items(values: list[wire.Item]) -> list[wire.Item]:
    """Return the values that a page has room for, at least one."""
    size = 0
    for count, value in enumerate(values, start=1):
        size += len(value.value)
        if size >= PAGE_BYTES:
            return values[:count]
    return values


def _add_writes(app: quart_trio.QuartTrio, shared: SharedStore) -> None:
    """Add the route of conditional writes; this stand-in accepts one key in each."""

    @app.post("/kv-txn")
    async def transaction() -> quart.Response:
        """Write or remove one key at an expected revision."""
        read = msgspec.json.decode(await quart.request.get_data(), type=_Transaction)
        condition = read.expected_revision[0]
        operation: wire.StoreOperation = wire.Delete(condition.private_key, condition.revision)
        if read.put:
            put = read.put[0]
            value = base64.b64decode(put.value)
            lease = f"{LEASE_NAME}{put.lease_id}" if put.lease_id else ""
            operation = wire.CompareAndSwap(put.private_key, condition.revision, value, lease)
        effect = await shared.execute_in_era(operation)
        return _with_era(json_response({"revision": effect.revision}), effect.era)


def _add_leases(app: quart_trio.QuartTrio, shared: SharedStore) -> None:
    """Add the routes of leases."""

    @app.post("/kv-lease")
    async def grant() -> quart.Response:
        """Grant a lease."""
        read = msgspec.json.decode(await quart.request.get_data(), type=_LeaseRequest)
        effect = await shared.execute_in_era(wire.GrantLease(read.ttl_ms / MILLISECONDS))
        lease_id = int(str(effect.result).removeprefix(LEASE_NAME))
        return _with_era(json_response({"leaseId": lease_id, "ttlMs": read.ttl_ms}), effect.era)

    @app.post("/kv-keep/<int:lease_id>")
    async def renew(lease_id: int) -> quart.Response:
        """Renew a lease."""
        try:
            effect = await shared.execute_in_era(wire.KeepAlive(f"{LEASE_NAME}{lease_id}"))
        except StoreConflictError:
            return _with_era(json_response({"error": "the lease is over"}, 404), shared.model.era)
        return _with_era(json_response({}), effect.era)

    @app.delete("/kv-lease-end/<int:lease_id>")
    async def end(lease_id: int) -> quart.Response:
        """End a lease and delete its keys."""
        shared.end_lease(f"{LEASE_NAME}{lease_id}")
        await trio.lowlevel.checkpoint()
        return _with_era(json_response({}), shared.model.era)


def _with_era(response: quart.Response, era: int) -> quart.Response:
    """Add the era header to a response, unless the store reports no era."""
    if era != UNSPECIFIED_ERA:
        response.headers[ERA_HEADER] = str(era)
    return response


def _item(value: wire.Item) -> dict[str, object]:
    """Return an item as a JSON object."""
    return {
        "privateKey": value.key,
        "value": base64.b64encode(value.value).decode(),
        "revision": value.version,
    }


def _event(value: wire.Item) -> dict[str, object]:
    """Return a change as a JSON object of a watch; a deletion has no value."""
    if value.value:
        return _item(value)
    return {"privateKey": value.key, "revision": value.version, "deleted": True}
