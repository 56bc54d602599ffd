"""Events of the HTTP API and its connections: HS2xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

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
REQUEST_CRASHED = LogEvent(
    "HS2005",
    "request_crashed",
    Level.ERROR,
    ("request_id", "error_type", "location"),
    "Report it: a fault in hopstep. The process continues.",
)
CONNECTION_FAILED = LogEvent(
    "HS2006",
    "connection_failed",
    Level.ERROR,
    ("error_type", "location"),
    "Report it: a fault in hopstep or its server. Only this connection was closed.",
)
BYTES_REJECTED = LogEvent(
    "HS2007",
    "bytes_rejected",
    Level.INFO,
    ("client", "status"),
    "If it recurs: check the client; it sends what is no HTTP request, or a head, a chunk's line "
    "or a trailer over the limit on heads. Its connection is closed.",
)
CONNECTION_CLOSED_UNREAD = LogEvent(
    "HS2008",
    "connection_closed_unread",
    Level.INFO,
    ("client", "closed_by", "waiting_seconds"),
    "Nothing: its connection ended while the head of a request arrived, of which nothing was run.",
)
