"""Port to cache events of cache stores and engines: segments stored and dropped."""

from __future__ import annotations

import abc

import msgspec

from hopstep.domain.exchanges.store_contents import CacheEvent
from hopstep.domain.instance_notices import NoticeListener, ignore_notice


class CacheEventBatch(msgspec.Struct, frozen=True):
    """Events since a position.

    Attributes:
        epoch: Changes when the store or engine restarts empty.
        position: Position from which the next call continues.
        lost: Whether events are missing before these.
        events: Oldest first.
        born_ms: Unix time in milliseconds at which the sender started; 0 when it names none.
    """

    epoch: int
    position: int
    lost: bool
    events: tuple[CacheEvent, ...]
    born_ms: int = 0


class CacheEvents(abc.ABC):
    """Reads cache events."""

    @abc.abstractmethod
    async def read(
        self,
        address: str,
        position: int,
        wait_seconds: float,
        on_notice: NoticeListener = ignore_notice,
    ) -> CacheEventBatch | None:
        """Return events after a position, waiting for some; None without a usable response.

        Args:
            address: ``ip:port`` of a cache store or an engine.
            position: Position at the end of the last batch; 0 at first.
            wait_seconds: Longest wait for events.
            on_notice: Called with the notice in the response's headers. It is about the instance
                that has the address now; ``born_ms`` of the batch names its incarnation.
        """
