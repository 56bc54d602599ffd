"""Instances of services as they publish themselves."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class Instance(msgspec.Struct, frozen=True):
    """One incarnation of a server of a service.

    Attributes:
        instance_id: New with every start.
        service: Name of its service.
        address: ``ip:port``.
        zone: Its zone.
        slots: Requests that it works on at once.
        draining: Whether it is about to leave and takes nothing new.
        versions: Weights version of each of its models.
        order_sequence: Orders that it has taken.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = {}
    order_sequence: int = 0


class NamedWeights(msgspec.Struct, frozen=True):
    """Weights that the operators named for a model.

    Attributes:
        model: Name of the model.
        version: Rises with every naming.
    """

    model: str
    version: int
