"""Recorder of the instances' events, and writes to the store that bypass its faults."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable

import trio

from emulator.exchange_platform.http_instance import HttpInstance
from emulator.exchange_platform.instance_listener import WeightsOrder
from emulator.exchange_platform.instance_requests import RunHeaders
from emulator.exchange_platform.instance_traits import ResponseNotices
from emulator.platform.shared_store import SharedStore
from emulator.platform.store_model import ABSENT_REVISION
from emulator.soak.history import History
from emulator.soak.instance_records import (
    AnsweredOrder,
    OverwrittenEntry,
    SentNotice,
    TakenOrder,
)
from emulator.soak.request_records import Arrival, ReceivedRequest, Run
from hopstep.adapters import key_value_store_wire as wire

DIRECT_KEY_PREFIXES = ("op/", "servers/")
"""Prefixes of the keys that operators and instances write."""


def digest_of(body: bytes) -> str:
    """Return a digest of a body, in hexadecimal digits."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


class DirectStore:
    """Writes of the operator and of instances, which bypass the store's faults.

    Written documents are remembered, as a store that is restored from a backup may lack them.
    """

    def __init__(self, shared: SharedStore) -> None:
        """Use a store, without any documents written.

        Args:
            shared: The store.
        """
        self._shared = shared
        self._documents: dict[str, bytes] = {}

    def put(self, key: str, document: object) -> None:
        """Write a document as JSON."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write bytes under a key."""
        self._documents[key] = value
        self._write(key, value)

    def rewrite_missing(self, key: str) -> None:
        """Write a document again if the store lacks it and it hasn't been removed."""
        if key in self.missing_from_store():
            self._write(key, self._documents[key])

    def missing_from_store(self) -> list[str]:
        """Return the keys of documents that the store lacks or has with another value."""
        stored = self._shared.model.snapshot()
        return [
            key
            for key, value in self._documents.items()
            if key not in stored or stored[key].value != value
        ]

    def stale_in_store(self) -> list[str]:
        """Return the keys of operators and instances that the store has although removed."""
        stored = self._shared.model.snapshot()
        return [
            key
            for key in stored
            if key.startswith(DIRECT_KEY_PREFIXES) and key not in self._documents
        ]

    def _write(self, key: str, value: bytes) -> None:
        """Write bytes, overwriting any value."""
        stored = self._shared.model.apply(wire.Get(key), trio.current_time())
        version = stored.version if isinstance(stored, wire.Item) else ABSENT_REVISION
        self._shared.write_directly(wire.CompareAndSwap(key, version, value))

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        self._documents.pop(key, None)
        stored = self._shared.model.apply(wire.Get(key), trio.current_time())
        if isinstance(stored, wire.Item):
            self._shared.write_directly(wire.Delete(key, stored.version))


class Recorder:
    """Records events of instances in the history."""

    def __init__(self, history: History, store: DirectStore) -> None:
        """Prepare without any instances.

        Args:
            history: Receives the events.
            store: Store in which instances list themselves.
        """
        self._history = history
        self._store = store
        self.addresses: dict[str, str] = {}
        self.current_instances: dict[str, HttpInstance] = {}
        self.on_fatal: Callable[[HttpInstance, str], None] = lambda _instance, _request: None

    def request_arrived(self, instance: HttpInstance, request_id: str) -> None:
        """Record the arrival of a request."""
        traits = instance.traits
        arrival = Arrival(request_id, traits.service, trio.current_time(), traits.incarnation)
        self._history.arrivals.append(arrival)

    def control_request_arrived(self, instance: HttpInstance) -> None:
        """Record the arrival of a request for a report or of an order."""
        traits = instance.traits
        arrival = Arrival("", traits.service, trio.current_time(), traits.incarnation)
        self._history.arrivals.append(arrival)

    def notices_sent(
        self, instance: HttpInstance, request_id: str, notices: ResponseNotices
    ) -> None:
        """Record the notices that an instance sent in a response."""
        incarnation = instance.traits.incarnation
        now = trio.current_time()
        notice = SentNotice(
            request_id, incarnation, now, notices.leaving, notices.backoff_seconds, notices.limit
        )
        self._history.notices.append(notice)

    def run_started(self, instance: HttpInstance, headers: RunHeaders, stamp: str) -> None:
        """Record the start of a run."""
        self._history.runs.append(
            Run(
                request_id=headers.request_id,
                instance_id=instance.traits.instance_id,
                incarnation=instance.traits.incarnation,
                service=instance.traits.service,
                at=trio.current_time(),
                tenant=headers.tenant,
                version=instance.version,
                salt=headers.salt,
                key_shown=headers.key_shown,
                stamp=stamp,
                software_version=instance.traits.software_version,
                first_event=headers.first_event,
                received=ReceivedRequest(
                    headers.method, headers.target, digest_of(headers.body), headers.passed_on
                ),
            )
        )

    def run_ended(self, instance: HttpInstance, stamp: str) -> None:
        """Record the end of a run."""
        run = next((x for x in reversed(self._history.runs) if x.stamp == stamp), None)
        if run is not None:
            run.ended_at = trio.current_time()

    def run_answered(self, stamp: str, status: int, body: bytes | None) -> None:
        """Record the answer of a run; None as ``body`` if it is a stream."""
        run = next((x for x in reversed(self._history.runs) if x.stamp == stamp), None)
        if run is not None:
            run.status = status
            run.body_digest = "" if body is None else digest_of(body)

    def order_answered(self, instance: HttpInstance, order: WeightsOrder, status: int) -> None:
        """Record the answer of an order."""
        self._history.answered_orders.append(
            AnsweredOrder(
                instance.traits.instance_id,
                order.holder,
                order.fencing_token,
                order.version,
                status,
                time.time(),
            )
        )

    def order_executed(self, instance: HttpInstance, holder: str, token: int) -> None:
        """Record an executed order."""
        order = TakenOrder(instance.traits.instance_id, holder, token, trio.current_time())
        self._history.orders.append(order)

    def entry_changed(self, instance: HttpInstance) -> None:
        """Write an instance's entry, if it is the current incarnation under its id."""
        instance_id = instance.traits.instance_id
        address = self.addresses.get(instance_id)
        if address is not None and self.current_instances.get(instance_id) is instance:
            self._store.put(f"servers/{instance_id}", instance.entry(address))
            self._note_restored(instance_id)

    def entry_overwritten(self, instance_id: str, value: bytes) -> None:
        """Write another writer's entry in the place of an instance's own."""
        self._store.put_bytes(f"servers/{instance_id}", value)
        entry = OverwrittenEntry(instance_id, trio.current_time())
        self._history.overwritten.append(entry)

    def _note_restored(self, instance_id: str) -> None:
        """Note that an instance's own entry stands in the store."""
        for entry in self._history.overwritten:
            if entry.instance_id == instance_id:
                entry.until = min(entry.until, trio.current_time())

    def fatal_request_started(self, instance: HttpInstance, request: str) -> None:
        """Report that an instance has begun a fatal request."""
        self.on_fatal(instance, request)
