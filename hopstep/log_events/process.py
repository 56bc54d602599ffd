"""Events of the process, its settings and its keys: HS1xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

PROCESS_STARTED = LogEvent(
    "HS1001", "process_started", Level.INFO, ("address", "zone", "incarnation"), "Nothing."
)
PROCESS_STOPPING = LogEvent(
    "HS1002", "process_stopping", Level.INFO, ("active_requests",), "Nothing."
)
PROCESS_STOPPED = LogEvent("HS1003", "process_stopped", Level.INFO, (), "Nothing.")
DRAIN_CUT_SHORT = LogEvent(
    "HS1004",
    "drain_cut_short",
    Level.WARNING,
    ("active_requests",),
    "Raise drain_seconds above the longest answer.",
)
SETTINGS_RELOADED = LogEvent("HS1005", "settings_reloaded", Level.INFO, ("changed",), "Nothing.")
SETTINGS_REJECTED = LogEvent(
    "HS1006",
    "settings_rejected",
    Level.ERROR,
    ("reason",),
    "Fix the settings file; the earlier settings stay in use.",
)
LIBRARY_WARNING = LogEvent(
    "HS1007",
    "library_warning",
    Level.WARNING,
    ("library", "severity", "error_type", "location"),
    "Look up the location in the library; its text is withheld, as it may quote a request.",
)
PROCESS_PAUSED = LogEvent(
    "HS1008",
    "process_paused",
    Level.WARNING,
    ("seconds",),
    "Check the machine: the process got no processor time, and clients had to wait.",
)
CONNECTIONS_DROPPED = LogEvent(
    "HS1009",
    "connections_dropped",
    Level.INFO,
    ("peer", "reason"),
    "Nothing once; if it recurs for one peer: a device on the route drops connections.",
)
DRAIN_ENDED = LogEvent(
    "HS1010",
    "drain_ended",
    Level.INFO,
    ("seconds", "active_requests"),
    "Nothing: connections close now. Requests that HS3101 shows as `stopped` were cut.",
)
TASK_FAILED = LogEvent(
    "HS1011",
    "task_failed",
    Level.ERROR,
    ("task", "error_type", "location", "active_requests"),
    "Report it: a fault in hopstep. This node stops as if by SIGTERM and exits with 1.",
)
CERTIFICATE_LOADED = LogEvent(
    "HS1020",
    "certificate_loaded",
    Level.INFO,
    ("field", "file", "fingerprints"),
    "Nothing; after a replacement, compare the SHA-256 fingerprints with the new certificates'.",
)
CERTIFICATE_REJECTED = LogEvent(
    "HS1021",
    "certificate_rejected",
    Level.ERROR,
    ("field", "reason"),
    "Unless HS1020 follows within seconds: fix the file; the earlier certificate stays in use.",
)
AUTHORITIES_LOADED = LogEvent(
    "HS1022",
    "authorities_loaded",
    Level.INFO,
    ("field", "file", "fingerprints"),
    "Nothing; new connections are verified by these authorities.",
)
AUTHORITIES_REJECTED = LogEvent(
    "HS1023",
    "authorities_rejected",
    Level.ERROR,
    ("field", "reason"),
    "Unless HS1022 follows within seconds: fix the file; the earlier authorities stay in use.",
)
PEER_KEYS_REPLACED = LogEvent(
    "HS1024",
    "peer_keys_replaced",
    Level.INFO,
    ("signing", "verifying"),
    "Nothing; take the next step of a rotation once every router has logged this event.",
)
