"""Events of requests, their attempts and routing: HS3xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

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
        "closed_by",
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
        "sent_ms",
        "view_age_ms",
        "loop_delay_ms",
        "connection",
        "send_number",
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
        "connection",
        "send_number",
        "next_step",
    ),
    "If one instance recurs: check its own logs; if one `fingerprint`, or one of `parts` where "
    "`writing_ms` is 0, does: check the request, or that part of its prompt.",
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
    "Nothing: the store didn't respond, the trial was inconclusive and is `given_back`, or it was "
    "`lost` with its process and is run again.",
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
VERSIONS_RECORDED = LogEvent(
    "HS3116",
    "software_versions_recorded",
    Level.INFO,
    ("versions", "era"),
    "Nothing: new streams may begin at the versions of each service from now on.",
)
VERSIONS_NOT_RECORDED = LogEvent(
    "HS3117",
    "software_versions_not_recorded",
    Level.INFO,
    ("code",),
    "Nothing while the store is down: it is tried again. Else look the code up.",
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
    "head; `limit_now_bytes` is that of `configuration`. `no_space`: see HS3122. `too_slow`: its "
    "client sends it too slowly or without end.",
)
RESPONSE_RELAYED_IN_PARTS = LogEvent(
    "HS3121",
    "response_relayed_in_parts",
    Level.INFO,
    ("request_id", "instance", "read_bytes"),
    "Nothing for a few. If many: the node holds much for slow readers, see HS3122 and the metrics; "
    "or long answers state no length, see HS3103 for those that don't end.",
)
STALLED_CLIENT_DISCONNECTED = LogEvent(
    "HS3122",
    "stalled_client_disconnected",
    Level.WARNING,
    ("request_id", "client", "waiting_seconds", "held_bytes", "all_held_bytes", "limit_bytes"),
    "Check the client: it moved no byte while the node's `memory_mb` left no space for others.",
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
