"""Times and bounds of the membership protocol."""

from __future__ import annotations

import math

import msgspec

MIN_RETRANSMISSIONS = 6
"""Lower bound on sends of a change, for members whose table has few others yet."""


class MembershipConfig(msgspec.Struct, frozen=True):
    """Frozen configuration of one member's protocol.

    Attributes:
        heartbeat_seconds: Time between probes.
        ack_timeout_seconds: Wait for a direct ack before other members are asked to probe.
        indirect_probes: Members asked to probe for this one.
        suspicion_seconds: Time from suspicion to death for up to ten members; grows with the
            decimal logarithm of their number, so that a refutation can come back in time.
        retransmit_multiplier: A change is sent this many times log2 of the members.
        reconnect_seconds: Time between probes of a dead member or an unreached seed.
        sync_seconds: Time between anti-entropy exchanges when nothing differs.
        sync_retry_seconds: The same, after an exchange that changed something here.
        sync_differing_seconds: The same, after one that found a difference and changed nothing.
        dead_retention_seconds: Time after which a dead member is forgotten.
        left_retention_seconds: Time after which a member that left is forgotten.
        push_fanout: Members that get an urgent change at once.
        bytes_per_second: Budget of sent bytes, IP and UDP headers included.
        limits_ratio: Part of the budget that messages about tenants' limits may take.
        burst_seconds: Seconds of the budget that may be sent at once, so that many simultaneous
            starts or a healed partition aren't delayed by it.
        datagram_bytes: Largest datagram.
        overhead_bytes: Envelope and headers around a body.
        pause_seconds: A gap between two ticks above which this node must have been paused.
        partition_window_seconds: Time without messages from most members after which this node
            is partitioned.
        recent_past_seconds: Time for which a dead member still counts for the majority.
    """

    heartbeat_seconds: float = 1.0
    ack_timeout_seconds: float = 0.4
    indirect_probes: int = 3
    suspicion_seconds: float = 4.0
    retransmit_multiplier: float = 2.0
    reconnect_seconds: float = 5.0
    sync_seconds: float = 15.0
    sync_retry_seconds: float = 0.5
    sync_differing_seconds: float = 4.0
    dead_retention_seconds: float = 7_200.0
    left_retention_seconds: float = 120.0
    push_fanout: int = 3
    bytes_per_second: int = 3_000
    limits_ratio: float = 0.3
    burst_seconds: float = 10.0
    datagram_bytes: int = 1_300
    overhead_bytes: int = 100
    pause_seconds: float = 5.0
    partition_window_seconds: float = 10.0
    recent_past_seconds: float = 60.0

    def suspicion_timeout(self, members: int) -> float:
        """Return the time from suspicion to death among ``members``."""
        return self.suspicion_seconds * max(1.0, math.log10(max(1, members)))

    def retransmissions(self, members: int) -> int:
        """Return how many times a change is sent among ``members``."""
        return max(
            MIN_RETRANSMISSIONS, math.ceil(self.retransmit_multiplier * math.log2(members + 1))
        )
