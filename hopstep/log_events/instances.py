"""Events of instances, engines and their weights: HS6xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

ENGINE_ANSWER_MALFORMED = LogEvent(
    "HS6001",
    "engine_answer_malformed",
    Level.WARNING,
    ("engine",),
    "Find out what listens at the engine's address and which version it runs.",
)
ANSWER_TO_ANOTHER_CALL = LogEvent(
    "HS6002",
    "answer_to_another_call",
    Level.WARNING,
    ("address",),
    "Find out why the server at the address answers twice; the answer was rejected.",
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
INSTANCE_LAPSED = LogEvent(
    "HS6110",
    "instance_lapsed",
    Level.INFO,
    ("instance", "source"),
    "Nothing: it stays in use for two seconds; HS6102 follows unless its entry is restored.",
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
INSTANCE_ENTRY_OUTDATED = LogEvent(
    "HS6115",
    "instance_entry_outdated",
    Level.INFO,
    ("instance", "born_ms", "known", "source", "era", "revision"),
    "Nothing: after a restore the store shows an old entry; it isn't used for the instance.",
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
INSTANCE_SPEED_CHANGED = LogEvent(
    "HS6122",
    "instance_speed_changed",
    Level.INFO,
    ("instance", "life", "service", "slowness", "previous"),
    "If one stays far above the others of its service: check its machine. 1 is their median.",
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
TUNNELS_UNAVAILABLE = LogEvent(
    "HS6127",
    "tunnels_unavailable",
    Level.ERROR,
    ("address", "reason"),
    "Free the TCP port of `peer_address`: other nodes can't reach instances through this one.",
)
TUNNEL_OPENED = LogEvent(
    "HS6131",
    "tunnel_opened",
    Level.INFO,
    ("node", "instance", "failure", "waited_ms"),
    "Nothing: `node` asked this one for a connection; `failure` is why it got none, if it didn't.",
)
TUNNEL_REQUEST_REFUSED = LogEvent(
    "HS6132",
    "tunnel_request_refused",
    Level.INFO,
    ("instance", "reason"),
    "Nothing for a few: the node that sent the request chooses another instance or gateway.",
)
TUNNEL_BROKEN = LogEvent(
    "HS6128",
    "tunnel_broken",
    Level.INFO,
    ("instance", "end", "reason"),
    "Nothing for a few: the node that uses the tunnel logs what became of its request.",
)
SURPLUS_BYTES_RECEIVED = LogEvent(
    "HS6129",
    "surplus_bytes_received",
    Level.WARNING,
    ("address", "place", "connection", "sends", "size", "unlogged"),
    "Check the instance at `address`: it sends bytes that belong to no request; `unlogged` counts "
    "findings since the line before.",
)
ENGINES_KEPT = LogEvent(
    "HS6130",
    "engines_kept",
    Level.INFO,
    ("service", "routes", "kept", "engines", "long_tokens"),
    "Nothing: prompts of `long_tokens` or more avoid `kept` of the `engines` while others do.",
)
WEIGHTS_LOADS_WAITING = LogEvent(
    "HS6140",
    "weights_loads_waiting",
    Level.INFO,
    ("model", "version", "engines", "due_ms"),
    "Nothing: loads go on as engines have capacity, after `due_ms` at the latest.",
)
ROLLOUT_LEASE_NOT_ENDED = LogEvent(
    "HS6141",
    "rollout_lease_not_ended",
    Level.INFO,
    ("reason", "code"),
    "Nothing: the lease ends by itself, and the next holder waits for that.",
)
ANSWER_BOUND_EXCEEDED = LogEvent(
    "HS6150",
    "answer_bound_exceeded",
    Level.WARNING,
    ("source", "call", "bound", "received_bytes"),
    "Find out what listens at `source`: it sends bytes without end, or too slowly. The answer "
    "counts as none, and its connection is closed.",
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
