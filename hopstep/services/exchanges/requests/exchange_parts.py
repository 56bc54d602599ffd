"""What an exchange is made of: shared parts, its outcome for the log, a whole answer."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopstep.domain.exchanges.repeat_budget import RepeatBudget
from hopstep.domain.exchanges.request import Headers
from hopstep.domain.exchanges.selection import Candidate
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.requests.instance_choice import InstanceChoice
from hopstep.services.quarantine.quarantine import Quarantine

MILLISECONDS = 1_000


class WholeAnswer(msgspec.Struct, frozen=True):
    """An answer that was read to its end.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed back.
        body: Whole body.
    """

    status: int
    headers: Headers
    body: bytes


class ExchangeOutcome(msgspec.Struct):
    """What is told of a request when it has ended.

    Attributes:
        outcome: Status, or how it was cut.
        instance: Last instance.
        attempts: Attempts of which a byte was sent.
        first_byte_ms: From the head of the request to the first byte of the answer.
        events: Events of a stream.
        pause_ms: Longest time between two pieces of a stream.
        read_tokens: Prompt tokens that the last instance was expected to read.
        source: Where it was told to bring segments from.
        target: Where it was told to save segments.
        waited_ms: Time for which it waited here until an instance took it.
        kept_from: How many instances each barrier kept it from when it was refused.
        fingerprint: Digest that equal requests share, in hexadecimal digits; empty when nothing
            counts against any request.
    """

    outcome: str = ""
    instance: str = ""
    attempts: int = 0
    first_byte_ms: int = -1
    events: int = 0
    pause_ms: int = 0
    read_tokens: int = 0
    source: str = ""
    target: str = ""
    waited_ms: int = 0
    kept_from: dict[str, int] = {}
    fingerprint: str = ""


class ExchangeParts(msgspec.Struct, frozen=True):
    """What all requests of a node share.

    Attributes:
        calls: Instances.
        choice: Chooses among them.
        budgets: Returns a service's retry budget.
        nodes: Returns how many nodes may be alive.
        note_sent: Told of each prompt that is sent, for the peers.
        pauses: Notices pauses of the node itself.
        quarantine: Requests that end instances.
        require_fresh: Raises ``ServiceError`` when keys may have been revoked unnoticed.
        count_failure: Told of each failed attempt: its code, and what follows.
        notices: Hears what instances say of themselves.
        limits: Permits to send to limited instances.
    """

    calls: InstanceCalls
    choice: InstanceChoice
    budgets: Callable[[str], RepeatBudget]
    nodes: Callable[[], int]
    note_sent: Callable[[Candidate], None]
    pauses: PauseWatch
    quarantine: Quarantine
    require_fresh: Callable[[], None]
    count_failure: Callable[[str, str], None]
    notices: InstanceNotices
    limits: InstanceLimits
