"""Requests and streams of callers, and their runs at instances.

All times are seconds of the soak process's monotonic clock.
"""

from __future__ import annotations

import enum

import msgspec

OK = 200
EVENT_END = b"\n\n"


class RequestKind(enum.StrEnum):
    """Kind of a request, which decides whether it may be executed more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def at_most_once(self) -> bool:
        """Whether a request may be executed at most once."""
        return self in (RequestKind.UNSAFE, RequestKind.STREAM)


class SentRequest(msgspec.Struct):
    """A request of a caller and its outcome.

    Attributes:
        request_id: Its name: its id, and its number if callers make several tries with one id.
        kind: Kind, which decides how often it may run.
        service: Service of its route.
        key: API key that it carries.
        node: Node that it was sent to.
        sent_at: Time of sending.
        deadline_at: Deadline of the caller.
        events: Number of events of the complete stream.
        ended_at: Time of its end; None while it runs.
        status: HTTP status; None without a response.
        stamp: Signature of the run that produced the response.
        body: Body received so far.
        whole: Whether the response ended as the protocol requires.
        left: Whether the caller disconnected on purpose.
        refused_connection: Whether the connection couldn't be established.
        path: Path of a configuration probe; empty for other requests.
        fatal: Name shared by equal requests that crash each instance that begins them; empty for
            other requests. For requests that differ and share a part of their prompts that does so,
            the id of the part.
        has_fatal_part: Whether it is the part that crashes instances.
        head_at: When the head of the response arrived; None without one.
        first_event: Number of the first event that is still missing, for a resume.
        resumes: Request that brought the first event of the stream; empty for a new one.
        name: Name that makes the body differ from those of other callers; empty for none.
        padding: Characters that lengthen the body.
        work_ms: Time for which an instance of a plain service works on it.
        complete_at: When its last byte was sent; None before that, or if it was sent at once.
        sent_slowly: Whether it was sent in pieces, with pauses between them.
        behind_last: Whether it was sent behind a request whose response closed the connection.
    """

    request_id: str
    kind: RequestKind
    service: str
    key: str
    node: str
    sent_at: float
    deadline_at: float
    events: int
    ended_at: float | None = None
    status: int | None = None
    stamp: str = ""
    body: bytes = b""
    whole: bool = False
    left: bool = False
    refused_connection: bool = False
    path: str = ""
    fatal: str = ""
    has_fatal_part: bool = False
    head_at: float | None = None
    first_event: int = 0
    resumes: str = ""
    name: str = ""
    padding: int = 0
    work_ms: int = 20
    complete_at: float | None = None
    sent_slowly: bool = False
    behind_last: bool = False

    @property
    def attempt_id(self) -> str:
        """The id that it carries; several tries may carry the same."""
        return self.request_id.partition("#")[0]

    @property
    def try_number(self) -> str:
        """Its number among the tries with its id; empty if tries aren't numbered."""
        return self.request_id.partition("#")[2]

    @property
    def received(self) -> int:
        """Number of complete events in the response so far."""
        return self.body.count(EVENT_END) if self.status == OK else 0


class HeldStream(msgspec.Struct):
    """A stream of a caller, over all its tries.

    Attributes:
        events: Number of its events.
        tries: Requests, in order.
        received: Events that the caller has.
        origin: Request that brought the first one; empty before that.
        complete: Whether the caller has the whole stream.
    """

    events: int
    tries: list[str] = []
    received: int = 0
    origin: str = ""
    complete: bool = False

    def take(self, request: SentRequest) -> None:
        """Take the events of a try that has ended."""
        if request.received and not self.origin:
            self.origin = request.request_id
        self.received += request.received
        self.complete = request.whole and request.status == OK


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request as an instance got it, or as it should.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body_digest: Digest of the body, in hexadecimal digits.
        headers: Values of the headers that nodes pass on unchanged, in a fixed order.
    """

    method: str
    target: str
    body_digest: str
    headers: tuple[str, ...]


class Run(msgspec.Struct):
    """One execution of a request by an instance.

    Attributes:
        request_id: The request.
        instance_id: The instance.
        incarnation: Instance id and start of the incarnation.
        service: Service of the instance.
        at: Start of the run.
        tenant: Tenant in the headers that the instance received.
        version: Weights version at the instance.
        salt: Cache salt that separates cached segments.
        key_shown: Whether the caller's key reached the instance.
        stamp: Signature of the run.
        ended_at: Its end, complete or not; None while it runs.
        software_version: Software version of the instance.
        first_event: Number of the first event that it sends.
        received: What the instance got; None where that isn't recorded.
        status: HTTP status of its answer; None if it has begun none.
        body_digest: Digest of the answer's body, in hexadecimal digits; empty for a stream.
    """

    request_id: str
    instance_id: str
    incarnation: str
    service: str
    at: float
    tenant: str
    version: int
    salt: str
    key_shown: bool
    stamp: str
    ended_at: float | None = None
    software_version: str = ""
    first_event: int = 0
    received: ReceivedRequest | None = None
    status: int | None = None
    body_digest: str = ""


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached an instance, whether it was executed or not.

    Attributes:
        request_id: The request; empty for a request for a report and for an order.
        service: Service of the instance.
        at: Time of arrival.
        incarnation: Instance id and start of the incarnation.
    """

    request_id: str
    service: str
    at: float
    incarnation: str = ""
