"""Writes ``docs/EVENTS.md`` and ``docs/ERRORS.md`` from the catalogues in the code.

Run ``python -m hopstep.cli.reference_docs`` after a change to ``hopstep.log_events``,
``hopstep.exceptions`` or the statuses of the HTTP API; a test compares the pages with the code.
"""

from __future__ import annotations

from pathlib import Path

from hopstep.adapters.http_api.errors import DEFAULT_STATUS, STATUS_BY_CODE
from hopstep.exceptions import ERROR_GUIDE, ErrorCode
from hopstep.log_events.catalogue import catalogue

DOCS = Path(__file__).parents[2] / "docs"
EVENTS_PAGE = "EVENTS.md"
ERRORS_PAGE = "ERRORS.md"


def render_events() -> str:
    """Return the page of log events."""
    rows = [
        f"| {event.number} | `{event.name}` | {event.level.value} "
        f"| {', '.join(f'`{field}`' for field in event.fields) or '-'} | {event.action} |"
        for event in catalogue()
    ]
    return "\n".join(
        [
            "# Log events",
            "",
            "Each log line is one JSON object on standard error (nodes of routed exchanges",
            "write to standard output): `number`, `event` (the name),",
            "`level`, `timestamp`, `node`, and the fields below. Prompts, answers and keys are",
            "never fields. This page is written by `python -m hopstep.cli.reference_docs`.",
            "",
            "Ranges: HS1xxx process and settings, HS2xxx HTTP API, HS3xxx attempts and routing,",
            "HS4xxx configuration, HS5xxx membership and peers, HS6xxx engines, HS7xxx claims and",
            "limits.",
            "",
            "| number | name | level | fields | what to do |",
            "| --- | --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )


def render_errors() -> str:
    """Return the page of error codes."""
    rows = [f"| `{code.value}` | {_status(code)} | {ERROR_GUIDE[code]} |" for code in ErrorCode]
    return "\n".join(
        [
            "# Errors",
            "",
            'An error body is `{"error": {...}}` with `code` (below, never changes its',
            "meaning), `message`, `type`, `param` (the invalid field, or null), `execution`,",
            "`retry_after_seconds` and `endpoints` (routers in the tenant's placement, on",
            "placement refusals). Every refusal carries `Retry-After`. `execution` is `not_run`",
            "only when that is proved, else `unknown`. A stream that fails ends with an error",
            "event of the same shape and without `[DONE]`.",
            "",
            "On routes, the body of an error is its code as plain text. For `malformed_request` a",
            "colon and the name of the header follow (`malformed_request: NAME`);",
            "nothing was sent to an instance. `docs/design/0047-numbers-in-heads.md` has the",
            "bounds of each header.",
            "",
            "This page is written by `python -m hopstep.cli.reference_docs`.",
            "",
            "| code | HTTP status | what it means and what to do |",
            "| --- | --- | --- |",
            *rows,
            "",
        ]
    )


def _status(code: ErrorCode) -> str:
    """Return the HTTP status of responses with a code; ``-`` if callers never get it."""
    if code is ErrorCode.INTERNAL:
        return str(DEFAULT_STATUS)
    return str(STATUS_BY_CODE.get(code, "-"))


def main() -> None:
    """Write both pages."""
    (DOCS / EVENTS_PAGE).write_text(render_events(), encoding="utf-8")
    (DOCS / ERRORS_PAGE).write_text(render_errors(), encoding="utf-8")


if __name__ == "__main__":
    main()
