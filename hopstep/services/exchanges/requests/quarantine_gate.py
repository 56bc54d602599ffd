"""Applies the quarantine to one request and reports the results of its attempts."""

from __future__ import annotations

import functools

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.quarantine.crashes import RequestIdentity
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import InstanceCallError, InstanceCalls
from hopstep.services.exchanges.requests.exchange_parts import ExchangeOutcome
from hopstep.services.quarantine.quarantine import Quarantine

ANSWERED_CODES = frozenset({ErrorCode.RETRIES_EXHAUSTED})
"""Error codes of attempts that the instance itself answered with a failure."""


class QuarantineGate:
    """Asks the quarantine whether one request may run, and reports its outcome there.

    Otherwise a single request that crashes instances and is repeated by its client takes down one
    instance after the other, and interrupts all other responses there.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        calls: InstanceCalls,
        request: ExchangeRequest,
        outcome: ExchangeOutcome,
    ) -> None:
        """Create the gate of one request.

        Args:
            quarantine: Requests under which instances have crashed.
            calls: Checks instances that gave no response.
            request: The request.
            outcome: Records the fingerprint for the log.
        """
        self._quarantine = quarantine
        self._calls = calls
        self._request = request
        self._outcome = outcome
        self._admitted_crashes = -1
        self._is_trial = False

    @functools.cached_property
    def name(self) -> RequestIdentity:
        """Name that the request shares with equal requests of its caller."""
        return self._request.name()

    async def refused_seconds(self) -> float:
        """Return the seconds for which it is still refused, before each attempt; 0 if admitted."""
        quarantine = self._quarantine
        if quarantine.is_idle:
            return 0.0
        fingerprint = self.name.fingerprint
        self._outcome.fingerprint = fingerprint.hex()
        reached_none = not self._outcome.attempts.counted
        if reached_none and quarantine.terminations(fingerprint) <= self._admitted_crashes:
            return 0.0
        seconds = await quarantine.admit(fingerprint)
        if not seconds:
            self._is_trial = self._is_trial or quarantine.refused_seconds(fingerprint) > 0
            self._admitted_crashes = quarantine.terminations(fingerprint)
        return seconds

    def end(self) -> None:
        """End the trial run of a quarantined request, if this run was one."""
        if self._is_trial:
            self._quarantine.end_trial(self.name.fingerprint)

    def note_whole_answer(self) -> None:
        """Record a complete response."""
        self._quarantine.note_complete_response(self.name.fingerprint)

    def note_broken(self, view: InstanceView, error: InstanceCallError) -> None:
        """Have the instance checked that gave no response, or an incomplete one."""
        answered = error.execution is Execution.NOT_RUN or error.code in ANSWERED_CODES
        if not answered:
            look = functools.partial(self._calls.probe_connection, view.instance)
            self._quarantine.note_interrupted(self.name, view.incarnation, look)

    async def settle(self, view: InstanceView) -> None:
        """Wait until it is known whether the instance crashed, before another is tried."""
        if not self._quarantine.is_idle:
            await self._quarantine.settle(self.name.fingerprint, view.incarnation)
