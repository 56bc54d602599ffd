"""Whether a request is refused because of what crashes instances."""

from __future__ import annotations

import msgspec


class Refusal(msgspec.Struct, frozen=True):
    """A refusal of a request.

    Attributes:
        seconds: Remaining time for which it is refused; 0 when it may be sent.
        fingerprint: The request, or the part of its prompt, for which it is refused.
    """

    seconds: float
    fingerprint: bytes = b""


NOT_REFUSED = Refusal(0.0)
