"""Form of a quarantined request's record in the store.

There is a key for each request under which more than one instance has terminated. Operators look
requests up here, so values are readable.
"""

from __future__ import annotations

import msgspec

from hopstep.decoding import decode_json
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.domain.quarantine.trial_uses import TrialUse

QUARANTINE_PREFIX = "hopstep/quarantine/"
"""Prefix of a request's key, followed by its fingerprint in hexadecimal digits."""

MAX_RECORD_BYTES = 64 * 1024
"""Longest record: some 500 terminations; a request is refused after three."""


class StoredRequest(msgspec.Struct, frozen=True):
    """Value of a request's key.

    Attributes:
        tenant: Caller of the request.
        route: Route of the request.
        crashes: Terminations of instances under it.
        cleared: Incarnations whose terminations no longer count.
        lifted: Set by operators: no termination recorded so far counts any longer.
        trials: Trials that the request has used.
        claimant: Process that claimed the last trial; missing once the trial has been judged.
        repeats: Trials that were run again because their processes had ended; missing for none.
    """

    tenant: str = ""
    route: str = ""
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()
    lifted: bool = False
    trials: int = 0
    claimant: str | msgspec.UnsetType = msgspec.UNSET
    repeats: int | msgspec.UnsetType = msgspec.UNSET

    @property
    def use(self) -> TrialUse:
        """The trials that it has used."""
        return TrialUse(self.trials, self.claimant or "", self.repeats or 0)


def request_key(fingerprint: bytes) -> str:
    """Return the key of a request."""
    return QUARANTINE_PREFIX + fingerprint.hex()


def read_fingerprint(key: str) -> bytes:
    """Return the fingerprint in a request's key.

    Raises:
        msgspec.DecodeError: It isn't written in hexadecimal digits.
    """
    try:
        return bytes.fromhex(key.removeprefix(QUARANTINE_PREFIX))
    except ValueError as error:
        raise msgspec.DecodeError(str(error)) from error


def read_stored(value: bytes) -> StoredRequest:
    """Return the record of a request's key.

    Raises:
        msgspec.DecodeError: It is too long, or a field can't be read.
    """
    if len(value) > MAX_RECORD_BYTES:
        raise msgspec.DecodeError(f"expected at most {MAX_RECORD_BYTES} bytes, got {len(value)}")
    return decode_json(value, StoredRequest)


def encode_stored(caller: str, route: str, known: RequestCrashes, use: TrialUse) -> bytes:
    """Return the value of a request's key.

    Args:
        caller: Its caller.
        route: Its route.
        known: Terminations under it.
        use: The trials that it has used.
    """
    return msgspec.json.encode(
        StoredRequest(
            caller,
            route,
            known.crashes,
            known.cleared,
            trials=use.used,
            claimant=use.claimant or msgspec.UNSET,
            repeats=use.repeats or msgspec.UNSET,
        )
    )
