"""Ports to tunnels: connections to instances that another node, the gateway, makes.

The node that took a request decides everything about it; a gateway only passes on bytes. So the
promises about a request hold as they do on a direct connection.
"""

from __future__ import annotations

import abc

from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.exceptions import ErrorCode, PortError


class TunnelError(PortError):
    """No tunnel came about; no byte of a request was sent.

    Args:
        failure: Why.
    """

    def __init__(self, failure: TunnelFailure) -> None:
        super().__init__(ErrorCode.ENGINE_UNREACHABLE, f"no tunnel, {failure.value}")
        self.failure = failure


class TunnelBrokenError(PortError):
    """A tunnel ended before the instance had closed its connection in order."""

    def __init__(self) -> None:
        super().__init__(ErrorCode.STREAM_INTERRUPTED, "the tunnel broke off")


class TunnelRequestRefusedError(PortError):
    """A gateway has passed no byte of a request on to the instance.

    Args:
        failure: Why.
    """

    def __init__(self, failure: TunnelFailure) -> None:
        super().__init__(ErrorCode.ENGINE_UNREACHABLE, f"not passed on, {failure.value}")
        self.failure = failure


class Tunnel(abc.ABC):
    """An open tunnel, used like a connection to the instance."""

    @property
    @abc.abstractmethod
    def is_stale(self) -> bool:
        """Whether no further request should be sent, as the gateway is stopping."""

    @property
    @abc.abstractmethod
    def has_unread(self) -> bool:
        """Whether something was received from the gateway's socket and not read from the tunnel."""

    @property
    @abc.abstractmethod
    def socket(self) -> object:
        """Socket of the connection to the gateway, which becomes readable when anything arrives."""

    @abc.abstractmethod
    async def receive_some(self, max_bytes: int) -> bytes:
        """Return bytes of the instance; none after it closed its connection in order.

        Raises:
            TunnelBrokenError: When the instance's connection was reset, or the gateway is lost.
            TunnelRequestRefusedError: When the gateway didn't pass the request on.
        """

    @abc.abstractmethod
    async def send_all(self, data: bytes) -> None:
        """Send bytes to the instance.

        Raises:
            TunnelBrokenError: When the tunnel has ended.
        """

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close the tunnel; the gateway then closes its connection to the instance."""


class TunnelOpener(abc.ABC):
    """Opens tunnels through other nodes."""

    @abc.abstractmethod
    async def open(self, gateway: Gateway, target: TunnelTarget) -> Tunnel:
        """Open a tunnel.

        Raises:
            TunnelError: When none came about.
        """


class TunnelGate(abc.ABC):
    """Decides at a gateway which tunnels are opened."""

    @abc.abstractmethod
    def check(self, sender: str, target: TunnelTarget) -> TunnelFailure | None:
        """Return why a tunnel for another node isn't opened; None if it is.

        Args:
            sender: Name of the authenticated node.
            target: The instance that it names.
        """

    @abc.abstractmethod
    def check_request(self, target: TunnelTarget) -> TunnelFailure | None:
        """Return why a request isn't passed on through an open tunnel; None if it is.

        Args:
            target: The instance to which the tunnel leads.
        """

    @abc.abstractmethod
    async def diagnose(self, target: TunnelTarget, *, refused: bool) -> TunnelFailure:
        """Return whether a failed connection shows more of the instance or of this node's link.

        Args:
            target: The instance.
            refused: Whether the connection was refused; otherwise it timed out.
        """
