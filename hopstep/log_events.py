"""Catalogue of numbered log events.

Every log line of hopstep is one of these events. ``docs/EVENTS.md`` lists them; a test compares it
with this module. Prompts, answers and keys are never fields of an event.

Ranges: HS1xxx process and settings, HS2xxx HTTP API, HS3xxx attempts and routing,
HS4xxx configuration, HS5xxx membership and peers, HS6xxx engines, HS7xxx claims and limits.
"""

from __future__ import annotations

import enum

import msgspec


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogEvent(msgspec.Struct, frozen=True):
    """One kind of log line.

    Attributes:
        number: ``HS`` and four digits; never reused.
        name: Snake-case name, the ``event`` of the log line.
        level: Severity.
        fields: Names of the fields of the line.
        action: What an operator should do.
    """

    number: str
    name: str
    level: Level
    fields: tuple[str, ...]
    action: str


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
DRAIN_ENDED = LogEvent(
    "HS1010",
    "drain_ended",
    Level.INFO,
    ("seconds", "active_requests"),
    "Nothing: connections close now. Requests that HS3101 shows as `stopped` were cut.",
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
LIBRARY_WARNING = LogEvent(
    "HS1007",
    "library_warning",
    Level.WARNING,
    ("library", "severity", "error_type", "location"),
    "Look up the location in the library; its text is withheld, as it may quote a request.",
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
REQUEST_REFUSED = LogEvent(
    "HS2001",
    "request_refused",
    Level.DEBUG,
    ("request_id", "tenant", "code", "execution"),
    "Nothing; the response gives the reason to the caller.",
)
ANSWER_FAILED = LogEvent(
    "HS2002",
    "answer_failed",
    Level.WARNING,
    ("request_id", "tenant", "code", "execution", "tokens"),
    "See the attempts of the request; frequent lines point to failing engines.",
)
REQUEST_COMPLETED = LogEvent(
    "HS2003",
    "request_completed",
    Level.DEBUG,
    ("request_id", "tenant", "request_class", "engines", "tokens", "first_token_seconds"),
    "Nothing.",
)
CALLER_LEFT = LogEvent(
    "HS2004", "caller_left", Level.DEBUG, ("request_id", "tenant", "tokens"), "Nothing."
)
CONNECTION_FAILED = LogEvent(
    "HS2006",
    "connection_failed",
    Level.ERROR,
    ("error_type", "location"),
    "Report it: a fault in hopstep or its server. Only this connection was closed.",
)
REQUEST_CRASHED = LogEvent(
    "HS2005",
    "request_crashed",
    Level.ERROR,
    ("request_id", "error_type", "location"),
    "Report it: a fault in hopstep. The process continues.",
)
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
ENGINE_ANSWER_MALFORMED = LogEvent(
    "HS6001",
    "engine_answer_malformed",
    Level.WARNING,
    ("engine",),
    "Find out what listens at the engine's address and which version it runs.",
)
CLAIMS_UNAVAILABLE = LogEvent(
    "HS7001",
    "claims_unavailable",
    Level.WARNING,
    ("reason",),
    "Check the key-value store; until it responds, requests with an idempotency key are refused.",
)
CLAIM_REFUSED = LogEvent(
    "HS7002",
    "claim_refused",
    Level.INFO,
    ("earlier",),
    "Nothing; a caller repeated an idempotency key whose earlier attempt may have run.",
)
CLAIM_TAKEN_OVER = LogEvent(
    "HS7003", "claim_taken_over", Level.INFO, ("earlier_router",), "Nothing."
)
CLAIM_NOT_RELEASED = LogEvent(
    "HS7004", "claim_not_released", Level.INFO, ("reason",), "Nothing; repeats ask the engine."
)
CLAIM_UNREADABLE = LogEvent(
    "HS7005",
    "claim_unreadable",
    Level.ERROR,
    ("version",),
    "Find out which client writes below claims/ in the key-value store.",
)
CLAIMS_SWEPT = LogEvent("HS7006", "claims_swept", Level.INFO, ("deleted", "kept"), "Nothing.")
CLAIM_SWEEP_FAILED = LogEvent(
    "HS7007", "claim_sweep_failed", Level.WARNING, ("reason",), "Check the key-value store."
)


ENGINE_INCARNATION_SEEN = LogEvent(
    "HS6501",
    "engine_incarnation_seen",
    Level.INFO,
    ("engine", "incarnation", "weights"),
    "Nothing; unexpected restarts of one engine point to its machine.",
)
ENGINE_UNREACHABLE = LogEvent(
    "HS6502",
    "engine_unreachable",
    Level.WARNING,
    ("engine", "reason"),
    "Check the engine; requests go to the others until it is reachable.",
)
ENGINE_REACHABLE = LogEvent("HS6503", "engine_reachable", Level.INFO, ("engine",), "Nothing.")
ENGINE_LEAVING = LogEvent("HS6504", "engine_leaving", Level.INFO, ("engine",), "Nothing.")
CACHE_EVENTS_LOST = LogEvent(
    "HS6505",
    "cache_events_lost",
    Level.DEBUG,
    ("engine", "lost"),
    "Nothing; the cache index is corrected by engines' responses.",
)
WEIGHTS_ORDERED = LogEvent(
    "HS6510", "weights_ordered", Level.INFO, ("engine", "fence", "weights"), "Nothing."
)
WEIGHTS_ORDER_FAILED = LogEvent(
    "HS6511",
    "weights_order_failed",
    Level.WARNING,
    ("engine", "fence", "reason"),
    "The order is repeated; check the engine if this continues.",
)
MACHINE_LIST_UNAVAILABLE = LogEvent(
    "HS6520",
    "machine_list_unavailable",
    Level.WARNING,
    (),
    "Check the platform; the last list stays in use, and engines still announce their state.",
)
ATTEMPT_INTERRUPTED = LogEvent(
    "HS3301",
    "attempt_interrupted",
    Level.INFO,
    ("request_id", "engine", "nonce", "state", "code", "delivered_tokens"),
    "Nothing, unless it repeats for one engine: check that engine.",
)
ATTEMPT_RETRIED = LogEvent(
    "HS3302",
    "attempt_retried",
    Level.INFO,
    ("request_id", "action", "attempts"),
    "Nothing; a steady rate points at an engine that fails.",
)
REQUEST_FAILED = LogEvent(
    "HS3303",
    "request_failed",
    Level.WARNING,
    ("request_id", "code", "execution", "attempts"),
    "Look up the earlier attempts of the same request.",
)
FRAME_DROPPED = LogEvent(
    "HS3304",
    "frame_dropped",
    Level.INFO,
    ("engine", "nonce", "verdict"),
    "Nothing, unless it repeats for one engine: check that engine.",
)
CANCEL_FAILED = LogEvent(
    "HS3305",
    "cancel_failed",
    Level.INFO,
    ("engine", "nonce", "code"),
    "Nothing; the engine may compute an answer that no caller reads.",
)
HEDGE_STARTED = LogEvent(
    "HS3306", "hedge_started", Level.DEBUG, ("request_id", "engine"), "Nothing."
)
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
    "Nothing for a few while nodes start; if `malformed` rises: a version with other messages.",
)
NODE_FORMS_CHANGED = LogEvent(
    "HS5007",
    "node_forms_changed",
    Level.INFO,
    ("own", "nodes_by_form"),
    "Nothing while a version is rolled out or back; otherwise find the nodes of another version.",
)

EXCHANGE_ENDED = LogEvent(
    "HS3101",
    "exchange_ended",
    Level.INFO,
    (
        "request_id",
        "fingerprint",
        "route",
        "tenant",
        "service",
        "instance",
        "software_version",
        "resumes",
        "resume_after",
        "attempts",
        "outcome",
        "body_ms",
        "first_byte_ms",
        "total_ms",
        "events",
        "pause_ms",
        "read_tokens",
        "source",
        "target",
        "cache_salt",
        "waited_ms",
        "kept_from",
        "quarantined_for",
        "gateway",
        "configuration",
        "age_ms",
        "era",
        "revision",
        "retry_after_ms",
        "retry_reason",
    ),
    "Nothing by itself; the operators' page shows how to trace a request to its cause.",
)
EXCHANGE_REFUSED = LogEvent(
    "HS3102",
    "exchange_refused",
    Level.INFO,
    (
        "request_id",
        "code",
        "reason",
        "configuration",
        "age_ms",
        "era",
        "revision",
        "retry_after_ms",
        "retry_reason",
    ),
    "Look the code up in the errors page; a high age means that the store can't be reached.",
)
EXCHANGE_ATTEMPT_FAILED = LogEvent(
    "HS3103",
    "exchange_attempt_failed",
    Level.INFO,
    (
        "request_id",
        "fingerprint",
        "parts",
        "writing_ms",
        "instance",
        "software_version",
        "code",
        "reason",
        "execution",
        "sent",
        "gateway",
        "next_step",
    ),
    "If one instance recurs: check its own logs; if one `fingerprint`, or one of `parts` where "
    "`writing_ms` is 0, does: check the request, or that part of its prompt.",
)

STREAM_RESUMED = LogEvent(
    "HS3113",
    "stream_resumed",
    Level.INFO,
    (
        "request_id",
        "resumes",
        "service",
        "software_version",
        "known_from",
        "keeper",
        "age_ms",
        "candidates",
        "asked",
        "answered",
        "waited_ms",
    ),
    "Nothing while `candidates` is above 0. `known_from` is `unknown` where the resume is refused.",
)

ORIGINS_NOT_WRITTEN = LogEvent(
    "HS3114",
    "origins_not_written",
    Level.INFO,
    ("records", "code"),
    "Nothing while the store is down: other nodes get them too. Else look the code up.",
)

ORIGINS_NOT_SENT = LogEvent(
    "HS3115",
    "origins_not_sent",
    Level.WARNING,
    ("receiver", "message"),
    "Report it: a message about the origins of streams didn't fit into one datagram.",
)

BODY_NOT_KEPT = LogEvent(
    "HS3120",
    "body_not_kept",
    Level.INFO,
    ("request_id", "reason", "received_bytes", "limit_bytes", "limit_now_bytes", "configuration"),
    "Nothing: HS3102 says how it was refused. `too_long`: over `limit_bytes`, the limit at its "
    "head; `limit_now_bytes` is that of `configuration`. `no_space`: see HS3122.",
)
RESPONSE_RELAYED_IN_PARTS = LogEvent(
    "HS3121",
    "response_relayed_in_parts",
    Level.INFO,
    ("request_id", "instance", "read_bytes"),
    "Nothing for a few. If many: the node holds much for slow readers; see HS3122 and the metrics.",
)
STALLED_CLIENT_DISCONNECTED = LogEvent(
    "HS3122",
    "stalled_client_disconnected",
    Level.WARNING,
    ("request_id", "client", "waiting_seconds", "held_bytes", "all_held_bytes", "limit_bytes"),
    "Check the client: it moved no byte while the node's `memory_mb` left no space for others.",
)
INSTANCE_ENDED = LogEvent(
    "HS3104",
    "instance_ended",
    Level.INFO,
    ("instance", "evidence", "requests", "parts"),
    "Check the instance's own logs; `requests` answers of this node broke off with it, and `parts` "
    "of their prompts may be the cause.",
)
INSTANCE_ENDED_UNDER_REQUEST = LogEvent(
    "HS3105",
    "instance_ended_under_request",
    Level.WARNING,
    ("fingerprint", "subject", "tenant", "route", "instance", "seen_by", "ends"),
    "Several instances terminated while they ran this request, or began to answer prompts with "
    "this part: check it.",
)
REQUEST_QUARANTINED = LogEvent(
    "HS3106",
    "request_quarantined",
    Level.WARNING,
    ("fingerprint", "subject", "tenant", "route", "ends", "seconds"),
    "The request, or each with this part, is refused for `seconds`; the operators' page says how "
    "to find and allow it.",
)
REQUEST_RELEASED = LogEvent(
    "HS3107",
    "request_released",
    Level.INFO,
    ("fingerprint", "subject", "tenant", "route", "reason"),
    "Nothing; if instances terminate under it again, it is refused again.",
)
QUARANTINED_REQUEST_TRIED = LogEvent(
    "HS3108",
    "quarantined_request_tried",
    Level.INFO,
    ("fingerprint", "subject", "tenant", "route"),
    "Nothing: a complete response releases the request; a termination keeps it refused.",
)
QUARANTINED_REQUEST_NOT_TRIED = LogEvent(
    "HS3109",
    "quarantined_request_not_tried",
    Level.INFO,
    ("fingerprint", "reason"),
    "Nothing: the store didn't respond, or the trial was inconclusive and is `given_back`.",
)
QUOTA_EXCEEDED = LogEvent(
    "HS3110",
    "quota_exceeded",
    Level.INFO,
    ("request_id", "tenant", "cost", "room", "share", "used", "nodes", "wait_ms"),
    "Nothing, or raise the tenant's quota; few `nodes` mean that the node gets few reports.",
)
REQUEST_WAITED = LogEvent(
    "HS3111",
    "request_waited",
    Level.INFO,
    (
        "request_id",
        "route",
        "service",
        "priority",
        "waited_ms",
        "ahead",
        "late",
        "instance",
        "waiting",
    ),
    "Nothing; if it recurs: add instances. Without an `instance` the request was never sent.",
)
REQUEST_REFUSED_EARLY = LogEvent(
    "HS3112",
    "request_refused_early",
    Level.INFO,
    (
        "request_id",
        "route",
        "service",
        "priority",
        "reason",
        "waited_ms",
        "ahead",
        "expected_wait_ms",
        "first_byte_ms",
        "remaining_ms",
        "per_second",
        "free_places",
        "taken_places",
    ),
    "Add instances if it recurs; `reason` tells a long wait from a full queue.",
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
    "Fix it; an instance is unused until then; otherwise the earlier entry stays in force.",
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
OWN_ENTRY_REWRITTEN = LogEvent(
    "HS4110",
    "own_entry_rewritten",
    Level.INFO,
    ("era",),
    "Nothing: the store was restored, and the node writes its own entry again.",
)
STORE_RESTORE_SUSPECTED = LogEvent(
    "HS4109",
    "store_restore_suspected",
    Level.WARNING,
    ("era", "nodes_behind"),
    "Nothing: keys are served once other nodes, or two seconds, have shown what the backup lacks.",
)
STORE_ANSWER_OUTDATED = LogEvent(
    "HS4108",
    "store_answer_outdated",
    Level.INFO,
    ("era", "revision", "known_era"),
    "Nothing once; if it lasts, the store names a lower era than before: restart the nodes.",
)
SETTINGS_RELOADED = LogEvent("HS1005", "settings_reloaded", Level.INFO, ("changed",), "Nothing.")
SETTINGS_REJECTED = LogEvent(
    "HS1006",
    "settings_rejected",
    Level.ERROR,
    ("reason",),
    "Fix the settings file; the earlier settings stay in use.",
)
ROLLOUT_LEASE_NOT_ENDED = LogEvent(
    "HS6141",
    "rollout_lease_not_ended",
    Level.INFO,
    ("reason", "code"),
    "Nothing: the lease ends by itself, and the next holder waits for that.",
)
INSTANCE_LISTED = LogEvent(
    "HS6101",
    "instance_listed",
    Level.INFO,
    (
        "instance",
        "born_ms",
        "service",
        "software_version",
        "draining",
        "versions",
        "source",
        "age_ms",
        "era",
        "revision",
    ),
    "Nothing.",
)
INSTANCE_REMOVED = LogEvent(
    "HS6102", "instance_removed", Level.INFO, ("instance", "source", "age_ms"), "Nothing."
)
INSTANCE_LAPSED = LogEvent(
    "HS6110",
    "instance_lapsed",
    Level.INFO,
    ("instance", "source"),
    "Nothing: it stays in use for two seconds; HS6102 follows unless its entry is restored.",
)
INSTANCE_ENTRY_OUTDATED = LogEvent(
    "HS6115",
    "instance_entry_outdated",
    Level.INFO,
    ("instance", "born_ms", "known", "source", "era", "revision"),
    "Nothing: after a restore the store shows an old entry; it isn't used for the instance.",
)
INSTANCE_SAYS_LEAVING = LogEvent(
    "HS6111",
    "instance_says_leaving",
    Level.INFO,
    ("instance", "life", "service", "source", "age_ms"),
    "Nothing: it gets no new requests; if it stays listed as ready, check its store writes.",
)
INSTANCE_WANTS_REST = LogEvent(
    "HS6112",
    "instance_wants_rest",
    Level.INFO,
    ("instance", "life", "service", "rest_ms"),
    "Nothing once: this node sends it nothing for `rest_ms`; if it recurs, it is overloaded.",
)
INSTANCE_LIMIT_CHANGED = LogEvent(
    "HS6113",
    "instance_limit_changed",
    Level.INFO,
    ("instance", "life", "service", "limit", "previous", "source", "age_ms"),
    "Nothing: `limit` is the requests per second of all nodes together; -1 is no limit.",
)
WORD_UNKNOWN = LogEvent(
    "HS6114",
    "word_unknown",
    Level.WARNING,
    ("place", "name", "source", "status"),
    "Look up the value in the sender's documentation: this version ignores it.",
)
INSTANCE_FULL = LogEvent(
    "HS6120",
    "instance_full",
    Level.INFO,
    ("instance", "life", "service", "active", "slots"),
    "If it recurs for most instances of a service: add instances, or lower its callers' quotas.",
)
INSTANCE_SUSPECTED = LogEvent(
    "HS6121",
    "instance_suspected",
    Level.WARNING,
    ("instance", "life", "service", "suspended_ms", "reported_by"),
    "If all lines name one node in `reported_by`: check its link; otherwise check the instance.",
)
INSTANCE_LINK_CHANGED = LogEvent(
    "HS6123",
    "instance_link_changed",
    Level.WARNING,
    ("instance", "service", "cut", "gateway", "links_cut"),
    "If `cut`: another node reaches the instance and this one doesn't; check this node's network.",
)
INSTANCES_CUT_OFF = LogEvent(
    "HS6124",
    "instances_cut_off",
    Level.ERROR,
    ("cut_off",),
    "If true: this node reaches no instance itself; check its network. Other nodes carry its load.",
)
GATEWAY_EXCLUDED = LogEvent(
    "HS6125",
    "gateway_excluded",
    Level.INFO,
    ("gateway", "service", "reason"),
    "Nothing once: another gateway is used. If all are `cut_off`: check the instances' network.",
)
TUNNEL_REJECTED = LogEvent(
    "HS6126",
    "tunnel_rejected",
    Level.WARNING,
    ("reason",),
    "If it recurs: something other than a node of this fleet connects to the peer port.",
)
TUNNEL_BROKEN = LogEvent(
    "HS6128",
    "tunnel_broken",
    Level.INFO,
    ("instance", "end", "reason"),
    "Nothing for a few: the node that uses the tunnel logs what became of its request.",
)
TUNNELS_UNAVAILABLE = LogEvent(
    "HS6127",
    "tunnels_unavailable",
    Level.ERROR,
    ("address", "reason"),
    "Free the TCP port of `peer_address`: other nodes can't reach instances through this one.",
)
INSTANCE_SPEED_CHANGED = LogEvent(
    "HS6122",
    "instance_speed_changed",
    Level.INFO,
    ("instance", "life", "service", "slowness", "previous"),
    "If one stays far above the others of its service: check its machine. 1 is their median.",
)
WEIGHTS_NAMED = LogEvent(
    "HS6103",
    "weights_named",
    Level.INFO,
    ("model", "version", "age_ms", "counted_ms", "era", "revision"),
    "Nothing: `counted_ms` counts towards the age limit, without the time without the store.",
)
WEIGHTS_ORDER_SENT = LogEvent(
    "HS6104",
    "weights_order_sent",
    Level.INFO,
    ("instance", "model", "version", "fencing_token", "outcome"),
    "If rejected or unknown recurs: check the engine's own logs.",
)
WEIGHTS_LOADS_WAITING = LogEvent(
    "HS6140",
    "weights_loads_waiting",
    Level.INFO,
    ("model", "version", "engines", "due_ms"),
    "Nothing: loads go on as engines have capacity, after `due_ms` at the latest.",
)
ENGINES_KEPT = LogEvent(
    "HS6130",
    "engines_kept",
    Level.INFO,
    ("service", "routes", "kept", "engines", "long_tokens"),
    "Nothing: prompts of `long_tokens` or more avoid `kept` of the `engines` while others do.",
)
CACHE_STORE_CHANGED = LogEvent(
    "HS6107",
    "cache_store_changed",
    Level.WARNING,
    ("address", "reachable"),
    "If false: check the cache store; until it is reachable, prompts are read again.",
)
ENGINE_EVENTS_CHANGED = LogEvent(
    "HS6108",
    "engine_events_changed",
    Level.INFO,
    ("instance", "readable"),
    "If false for long: check the engine; its cache is estimated from the requests sent to it.",
)
ROLLOUT_LEASE_ACQUIRED = LogEvent(
    "HS6105",
    "rollout_lease_acquired",
    Level.INFO,
    ("fencing_token", "era", "resumed"),
    "Nothing: `resumed` means that its own lease still existed after an outage or a restart.",
)
ROLLOUT_LEASE_LOST = LogEvent(
    "HS6106",
    "rollout_lease_lost",
    Level.WARNING,
    ("fencing_token", "reason"),
    "Nothing: another node takes over once the lease has expired.",
)


def catalogue() -> tuple[LogEvent, ...]:
    """Return all events of this module, ordered by number."""
    events = [value for value in globals().values() if isinstance(value, LogEvent)]
    return tuple(sorted(events, key=lambda event: event.number))
