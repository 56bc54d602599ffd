"""Reports engines that terminated under requests to the quarantine, and refuses such requests."""

from __future__ import annotations

import functools

from hopstep.domain.attempts import AttemptState
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.quarantine.crashes import InstanceProbeResult, TerminationEvidence
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.ports.engine import EnginePort
from hopstep.services.engine_calls import probe_engine
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.requests.attempt import Attempt


class EngineTerminations:
    """Terminations of engines, as observed by attempts and by changes of their incarnation."""

    def __init__(self, quarantine: Quarantine, port: EnginePort, table: RoutingTable) -> None:
        """Subscribe to restarts of engines.

        Args:
            quarantine: Counts terminations by request.
            port: Calls to engines.
            table: Reports engines that have restarted.
        """
        self._quarantine = quarantine
        self._port = port
        self._trials: set[str] = set()
        table.set_restart_listener(self._note_restart)

    async def require_allowed(self, request: InferenceRequest) -> int:
        """Refuse a request under which too many engines have terminated.

        Otherwise a prompt that crashes its engines crashes one after the other when it is sent
        again.

        Returns:
            Number of terminations that count for the request.

        Raises:
            ServiceError: ``REQUEST_QUARANTINED``.
        """
        if self._quarantine.is_idle:
            return 0
        name = request.name()
        refusal = await self._quarantine.admit(name)
        if refusal.seconds:
            raise _quarantined(refusal.seconds)
        if self._refused_seconds(request):
            self._trials.add(request.request_id)
        return self._quarantine.terminations(name.fingerprint)

    def note_finished(self, request: InferenceRequest) -> None:
        """Have a trial judged, if this request was the trial of a refused one."""
        if request.request_id in self._trials:
            self._trials.remove(request.request_id)
            self._quarantine.end_trial(request.name())

    def require_no_more(self, request: InferenceRequest, terminations: int) -> None:
        """Refuse an allowed request when more engines have terminated under it since.

        Args:
            request: The request.
            terminations: Number of terminations when it was allowed.

        Raises:
            ServiceError: ``REQUEST_QUARANTINED``.
        """
        seconds = self._refused_seconds(request)
        if seconds and self._quarantine.terminations(request.name().fingerprint) > terminations:
            raise _quarantined(seconds)

    def is_refused(self, request: InferenceRequest) -> bool:
        """Return whether a request is kept from engines."""
        return self._refused_seconds(request) > 0

    def note_interrupted(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Record an attempt that may have run without a complete response."""
        if attempt.incarnation and attempt.state is not AttemptState.NOT_RUN:
            self._quarantine.note_interrupted(request.name(), _incarnation_name(attempt))

    def note_unresponsive(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Record an interrupted attempt, and have its unresponsive engine probed."""
        if attempt.incarnation and attempt.state is not AttemptState.NOT_RUN:
            probe = functools.partial(self._probe, attempt.address, attempt.incarnation)
            self._quarantine.note_interrupted(request.name(), _incarnation_name(attempt), probe)

    def note_answer(self, attempt: Attempt) -> None:
        """Record the first frame of an attempt's answer."""
        self._quarantine.note_answer(_incarnation_name(attempt), attempt.dispatched_at)

    def note_complete_response(self, request: InferenceRequest) -> None:
        """Record a request that got a complete response."""
        self._quarantine.note_complete_response(request.name())

    async def settle(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Wait for the probe of an attempt's engine if its termination would refuse the request."""
        if not self._quarantine.is_idle:
            await self._quarantine.settle(request.name(), _incarnation_name(attempt))

    def _refused_seconds(self, request: InferenceRequest) -> float:
        """Return the seconds for which a request is still refused; 0 when it isn't."""
        if self._quarantine.is_idle:
            return 0.0
        return self._quarantine.refused_seconds(request.name().fingerprint)

    async def _probe(self, address: str, incarnation: str) -> InstanceProbeResult:
        """Probe an engine: another incarnation shows that this one has terminated."""
        facts = await probe_engine(self._port, address)
        if facts is None:
            return InstanceProbeResult.NO_ANSWER
        return (
            InstanceProbeResult.ANSWERS
            if facts.incarnation == incarnation
            else InstanceProbeResult.ENDED
        )

    def _note_restart(self, address: str, incarnation: str) -> None:
        """Record that an incarnation of an engine has terminated."""
        self._quarantine.note_terminated(f"{address}@{incarnation}", TerminationEvidence.RESTARTED)


def _incarnation_name(attempt: Attempt) -> str:
    """Return the name of an attempt's engine incarnation, as routers publish it."""
    return f"{attempt.address}@{attempt.incarnation}"


def _quarantined(seconds: float) -> ServiceError:
    """Return the refusal of a request, with the seconds to retry after."""
    return ServiceError(
        ErrorCode.REQUEST_QUARANTINED,
        "engines have ended under this request",
        retry_after_seconds=seconds,
    )
