"""Applies the quarantine to one request and reports the results of its attempts."""

from __future__ import annotations

import functools

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.quarantine.crashes import RequestIdentity
from hopstep.domain.quarantine.refusals import NOT_REFUSED, Refusal
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
        self._trial_terminations: int | None = None

    @functools.cached_property
    def name(self) -> RequestIdentity:
        """Name that the request shares with equal requests of its caller."""
        return self._request.name()

    async def refusal(self) -> Refusal:
        """Return whether it is still refused, before each attempt, or admitted."""
        quarantine = self._quarantine
        if quarantine.is_idle:
            return NOT_REFUSED
        self._outcome.fingerprint = self.name.fingerprint.hex()
        if self._is_admitted_trial():
            return NOT_REFUSED
        refusal = await quarantine.admit(self.name)
        if not refusal.seconds and quarantine.refusal(self.name).seconds:
            self._trial_terminations = quarantine.most_terminations(self.name)
        return refusal

    def end(self) -> None:
        """End the trial run of a quarantined request, if this run was one."""
        if self._trial_terminations is not None:
            self._quarantine.end_trial(self.name)

    def note_whole_answer(self, *, is_success: bool) -> None:
        """Record a complete response.

        Args:
            is_success: Whether it is the answer that the prompt asks for.
        """
        self._quarantine.note_complete_response(self.name, is_success=is_success)

    def note_broken(
        self, view: InstanceView, error: InstanceCallError, writing_seconds: float
    ) -> None:
        """Have the instance checked that gave no response, or an incomplete one.

        Args:
            view: The instance.
            error: How the attempt failed.
            writing_seconds: Time for which the instance had been writing the response.
        """
        answered = error.execution is Execution.NOT_RUN or error.code in ANSWERED_CODES
        if not answered:
            look = functools.partial(self._calls.probe_connection, view.instance)
            self._quarantine.note_interrupted(self.name, view.incarnation, look, writing_seconds)

    async def settle(self, view: InstanceView) -> None:
        """Wait until it is known whether the instance crashed, before another is tried."""
        if not self._quarantine.is_idle:
            await self._quarantine.settle(self.name, view.incarnation)

    def _is_admitted_trial(self) -> bool:
        """Return whether it is a trial that reached no instance yet, with no termination since."""
        if self._trial_terminations is None or self._outcome.attempts.counted:
            return False
        return self._quarantine.most_terminations(self.name) <= self._trial_terminations
