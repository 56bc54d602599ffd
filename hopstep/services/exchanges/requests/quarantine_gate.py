"""One request before the quarantine: whether it may go on, and what its attempts show."""

from __future__ import annotations

import functools

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.quarantine.crashes import RequestName
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import InstanceCallError, InstanceCalls
from hopstep.services.exchanges.requests.exchange_parts import ExchangeOutcome
from hopstep.services.quarantine.quarantine import Quarantine

ANSWERED_CODES = frozenset({ErrorCode.RETRIES_EXHAUSTED})
"""Codes of attempts that the instance itself has answered with a failure."""


class QuarantineGate:
    """Asks the quarantine for one request, and tells it what becomes of it.

    Without this one request that comes again and again ends one instance after the other, and
    breaks off the answers of all that run beside it.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        calls: InstanceCalls,
        request: ExchangeRequest,
        outcome: ExchangeOutcome,
    ) -> None:
        """Ask nothing yet.

        Args:
            quarantine: Requests under which instances have ended.
            calls: Looks at instances that gave no answer.
            request: The request.
            outcome: Shows its fingerprint.
        """
        self._quarantine = quarantine
        self._calls = calls
        self._request = request
        self._outcome = outcome
        self._admitted_ends = -1
        self._is_trial = False

    @functools.cached_property
    def name(self) -> RequestName:
        """What it shares with equal requests of its caller."""
        return self._request.name()

    async def refused_seconds(self) -> float:
        """Return for how much longer it is refused, before each attempt; 0 when it may go on."""
        quarantine = self._quarantine
        if quarantine.is_idle:
            return 0.0
        fingerprint = self.name.fingerprint
        self._outcome.fingerprint = fingerprint.hex()
        reached_none = not self._outcome.attempts
        if reached_none and quarantine.ends(fingerprint) <= self._admitted_ends:
            return 0.0
        seconds = await quarantine.admit(fingerprint)
        if not seconds:
            self._is_trial = self._is_trial or quarantine.refused_seconds(fingerprint) > 0
            self._admitted_ends = quarantine.ends(fingerprint)
        return seconds

    def end(self) -> None:
        """Have the run judged that a refused request was allowed, if this was it."""
        if self._is_trial:
            self._quarantine.end_trial(self.name.fingerprint)

    def note_whole_answer(self) -> None:
        """Note that it was answered whole."""
        self._quarantine.note_whole_answer(self.name.fingerprint)

    def note_broken(self, view: InstanceView, error: InstanceCallError) -> None:
        """Have the instance looked at that gave no answer, or broke one off."""
        answered = error.execution is Execution.NOT_RUN or error.code in ANSWERED_CODES
        if not answered:
            look = functools.partial(self._calls.probe_connection, view.instance)
            self._quarantine.note_broken(self.name, view.life, look)

    async def settle(self, view: InstanceView) -> None:
        """Know whether the instance has ended, before a request that may end others goes on."""
        if not self._quarantine.is_idle:
            await self._quarantine.settle(self.name.fingerprint, view.life)
