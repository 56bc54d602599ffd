"""Verbs that list the requests kept from back ends since these end under them, and allow one."""

from __future__ import annotations

import msgspec

from hopstep.ctl.results import ExitCode, VerbResult
from hopstep.domain.quarantine.crash_ledger import CrashLedger
from hopstep.domain.quarantine.crashes import RequestCrashes
from hopstep.exceptions import ErrorCode, StoreConflictError, ValidationError
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.services.quarantine.records import QUARANTINE_PREFIX, StoredRequest

LIFTED = msgspec.json.encode(StoredRequest(lifted=True))
"""Value by which operators allow a request: nothing that is known so far counts any longer."""


class KeptRequest(msgspec.Struct, frozen=True):
    """A request under which back ends have ended.

    Attributes:
        fingerprint: In hexadecimal digits, as in the log.
        tenant: Its caller.
        route: Its route or class.
        ends: The lives that count, each with the node that saw its end.
        refused: Whether it is refused.
    """

    fingerprint: str
    tenant: str
    route: str
    ends: tuple[str, ...]
    refused: bool

    def __str__(self) -> str:
        """Return the request as one line."""
        state = "refused" if self.refused else "allowed"
        ends = ", ".join(self.ends)
        return f"{self.fingerprint}  {self.tenant}  {self.route}  {state}  {ends}"


class QuarantineDocument(msgspec.Struct, frozen=True):
    """Result of ``quarantine``; see ``KeptRequest``."""

    requests: tuple[KeptRequest, ...]


class ReleaseDocument(msgspec.Struct, frozen=True):
    """Result of ``release``: the request, and whether it may run again."""

    fingerprint: str
    released: bool


async def show_quarantine(store: KeyValueStorePort) -> VerbResult:
    """List the kept requests; those that can't be read are left out."""
    listing = await store.listing(QUARANTINE_PREFIX)
    stored = [_read(value.key, value.value) for value in listing.values]
    readable = [request for request in stored if request is not None]
    ledger = CrashLedger(node="")
    for told, _ in readable:
        ledger.merge(told, now=0.0)
    document = QuarantineDocument(tuple(_kept(*request, ledger) for request in readable))
    lines = [str(request) for request in document.requests]
    return VerbResult("\n".join(lines) or "no request is kept", document)


async def release_request(store: KeyValueStorePort, fingerprint: str) -> VerbResult:
    """Allow a request to run again.

    Args:
        store: The store.
        fingerprint: In hexadecimal digits, as in the log.

    Raises:
        ValidationError: When it isn't a fingerprint.
        StoreError: When nothing was written.
    """
    try:
        bytes.fromhex(fingerprint)
    except ValueError as error:
        message = f"expected hexadecimal digits, got {fingerprint!r}"
        raise ValidationError(ErrorCode.INVALID_CONFIGURATION, message, "FINGERPRINT") from error
    key = QUARANTINE_PREFIX + fingerprint
    kept = await store.get(key)
    if kept is None:
        document = ReleaseDocument(fingerprint, released=False)
        return VerbResult("no such request is kept", document, ExitCode.REJECTED)
    try:
        await store.compare_and_swap(key, kept.version, LIFTED)
    except StoreConflictError:
        document = ReleaseDocument(fingerprint, released=False)
        text = "a node has written more of it meanwhile; try again"
        return VerbResult(text, document, ExitCode.REJECTED)
    return VerbResult("it may run again", ReleaseDocument(fingerprint, released=True))


def _read(key: str, value: bytes) -> tuple[RequestCrashes, StoredRequest] | None:
    """Return a kept request; None when it can't be read."""
    try:
        fingerprint = bytes.fromhex(key.removeprefix(QUARANTINE_PREFIX))
        stored = msgspec.json.decode(value, type=StoredRequest)
    except ValueError:
        return None
    return RequestCrashes(fingerprint, stored.crashes, stored.cleared), stored


def _kept(told: RequestCrashes, stored: StoredRequest, ledger: CrashLedger) -> KeptRequest:
    """Return a request as it is shown.

    Args:
        told: What is known of it.
        stored: How it is named.
        ledger: All kept requests; one may explain ends of another.
    """
    crashes = [crash for crash in told.crashes if crash.incarnation not in told.cleared]
    return KeptRequest(
        fingerprint=told.fingerprint.hex(),
        tenant=stored.tenant,
        route=stored.route,
        ends=tuple(f"{crash.incarnation} seen by {crash.node}" for crash in crashes),
        refused=ledger.refused_seconds(told.fingerprint, now=0.0) > 0,
    )
