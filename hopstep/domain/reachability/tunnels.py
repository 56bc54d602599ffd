"""Results of connecting to an instance through a gateway."""

from __future__ import annotations

import enum

import msgspec


class TunnelFailure(enum.StrEnum):
    """Why no tunnel came about.

    ``INSTANCE_REFUSED`` and ``INSTANCE_SILENT``: the gateway reaches other instances, but this one
    refuses its connections or doesn't answer. ``CUT_OFF``: the gateway reaches no instance either.
    ``REJECTED``: the gateway doesn't open the tunnel. ``UNAVAILABLE``: the gateway didn't answer,
    or not authentically. ``INSTANCE_LEAVING``: the instance is shutting down, as the gateway knows.
    ``LATE``: the gateway's view of the instances is too old to tell.
    """

    INSTANCE_REFUSED = "instance_refused"
    INSTANCE_SILENT = "instance_silent"
    CUT_OFF = "cut_off"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    INSTANCE_LEAVING = "instance_leaving"
    LATE = "late"

    @property
    def is_instance_failure(self) -> bool:
        """Whether the instance itself can't be reached."""
        return self in (TunnelFailure.INSTANCE_REFUSED, TunnelFailure.INSTANCE_SILENT)


class TunnelTarget(msgspec.Struct, frozen=True):
    """An instance to which a tunnel is opened.

    Attributes:
        instance_id: Its id.
        address: ``ip:port`` of its listener.
    """

    instance_id: str
    address: str
