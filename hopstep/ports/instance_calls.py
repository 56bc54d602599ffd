"""Port to instances of services: forwarded requests, and their responses."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import msgspec

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import ExchangeRequest, Headers
from hopstep.domain.instance_notices import NoticeListener, ignore_notice
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure
from hopstep.exceptions import ErrorCode, Execution, PortError


class InstanceCallError(PortError):
    """A request to an instance got no complete response.

    Args:
        code: Stable code.
        message: One sentence.
        execution: ``NOT_RUN`` only when that is proved.
        sent: Whether any byte of the request may have been sent.
        stale_version: Whether the instance itself refused because its weights have another version.
        replaced: Whether another incarnation answered at its address, so that it has terminated.
        withdrawn: Whether nothing was sent because ``InstanceCall.may_send`` returned False.
        tunnel_failure: Why no connection came about through the call's gateway; None for a direct
            call, and for one that was sent.
        confirmed: Whether a node with working links couldn't reach the instance either.
        taken_back: Whether this node ended the call because the instance hadn't begun in time; the
            instance isn't at fault.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        execution: Execution,
        *,
        sent: bool = True,
        stale_version: bool = False,
        replaced: bool = False,
        withdrawn: bool = False,
        tunnel_failure: TunnelFailure | None = None,
        confirmed: bool = False,
        taken_back: bool = False,
    ) -> None:
        super().__init__(code, message)
        self.execution = execution
        self.sent = sent
        self.stale_version = stale_version
        self.replaced = replaced
        self.withdrawn = withdrawn
        self.tunnel_failure = tunnel_failure
        self.confirmed = confirmed
        self.taken_back = taken_back


def withdrawn_call() -> InstanceCallError:
    """Return the error of a call that ``InstanceCall.may_send`` kept from being sent."""
    return InstanceCallError(
        ErrorCode.OVERLOADED,
        "the instance is shutting down or backing off",
        Execution.NOT_RUN,
        sent=False,
        withdrawn=True,
    )


class SendProof(msgspec.Struct):
    """Shows, while a call is in progress, whether its request was sent.

    Attributes:
        sent: Whether any byte of the request may have been sent.
        connected: Whether a new connection was opened for it.
        gateway: Name of the node through which it was sent; empty for a direct connection.
        connection: Number of the connection in this process; 0 until it was sent.
        send_number: How many calls were sent over that connection, this one included.
    """

    sent: bool = False
    connected: bool = False
    gateway: str = ""
    connection: int = 0
    send_number: int = 0

    def take_back(self) -> None:
        """Note that no byte of the request has reached the instance, as a gateway proves."""
        self.sent = False
        self.connected = False
        self.connection = self.send_number = 0


class InstanceCall(msgspec.Struct, frozen=True):
    """One attempt of a request.

    Attributes:
        instance: Its target; another incarnation at its address must not run it.
        request: The request.
        remaining_seconds: Time in seconds after which the instance should stop.
        priority: 0 (first) to 9; None for none.
        resume_after: Last event that the client has; empty for a new stream.
        expected_version: Weights version that the instance must have; 0 for any.
        cache_salt: Salt of the cached segments; empty for none.
        cache_source: ``ip:port`` from which cached segments are imported; empty for none.
        cache_target: ``ip:port`` of a cache store that segments are exported to; empty for none.
        proof: Set by the adapter as the request is sent.
        on_notice: Called with the notice in the instance's own response, also if that is a refusal.
        may_send: Called right before the first byte is sent; False withdraws the call. While its
            connection is made the instance may announce a shutdown or a backoff.
        gateway: Node through which the instance is reached; None for a direct connection.
    """

    instance: Instance
    request: ExchangeRequest
    remaining_seconds: float
    priority: int | None = None
    resume_after: str = ""
    expected_version: int = 0
    cache_salt: str = ""
    cache_source: str = ""
    cache_target: str = ""
    proof: SendProof = msgspec.field(default_factory=SendProof)
    on_notice: NoticeListener = ignore_notice
    may_send: Callable[[], bool] = lambda: True
    gateway: Gateway | None = None


class InstanceAnswer(abc.ABC):
    """The head of a response, and its body as it arrives.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded to the client.
        signed: Whether the response carries the instance's signature.
        weights_version: Version that the response names, in its head or with an event received
            since; 0 for none.
        length: Length of the body in bytes; None when the head doesn't state it.
        ends_with_connection: Whether the body has neither a length nor chunks, so that it ends with
            the connection, also when the instance terminates.
    """

    status: int
    headers: Headers
    signed: bool
    weights_version: int
    length: int | None = None
    ends_with_connection: bool = False

    @abc.abstractmethod
    def body(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
            InstanceCallError: When it was cut off or isn't proved complete.
        """


class InstanceCalls(abc.ABC):
    """Sends requests to instances."""

    @abc.abstractmethod
    def open(self, call: InstanceCall) -> AbstractAsyncContextManager[InstanceAnswer]:
        """Send a request; leaving the context early cancels it at the instance.

        Raises:
            InstanceCallError: When there is no response to this request, or the instance states
                that it hasn't run it.
        """

    @abc.abstractmethod
    async def probe_connection(self, instance: Instance) -> InstanceProbeResult:
        """Try to connect to an instance directly; return whether it listens or refuses."""

    @abc.abstractmethod
    async def probe_through(self, instance: Instance, gateway: Gateway) -> TunnelFailure | None:
        """Try to connect to an instance through a gateway; return why that failed, or None."""

    @abc.abstractmethod
    def idle_addresses(self) -> set[str]:
        """Return the addresses with connections but without requests in progress."""

    @abc.abstractmethod
    async def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address, which may have become unresponsive."""

    @abc.abstractmethod
    async def drop_unused_tunnels(self) -> None:
        """Close the tunnels that have been idle for longer than connections are kept."""

    @abc.abstractmethod
    async def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer used."""
