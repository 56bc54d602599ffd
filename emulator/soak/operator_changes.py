"""Changes of the configuration and of entries that the operator made.

All times are seconds of the soak process's monotonic clock.
"""

from __future__ import annotations

import msgspec

from emulator.soak.request_records import RequestKind


class Revocation(msgspec.Struct, frozen=True):
    """A revoked API key, and when the store acknowledged the revocation."""

    key: str
    at: float


class RouteChange(msgspec.Struct, frozen=True):
    """A route that was added or removed.

    Attributes:
        path: Its path; each path is added at most once and removed at most once.
        present: Whether it was added; False if it was removed.
        at: When the store acknowledged the change.
    """

    path: str
    present: bool
    at: float


class KeyMove(msgspec.Struct, frozen=True):
    """A key that another tenant holds from a time on; no tenant if the name is empty."""

    key: str
    tenant: str
    at: float


class IsolationChange(msgspec.Struct, frozen=True):
    """A tenant that is isolated, or shares again, from a time on."""

    tenant: str
    isolated: bool
    at: float


class BodyLimit(msgspec.Struct, frozen=True):
    """A limit on bodies, in bytes, and when the store acknowledged it."""

    max_bytes: int
    at: float


class Redirect(msgspec.Struct, frozen=True):
    """A kind of request that goes to a service from a time on."""

    kind: RequestKind
    service: str
    at: float


class WeightsChange(msgspec.Struct, frozen=True):
    """A new target version of the weights, and when the store acknowledged it."""

    version: int
    at: float


class DrainStart(msgspec.Struct, frozen=True):
    """The moment at which an instance is listed as draining.

    Attributes:
        incarnation: Instance id and start of the incarnation; a later incarnation may accept
            requests again.
        at: When the store acknowledged the entry.
    """

    incarnation: str
    at: float
