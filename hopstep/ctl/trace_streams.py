"""Lines of a stream's other requests in the nodes' logs, and why a resume was refused."""

from __future__ import annotations

from collections.abc import Sequence

from hopstep.ctl.log_lines import REQUEST_FIELD, LogLine
from hopstep.domain.exchanges.streams.origin_lookup import OriginSource
from hopstep.log_events.requests import STREAM_RESUMED

RESUMES_FIELD = "resumes"


def stream_lines(request_id: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines of the requests that began or resumed the stream of a request.

    Args:
        request_id: The request, whose own lines aren't among them.
        lines: Lines of all nodes.
    """
    own = [line for line in lines if line.fields.get(REQUEST_FIELD) == request_id]
    named = {str(line.fields.get(RESUMES_FIELD) or "") for line in own} - {""}
    origins = named or {request_id}
    return [line for line in lines if _is_of_stream(line, origins) and line not in own]


def explain_resume(own: Sequence[LogLine]) -> str:
    """Return what was found out about the stream that a request resumes; empty for none."""
    found = [line for line in own if line.number == STREAM_RESUMED.number]
    if not found:
        return ""
    fields = found[-1].fields
    source = fields.get("known_from")
    resumed = fields.get(RESUMES_FIELD) or "a request that it doesn't name"
    if source == OriginSource.UNKNOWN.value:
        asked = f"{fields.get('answered')} of {fields.get('asked')} nodes answered"
        return f"no node knew the stream of {resumed}; {asked}"
    if source == OriginSource.DOUBTFUL.value:
        return f"the instance that began the stream of {resumed} had started again by then"
    version = fields.get("software_version")
    return (
        f"goes on with the stream of {resumed} at software version {version}, known from {source}; "
        f"{fields.get('candidates')} instances have it"
    )


def _is_of_stream(line: LogLine, origins: set[str]) -> bool:
    """Return whether a line is of a request that began or resumed one of some streams."""
    return line.fields.get(REQUEST_FIELD) in origins or line.fields.get(RESUMES_FIELD) in origins
