"""Random order of the members to probe, and the probe that is under way."""

from __future__ import annotations

import random

import msgspec

from hopstep.domain.membership.table import MemberTable


class Probe(msgspec.Struct):
    """One probe.

    Attributes:
        number: Number that acks carry.
        target: Probed member.
        incarnation: Its incarnation when the probe began.
        started_at: When it began.
        acked: Whether an ack came, direct or passed on.
        indirect: Whether other members were asked.
    """

    number: int
    target: str
    incarnation: int
    started_at: float
    acked: bool = False
    indirect: bool = False


class RelayedProbe(msgspec.Struct, frozen=True):
    """A probe for another member.

    Attributes:
        number: Number at the origin.
        origin_address: Address that the ack is passed on to.
        expires_at: When the origin no longer waits.
    """

    number: int
    origin_address: str
    expires_at: float


class Prober:
    """Draws every live member once in a round, each round in a new random order."""

    def __init__(self, generator: random.Random) -> None:
        """Start with an empty round.

        Args:
            generator: Source of the order.
        """
        self._generator = generator
        self._round: list[str] = []
        self._next_number = 1
        self._relayed: dict[int, RelayedProbe] = {}
        self.current: Probe | None = None

    def next_number(self) -> int:
        """Return a number that no earlier probe of this node had."""
        self._next_number += 1
        return self._next_number

    def start(self, table: MemberTable, now: float) -> Probe | None:
        """Begin the next probe, or return None when there is no live member."""
        name = self._draw(table)
        member = table.get(name) if name else None
        if member is None:
            self.current = None
            return None
        record = member.record
        self.current = Probe(self.next_number(), record.name, record.incarnation, now)
        return self.current

    def relay(self, probe: RelayedProbe, now: float) -> int:
        """Store a probe for another member; return the number to ping with."""
        self._relayed = {
            number: relayed for number, relayed in self._relayed.items() if relayed.expires_at > now
        }
        number = self.next_number()
        self._relayed[number] = probe
        return number

    def take_relayed(self, number: int) -> RelayedProbe | None:
        """Return the relayed probe that an ack answers, and forget it."""
        return self._relayed.pop(number, None)

    def _draw(self, table: MemberTable) -> str | None:
        """Return the next member of the round that is still live."""
        live = set(table.live_names())
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                if name in live:
                    return name
            self._round = table.live_names().copy()
            self._generator.shuffle(self._round)
        return None
