"""Names of the kinds of faults and changes that a soak draws."""

from __future__ import annotations

STORE_KINDS = (
    "store outage",
    "store slow",
    "store loses answers",
    "store forgets history",
    "leases lapse",
)
NODE_KINDS = (
    "node without store",
    "node without peers",
    "node paused",
    "node killed",
    "node stopped",
    "settings reloaded",
    "callers' link",
    "store connections silent",
    "node suspended",
)
FLEET_KINDS = ("datagrams lost and late", "all nodes killed")
INSTANCE_KINDS = (
    "instance link",
    "instance crashed",
    "instance fails",
    "instance connections silent",
    "orders late",
    "instance restarts",
    "address passed on",
    "foreign entries",
)
FATAL = "fatal request"
FATAL_PART = "fatal part of prompts"
RESTORE = "store restored"
ANSWERS_REPEATED = "answers repeated"
ANSWERS_STOPPED = "answers stopped"
ANSWERS_ENDLESS = "answers without end"
ANSWERS_UNFRAMED = "answers without a length"
LINKS = "nodes without instances"
SOFTWARE = "software replaced"
UNREADABLE = "unreadable values"
STARVING = "nodes starved"
UNLISTED = "instance goes without a word"

CHANGE_KINDS = ("instance leaves", "key revoked", "weights named")
SETTINGS_KINDS = ("body limit changed", "tenants isolated", "key moved", "routes redirected")
"""Changes of the configuration that requests under way are judged by."""
