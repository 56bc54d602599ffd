"""The values that this router shares with the others, and its part of the control work.

Control work is divided among the live routers by rendezvous hashing over membership, with
replicas; it moves when membership changes. Nothing here depends on the store.
"""

from __future__ import annotations

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.engines import EngineFacts
from hopstep.domain.membership import Action, EntryChanged, RevisionReported
from hopstep.domain.peer_message import EngineEntry, EntryKind, LeavingBackEnd
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.sync import ConfigurationSync
from hopstep.services.engine_watch import EngineWatch
from hopstep.services.leaving_watch import LeavingWatch
from hopstep.services.membership import MembershipService

ENGINE_REPLICAS = 2
"""Routers that probe an engine and read its cache events."""

READER_REPLICAS = 3
"""Routers that read the configuration from the store; as many others read the machine list."""

QUARANTINE_READER_REPLICAS = 2
"""Routers that read the stored records of requests that crash engines: operators may lift them."""

READERS_KEY = "configuration-readers"
QUARANTINE_READERS_KEY = "quarantine-readers"
MACHINE_LIST_KEY = "machine-list-readers"
ROLLOUT_KEY = "weights-rollout"


class Cluster:
    """Divides control work, and passes shared values between membership and services."""

    def __init__(self, membership: MembershipService, holder: ConfigurationHolder) -> None:
        """Connect membership and configuration; ``attach`` adds the other services.

        Args:
            membership: Live routers and shared entries.
            holder: Configuration in force; its revision is announced to peers.
        """
        self._membership = membership
        holder.subscribe(self._announce_revision)

    def attach(
        self,
        watch: EngineWatch,
        leaving: LeavingWatch,
        synchronization: ConfigurationSync,
    ) -> None:
        """Connect the services that share values.

        Args:
            watch: Takes the engines' facts that other routers publish.
            leaving: Takes the leaving machines that other routers report.
            synchronization: Takes the configuration revisions that other routers announce.
        """
        self._watch = watch
        self._leaving = leaving
        self._synchronization = synchronization
        self._membership.follow_confirmations(synchronization.seconds_since_confirmed)
        self._membership.subscribe(self._handle)

    def watches_engine(self, address: str) -> bool:
        """Return whether this router probes an engine."""
        return self._membership.owns(address, ENGINE_REPLICAS)

    def reads_store(self) -> bool:
        """Return whether this router reads the configuration from the store."""
        return self._membership.owns(READERS_KEY, READER_REPLICAS)

    def reads_quarantine(self) -> bool:
        """Return whether this router reads the records of engine crashes for the others."""
        return self._membership.owns(QUARANTINE_READERS_KEY, QUARANTINE_READER_REPLICAS)

    def reads_machine_list(self) -> bool:
        """Return whether this router reads the machine list for the others."""
        return self._membership.owns(MACHINE_LIST_KEY, READER_REPLICAS)

    def leads_rollout(self) -> bool:
        """Return whether this router orders weights; fences resolve it if two routers do."""
        return self._membership.owns(ROLLOUT_KEY)

    def live_routers(self) -> frozenset[str]:
        """Return the names of the routers that take new work, this one included."""
        names = {record.name for record in self._membership.alive_routers()}
        return frozenset(names | {self._membership.own.name})

    def live_peers(self) -> tuple[str, ...]:
        """Return the names of the other routers that take new work."""
        return tuple(sorted(self.live_routers() - {self._membership.own.name}))

    def http_address(self, name: str) -> str | None:
        """Return the callers' address of a router, or None when it isn't known."""
        for record in self._membership.members():
            if record.name == name:
                return record.http_address
        return None

    def publish_engine(self, address: str, facts: EngineFacts) -> None:
        """Share an engine's facts."""
        value = EngineEntry.from_facts(address, facts)
        self._membership.publish(EntryKind.ENGINE_FACTS, address, value)

    def publish_leaving(self, address: str, leaving: bool) -> None:
        """Share that a machine is leaving, or withdraw that."""
        value = LeavingBackEnd(address) if leaving else None
        self._membership.publish(EntryKind.LEAVING_BACK_END, address, value)

    def leaving_by_peers(self) -> dict[str, frozenset[str]]:
        """Return the other routers that report a machine as leaving, by its address."""
        reported: dict[str, frozenset[str]] = {}
        for entry in self._membership.entries(EntryKind.LEAVING_BACK_END):
            if entry.owner != self._membership.own.name and entry.value is not None:
                reported[entry.subject] = reported.get(entry.subject, frozenset()) | {entry.owner}
        return reported

    def _announce_revision(self, accepted: AcceptedConfiguration) -> None:
        """Announce to peers which configuration is in force here."""
        self._membership.set_revision(accepted.revision)

    def _handle(self, action: Action) -> None:
        """Pass a value that another router shared to the service that uses it."""
        if isinstance(action, RevisionReported):
            self._synchronization.latest_revision_hint(
                action.revision, action.member.name, action.confirmed_age_seconds
            )
        elif isinstance(action, EntryChanged) and action.entry.owner != self._membership.own.name:
            value = action.entry.value
            if isinstance(value, EngineEntry):
                self._watch.take_published(value.engine, value.facts())
            elif action.entry.kind is EntryKind.LEAVING_BACK_END:
                self._leaving.refresh()
