"""Log line of each resume of a client."""

from __future__ import annotations

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.streams.origin_lookup import OriginLookup
from hopstep.log_events.requests import STREAM_RESUMED
from hopstep.logs import emit

MILLISECONDS = 1_000


def log_resume(
    scope: InstanceScope, lookup: OriginLookup, candidates: int, waited_seconds: float
) -> None:
    """Log a client's resume.

    Args:
        scope: Its request, with the origin if that is known.
        lookup: What was found out.
        candidates: Listed instances that may go on with the stream.
        waited_seconds: Time that the search took.
    """
    emit(
        STREAM_RESUMED,
        request_id=scope.request.request_id,
        resumes=scope.request.resumes,
        service=scope.service,
        software_version=scope.software_version,
        known_from=lookup.source.value,
        keeper=lookup.node,
        age_ms=round(lookup.age_seconds * MILLISECONDS),
        candidates=candidates,
        asked=lookup.asked,
        answered=lookup.answered,
        waited_ms=round(waited_seconds * MILLISECONDS),
    )
