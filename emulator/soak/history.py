"""What callers, instances and the operator saw during a soak; times are of its steady clock."""

from __future__ import annotations

import enum

import msgspec

STORE = "store"
"""Subject of disturbances of the store for everyone."""

MACHINE = "machine"
"""Subject of the times at which the machine of the soak itself stood still."""


LEASES_EXPIRED_EARLY = "leases lapse"
"""Leases that the store ends before their time, against its protocol."""

RESTORED = "restored"
"""A store that is away and comes back from a copy."""

KILLED = "killed"
"""What happens to a node whose process is killed; it is started again."""

PEER_LINK_CUT = "peer link"
"""What happens to a node that is cut off from other nodes, and from nothing else."""


class RequestKind(enum.StrEnum):
    """How often a request may run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def at_most_once(self) -> bool:
        """Whether a request may run once only."""
        return self in (RequestKind.UNSAFE, RequestKind.STREAM)


class SentRequest(msgspec.Struct):
    """A request of a caller and how it ended.

    Attributes:
        request_id: Its id.
        kind: How often it may run.
        service: Service of its route.
        key: Key that it carries.
        node: Node that it was sent to.
        sent_at: Time of sending.
        deadline_at: When the caller gives up.
        events: Events that a whole stream has.
        ended_at: Time of its end; None while it runs.
        status: HTTP status; None without an answer.
        stamp: Signature of the instance.
        body: Body that came.
        whole: Whether the answer ended as the protocol says.
        left: Whether the caller left on purpose.
        refused_connection: Whether no connection came about.
        path: Path of a probe of the configuration; empty for others.
        fatal: Name that equal requests share which end each instance that begins them; else empty.
        head_at: When the head of the answer came; None without one.
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
    head_at: float | None = None


class Run(msgspec.Struct):
    """A request that an instance began to work on.

    Attributes:
        request_id: The request.
        instance_id: The instance.
        incarnation: The instance and its start.
        service: Service of the instance.
        at: Start.
        tenant: Tenant that the instance was told.
        version: Weights version at the instance.
        salt: Text under which segments are kept.
        key_shown: Whether the caller's key reached the instance.
        stamp: Signature of the run.
        ended_at: Its end, whole or not; None while it runs.
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


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached an instance, whether it ran or not.

    Attributes:
        request_id: The request; empty for a report or an order.
        service: Service of the instance.
        at: When it came.
        incarnation: The instance and its start.
    """

    request_id: str
    service: str
    at: float
    incarnation: str = ""


class SentNotice(msgspec.Struct, frozen=True):
    """What an instance said of itself in an answer.

    Attributes:
        request_id: The request that was answered.
        incarnation: The instance and its start.
        at: When the answer was made.
        leaving: Whether it says that the instance leaves.
        rest_seconds: Rest that it asks for; 0 for none.
        limit: Requests a second that it takes from all nodes together; None for no limit.
    """

    request_id: str
    incarnation: str
    at: float
    leaving: bool
    backoff_seconds: float
    limit: float | None = None


class LimitChange(msgspec.Struct, frozen=True):
    """A limit that an instance names from a time on.

    Attributes:
        incarnation: The instance and its start.
        at: From when on its answers say so.
        per_second: Requests a second that it takes from all nodes together; None for no limit.
    """

    incarnation: str
    at: float
    per_second: float | None


class FatalTermination(msgspec.Struct, frozen=True):
    """The end of an instance under a request that ends each one which begins it.

    Attributes:
        fatal: Name of the request.
        incarnation: The instance and its start.
        at: When it ended.
    """

    fatal: str
    incarnation: str
    at: float


class IncarnationPeriod(msgspec.Struct):
    """The time in which a life of an instance serves.

    Attributes:
        incarnation: The instance and its start.
        service: Its service.
        since: When it was listed.
        is_plain: Whether it is no engine.
        until: Its end; infinite while it lives.
    """

    incarnation: str
    service: str
    since: float
    is_plain: bool
    until: float = float("inf")


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance that is listed and takes requests.

    Attributes:
        instance_id: Its id.
        service: Its service.
        since: When it was listed in this life.
        version: Its weights version; 0 for a plain service.
    """

    instance_id: str
    service: str
    since: float
    version: int


class TakenOrder(msgspec.Struct, frozen=True):
    """An order that an instance carried out.

    Attributes:
        instance_id: The instance.
        holder: Node that sent it.
        token: Its fencing token.
        at: When it was taken.
    """

    instance_id: str
    holder: str
    token: int
    at: float


class Revocation(msgspec.Struct, frozen=True):
    """A key that was taken away, and when the store acknowledged that."""

    key: str
    at: float


class RouteChange(msgspec.Struct, frozen=True):
    """A route that was added or removed.

    Attributes:
        path: Its path; each is added and removed once at most.
        present: Whether it was added.
        at: When the store acknowledged the change.
    """

    path: str
    present: bool
    at: float


class WeightsChange(msgspec.Struct, frozen=True):
    """A weights version, and when the store acknowledged it."""

    version: int
    at: float


class DrainStart(msgspec.Struct, frozen=True):
    """An instance that said that it is draining.

    Attributes:
        incarnation: The instance and its start: it may come back and take requests again.
        at: When the store acknowledged that.
    """

    incarnation: str
    at: float


class Disturbance(msgspec.Struct):
    """A fault, from when it began until it was healed.

    Attributes:
        what: Kind of fault.
        subject: Node or instance; ``store`` for the store.
        since: Begin.
        until: End; infinite while it lasts.
        planned: Whether it is a planned stop.
    """

    what: str
    subject: str
    since: float
    until: float = float("inf")
    planned: bool = False


class History(msgspec.Struct):
    """Everything that was seen.

    Attributes:
        requests: By id.
        runs: In the order of their starts.
        arrivals: In order.
        ends: Ends of instances under fatal requests, in order.
        decoyed: Requests that came where only an entry leads that can't be trusted.
        listed: Instances at the end of the soak.
        orders: In order.
        revocations: In order.
        namings: In order.
        route_changes: In order.
        leavings: In order.
        words: What instances said of themselves in answers, in order.
        limits: Limits that instances named, in order.
        instances: All lives of instances.
        disturbances: In the order of their begins.
        unexpected_ends: Nodes whose process ended by itself, with the exit code.
        tenants: Tenant of each key.
        isolated: Tenants that share nothing.
    """

    requests: dict[str, SentRequest] = {}
    runs: list[Run] = []
    arrivals: list[Arrival] = []
    fatal_terminations: list[FatalTermination] = []
    decoy_requests: list[str] = []
    listed: list[ListedInstance] = []
    orders: list[TakenOrder] = []
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

    def time_bounds_apply(self, node: str, since: float, until: float) -> bool:
        """Return whether promises that are bound in time hold for a node.

        They do while its process, its links, the store and the machine were undisturbed. Losing all
        other nodes excuses nothing.
        """
        excuses = (fault for fault in self.disturbances if fault.what != PEER_LINK_CUT)
        return not any(
            fault.subject in (node, STORE, MACHINE)
            and fault.since <= until
            and fault.until >= since
            for fault in excuses
        )

    def disturbed(self, subject: str, since: float, until: float) -> bool:
        """Return whether a fault of a subject overlaps with a time."""
        return any(
            fault.subject == subject and fault.since <= until and fault.until >= since
            for fault in self.disturbances
        )

    def interrupted(self, node: str, since: float, until: float) -> bool:
        """Return whether a node was killed, stopped, started, halted or cut off within a time."""
        return any(
            fault.subject in (node, MACHINE)
            and fault.what != PEER_LINK_CUT
            and fault.since <= until
            and fault.until >= since
            for fault in self.disturbances
        )

    def restarted(self, node: str, since: float, until: float) -> bool:
        """Return whether a node's process ended within a time, and forgot all that it knew."""
        return any(
            fault.subject == node
            and (fault.planned or fault.what == KILLED)
            and since <= fault.since <= until
            for fault in self.disturbances
        )

    def happened(self, what: str, since: float, until: float) -> bool:
        """Return whether a kind of fault overlaps with a time, whatever its subject."""
        return any(
            fault.what == what and fault.since <= until and fault.until >= since
            for fault in self.disturbances
        )
