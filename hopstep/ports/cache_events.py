"""Port to the events of caches: what cache stores and engines keep."""

from __future__ import annotations

import abc

import msgspec

from hopstep.domain.exchanges.store_contents import CacheEvent
from hopstep.domain.instance_notices import NoticeListener, ignore_notice


class CacheEventBatch(msgspec.Struct, frozen=True):
    """Events since a position.

    Attributes:
        epoch: Changes when the store or engine restarts empty.
        position: Where the next call goes on.
        lost: Whether events are missing before these.
        events: Oldest first.
        born_ms: Unix time in milliseconds of the start of who tells them; 0 when it tells none.
    """

    epoch: int
    position: int
    lost: bool
    events: tuple[CacheEvent, ...]
    born_ms: int = 0


class CacheEvents(abc.ABC):
    """Reads events."""

    @abc.abstractmethod
    async def read(
        self,
        address: str,
        position: int,
        wait_seconds: float,
        hear: NoticeListener = ignore_notice,
    ) -> CacheEventBatch | None:
        """Return events after a position, waiting for some; None without a usable answer.

        Args:
            address: ``ip:port`` of a cache store or an engine.
            position: Where the last batch ended; 0 at first.
            wait_seconds: Longest wait for events.
            hear: Told what the answer's head says of whoever has the address; the batch tells
                whose life that is.
        """
