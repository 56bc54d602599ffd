"""Keeps one request's stream at the software version that began it."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.services.exchanges.requests.exchange_parts import ExchangeParts
from hopstep.services.exchanges.streams.resume_log import log_resume
from hopstep.services.exchanges.streams.stream_origins import is_resumed


class StreamContinuation:
    """Restricts the instances of a request once its stream has begun, here or in an earlier one."""

    def __init__(self, parts: ExchangeParts, scope: InstanceScope) -> None:
        """Start without a stream.

        Args:
            parts: Objects that all requests share.
            scope: The request's scope, which gets the origin of its stream.
        """
        self._parts = parts
        self._scope = scope
        self._began_at: float | None = None

    async def find_origin(self) -> None:
        """Find out what began the stream that the client resumes.

        Raises:
            ServiceError: ``STREAM_NOT_RESUMABLE``: nobody may go on with it; nothing was sent.
        """
        scope = self._scope
        if not is_resumed(scope.request):
            return
        asked_at = trio.current_time()
        lookup = await self._parts.origins.find(scope.request)
        candidates = 0
        if lookup.origin is not None:
            scope.service = lookup.origin.service
            scope.origin = lookup.origin
            self._began_at = trio.current_time() - lookup.age_seconds
            candidates = self._parts.choice.count_instances(scope)
        self._parts.count_resume(lookup.source.value)
        log_resume(scope, lookup, candidates, trio.current_time() - asked_at)
        if lookup.origin is None:
            raise _not_resumable("the stream's software version is unknown")
        if scope.service not in (share.service for share in scope.request.route.shares):
            raise _not_resumable("the route no longer has its service")
        if not candidates:
            raise _not_resumable("no instance has its software version")

    def note_begun(self, view: InstanceView) -> None:
        """Note that the first event of the answer is about to be sent to the client."""
        if self._began_at is None:
            self._began_at = trio.current_time()
        self._scope.origin = self._scope.origin or StreamOrigin.of(view.instance)
        origins = self._parts.origins
        origins.note_begun(self._scope.request, self._scope.origin, self._began_at)

    @property
    def is_doubtful(self) -> bool:
        """Whether the stream may have begun at other software than is recorded."""
        origin, began_at = self._scope.origin, self._began_at
        if origin is None or began_at is None:
            return False
        return self._parts.origins.is_doubtful(origin, began_at)


def _not_resumable(message: str) -> ServiceError:
    """Return the refusal of a resume."""
    return ServiceError(ErrorCode.STREAM_NOT_RESUMABLE, message)
