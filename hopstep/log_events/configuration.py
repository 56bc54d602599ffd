"""Events of the configuration and the store: HS4xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

CONFIGURATION_APPLIED = LogEvent(
    "HS4001", "configuration_applied", Level.INFO, ("revision", "source"), "Nothing."
)
CONFIGURATION_STORE_FAILED = LogEvent(
    "HS4002",
    "configuration_store_failed",
    Level.WARNING,
    ("code", "error"),
    "Check the key-value service; the configuration in force stays.",
)
CONFIGURATION_STORE_RECOVERED = LogEvent(
    "HS4003", "configuration_store_recovered", Level.INFO, ("revision",), "Nothing."
)
CONFIGURATION_PEER_FAILED = LogEvent(
    "HS4004",
    "configuration_peer_failed",
    Level.INFO,
    ("peer", "error"),
    "Nothing, unless it repeats for one peer: check that peer.",
)
CONFIGURATION_TRANSFER_REJECTED = LogEvent(
    "HS4005",
    "configuration_transfer_rejected",
    Level.WARNING,
    ("source", "error"),
    "Nothing once; if it repeats, compare hopstep-ctl history with the source's revision.",
)
CONFIGURATION_MAINTENANCE_FAILED = LogEvent(
    "HS4006",
    "configuration_maintenance_failed",
    Level.INFO,
    ("error",),
    "Nothing; it is retried.",
)
CONFIGURATION_CHANGE_REWRITTEN = LogEvent(
    "HS4007",
    "configuration_change_rewritten",
    Level.WARNING,
    ("revision", "change_id", "author", "era"),
    "Nothing: the store was restored from a backup without this accepted change.",
)
CONFIGURATION_CHANGE_DISPLACED = LogEvent(
    "HS4008",
    "configuration_change_displaced",
    Level.ERROR,
    ("revision", "lost", "lost_author", "taken_by", "taken_by_author", "era"),
    "Submit the lost change again if it is still wanted: another change took its revision.",
)
SERVING_CONFIGURATION_APPLIED = LogEvent(
    "HS4101",
    "serving_configuration_applied",
    Level.INFO,
    ("version", "routes", "tenants", "isolated", "sharing", "source", "age_ms", "era", "revision"),
    "Nothing; if nodes of one zone take versions late, look at the node that `source` names. A new "
    "`sharing`: other tenants share cached prompts, and read what they had in common once more.",
)
DIRECTORY_ENTRY_REJECTED = LogEvent(
    "HS4102",
    "directory_entry_rejected",
    Level.ERROR,
    ("key", "reason", "field", "detail"),
    "Fix it; an instance is unused until then; otherwise the earlier entry stays in force."
    " `unexpected`: a fault of hopstep's reader; report it.",
)
DIRECTORY_HISTORY_LOST = LogEvent(
    "HS4103",
    "directory_history_lost",
    Level.WARNING,
    ("era", "revision"),
    "Nothing: the node lists the store again.",
)
STORE_LOST = LogEvent(
    "HS4104",
    "store_lost",
    Level.WARNING,
    ("reason", "age_seconds"),
    "If it lasts: requests with keys are refused once the age reaches the revocation bound.",
)
STORE_REGAINED = LogEvent("HS4105", "store_regained", Level.INFO, ("age_seconds",), "Nothing.")
DIRECTORY_SOURCE_CHANGED = LogEvent(
    "HS4106",
    "directory_source_changed",
    Level.INFO,
    ("source", "previous", "age_seconds"),
    "Nothing; frequent changes point to nodes of the zone that fail or lose the store.",
)
STORE_ERA_CHANGED = LogEvent(
    "HS4107",
    "store_era_changed",
    Level.WARNING,
    (
        "era",
        "previous",
        "revision",
        "previous_revision",
        "copy_age_seconds",
        "lacking",
        "source",
    ),
    "The store was restored from a backup: see the operators' page.",
)
STORE_ANSWER_OUTDATED = LogEvent(
    "HS4108",
    "store_answer_outdated",
    Level.INFO,
    ("era", "revision", "known_era"),
    "Nothing once; if it lasts, the store names a lower era than before: restart the nodes.",
)
STORE_RESTORE_SUSPECTED = LogEvent(
    "HS4109",
    "store_restore_suspected",
    Level.WARNING,
    ("era", "nodes_behind"),
    "Nothing: keys are served once other nodes, or two seconds, have shown what the backup lacks.",
)
VIEW_NOT_RENEWED = LogEvent(
    "HS4111",
    "view_not_renewed",
    Level.INFO,
    ("age_seconds",),
    "Nothing during an outage of the store: requests go on by a view of the instances this old.",
)
OWN_ENTRY_REWRITTEN = LogEvent(
    "HS4110",
    "own_entry_rewritten",
    Level.INFO,
    ("era",),
    "Nothing: the store was restored, and the node writes its own entry again.",
)
