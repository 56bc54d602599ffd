"""A node's view of one instance: load, health, cached segments, weights."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from hopstep.domain.announced_state import AnnouncedState
from hopstep.domain.exchanges.first_peer_report import FirstPeerReport
from hopstep.domain.exchanges.instance_capacity import CapacityNeed, FullMark, queue_allowance
from hopstep.domain.exchanges.instance_health import InstanceHealth
from hopstep.domain.exchanges.instance_load_view import InstanceLoadView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.read_speed import READ_SECONDS_PER_TOKEN
from hopstep.domain.exchanges.segments import SegmentIndex
from hopstep.domain.instance_admission import (
    Admission,
    AskedInstance,
    Barrier,
    Purpose,
    admission,
)
from hopstep.domain.rendezvous import hash_name

INDEXED_SHARE = 0.8
"""Part of an instance's cache that is expected to be available for cached segments."""


MAX_SLOT_SECONDS = 3.0
"""Longest wait for a slot of an instance, as far as one is expected."""


class InstanceView(InstanceLoadView, InstanceHealth):
    """One instance as this node knows it. Times are of the steady clock, in seconds."""

    def __init__(
        self,
        instance: Instance,
        cache_tokens: int = 0,
        announced_state: AnnouncedState | None = None,
        first_peer_report: FirstPeerReport | None = None,
    ) -> None:
        """Start without observations.

        Args:
            instance: The instance's published entry.
            cache_tokens: Tokens that fit into the instance's cache.
            announced_state: What this incarnation has announced in response headers; None for
                nothing yet.
            first_peer_report: Until when the first report of another node may arrive; None when
                none is expected.
        """
        InstanceLoadView.__init__(self, str(instance.incarnation))
        InstanceHealth.__init__(self)
        self.instance = instance
        self.announced_state = announced_state or AnnouncedState()
        self._first_telling = first_peer_report or FirstPeerReport()
        self.hashed = hash_name(instance.instance_id)
        self.cache_tokens = cache_tokens
        self.segments = SegmentIndex(int(cache_tokens * INDEXED_SHARE))
        self.versions: dict[str, int] = dict(instance.versions)
        self._assumed: dict[str, int] = {}
        self.replaced = False
        self.presumed_ended_until = -float("inf")
        self.draining_since = -float("inf")
        self.rejected = False
        self.has_start_time = bool(instance.born_ms)
        self.slowness = 1.0
        self._full = FullMark()
        self.loading_until = 0.0
        self._shown_sequence = instance.order_sequence

    def update(self, instance: Instance) -> None:
        """Apply a newer entry of the same incarnation.

        Without a start time the known one stays. Without a software version the known one stays if
        the start time shows the same process.
        """
        known_version = self.instance.software_version if instance.born_ms else ""
        self.rejected = False
        self.has_start_time = bool(instance.born_ms)
        self.instance = msgspec.structs.replace(
            instance,
            born_ms=self.instance.born_ms,
            software_version=instance.software_version or known_version,
        )
        self.show_versions(instance.versions, instance.order_sequence)

    def show_versions(self, versions: Mapping[str, int], order_sequence: int) -> None:
        """Apply the weights versions that the instance itself reports.

        Lower versions than the known ones are outdated reports, unless the instance has accepted
        another order since: an abandoned order may be carried out late.

        Args:
            versions: Weights version by model.
            order_sequence: Orders that it had accepted by then.
        """
        for model, version in versions.items():
            known = self.versions.get(model, 0)
            if order_sequence > self._shown_sequence and 0 < version < known:
                self._lower_version(model, version)
            else:
                self.learn_version(model, version)
        self._shown_sequence = max(self._shown_sequence, order_sequence)

    @property
    def order_sequence(self) -> int:
        """Orders that the instance has accepted, by its latest report."""
        return self._shown_sequence

    def _lower_version(self, model: str, version: int) -> None:
        """Set a version below the known one; the cached segments are gone."""
        self.segments.clear()
        self.versions[model] = version
        self._assumed.pop(model, None)

    def learn_version(self, model: str, version: int) -> None:
        """Apply a weights version that a response states; the known version never decreases."""
        if version > self.versions.get(model, 0):
            if model in self.versions and version != self._assumed.get(model):
                self.segments.clear()
                self.loading_until = 0.0
            self.versions[model] = version
        if version:
            self._assumed.pop(model, None)

    def assume_version(self, model: str, version: int) -> bool:
        """Send requests under a version not reported yet; return whether it is newer.

        The rollout uses the reported versions (``versions``) only.
        """
        if version <= self.serving_version(model):
            return False
        self._assumed[model] = version
        self.segments.clear()
        return True

    def drop_assumption(self, model: str) -> bool:
        """Return to the reported version; return whether another one had been assumed."""
        return self._assumed.pop(model, None) is not None

    def serving_version(self, model: str) -> int:
        """Return the version under which requests are sent; 0 when none is known."""
        return max(self.versions.get(model, 0), self._assumed.get(model, 0))

    def occupancy(self, now: float) -> float:
        """Return the requests of all nodes at the instance as a fraction of its slots."""
        return self.total_active(now) / max(1, self.instance.slots)

    def free_places(self, now: float, *, urgent: bool = False) -> int:
        """Return how many more requests it may be sent; negative when it has too many."""
        slots = max(1, self.instance.slots)
        return slots + queue_allowance(slots, urgent=urgent) - self.total_active(now)

    def queue_seconds(self, now: float) -> float:
        """Return for how long a request may wait at the instance before it begins."""
        prefill = self.total_pending_tokens(now) * READ_SECONDS_PER_TOKEN * self.slowness
        is_full = self.total_active(now) >= max(1, self.instance.slots)
        return prefill + (MAX_SLOT_SECONDS if is_full else 0.0)

    def has_room(self, need: CapacityNeed, now: float) -> bool:
        """Return whether the instance has capacity for a request."""
        if self.is_full(now) or not self.is_usable(now):
            return False
        if self.free_places(now, urgent=need.urgent) <= 0:
            return False
        used = self.total_used_tokens(now)
        return not self.cache_tokens or not used or used + need.tokens <= self.cache_tokens

    def begin(
        self,
        request_id: str,
        work_tokens: int,
        now: float,
        *,
        used_tokens: int = 0,
        moves_segments: bool = False,
    ) -> None:
        """Count a request that is sent to the instance.

        Args:
            request_id: Id of the request.
            work_tokens: Work until its first byte; see ``prompt_work``. 0 without a prompt.
            now: Steady clock.
            used_tokens: Memory in tokens that the request takes until its end.
            moves_segments: Whether cached segments are moved to it first.
        """
        has_slot = self.total_active(now) < self.instance.slots
        is_observed = has_slot and not moves_segments and now >= self.loading_until
        self._add_request(request_id, work_tokens, now, is_observed=is_observed)
        self.used_tokens += used_tokens
        self._unanswered_since[request_id] = now
        self._begin_trial(request_id)

    def first_byte(
        self, request_id: str, work_tokens: int, now: float, *, shows_speed: bool = False
    ) -> None:
        """Note the first byte of a response's body.

        Args:
            request_id: Id of the request.
            work_tokens: As given when it began.
            now: Steady clock.
            shows_speed: Whether it is the first token of an answer to a prompt.
        """
        work = self._end_prefill(request_id, work_tokens)
        if work is not None and shows_speed:
            self._observe(work, work_tokens, now)
        self._unanswered_since.pop(request_id, None)
        self._full.clear()
        self.note_received_byte(now)

    def end(self, request_id: str, work_tokens: int, used_tokens: int = 0) -> None:
        """Count a request that has ended.

        Args:
            request_id: Id of the request.
            work_tokens: As given when it began.
            used_tokens: As given when it began.
        """
        self.active -= 1
        self.used_tokens -= used_tokens
        self._end_prefill(request_id, work_tokens)
        self._unanswered_since.pop(request_id, None)
        self.end_stream(request_id)
        self._leave_trial(request_id)

    def discount_pause(self, seconds: float) -> None:
        """Disregard a time in which this node was paused and received nothing."""
        InstanceLoadView.discount_pause(self, seconds)
        InstanceHealth.discount_pause(self, seconds)

    def admission(
        self, purpose: Purpose, now: float, last_requests_seconds: float = 0.0
    ) -> Admission:
        """Return whether something may be sent to the instance, by this node's view of it.

        Args:
            purpose: What would be sent.
            now: Steady clock.
            last_requests_seconds: Time after its leaving notice during which it still accepts
                requests that no other instance may serve.
        """
        asked = AskedInstance(
            self.announced_state,
            self._listed(now),
            self.active,
            last_requests_seconds,
            self._first_telling.due_by,
            self.draining_since,
        )
        return admission(asked, purpose, now)

    def takes(self, purpose: Purpose, now: float) -> bool:
        """Return whether something may be sent to the instance now."""
        return self.admission(purpose, now).is_open

    def _listed(self, now: float) -> Barrier | None:
        """Return the barrier that follows from the directory's entry; None for none."""
        if self.rejected:
            return Barrier.UNTRUSTED
        if self.replaced or now < self.presumed_ended_until:
            return Barrier.ENDED
        return Barrier.DRAINING if self.instance.draining else None

    def leaves_unanswered(self, now: float) -> bool:
        """Return whether requests wait for a first byte and nothing has arrived for too long."""
        if not self._unanswered_since:
            return False
        return self._leaves_unanswered(self.total_pending_tokens(now), now)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether requests or streams wait and nothing has arrived for too long."""
        if not self._unanswered_since and not self._streaming_since:
            return False
        pending = self.total_pending_tokens(now)
        return self._leaves_unanswered(pending, now) or self._pauses_streams(
            pending, now, self.loading_until
        )

    def rejected_as_full(self, now: float) -> bool:
        """Note that it rejected a request as full; return whether it didn't count as full yet."""
        return self._full.note_rejected(now)

    def is_full(self, now: float) -> bool:
        """Return whether it has recently rejected a request as full."""
        return self._full.is_set(now)

    def responds(self, now: float) -> bool:
        """Return whether it is neither suspended nor silent."""
        return now >= self.suspended_until and not self.is_unresponsive(now)

    def is_avoided(self, now: float) -> bool:
        """Return whether this node sends it nothing because of failures or rejections."""
        return self.is_full(now) or not self.responds(now)

    def is_usable(self, now: float) -> bool:
        """Return whether the instance is likely to serve a new request once it has capacity."""
        is_kept_free = self.awaits_trial or self.may_be_unbounded(now)
        return now >= self.loading_until and not is_kept_free and self.responds(now)
