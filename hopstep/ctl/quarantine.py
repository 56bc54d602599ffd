"""Verbs for requests and parts of prompts that crash back ends: list them, and release one."""

from __future__ import annotations

import msgspec

from hopstep.ctl.results import ExitCode, VerbResult
from hopstep.decoding import decode_json
from hopstep.domain.quarantine.crash_ledger import CrashLedger
from hopstep.domain.quarantine.crashes import CrashSubject, RequestCrashes
from hopstep.exceptions import ErrorCode, StoreConflictError, ValidationError
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX, StoredRequest

LIFTED = msgspec.json.encode(StoredRequest(lifted=True))
"""Stored value by which operators allow a request: earlier terminations no longer count."""


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request, or a part of prompts, under which back ends terminated.

    Attributes:
        fingerprint: Fingerprint in hexadecimal digits, as in the log.
        subject: Whether it is a request or a part.
        tenant: Tenant that sent it.
        route: Its route or class.
        ends: Terminated incarnations that count, each with the node that saw the termination.
        discounted: Number of terminations that don't count, as it was answered or lifted.
        trials: Trials that it has used.
        refused: Whether it is refused.
    """

    fingerprint: str
    subject: str
    tenant: str
    route: str
    ends: tuple[str, ...]
    discounted: int
    trials: int
    refused: bool

    def __str__(self) -> str:
        """Return the request as one line."""
        state = "refused" if self.refused else "allowed"
        ends = ", ".join(self.ends)
        used = f"{self.discounted} discounted, {self.trials} trials"
        name = f"{self.fingerprint}  {self.subject}  {self.tenant}  {self.route}"
        return f"{name}  {state}  {ends}  ({used})"


class QuarantineDocument(msgspec.Struct, frozen=True):
    """Result of ``quarantine``; see ``QuarantineEntry``."""

    requests: tuple[QuarantineEntry, ...]


class ReleaseDocument(msgspec.Struct, frozen=True):
    """Result of ``release``: the request, and whether it may run again."""

    fingerprint: str
    released: bool


async def show_quarantine(store: KeyValueStorePort) -> VerbResult:
    """List the stored requests; unreadable ones are skipped."""
    listing = await store.listing(QUARANTINE_PREFIX)
    stored = [_read(value.key, value.value) for value in listing.values]
    readable = [request for request in stored if request is not None]
    ledger = CrashLedger(node="")
    for request_crashes, _ in readable:
        ledger.merge(request_crashes, now=0.0)
    document = QuarantineDocument(tuple(_describe(*request, ledger) for request in readable))
    lines = [str(request) for request in document.requests]
    return VerbResult("\n".join(lines) or "no request is kept", document)


async def release_request(store: KeyValueStorePort, fingerprint: str) -> VerbResult:
    """Allow a request to run again.

    Args:
        store: The store.
        fingerprint: Fingerprint in hexadecimal digits, as in the log.

    Raises:
        ValidationError: When it isn't a fingerprint.
        StoreError: When the store failed and nothing was written.
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
        text = "a node changed the entry at the same time; try again"
        return VerbResult(text, document, ExitCode.REJECTED)
    return VerbResult("it may run again", ReleaseDocument(fingerprint, released=True))


def _read(key: str, value: bytes) -> tuple[RequestCrashes, StoredRequest] | None:
    """Return a stored request; None when it can't be read."""
    try:
        fingerprint = bytes.fromhex(key.removeprefix(QUARANTINE_PREFIX))
        stored = decode_json(value, StoredRequest)
    except ValueError:
        return None
    return RequestCrashes(fingerprint, stored.crashes, stored.cleared), stored


def _describe(
    request_crashes: RequestCrashes, stored: StoredRequest, ledger: CrashLedger
) -> QuarantineEntry:
    """Return a request as shown to operators.

    Args:
        request_crashes: Its crashes.
        stored: Its stored entry, which names tenant and route.
        ledger: All stored requests; one may explain terminations of another.
    """
    crashes = [
        crash
        for crash in request_crashes.crashes
        if crash.incarnation not in request_crashes.cleared
    ]
    return QuarantineEntry(
        fingerprint=request_crashes.fingerprint.hex(),
        subject=CrashSubject(request_crashes.fingerprint).kind.value,
        tenant=stored.tenant,
        route=stored.route,
        ends=tuple(f"{crash.incarnation} seen by {crash.node}" for crash in crashes),
        discounted=len(request_crashes.crashes) - len(crashes),
        trials=stored.trials,
        refused=ledger.refused_seconds(request_crashes.fingerprint, now=0.0) > 0,
    )
