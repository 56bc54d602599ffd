"""Instances of services, as they publish themselves in the directory."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

INCARNATION_SEPARATOR = "@"
"""Separates id and start time in the text form of an incarnation."""


class InstanceIncarnation(msgspec.Struct, frozen=True):
    """One run of an instance; a later run under the same id shares no state with it.

    Attributes:
        instance_id: Id of the instance.
        born_ms: Unix time of the start in milliseconds, as it states; 0 when it states none.
    """

    instance_id: str
    born_ms: int = 0

    def __str__(self) -> str:
        """Return the text form, as nodes report and log it."""
        return (
            f"{self.instance_id}{INCARNATION_SEPARATOR}{self.born_ms}"
            if self.born_ms
            else self.instance_id
        )

    def matches_start(self, born_ms: int) -> bool:
        """Return whether a message with this start time is of this incarnation; 0 matches any.

        Start times are compared for equality only: the store's revisions decide which of two
        incarnations is later, since the clocks of machines may step back.
        """
        return not (born_ms and self.born_ms) or born_ms == self.born_ms


def instance_id_of(incarnation: str) -> str:
    """Return the instance id in the text form of an incarnation."""
    instance_id, separator, born_ms = incarnation.rpartition(INCARNATION_SEPARATOR)
    return instance_id if separator and born_ms.isdecimal() else incarnation


class Instance(msgspec.Struct, frozen=True):
    """One incarnation of a server of a service.

    Attributes:
        instance_id: Its id; later incarnations may have the same one.
        service: Name of its service.
        address: ``ip:port``.
        zone: Its zone.
        slots: Requests that it processes concurrently.
        draining: Whether it is about to shut down and accepts nothing new.
        versions: Weights version of each of its models.
        order_sequence: Number of orders that it has accepted.
        born_ms: Unix time of its start in milliseconds, as it states; 0 when it states none.
        software_version: Version of its software, not of its weights; empty when the node that
            reported the entry is of a version that doesn't pass it on.
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
    software_version: str = ""

    @property
    def incarnation(self) -> InstanceIncarnation:
        """The incarnation that published this entry."""
        return InstanceIncarnation(self.instance_id, self.born_ms)


class NamedWeights(msgspec.Struct, frozen=True):
    """Weights version that the operators have set for a model.

    Attributes:
        model: Name of the model.
        version: Rises with every change.
    """

    model: str
    version: int
