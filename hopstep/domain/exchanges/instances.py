"""Instances of services as they publish themselves."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

INCARNATION_SEPARATOR = "@"
"""Between id and start in the text form of a life."""


class InstanceIncarnation(msgspec.Struct, frozen=True):
    """One start of an instance: a later one under the same id holds nothing of this one.

    Attributes:
        instance_id: Id of the instance.
        born_ms: Unix time of the start in milliseconds, as it tells; 0 when it tells none.
    """

    instance_id: str
    born_ms: int = 0

    def __str__(self) -> str:
        """Return the life as nodes tell and log it."""
        return (
            f"{self.instance_id}{INCARNATION_SEPARATOR}{self.born_ms}"
            if self.born_ms
            else self.instance_id
        )

    def matches_start(self, born_ms: int) -> bool:
        """Return whether a word with a start is of this life; one without may be.

        Starts are compared for equality only: which of two lives is the later follows from the
        store's revisions, since the clocks of machines may step back.
        """
        return not (born_ms and self.born_ms) or born_ms == self.born_ms


def instance_id_of(incarnation: str) -> str:
    """Return the id of the instance that a life in its text form is of."""
    instance_id, separator, born_ms = incarnation.rpartition(INCARNATION_SEPARATOR)
    return instance_id if separator and born_ms.isdecimal() else incarnation


class Instance(msgspec.Struct, frozen=True):
    """One life of a server of a service.

    Attributes:
        instance_id: Its id; it may start again under it.
        service: Name of its service.
        address: ``ip:port``.
        zone: Its zone.
        slots: Requests that it works on at once.
        draining: Whether it is about to leave and takes nothing new.
        versions: Weights version of each of its models.
        order_sequence: Orders that it has taken.
        born_ms: Unix time of its start in milliseconds, as it tells; 0 when it tells none.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = {}
    order_sequence: int = 0
    born_ms: int = 0

    @property
    def incarnation(self) -> InstanceIncarnation:
        """Which start of the instance this is."""
        return InstanceIncarnation(self.instance_id, self.born_ms)


class NamedWeights(msgspec.Struct, frozen=True):
    """Weights that the operators named for a model.

    Attributes:
        model: Name of the model.
        version: Rises with every naming.
    """

    model: str
    version: int
