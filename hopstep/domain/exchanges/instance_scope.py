"""Which instances may serve the next attempt of a request."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.domain.exchanges.streams.origin import StreamOrigin


class InstanceScope(msgspec.Struct, eq=False):
    """What restricts the instances of a request's next attempt; it changes between attempts.

    Attributes:
        request: The request.
        service: Service that its route chose.
        tried: Ids of the instances that it was sent to, or that couldn't be reached.
        origin: What began the stream that the request goes on with; None before its first event.
    """

    request: ExchangeRequest
    service: str
    tried: set[str] = msgspec.field(default_factory=set)
    origin: StreamOrigin | None = None

    @property
    def model(self) -> str:
        """Model that the request names; empty for none."""
        return self.request.prompt.model if self.request.prompt is not None else ""

    @property
    def software_version(self) -> str:
        """Software version that the instance must have; empty when the stream hasn't begun."""
        return self.origin.software_version if self.origin is not None else ""

    @property
    def begins_stream(self) -> bool:
        """Whether the attempt may begin a stream that its client may resume."""
        route = self.request.route
        return self.origin is None and route.kind is RequestKind.STREAM and route.resumable

    def admits(self, instance: Instance) -> bool:
        """Return whether an instance may serve the attempt, whether or not it accepts it now."""
        if instance.instance_id in self.tried:
            return False
        return self.origin is None or self.origin.allows(instance)
