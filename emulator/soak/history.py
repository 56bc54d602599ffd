"""Observations of callers, instances and the operator during a soak.

All times are seconds of the soak process's monotonic clock.
"""

from __future__ import annotations

import enum

import msgspec

from emulator.soak.answer_faults import AnswerEvent

OK = 200
EVENT_END = b"\n\n"

STORE = "store"
"""Subject of faults of the store that affect every client."""

MACHINE = "machine"
"""Subject of stalls of the machine that runs the soak."""


LEASES_EXPIRED_EARLY = "leases lapse"
"""Leases that the store ends before their expiry, which violates its protocol."""

RESTORED = "restored"
"""A store that is unavailable and is then restored from a backup."""

KILLED = "killed"
"""Fault of a node whose process is killed and then started again."""

PEER_LINK_CUT = "peer link"
"""Fault of a node that is cut off from the other nodes only."""

INSTANCE_LINKS_CUT = "links to instances"
"""Fault of a node's links to all instances. Its subject isn't the node: no promise is suspended."""


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


class SentNotice(msgspec.Struct, frozen=True):
    """Notices that an instance sent in the headers of a response.

    Attributes:
        request_id: The request that was answered.
        incarnation: Instance id and start of the incarnation.
        at: When the response was created.
        leaving: Whether the instance announces that it is shutting down.
        backoff_seconds: Backoff that it asks for; 0 for none.
        limit: Requests per second that it accepts from all nodes together; None for no limit.
    """

    request_id: str
    incarnation: str
    at: float
    leaving: bool
    backoff_seconds: float
    limit: float | None = None


class LimitChange(msgspec.Struct, frozen=True):
    """A change of the limit that an instance announces.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        at: When its responses begin to carry the limit.
        per_second: Requests per second that it accepts from all nodes together; None for no limit.
    """

    incarnation: str
    at: float
    per_second: float | None


class FatalTermination(msgspec.Struct, frozen=True):
    """The crash of an instance that was caused by a fatal request.

    Attributes:
        fatal: Name of the request, or id of the part of its prompt.
        incarnation: Instance id and start of the incarnation.
        at: Time of the crash.
    """

    fatal: str
    incarnation: str
    at: float


class IncarnationPeriod(msgspec.Struct):
    """The time in which an incarnation of an instance serves.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        service: Its service.
        since: When it was listed.
        is_plain: Whether it belongs to a plain service rather than to engines.
        until: Its end; infinite while it runs.
        software_version: Version of its software.
    """

    incarnation: str
    service: str
    since: float
    is_plain: bool
    until: float = float("inf")
    software_version: str = ""


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance that is listed and accepts requests.

    Attributes:
        instance_id: Its id.
        service: Its service.
        since: When this incarnation was listed.
        version: Its weights version; 0 for a plain service.
    """

    instance_id: str
    service: str
    since: float
    version: int


class TakenOrder(msgspec.Struct, frozen=True):
    """An order that an instance executed.

    Attributes:
        instance_id: The instance.
        holder: Node that sent it.
        token: Its fencing token.
        at: When it was executed.
    """

    instance_id: str
    holder: str
    token: int
    at: float


class AnsweredOrder(msgspec.Struct, frozen=True):
    """An order that an instance answered.

    Attributes:
        instance_id: The instance.
        holder: Node that sent it.
        token: Its fencing token.
        version: Weights version that it names.
        status: HTTP status of the answer.
        at_unix: Unix time of the answer, in seconds.
    """

    instance_id: str
    holder: str
    token: int
    version: int
    status: int
    at_unix: float


class LoggedOrder(msgspec.Struct, frozen=True):
    """An order and its outcome as the node that sent it has logged them.

    Attributes:
        instance_id: The instance.
        node: The node.
        token: Its fencing token.
        version: Weights version that it names.
        outcome: Outcome, as the log names it.
        at_unix: Unix time of the log line, in seconds.
    """

    instance_id: str
    node: str
    token: int
    version: int
    outcome: str
    at_unix: float


class InstanceAnswerEvent(msgspec.Struct, frozen=True):
    """An answer on a connection of an instance, its copy, or another fault of it.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        event: What happened, and when.
    """

    incarnation: str
    event: AnswerEvent


class Revocation(msgspec.Struct, frozen=True):
    """A revoked API key, and when the store acknowledged the revocation."""

    key: str
    at: float


class RouteChange(msgspec.Struct, frozen=True):
    """A route that was added or removed.

    Attributes:
        path: Its path; each path is added at most once and removed at most once.
        present: Whether it was added; False if it was removed.
        at: When the store acknowledged the change.
    """

    path: str
    present: bool
    at: float


class KeyMove(msgspec.Struct, frozen=True):
    """A key that another tenant holds from a time on; no tenant if the name is empty."""

    key: str
    tenant: str
    at: float


class IsolationChange(msgspec.Struct, frozen=True):
    """A tenant that is isolated, or shares again, from a time on."""

    tenant: str
    isolated: bool
    at: float


class BodyLimit(msgspec.Struct, frozen=True):
    """A limit on bodies, in bytes, and when the store acknowledged it."""

    max_bytes: int
    at: float


class Redirect(msgspec.Struct, frozen=True):
    """A kind of request that goes to a service from a time on."""

    kind: RequestKind
    service: str
    at: float


class WeightsChange(msgspec.Struct, frozen=True):
    """A new target version of the weights, and when the store acknowledged it."""

    version: int
    at: float


class DrainStart(msgspec.Struct, frozen=True):
    """The moment at which an instance is listed as draining.

    Attributes:
        incarnation: Instance id and start of the incarnation; a later incarnation may accept
            requests again.
        at: When the store acknowledged the entry.
    """

    incarnation: str
    at: float


class Disturbance(msgspec.Struct):
    """A fault, from its start until it was repaired.

    Attributes:
        what: Kind of fault.
        subject: Name of a node, id of an instance, ``store`` or ``machine``.
        since: Start.
        until: End; infinite while the fault lasts.
        planned: Whether it is a planned stop of a node.
    """

    what: str
    subject: str
    since: float
    until: float = float("inf")
    planned: bool = False


class History(msgspec.Struct):
    """Everything that was observed. All lists are in order of time.

    Attributes:
        requests: Requests by id.
        streams: Streams of callers that resume them.
        runs: Executions of requests, in the order of their starts.
        arrivals: Requests that reached instances.
        fatal_terminations: Crashes of instances under fatal requests.
        decoy_requests: Requests that reached the address to which only untrusted entries point.
        listed: Instances at the end of the soak.
        orders: Orders that instances executed.
        answered_orders: Orders that instances answered.
        logged_orders: Orders in the logs of nodes.
        answer_events: Answers and their faults, where a profile has faults of answers.
        revocations: Revoked keys.
        weights_changes: Target versions of the weights.
        route_changes: Routes added and removed.
        drain_starts: Instances that were listed as draining.
        notices: Notices that instances sent in responses.
        limits: Limits that instances announced.
        instances: All incarnations of instances.
        disturbances: Faults, in the order of their starts.
        unexpected_exits: Nodes whose process ended by itself, with the exit code.
        tenants: Tenant of each key at the start.
        isolated: Tenants that never share cached segments with others.
        key_moves: Keys that changed their tenants.
        isolation_changes: Tenants that were isolated, or shared again.
        body_limits: Limits on bodies.
        redirects: Kinds of requests that changed their services.
    """

    requests: dict[str, SentRequest] = {}
    streams: list[HeldStream] = []
    runs: list[Run] = []
    arrivals: list[Arrival] = []
    fatal_terminations: list[FatalTermination] = []
    decoy_requests: list[str] = []
    listed: list[ListedInstance] = []
    orders: list[TakenOrder] = []
    answered_orders: list[AnsweredOrder] = []
    logged_orders: list[LoggedOrder] = []
    answer_events: list[InstanceAnswerEvent] = []
    revocations: list[Revocation] = []
    weights_changes: list[WeightsChange] = []
    route_changes: list[RouteChange] = []
    drain_starts: list[DrainStart] = []
    notices: list[SentNotice] = []
    limits: list[LimitChange] = []
    instances: list[IncarnationPeriod] = []
    disturbances: list[Disturbance] = []
    unexpected_exits: list[str] = []
    tenants: dict[str, str] = {}
    isolated: set[str] = set()
    key_moves: list[KeyMove] = []
    isolation_changes: list[IsolationChange] = []
    body_limits: list[BodyLimit] = []
    redirects: list[Redirect] = []

    def time_bounds_apply(self, node: str, since: float, until: float) -> bool:
        """Return whether promises with a time bound apply to a node in a period.

        They apply while its process, its links, the store and the machine were undisturbed. Losing
        the links to all other nodes doesn't suspend them.
        """
        faults = (fault for fault in self.disturbances if fault.what != PEER_LINK_CUT)
        return not any(
            fault.subject in (node, STORE, MACHINE)
            and fault.since <= until
            and fault.until >= since
            for fault in faults
        )

    def holders(self, key: str, since: float, until: float) -> set[str]:
        """Return the tenants that held a key between two times; empty names for none."""
        moves = [move for move in self.key_moves if move.key == key and move.at <= until]
        before = [move.tenant for move in moves if move.at <= since]
        during = {move.tenant for move in moves if move.at > since}
        return {before[-1] if before else self.tenants.get(key, "")} | during

    def services(self, request: SentRequest, since: float, until: float) -> set[str]:
        """Return the services of a request's route between two times."""
        if request.path:
            return {request.service}
        changes = [each for each in self.redirects if each.kind == request.kind]
        before = [each.service for each in changes if each.at <= since]
        during = {each.service for each in changes if since < each.at <= until}
        return {before[-1] if before else request.service} | during

    def disturbed(self, subject: str, since: float, until: float) -> bool:
        """Return whether a fault of a subject overlaps with a period."""
        return any(
            fault.subject == subject and fault.since <= until and fault.until >= since
            for fault in self.disturbances
        )

    def interrupted(self, node: str, since: float, until: float) -> bool:
        """Return whether a node was killed, stopped, started, paused or cut off in a period."""
        return any(
            fault.subject in (node, MACHINE)
            and fault.what != PEER_LINK_CUT
            and fault.since <= until
            and fault.until >= since
            for fault in self.disturbances
        )

    def restarted(self, node: str, since: float, until: float) -> bool:
        """Return whether a node's process ended in a period, and so lost its state."""
        return any(
            fault.subject == node
            and (fault.planned or fault.what == KILLED)
            and since <= fault.since <= until
            for fault in self.disturbances
        )

    def happened(self, what: str, since: float, until: float) -> bool:
        """Return whether a kind of fault overlaps with a period, whatever its subject."""
        return any(
            fault.what == what and fault.since <= until and fault.until >= since
            for fault in self.disturbances
        )
