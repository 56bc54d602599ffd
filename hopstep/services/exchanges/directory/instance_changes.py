"""Takes what the directory says of instances into the table, and tells of lives that are over."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable, is_same_life
from hopstep.domain.exchanges.instances import Instance, InstanceLife
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.quarantine.crashes import EndEvidence
from hopstep.logs import emit

LAPSED = "lapsed"
"""Source of the removal of an instance whose entry didn't come back."""

EndListener = Callable[[InstanceLife, EndEvidence], None]
"""Told a life of an instance that is over, and what shows it."""


class InstanceChanges:
    """Puts entries of instances into the table."""

    def __init__(self, table: InstanceTable, contact: StoreContact) -> None:
        """Know nothing yet.

        Args:
            table: Takes the instances.
            contact: Tells how long entries that lapsed may still come back.
        """
        self._table = table
        self._contact = contact
        self._end_listeners: list[EndListener] = []

    def follow_ends(self, listener: EndListener) -> None:
        """Tell a listener of instances that the directory shows to have ended."""
        self._end_listeners.append(listener)

    def take_listed(self, instance: Instance, source: str, age_ms: int) -> None:
        """Take an instance's entry.

        Args:
            instance: The entry.
            source: Who told it; for the log.
            age_ms: How old that is.
        """
        known = self._table.get(instance.instance_id)
        drained = known is not None and known.instance.draining
        if known is not None and not is_same_life(known.instance, instance):
            self._note_ended(known.instance.life, EndEvidence.RESTARTED)
        if self._table.put(instance) or drained != instance.draining:
            emit(
                log_events.INSTANCE_LISTED,
                instance=instance.instance_id,
                born_ms=instance.born_ms,
                service=instance.service,
                draining=instance.draining,
                versions=dict(instance.versions),
                source=source,
                age_ms=age_ms,
            )

    def take_removed(self, instance_id: str, source: str, age_ms: int) -> None:
        """Take the end of an instance's entry; one that may have lapsed is expected back.

        Args:
            instance_id: The instance.
            source: Who told it; for the log.
            age_ms: How old that is.
        """
        until = self._contact.relisting_until
        if trio.current_time() < until and self._table.lapse(instance_id, until):
            emit(log_events.INSTANCE_LAPSED, instance=instance_id, source=source)
            return
        removed = self._table.remove(instance_id)
        if removed is None:
            return
        emit(log_events.INSTANCE_REMOVED, instance=instance_id, source=source, age_ms=age_ms)
        if not self._table.is_leaving(removed):
            self._note_ended(removed.life, EndEvidence.UNLISTED)

    def expire_lapsed(self) -> None:
        """Forget instances whose entries lapsed while the store was away and didn't come back."""
        for instance in self._table.expire(trio.current_time()):
            self._note_ended(instance.life, EndEvidence.UNLISTED)
            lapsed = instance.instance_id
            emit(log_events.INSTANCE_REMOVED, instance=lapsed, source=LAPSED, age_ms=0)

    def _note_ended(self, life: InstanceLife, evidence: EndEvidence) -> None:
        """Tell of a life that is over."""
        for listener in self._end_listeners:
            listener(life, evidence)
