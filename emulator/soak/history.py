"""Everything that was observed of callers, instances and the operator during a soak.

All times are seconds of the soak process's monotonic clock.
"""

from __future__ import annotations

import msgspec

from emulator.soak.disturbances import (
    KILLED,
    MACHINE,
    PEER_LINK_CUT,
    STARVED,
    STORE,
    Disturbance,
)
from emulator.soak.instance_records import (
    AnsweredOrder,
    FatalTermination,
    IncarnationPeriod,
    InstanceAnswerEvent,
    LimitChange,
    LinkSilence,
    ListedInstance,
    LoggedOrder,
    OverwrittenEntry,
    SentNotice,
    TakenOrder,
)
from emulator.soak.operator_changes import (
    BodyLimit,
    DrainStart,
    IsolationChange,
    KeyMove,
    Redirect,
    Revocation,
    RouteChange,
    WeightsChange,
)
from emulator.soak.request_records import Arrival, HeldStream, Run, SentRequest


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
        silences: Times in which links of instances delivered nothing.
        overwritten: Times in which another writer's entry stood in the place of an instance's own.
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
    silences: list[LinkSilence] = []
    overwritten: list[OverwrittenEntry] = []
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

    def time_bounds_apply(
        self, node: str, since: float, until: float, *, even_if_starved: bool = False
    ) -> bool:
        """Return whether promises with a time bound apply to a node in a period.

        They apply while its process, its links, the store and the machine were undisturbed. Losing
        the links to all other nodes doesn't suspend them.

        Args:
            node: Name of the node.
            since: Start of the period.
            until: Its end.
            even_if_starved: Whether little processor time doesn't suspend them either.
        """
        ignored = {PEER_LINK_CUT, STARVED} if even_if_starved else {PEER_LINK_CUT}
        faults = (fault for fault in self.disturbances if fault.what not in ignored)
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

    def is_listed(self, instance_id: str, since: float, until: float) -> bool:
        """Return whether an instance's own entry was in the store throughout a period."""
        return not any(
            entry.instance_id == instance_id and entry.since <= until and entry.until >= since
            for entry in self.overwritten
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
