"""Types of an exchange: objects that all requests share, outcome for the log, response."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager

import msgspec
import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.repeat_budget import RepeatBudget
from hopstep.domain.exchanges.request import ExchangeRequest, Headers
from hopstep.domain.exchanges.selection import Candidate
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.services.exchanges.directory.sending_view import SendingView
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.requests.choice.instance_choice import InstanceChoice
from hopstep.services.exchanges.requests.queueing.request_queue import RequestQueue
from hopstep.services.exchanges.streams.stream_origins import StreamOrigins
from hopstep.services.quarantine.quarantine import Quarantine

MILLISECONDS = 1_000
UNKNOWN_MS = -1
"""Logged in place of a time that isn't known."""

CUT = "cut"
CLIENT_LEFT = "client_left"
STOPPED = "stopped"
CRASHED = "crashed"
"""Outcomes of requests that end without a complete response; others have a status or a code."""


class CompleteResponse(msgspec.Struct, frozen=True):
    """A response that was read to its end.

    Attributes:
        status: HTTP status.
        headers: Headers that are sent to the client.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: bytes


class AttemptCount(msgspec.Struct):
    """Attempts of one request.

    Attributes:
        sent: Attempts of which a byte was sent.
        uncounted: Those of them that don't count as attempts of the route: refused by an instance
            that had been replaced, or by one whose weights weren't the expected ones.
    """

    sent: int = 0
    uncounted: int = 0

    @property
    def counted(self) -> int:
        """Attempts that count against the route's limit."""
        return self.sent - self.uncounted

    def note_sent(self) -> None:
        """Count an attempt of which a byte was sent."""
        self.sent += 1

    def note_uncounted(self) -> None:
        """Note that the last attempt doesn't count."""
        self.uncounted += 1


class ExchangeOutcome(msgspec.Struct):
    """What is logged of a request when it has ended.

    Attributes:
        outcome: Status of the response, error code with execution, ``cut``, ``client_left`` or
            ``stopped``.
        instance: Id of the last instance that the request was sent to.
        software_version: Software version of that instance.
        attempts: Attempts that were made.
        first_byte_ms: Milliseconds from the head of the request to the first byte of the
            response; -1 for none.
        events: Events of a stream.
        pause_ms: Longest time between two chunks of a stream, in milliseconds.
        read_tokens: Prompt tokens that the last instance was expected to read.
        source: Address from which the last instance was to load segments; empty for none.
        target: Address to which the last instance was to save segments; empty for none.
        cache_salt: Salt of the cached segments at the last instance; empty without a prompt.
        waited_ms: Milliseconds for which the request waited for an instance to accept it.
        kept_from: Number of instances for each barrier that kept the request from them when it
            was refused.
        gateway: Node through which the last attempt was sent; empty for a direct connection.
        sent_ms: Milliseconds from the head of the request to the first byte of the last attempt
            that was sent; -1 for none.
        view_age_ms: Age of this node's view of the instances at that time, in milliseconds.
        connection: Number of the connection over which it was sent; 0 when it wasn't.
        send_number: How many calls were sent over that connection, that one included.
        fingerprint: Digest that equal requests share, in hexadecimal digits; empty when nothing
            counts against any request.
        quarantined_for: Digest of the request, or of the part of its prompt, for which it is
            refused, in hexadecimal digits; empty when it isn't.
    """

    outcome: str = ""
    instance: str = ""
    software_version: str = ""
    attempts: AttemptCount = msgspec.field(default_factory=AttemptCount)
    first_byte_ms: int = -1
    events: int = 0
    pause_ms: int = 0
    read_tokens: int = 0
    source: str = ""
    target: str = ""
    cache_salt: str = ""
    waited_ms: int = 0
    kept_from: dict[str, int] = {}
    gateway: str = ""
    sent_ms: int = UNKNOWN_MS
    view_age_ms: int = UNKNOWN_MS
    connection: int = 0
    send_number: int = 0
    fingerprint: str = ""
    quarantined_for: str = ""

    @property
    def is_unanswered(self) -> bool:
        """Whether the request was sent to an instance and its client got no complete response."""
        if not self.send_number:
            return False
        if self.outcome.startswith(CRASHED):
            # Until a response has begun, its client gets an error response.
            return self.first_byte_ms >= 0
        return self.outcome in (CUT, CLIENT_LEFT, STOPPED)


class ExchangeParts(msgspec.Struct, frozen=True):
    """Objects and callbacks that all requests of a node share.

    Attributes:
        calls: Sends requests to instances.
        choice: Chooses the instance of an attempt.
        budgets: Returns a service's retry budget.
        nodes: Returns how many nodes may be alive.
        note_sent: Called with each prompt that is sent; reports it to other nodes.
        note_suspected: Called with each instance that couldn't be reached or was silent, and
            whether a node with working links confirms that; reports it to other nodes.
        is_link_cut: Returns whether this node's link to an instance is cut.
        pauses: Detects pauses of the node's own process.
        quarantine: Requests under which instances crash.
        require_fresh: Raises ``ServiceError`` when keys may have been revoked unnoticed.
        count_failure: Called for each failed attempt with its error code and the next step.
        count_resume: Called for each resume with where its origin was known from.
        notices: Receives what instances announce in response headers.
        limits: Permits to send to rate-limited instances.
        queue: Requests that wait for an instance with capacity.
        origins: What began the streams that clients may resume.
        view_age: Returns the age of this node's view of the instances, in seconds.
        sending_view: The view by which requests are sent, which must be recent enough.
        is_drained: Returns whether the drain of a planned stop has ended: an answer that begins now
            would be cut.
        cancelled_by_stop: Lets the end of a planned stop cancel a request that still runs.
        configuration: Returns the version of the configuration in force.
        readmit: Raises ``ServiceError`` when a request for a service isn't allowed any more, or
            only in another way.
    """

    calls: InstanceCalls
    choice: InstanceChoice
    budgets: Callable[[str], RepeatBudget]
    nodes: Callable[[], int]
    note_sent: Callable[[Candidate], None]
    note_suspected: Callable[[InstanceView, bool], None]
    is_link_cut: Callable[[Instance], bool]
    pauses: PauseWatch
    quarantine: Quarantine
    require_fresh: Callable[[], None]
    count_failure: Callable[[str, str], None]
    count_resume: Callable[[str], None]
    notices: InstanceNotices
    limits: InstanceLimits
    queue: RequestQueue
    origins: StreamOrigins
    view_age: Callable[[], float]
    sending_view: SendingView
    is_drained: Callable[[], bool]
    cancelled_by_stop: Callable[[trio.CancelScope], AbstractContextManager[None]]
    configuration: Callable[[], int]
    readmit: Callable[[ExchangeRequest, str], None]
