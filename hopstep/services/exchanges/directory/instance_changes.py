"""Applies the directory's entries of instances to the table, and reports terminated incarnations.

An incarnation that announced its shutdown never becomes ready again. After a restore the backup
may show incarnations as they were before they shut down or terminated: a terminated one is used
again once its entry is rewritten, or has outlived the lease that only a live instance renews.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import trio

from hopstep.domain.exchanges.instance_table import InstanceTable, is_same_incarnation
from hopstep.domain.exchanges.instances import Instance, InstanceIncarnation
from hopstep.domain.exchanges.store_contact import ENTRY_LAPSE_SECONDS, StoreContact
from hopstep.domain.exchanges.streams.listed_versions import ListedVersions
from hopstep.domain.exchanges.streams.successions import Successions
from hopstep.domain.quarantine.crashes import TerminationEvidence
from hopstep.log_events.instances import (
    INSTANCE_ENTRY_OUTDATED,
    INSTANCE_LAPSED,
    INSTANCE_LISTED,
    INSTANCE_REMOVED,
)
from hopstep.logs import emit
from hopstep.services.exchanges.directory.change_origin import ChangeOrigin

MAX_TERMINATED_INCARNATIONS = 4_096
"""Terminated incarnations that are remembered: all restarts of four days in a large fleet."""

ENTRY_EXPIRED = "lapsed"
"""Logged source of a removal: the entry expired with its lease and wasn't written again."""

KNOWN_LEAVING, KNOWN_TERMINATED = "leaves", "has_ended"
"""Logged state of an incarnation whose entry shows an earlier state."""

TerminationListener = Callable[[InstanceIncarnation, TerminationEvidence], None]
"""Called with a terminated incarnation of an instance, and the evidence for it."""


class InstanceChanges:
    """Applies entries of instances to the table.

    Attributes:
        versions: Software versions of the listed instances, and of those that have gone lately.
        successions: Incarnations that were followed by others under their ids.
    """

    def __init__(self, table: InstanceTable, contact: StoreContact) -> None:
        """Start without any instance.

        Args:
            table: Receives the instances.
            contact: Provides until when expired entries may be written again.
        """
        self._table = table
        self._contact = contact
        self._termination_listeners: list[TerminationListener] = []
        self._terminated: OrderedDict[InstanceIncarnation, None] = OrderedDict()
        self.versions = ListedVersions()
        self.successions = Successions()

    def subscribe_terminations(self, listener: TerminationListener) -> None:
        """Call a listener for each instance that the directory shows to be terminated."""
        self._termination_listeners.append(listener)

    def apply_listed(self, instance: Instance, origin: ChangeOrigin) -> None:
        """Apply an instance's entry."""
        known = self._table.get(instance.instance_id)
        previous = known.instance if known is not None else None
        was_draining = previous is not None and previous.draining
        if previous is not None and not is_same_incarnation(previous, instance):
            self._report_terminated(previous.incarnation, TerminationEvidence.RESTARTED)
            self.successions.note(previous, instance, trio.current_time())
        is_new = self._table.put(instance)
        listed = self._table.get(instance.instance_id)
        if listed is not None and instance.draining and not (was_draining and not is_new):
            listed.draining_since = origin.since
        current = listed.instance if listed is not None else None
        self.versions.replace(previous, current, trio.current_time())
        if was_draining and not is_new and not instance.draining:
            self._keep_as_leaving(instance, origin)
        self._distrust_terminated(instance, origin)
        if is_new or was_draining != instance.draining:
            emit(
                INSTANCE_LISTED,
                instance=instance.instance_id,
                born_ms=instance.born_ms,
                service=instance.service,
                software_version=instance.software_version,
                draining=instance.draining,
                versions=dict(instance.versions),
                source=origin.source,
                age_ms=origin.age_ms,
                era=origin.position.era,
                revision=origin.position.revision,
            )

    def apply_removed(self, instance_id: str, origin: ChangeOrigin) -> None:
        """Apply an entry's removal; an instance whose lease may have expired is kept for now."""
        until = self._contact.relisting_until
        if trio.current_time() < until and self._table.expect_back(instance_id, until):
            emit(INSTANCE_LAPSED, instance=instance_id, source=origin.source)
            return
        removed = self._table.remove(instance_id)
        if removed is None:
            return
        self.versions.replace(removed, None, trio.current_time())
        emit(
            INSTANCE_REMOVED,
            instance=instance_id,
            source=origin.source,
            age_ms=origin.age_ms,
        )
        if removed.draining:
            self._remember_leaving(removed)
        if not self._table.is_leaving(removed):
            self._report_terminated(removed.incarnation, TerminationEvidence.UNLISTED)
        self._terminated[removed.incarnation] = None
        while len(self._terminated) > MAX_TERMINATED_INCARNATIONS:
            self._terminated.popitem(last=False)

    def remove_expired(self) -> None:
        """Remove instances whose expired entries weren't written again after a store outage."""
        now = trio.current_time()
        for instance in self._table.expire(now):
            self.versions.replace(instance, None, now)
            self._report_terminated(instance.incarnation, TerminationEvidence.UNLISTED)
            expired = instance.instance_id
            emit(INSTANCE_REMOVED, instance=expired, source=ENTRY_EXPIRED, age_ms=0)

    def _keep_as_leaving(self, instance: Instance, origin: ChangeOrigin) -> None:
        """Keep an incarnation as leaving that announced it, although its entry shows it ready."""
        self._remember_leaving(instance)
        self._log_outdated(instance, KNOWN_LEAVING, origin)

    def _remember_leaving(self, instance: Instance) -> None:
        """Remember that an incarnation shuts down, also after its entry is gone."""
        incarnation = str(instance.incarnation)
        view = self._table.of_incarnation(incarnation)
        announced_state = (
            view.announced_state
            if view is not None
            else self._table.announced_states.of_incarnation(incarnation)
        )
        announced_state.note_leaving(trio.current_time())
        self._table.announced_states.remember(incarnation, announced_state)

    def _distrust_terminated(self, instance: Instance, origin: ChangeOrigin) -> None:
        """Distrust a known terminated incarnation for a while, unless its entry was rewritten."""
        view = self._table.get(instance.instance_id)
        if view is None or view.instance.incarnation not in self._terminated:
            return
        if not origin.may_be_copied:
            view.presumed_ended_until = -float("inf")
            del self._terminated[view.instance.incarnation]
            return
        view.presumed_ended_until = trio.current_time() + ENTRY_LAPSE_SECONDS
        self._log_outdated(instance, KNOWN_TERMINATED, origin)

    @staticmethod
    def _log_outdated(instance: Instance, known: str, origin: ChangeOrigin) -> None:
        """Log that an entry shows an earlier state of an incarnation."""
        emit(
            INSTANCE_ENTRY_OUTDATED,
            instance=instance.instance_id,
            born_ms=instance.born_ms,
            known=known,
            source=origin.source,
            era=origin.position.era,
            revision=origin.position.revision,
        )

    def _report_terminated(
        self, incarnation: InstanceIncarnation, evidence: TerminationEvidence
    ) -> None:
        """Call the listeners for a terminated incarnation."""
        for listener in self._termination_listeners:
            listener(incarnation, evidence)
