"""Tells the quarantine which engines have ended under which requests; asks it before attempts."""

from __future__ import annotations

import functools

from hopstep.domain.attempts import AttemptState
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.quarantine.crashes import EndEvidence, InstanceSign
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.ports.engine import EnginePort
from hopstep.services.engine_calls import probe_engine
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.requests.attempt import Attempt


class EngineEnds:
    """Ends of engines, as the attempts at them and the engines' own facts show."""

    def __init__(self, quarantine: Quarantine, port: EnginePort, table: RoutingTable) -> None:
        """Join the parts.

        Args:
            quarantine: Counts ends by request.
            port: Engines.
            table: Learns of engines that have started anew.
        """
        self._quarantine = quarantine
        self._port = port
        self._trials: set[str] = set()
        table.follow_restarts(self._note_restart)

    async def require_allowed(self, request: InferenceRequest) -> int:
        """Refuse a request under which too many engines have ended.

        Without this a prompt that ends its engines ends one after the other, each time it is sent.

        Returns:
            How many have ended under it, as far as it counts.

        Raises:
            ServiceError: ``REQUEST_QUARANTINED``.
        """
        if self._quarantine.is_idle:
            return 0
        fingerprint = request.name().fingerprint
        seconds = await self._quarantine.admit(fingerprint)
        if seconds:
            raise _quarantined(seconds)
        if self._refused_seconds(request):
            self._trials.add(request.request_id)
        return self._quarantine.terminations(fingerprint)

    def note_finished(self, request: InferenceRequest) -> None:
        """Have a run judged that a refused request was allowed, if this was it."""
        if request.request_id in self._trials:
            self._trials.remove(request.request_id)
            self._quarantine.end_trial(request.name().fingerprint)

    def require_no_more(self, request: InferenceRequest, ends: int) -> None:
        """Refuse a request that was allowed, when more engines have ended under it since.

        Args:
            request: The request.
            ends: How many had ended when it was allowed.

        Raises:
            ServiceError: ``REQUEST_QUARANTINED``.
        """
        seconds = self._refused_seconds(request)
        if seconds and self._quarantine.terminations(request.name().fingerprint) > ends:
            raise _quarantined(seconds)

    def is_refused(self, request: InferenceRequest) -> bool:
        """Return whether a request is kept from engines."""
        return self._refused_seconds(request) > 0

    def note_broken(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Note an attempt that may have run and gave no whole answer."""
        if attempt.incarnation and attempt.state is not AttemptState.NOT_RUN:
            self._quarantine.note_interrupted(request.name(), _life(attempt))

    def look_again(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Have an engine looked at that has broken an attempt off and doesn't answer."""
        if attempt.incarnation and attempt.state is not AttemptState.NOT_RUN:
            look = functools.partial(self._look, attempt.address, attempt.incarnation)
            self._quarantine.note_interrupted(request.name(), _life(attempt), look)

    def note_answer(self, attempt: Attempt) -> None:
        """Note the first answer to an attempt."""
        self._quarantine.note_answer(_life(attempt), attempt.dispatched_at)

    def note_whole_answer(self, request: InferenceRequest) -> None:
        """Note a request that has run to a whole answer."""
        self._quarantine.note_complete_response(request.name().fingerprint)

    async def settle(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Wait for the look at an attempt's engine if one more end would have it refused."""
        if not self._quarantine.is_idle:
            await self._quarantine.settle(request.name().fingerprint, _life(attempt))

    def _refused_seconds(self, request: InferenceRequest) -> float:
        """Return for how much longer a request is refused; 0 when it isn't."""
        if self._quarantine.is_idle:
            return 0.0
        return self._quarantine.refused_seconds(request.name().fingerprint)

    async def _look(self, address: str, incarnation: str) -> InstanceSign:
        """Look at an engine: another incarnation shows that this one has ended."""
        facts = await probe_engine(self._port, address)
        if facts is None:
            return InstanceSign.NO_ANSWER
        return InstanceSign.ANSWERS if facts.incarnation == incarnation else InstanceSign.ENDED

    def _note_restart(self, address: str, incarnation: str) -> None:
        """Note that an incarnation of an engine is over."""
        self._quarantine.note_terminated(f"{address}@{incarnation}", EndEvidence.RESTARTED)


def _life(attempt: Attempt) -> str:
    """Return the incarnation of the engine that an attempt was sent to, as routers tell it."""
    return f"{attempt.address}@{attempt.incarnation}"


def _quarantined(seconds: float) -> ServiceError:
    """Return the refusal of a request for so many seconds."""
    return ServiceError(
        ErrorCode.REQUEST_QUARANTINED,
        "engines have ended under this request",
        retry_after_seconds=seconds,
    )
