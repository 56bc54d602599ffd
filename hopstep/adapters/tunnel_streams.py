"""Frames and chunks of tunnels on trio's socket streams."""

from __future__ import annotations

import trio

from hopstep.adapters.tunnel_codec import (
    CHUNK_HEADER,
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    TunnelFrameError,
)

READ_BYTES = 16 * 1024

BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
"""Errors of a stream whose connection has broken."""


class FrameReader:
    """Reads frames and chunks of a stream.

    Other tasks run before bytes that have arrived already are returned: one read may hold
    thousands of short chunks.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        """Read a stream from here on; nobody else may read it.

        Args:
            stream: The stream.
        """
        self._stream = stream
        self._buffer = bytearray()

    @property
    def has_unread(self) -> bool:
        """Whether bytes of the stream were received and not read."""
        return bool(self._buffer)

    async def read_frame(self) -> bytes:
        """Return the next frame without its header.

        Raises:
            TunnelFrameError: If the stream ends, or the frame is too long.
        """
        (length,) = FRAME_HEADER.unpack(await self.read_exactly(FRAME_HEADER.size))
        if length > MAX_FRAME_BYTES:
            raise TunnelFrameError("too long")
        return await self.read_exactly(length)

    async def read_chunk_header(self) -> int:
        """Return the next chunk's length, ``END`` or ``STOP``.

        Raises:
            TunnelFrameError: If the stream ends.
        """
        (length,) = CHUNK_HEADER.unpack(await self.read_exactly(CHUNK_HEADER.size))
        return int(length)

    async def read_exactly(self, count: int) -> bytes:
        """Return the next bytes.

        Raises:
            TunnelFrameError: If the stream ends before.
        """
        while len(self._buffer) < count:
            received = await self._stream.receive_some(READ_BYTES)
            if not received:
                raise TunnelFrameError("ended")
            self._buffer += received
        return await self._take(count)

    async def read_some(self, max_bytes: int) -> bytes:
        """Return the next bytes, as many as have arrived; none at the end of the stream."""
        if not self._buffer:
            return bytes(await self._stream.receive_some(min(max_bytes, READ_BYTES)))
        return await self._take(max_bytes)

    async def _take(self, max_bytes: int) -> bytes:
        """Return the first bytes that have arrived."""
        await trio.lowlevel.checkpoint()
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        return data
