"""One HTTP call of a node: what is sent and where, and what is recorded as it is sent."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelTarget
from hopstep.ports.instance_calls import SendProof


class TunnelRoute(msgspec.Struct, frozen=True):
    """A way to an instance through another node.

    Attributes:
        gateway: The node.
        target: The instance.
    """

    gateway: Gateway
    target: TunnelTarget


class ConnectionUse(enum.Enum):
    """How connections are used for a kind of call."""

    KEPT = enum.auto()
    """A connection carries calls one after another; each names its request, as its answer does."""

    SINGLE = enum.auto()
    """Each call has a connection of its own: nothing in its answer tells to which call it is."""


class PoolName(msgspec.Struct, frozen=True):
    """Name of a connection pool.

    Attributes:
        address: ``ip:port`` that its connections lead to.
        route: Tunnel by which they do; None for direct connections.
        use: How they are used.
    """

    address: str
    route: TunnelRoute | None = None
    use: ConnectionUse = ConnectionUse.KEPT


class HttpCall(msgspec.Struct, frozen=True):
    """One call.

    Attributes:
        address: ``ip:port``.
        method: HTTP method.
        target: Raw path and query.
        headers: All headers but the framing of the body.
        body: Complete body.
        connect_seconds: Longest wait for a connection.
        read_seconds: Longest wait for each read of the response; None for no limit.
        route: Tunnel by which the address is reached; None for a direct connection.
        request_id: Identifier that the answer repeats; empty for none. A connection carries each
            identifier once.
        use: How the connection is used.
    """

    address: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    connect_seconds: float = 0.5
    read_seconds: float | None = None
    route: TunnelRoute | None = None
    request_id: bytes = b""
    use: ConnectionUse = ConnectionUse.KEPT

    @property
    def pool_name(self) -> PoolName:
        """Name of the pool whose connections the call may use."""
        return PoolName(self.address, self.route, self.use)


class SendWithdrawnError(Exception):
    """A call was withdrawn before its connection was ready, and wasn't sent."""


class SendTrace:
    """Records when and over which connection a call is sent."""

    def __init__(
        self, proof: SendProof | None = None, may_send: Callable[[], bool] = lambda: True
    ) -> None:
        """Start with nothing sent.

        Args:
            proof: Marked as sent when the first byte may be written; a new one if None.
            may_send: Called right before that; False withdraws the call.
        """
        self.proof = proof or SendProof()
        self._may_send = may_send

    def note_connected(self) -> None:
        """Record that a new connection was opened for the call."""
        self.proof.connected = True

    def note_sending(self, connection: int, send_number: int) -> None:
        """Record that the first byte is about to be written.

        Args:
            connection: Number of the connection in this process.
            send_number: How many calls were sent over it, this one included.

        Raises:
            SendWithdrawnError: When ``may_send`` returns False.
        """
        if not self._may_send():
            raise SendWithdrawnError
        self.proof.sent = True
        self.proof.connection = connection
        self.proof.send_number = send_number
