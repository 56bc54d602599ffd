"""Opens tunnels through other nodes."""

from __future__ import annotations

import trio

from hopstep.adapters.tunnel_codec import (
    CHALLENGE_BYTES,
    END,
    REFUSALS,
    STOP,
    TunnelFrameError,
    decode_status,
    encode_open,
)
from hopstep.adapters.tunnel_streams import BROKEN, FrameReader
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.ports.tunnels import (
    Tunnel,
    TunnelBrokenError,
    TunnelError,
    TunnelOpener,
    TunnelRequestRefusedError,
)

OPEN_SECONDS = 1.0
"""Longest time until a tunnel is open: the gateway's connection attempt takes up to 0.4 s, and its
check of another instance as long."""

GATEWAY_CONNECT_SECONDS = 0.4
"""Longest time to connect to a gateway."""


class TunnelClient(TunnelOpener):
    """Opens tunnels in this node's name."""

    def __init__(self, name: str, key: bytes) -> None:
        """Create the opener.

        Args:
            name: Name of this node.
            key: Key that signs its messages.
        """
        self._name = name
        self._key = key

    async def open(self, gateway: Gateway, target: TunnelTarget) -> Tunnel:
        """Open a tunnel; see the port."""
        stream = await _connect(gateway)
        failure: TunnelFailure | None = TunnelFailure.UNAVAILABLE
        try:
            reader = FrameReader(stream)
            with trio.move_on_after(OPEN_SECONDS):
                failure = await self._ask(stream, reader, gateway, target)
        except (*BROKEN, TunnelFrameError) as error:
            raise TunnelError(TunnelFailure.UNAVAILABLE) from error
        finally:
            if failure is not None:
                await trio.aclose_forcefully(stream)
        if failure is not None:
            raise TunnelError(failure)
        return SocketTunnel(stream, reader)

    async def _ask(
        self,
        stream: trio.SocketStream,
        reader: FrameReader,
        gateway: Gateway,
        target: TunnelTarget,
    ) -> TunnelFailure | None:
        """Ask a gateway for a tunnel; return its answer."""
        challenge = await reader.read_exactly(CHALLENGE_BYTES)
        await stream.send_all(encode_open(self._name, gateway.name, target, self._key, challenge))
        return decode_status(await reader.read_frame(), gateway.key, challenge)


async def _connect(gateway: Gateway) -> trio.SocketStream:
    """Connect to a gateway.

    Raises:
        TunnelError: When it doesn't accept the connection in time.
    """
    host, _, port = gateway.address.rpartition(":")
    try:
        with trio.fail_after(GATEWAY_CONNECT_SECONDS):
            return await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError) as error:
        raise TunnelError(TunnelFailure.UNAVAILABLE) from error


class SocketTunnel(Tunnel):
    """An open tunnel on a connection to a gateway."""

    def __init__(self, stream: trio.SocketStream, reader: FrameReader) -> None:
        """Use a connection after the gateway has opened the tunnel.

        Args:
            stream: The connection.
            reader: Its reader.
        """
        self._stream = stream
        self._reader = reader
        self._remaining = 0
        self._has_ended = False
        self._is_stale = False
        self._has_response = False

    @property
    def is_stale(self) -> bool:
        """Whether no further request should be sent; see the port."""
        return self._is_stale

    @property
    def has_unread(self) -> bool:
        """Whether something was received and not read; see the port."""
        return self._remaining > 0 or self._reader.has_unread

    @property
    def socket(self) -> object:
        """Socket of the connection; see the port."""
        return self._stream.socket

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return bytes of the instance; see the port."""
        try:
            while not self._remaining and not self._has_ended:
                self._begin_chunk(await self._reader.read_chunk_header())
            if self._has_ended:
                return b""
            data = await self._reader.read_some(min(max_bytes, self._remaining))
        except (*BROKEN, TunnelFrameError) as error:
            raise TunnelBrokenError from error
        if not data:
            raise TunnelBrokenError
        self._remaining -= len(data)
        self._has_response = True
        return data

    def _begin_chunk(self, length: int) -> None:
        """Apply the header of a chunk.

        Raises:
            TunnelFrameError: When the gateway announces its stop again, or refuses a request whose
                response has begun.
            TunnelRequestRefusedError: When the gateway didn't pass the request on.
        """
        if length in REFUSALS:
            if self._has_response:
                raise TunnelFrameError("refused after the beginning of a response")
            raise TunnelRequestRefusedError(REFUSALS[length])
        if length == STOP:
            if self._is_stale:
                raise TunnelFrameError("the stop is announced again")
            self._is_stale = True
        elif length == END:
            self._has_ended = True
        else:
            self._remaining = length

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the instance; see the port."""
        self._has_response = False
        try:
            await self._stream.send_all(data)
        except BROKEN as error:
            raise TunnelBrokenError from error

    async def aclose(self) -> None:
        """Close the tunnel; see the port."""
        await trio.aclose_forcefully(self._stream)
