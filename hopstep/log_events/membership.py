"""Events of membership and messages between nodes: HS5xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

MEMBER_CHANGED = LogEvent(
    "HS5001",
    "member_changed",
    Level.INFO,
    ("member", "state", "incarnation", "zone"),
    "Nothing for single members; many at once in one zone mean that the zone is cut off.",
)
MEMBERSHIP_REFUTED = LogEvent(
    "HS5002",
    "membership_refuted",
    Level.WARNING,
    ("incarnation", "version"),
    "If it recurs: the node is overloaded, its network loses datagrams, or its name is used twice.",
)
PEER_MESSAGE_REJECTED = LogEvent(
    "HS5003",
    "peer_message_rejected",
    Level.WARNING,
    ("reason", "count"),
    "Compare cluster names, key files and clocks of the routers.",
)
ISOLATION_CHANGED = LogEvent(
    "HS5004",
    "isolation_changed",
    Level.WARNING,
    ("isolated",),
    "If true: check the network between this router and the others.",
)
PEER_KEYS_REJECTED = LogEvent(
    "HS5005",
    "peer_keys_rejected",
    Level.ERROR,
    ("reason",),
    "Fix the key file; the earlier keys stay in use until then.",
)
NODE_MESSAGE_REJECTED = LogEvent(
    "HS5006",
    "node_message_rejected",
    Level.WARNING,
    ("reason", "count"),
    "Nothing for a few while nodes start; if `malformed` rises: a version with other messages."
    " A reason with an error's type and place: its values can't be meant, find the sender.",
)
NODE_FORMS_CHANGED = LogEvent(
    "HS5007",
    "node_forms_changed",
    Level.INFO,
    ("own", "nodes_by_form"),
    "Nothing while a version is rolled out or back; otherwise find the nodes of another version.",
)
