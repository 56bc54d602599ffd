"""Takes what the directory says of instances into the table, and tells of lives that are over.

A life never takes back that it leaves. After a restore the copy may show lives as they were before
they left or ended: one that has ended is used again once its entry is written anew, or has stood
for as long as only an instance that lives keeps it up.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable, is_same_life
from hopstep.domain.exchanges.instances import Instance, InstanceLife
from hopstep.domain.exchanges.store_contact import ENTRY_LAPSE_SECONDS, StoreContact
from hopstep.domain.quarantine.crashes import EndEvidence
from hopstep.logs import emit
from hopstep.services.exchanges.directory.news import News

MAX_ENDED_LIVES = 4_096
"""Lives that have ended and are remembered: all restarts of four days in a large fleet."""

LAPSED = "lapsed"
"""Source of the removal of an instance whose entry didn't come back."""

LEAVES, HAS_ENDED = "leaves", "has_ended"
"""What is known of a life that an entry shows as it was before."""

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
        self._ended: OrderedDict[InstanceLife, None] = OrderedDict()

    def subscribe_terminations(self, listener: EndListener) -> None:
        """Tell a listener of instances that the directory shows to have ended."""
        self._end_listeners.append(listener)

    def take_listed(self, instance: Instance, news: News) -> None:
        """Take an instance's entry."""
        known = self._table.get(instance.instance_id)
        drained = known is not None and known.instance.draining
        if known is not None and not is_same_life(known.instance, instance):
            self._note_ended(known.instance.life, EndEvidence.RESTARTED)
        is_new = self._table.put(instance)
        if drained and not is_new and not instance.draining:
            self._keep_leaving(instance, news)
        self._doubt(instance, news)
        if is_new or drained != instance.draining:
            emit(
                log_events.INSTANCE_LISTED,
                instance=instance.instance_id,
                born_ms=instance.born_ms,
                service=instance.service,
                draining=instance.draining,
                versions=dict(instance.versions),
                source=news.source,
                age_ms=news.age_ms,
                era=news.place.era,
                revision=news.place.revision,
            )

    def take_removed(self, instance_id: str, news: News) -> None:
        """Take the end of an instance's entry; one that may have lapsed is expected back."""
        until = self._contact.relisting_until
        if trio.current_time() < until and self._table.lapse(instance_id, until):
            emit(log_events.INSTANCE_LAPSED, instance=instance_id, source=news.source)
            return
        removed = self._table.remove(instance_id)
        if removed is None:
            return
        emit(
            log_events.INSTANCE_REMOVED,
            instance=instance_id,
            source=news.source,
            age_ms=news.age_ms,
        )
        if removed.draining:
            self._remember_leaving(removed)
        if not self._table.is_leaving(removed):
            self._note_ended(removed.life, EndEvidence.UNLISTED)
        self._ended[removed.life] = None
        while len(self._ended) > MAX_ENDED_LIVES:
            self._ended.popitem(last=False)

    def remove_expired(self) -> None:
        """Forget instances whose entries lapsed while the store was away and didn't come back."""
        for instance in self._table.expire(trio.current_time()):
            self._note_ended(instance.life, EndEvidence.UNLISTED)
            lapsed = instance.instance_id
            emit(log_events.INSTANCE_REMOVED, instance=lapsed, source=LAPSED, age_ms=0)

    def _keep_leaving(self, instance: Instance, news: News) -> None:
        """Keep to the word of a life that leaves, although an entry shows it as ready."""
        self._remember_leaving(instance)
        self._log_outdated(instance, LEAVES, news)

    def _remember_leaving(self, instance: Instance) -> None:
        """Remember that a life leaves, beyond its entry."""
        life = str(instance.life)
        view = self._table.of_life(life)
        standing = view.standing if view is not None else self._table.standings.of_life(life)
        standing.note_leaving(trio.current_time())
        self._table.standings.remember(life, standing)

    def _doubt(self, instance: Instance, news: News) -> None:
        """Leave a life alone that is known to have ended, unless its entry is written anew."""
        view = self._table.get(instance.instance_id)
        if view is None or view.instance.life not in self._ended:
            return
        if not news.may_be_copied:
            view.doubted_until = -float("inf")
            del self._ended[view.instance.life]
            return
        view.doubted_until = trio.current_time() + ENTRY_LAPSE_SECONDS
        self._log_outdated(instance, HAS_ENDED, news)

    @staticmethod
    def _log_outdated(instance: Instance, known: str, news: News) -> None:
        """Log that an entry shows a life as it was before."""
        emit(
            log_events.INSTANCE_ENTRY_OUTDATED,
            instance=instance.instance_id,
            born_ms=instance.born_ms,
            known=known,
            source=news.source,
            era=news.place.era,
            revision=news.place.revision,
        )

    def _note_ended(self, life: InstanceLife, evidence: EndEvidence) -> None:
        """Tell of a life that is over."""
        for listener in self._end_listeners:
            listener(life, evidence)
