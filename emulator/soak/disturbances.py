"""Faults of nodes, instances, the store and the machine, from their start to their repair.

All times are seconds of the soak process's monotonic clock.
"""

from __future__ import annotations

import msgspec

STORE = "store"
"""Subject of faults of the store that affect every client."""

MACHINE = "machine"
"""Subject of stalls of the machine that runs the soak."""

LEASES_EXPIRED_EARLY = "leases lapse"
"""Leases that the store ends before their expiry, which violates its protocol."""

RESTORED = "restored"
"""A store that is unavailable and is then restored from a backup."""

KILLED = "killed"
"""Fault of a node whose process is killed and then started again."""

PEER_LINK_CUT = "peer link"
"""Fault of a node that is cut off from the other nodes only."""

STARVED = "starved"
"""Fault of a node that gets little processor time, in short pieces."""

INSTANCE_LINKS_CUT = "links to instances"
"""Fault of a node's links to all instances. Its subject isn't the node: no promise is suspended."""


class Disturbance(msgspec.Struct):
    """A fault, from its start until it was repaired.

    Attributes:
        what: Kind of fault.
        subject: Name of a node, id of an instance, ``store`` or ``machine``.
        since: Start.
        until: End; infinite while the fault lasts.
        planned: Whether it is a planned stop of a node.
    """

    what: str
    subject: str
    since: float
    until: float = float("inf")
    planned: bool = False
