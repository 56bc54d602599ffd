"""Lets ``httpcore`` use tunnels through other nodes as connections."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import httpcore
import trio

from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelTarget
from hopstep.ports.tunnels import (
    Tunnel,
    TunnelBrokenError,
    TunnelOpener,
    TunnelRequestRefusedError,
)

READABLE = "is_readable"
"""Name under which the library asks whether an idle connection has something to read; such a
connection isn't used again."""


class RefusedByGatewayError(httpcore.ReadError):
    """The gateway has passed no byte of the request on to the instance.

    Args:
        error: What the tunnel reported.
    """

    def __init__(self, error: TunnelRequestRefusedError) -> None:
        super().__init__(error.message)
        self.failure = error.failure


class TunnelStream(httpcore.AsyncNetworkStream):
    """A tunnel as a connection of the library."""

    def __init__(self, tunnel: Tunnel) -> None:
        """Use an open tunnel.

        Args:
            tunnel: The tunnel.
        """
        self._tunnel = tunnel

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
    ) -> bytes:
        """Read what has arrived."""
        try:
            with trio.fail_after(_seconds(timeout)):
                return await self._tunnel.receive_some(max_bytes)
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout from error
        except TunnelRequestRefusedError as error:
            raise RefusedByGatewayError(error) from error
        except TunnelBrokenError as error:
            raise httpcore.ReadError(error.message) from error

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
    ) -> None:
        """Write all bytes."""
        try:
            with trio.fail_after(_seconds(timeout)):
                await self._tunnel.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except TunnelBrokenError as error:
            raise httpcore.WriteError(error.message) from error

    async def aclose(self) -> None:
        """Close the tunnel."""
        await self._tunnel.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the library asks about the connection."""
        if info != READABLE:
            return None
        tunnel = self._tunnel
        return tunnel.is_stale or tunnel.has_unread or _is_readable(tunnel.socket)


class TunnelBackend(httpcore.AsyncNetworkBackend):
    """Opens tunnels to one instance through one gateway."""

    def __init__(self, opener: TunnelOpener, gateway: Gateway, target: TunnelTarget) -> None:
        """Create the backend of one pool.

        Args:
            opener: Opens tunnels.
            gateway: The node through which they lead.
            target: The instance.
        """
        self._opener = opener
        self._gateway = gateway
        self._target = target

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a tunnel, whose opener has time limits of its own.

        Raises:
            TunnelError: When none came about.
        """
        return TunnelStream(await self._opener.open(self._gateway, self._target))

    async def sleep(self, seconds: float) -> None:
        """Wait before another try to connect."""
        await trio.sleep(seconds)


def _seconds(timeout: float | None) -> float:
    """Return a time limit of the library in seconds."""
    return float("inf") if timeout is None else timeout


def _is_readable(socket: Any) -> bool:
    """Return whether a socket has something to read, or is closed."""
    return socket.fileno() < 0 or bool(socket.is_readable())
