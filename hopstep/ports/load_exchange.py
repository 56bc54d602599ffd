"""Port to datagrams by which nodes tell each other what they have sent where: hints only."""

from __future__ import annotations

import abc
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.segments import SegmentKey


class InstanceLoad(msgspec.Struct, frozen=True, array_like=True):
    """A node's requests at one instance.

    Attributes:
        instance_id: The instance.
        active: Requests under way.
        pending_tokens: Prompt tokens not read yet.
        suspended_ms: How much longer this node sends it nothing, because it failed.
    """

    instance_id: str
    active: int
    pending_tokens: int
    suspended_ms: int = 0


class SentSegments(msgspec.Struct, frozen=True, array_like=True):
    """Segments of a prompt that was sent to an instance."""

    instance_id: str
    keys: tuple[SegmentKey, ...]


class LoadingEngine(msgspec.Struct, frozen=True, array_like=True):
    """An engine that is loading weights, and for how much longer at least."""

    instance_id: str
    milliseconds: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """One node's report.

    Attributes:
        node: Its name.
        sequence: Rises with each report of one process.
        loads: Instances whose load changed.
        sent: Prompts sent since the last report.
        loading: Engines that load weights.
    """

    node: str
    sequence: int
    loads: tuple[InstanceLoad, ...] = ()
    sent: tuple[SentSegments, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()


class LoadExchange(abc.ABC):
    """Sends and receives reports."""

    @abc.abstractmethod
    async def send(self, report: LoadReport, addresses: Iterable[str]) -> None:
        """Send a report; losses go unnoticed."""

    @abc.abstractmethod
    async def receive(self) -> LoadReport:
        """Return the next report; datagrams that can't be read are dropped."""
