"""Names of headers, paths, keys and values in the platform's protocols."""

from __future__ import annotations

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
PROMPT_SEGMENTS = b"prompt-prefix"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
SIGNATURE = b"response-stamp"
TENANT = b"tenant"
EXPECT_INSTANCE = b"expect-instance"
NOT_EXECUTED = b"not-executed"
INSTANCE_ID = b"instance-id"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
DATE = b"date"
STORE_ERA = b"store-era"
MODEL = b"model"
TOKEN_USAGE = b"token-usage"
LENGTH_HINT = b"length-hint"
CACHE_SALT = b"cache-salt"
CACHE_SOURCE = b"cache-source"
CACHE_TARGET = b"cache-target"
WAIT = b"wait-ms"
PRIORITY = b"request-priority"
VERSIONS = b"weight-versions"
EXPECT_VERSION = b"expect-version"
API_KEY = b"x-api-key"
KEEP_ALIVE = b"keep-alive"

HEADER_ENCODING = "latin-1"
"""Encoding in which each byte of a header is one character: ids are repeated byte by byte."""

NOT_FORWARDED = frozenset(
    {
        DEADLINE,
        TENANT,
        EXPECT_INSTANCE,
        CACHE_SALT,
        PRIORITY,
        EXPECT_VERSION,
        API_KEY,
        CACHE_SOURCE,
        CACHE_TARGET,
        b"cache-backup",
        b"kv-from",
        b"pin-ms",
        b"hold",
    }
)
"""Request headers that are set by hopstep or removed, never forwarded from a client."""

PER_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Hop-by-hop headers, and those of the body's framing."""

READINESS_PATH = "/readiness"
ORDER_PATH = "/order"
REPORT_PATH = "/report"
CACHE_EVENTS_PATH = "/kv-events"

STORE_ITEM = "/kv-key"
STORE_RANGE = "/kv-range"
STORE_WATCH = "/kv-watch"
STORE_TRANSACTION = "/kv-txn"
STORE_LEASE = "/kv-lease"
STORE_RENEW = "/kv-keep/"
STORE_LEASE_END = "/kv-lease-end/"

CONFIGURATION_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
OPERATORS_PREFIX = "op/"
INSTANCES_PREFIX = "servers/"

UNIT_REQUESTS = "requests"
UNIT_TOKENS = "tokens"
DRAINING = "draining"
KIND_SAFE = "safe"
KIND_UNSAFE = "unsafe"
KIND_STREAMING = "streaming"
VERSION_OPERATION = "version"
METHOD_RETAIN = "retain"

SETTINGS_VARIABLE = "HOPSTEP_SETTINGS"
"""Environment variable with the path of the settings file."""
