"""Outgoing messages with piggybacked changes, within the byte budget."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from hopstep.domain.membership.actions import Action, Send
from hopstep.domain.membership.budget import ByteBudget
from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.gossip import Change, GossipQueue, SizeOf, pack
from hopstep.domain.peer_message import UNCONFIRMED, Body, Gossip

MAX_CONFIRMED_AGE_SECONDS = 3_600
"""Oldest age in seconds of a confirmation that is reported to peers."""

MESSAGE_DIVISOR = 4
"""A message may take one part in this many of the available bytes, so that some remain for acks."""

OVERDRAFT_BYTES = 200
"""Bytes of membership changes that a heartbeat carries even when the budget is exhausted."""

_BodyT = TypeVar("_BodyT", bound=Body)


class Outbox:
    """Collects actions until the caller takes them."""

    def __init__(self, config: MembershipConfig, size_of: SizeOf, now: float) -> None:
        """Start empty, with a full budget.

        Args:
            config: Bounds.
            size_of: Encoded bytes of a change or body.
            now: Current time in seconds.
        """
        self._config = config
        self._size_of = size_of
        self._budget = ByteBudget(config.bytes_per_second, config.burst_seconds, now)
        self._actions: list[Action] = []
        self.queue = GossipQueue(size_of)
        self.revision = 0
        self.confirmed_at = float("-inf")
        self.retransmissions = config.retransmissions(1)
        self.withheld = 0

    def add_event(self, action: Action) -> None:
        """Add an action that isn't a message."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the collected actions and clear them."""
        actions = self._actions
        self._actions = []
        return actions

    def free_bytes(self, now: float) -> int:
        """Return the bytes of values that one more message may carry."""
        limit = min(self._config.datagram_bytes, self._budget.available(now))
        return limit - self._config.overhead_bytes

    def send(
        self,
        address: str,
        body: Body,
        now: float,
        *,
        essential: bool = False,
        audience: int = 0,
        extra: Iterable[Change] = (),
    ) -> bool:
        """Send a body with as many waiting changes as fit.

        Args:
            address: UDP address of the receiver.
            body: Body without gossip.
            now: Current time in seconds.
            essential: Heartbeats and acks, which may overdraw the budget.
            audience: Labels digest of the receiver; 0 if not known.
            extra: Changes that this receiver must get.

        Returns:
            False when the budget allows no message now.
        """
        required = list(extra)
        size = self._config.overhead_bytes + self._size_of(body)
        size += sum(self._size_of(change) for change in required)
        available = self._budget.available(now)
        if not self._budget.spend(size, now, essential=essential):
            self.withheld += 1
            return False
        free_bytes = min(self._config.datagram_bytes, available // MESSAGE_DIVISOR) - size
        overdrawn = free_bytes <= 0
        if overdrawn:
            free_bytes = min(OVERDRAFT_BYTES, self._budget.overdraft(now))
        gossip = self.queue.take(
            free_bytes,
            self.retransmissions,
            audience,
            membership_only=overdrawn,
        )
        self._charge(gossip, now)
        self._actions.append(Send(address, _with_gossip(body, self._merge(gossip, required, now))))
        return True

    def send_values(self, address: str, body: Body, values: Iterable[Change], now: float) -> bool:
        """Send values that were pulled, without any waiting changes."""
        packed = self._merge(Gossip(), list(values), now)
        full = _with_gossip(body, packed)
        size = self._config.overhead_bytes + self._size_of(full)
        if not self._budget.spend(size, now, essential=False):
            self.withheld += 1
            return False
        self._actions.append(Send(address, full))
        return True

    def _confirmed_age(self, now: float) -> int:
        age = now - self.confirmed_at
        return math.ceil(age) if age <= MAX_CONFIRMED_AGE_SECONDS else UNCONFIRMED

    def _charge(self, gossip: Gossip, now: float) -> None:
        carried = (*gossip.statuses, *gossip.members, *gossip.entries)
        size = sum(map(self._size_of, carried))
        self._budget.spend(size, now, essential=True)

    def _merge(self, gossip: Gossip, extra: list[Change], now: float) -> Gossip:
        added = pack(extra)
        return Gossip(
            self.revision,
            self._confirmed_age(now),
            added.statuses + gossip.statuses,
            added.members + gossip.members,
            added.entries + gossip.entries,
        )


def _with_gossip(body: _BodyT, gossip: Gossip) -> _BodyT:
    return msgspec.structs.replace(body, gossip=gossip)
