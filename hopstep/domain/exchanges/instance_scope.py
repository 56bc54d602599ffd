"""Which instances may serve the next attempt of a request."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.request import ExchangeRequest


class InstanceScope(msgspec.Struct, eq=False):
    """What restricts the instances of a request's next attempt; it changes between attempts.

    Attributes:
        request: The request.
        service: Service that its route chose.
        tried: Ids of the instances that it was sent to, or that couldn't be reached.
    """

    request: ExchangeRequest
    service: str
    tried: set[str] = msgspec.field(default_factory=set)

    @property
    def model(self) -> str:
        """Model that the request names; empty for none."""
        return self.request.prompt.model if self.request.prompt is not None else ""
