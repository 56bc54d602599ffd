"""Port to instances of services: requests passed to them, and their answers."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import msgspec

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import ExchangeRequest, Headers
from hopstep.domain.instance_notices import NoticeListener, ignore_notice
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.exceptions import ErrorCode, Execution, PortError


class InstanceCallError(PortError):
    """An instance gave no whole answer.

    Args:
        code: Stable code.
        message: One sentence.
        execution: Not run only when that is proved.
        sent: Whether any byte of the request may have left.
        stale_version: Whether the instance itself says that its weights have another version.
        replaced: Whether another incarnation answers at its address, so that it has ended.
        withdrawn: Whether nothing was sent because ``InstanceCall.may_send`` said so.
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
    ) -> None:
        super().__init__(code, message)
        self.execution = execution
        self.sent = sent
        self.stale_version = stale_version
        self.replaced = replaced
        self.withdrawn = withdrawn


def withdrawn_call() -> InstanceCallError:
    """Return the error of a call that wasn't sent because ``InstanceCall.may_send`` said so."""
    return InstanceCallError(
        ErrorCode.OVERLOADED,
        "the instance leaves or wants rest",
        Execution.NOT_RUN,
        sent=False,
        withdrawn=True,
    )


class SendProof(msgspec.Struct):
    """Tells what has left while a call is under way.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    sent: bool = False


class InstanceCall(msgspec.Struct, frozen=True):
    """One attempt of a request.

    Attributes:
        instance: Where it goes; another incarnation at its address must not run it.
        request: The request.
        remaining_seconds: Time after which the instance should stop.
        priority: 0 (first) to 9; None for none.
        resume_after: Last event that the client has; empty for a new stream.
        expected_version: Weights version that the instance must have; 0 for any.
        cache_salt: Text under which segments are kept; empty for none.
        cache_source: ``ip:port`` from which kept segments are brought; empty for none.
        cache_target: ``ip:port`` of a cache store that gets the segments; empty for none.
        proof: Set by the adapter as the request leaves.
        hear: Told what the instance's own answer says of it, also when that is a refusal.
        may_send: Asked right before the first byte leaves, which may be long after the choice:
            while a connection is made the instance may say that it leaves or wants rest.
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
    hear: NoticeListener = ignore_notice
    may_send: Callable[[], bool] = lambda: True


class InstanceAnswer(abc.ABC):
    """The head of an answer, and its body as it comes.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed back.
        signed: Whether the answer carries the instance's signature.
        weights_version: Version that the answer names, in its head or with an event that has come
            since; 0 for none.
    """

    status: int
    headers: Headers
    signed: bool
    weights_version: int

    @abc.abstractmethod
    def body(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
            InstanceCallError: When it broke off or isn't proved whole.
        """


class InstanceCalls(abc.ABC):
    """Sends requests to instances."""

    @abc.abstractmethod
    def open(self, call: InstanceCall) -> AbstractAsyncContextManager[InstanceAnswer]:
        """Send a request; leaving the context early cancels it at the instance.

        Raises:
            InstanceCallError: When there is no answer to this request, or the instance says
                that it hasn't run it.
        """

    @abc.abstractmethod
    async def look(self, instance: Instance) -> InstanceProbeResult:
        """Return whether something listens at an instance's address, or it has surely ended."""

    @abc.abstractmethod
    def idle_addresses(self) -> set[str]:
        """Return the addresses with connections on which no request is under way."""

    @abc.abstractmethod
    async def drop_idle(self, address: str) -> None:
        """Make later requests to an address on new connections: idle ones may be silent."""

    @abc.abstractmethod
    async def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer used."""
