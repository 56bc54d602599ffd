"""The pure model of one inference engine, driven by the time that callers pass in.

The HTTP stand-in, the in-process adapter and the experiments all run this model, so that
measurements in virtual time and tests over loopback apply to the same engine. The model reads
no clock and no global random state. Tokens exist as counts; their text is made on demand.
"""

from __future__ import annotations

import random

from emulator.engine.admission import check_capacity, check_state, check_weights
from emulator.engine.attempts import (
    Attempt,
    AttemptState,
    PreparedPrompt,
    new_attempt,
    prepare_prompt,
)
from emulator.engine.block_cache import BlockCache
from emulator.engine.config import EngineConfig
from emulator.engine.event_log import EventLog
from emulator.engine.load_history import LoadHistory
from emulator.engine.nonces import NonceRegistry, unproved_refusal
from emulator.engine.records import ExecutionLog, RunRecord
from emulator.engine.refusal import refuse
from emulator.engine.scheduler import BatchScheduler, Notice, NoticeKind
from emulator.engine.weights import LoadTime, WeightsTable
from hopstep.exceptions import ErrorCode
from hopstep.ports.engine import (
    AttemptStatus,
    CacheEventBatch,
    CacheEventKind,
    CancelOutcome,
    EngineFacts,
    EngineOrder,
    EngineRole,
    GenerateRequest,
    LoadReport,
    Usage,
)

_START = 0.0


class EngineModel:
    """One engine over all its incarnations.

    Methods take the present time in seconds, which must never decrease.

    Attributes:
        executions: Runs for oracles, and blocks to export to KV cache stores.
        weights: Loaded weights and loads of the present incarnation.
        leaving: Whether the engine refuses new attempts and reports that it is leaving.
    """

    def __init__(
        self,
        config: EngineConfig,
        weights: dict[str, str],
        *,
        name: str = "engine",
        seed: int = 0,
        load_time: LoadTime | None = None,
    ) -> None:
        """Start the first incarnation.

        Args:
            config: Sizes and speeds.
            weights: Weights version by model, loaded at every start.
            name: Prefix of incarnations; must be unique among engines and processes.
            seed: Seed of the draws of lost events.
            load_time: Returns the time of a weight load; by default the configured time.
        """
        self._config = config
        self._initial_weights = weights
        self._name = name
        self._rng = random.Random(seed)
        self._load_time = load_time or (lambda _now: config.weight_load_seconds)
        self._starts = 0
        self._order = 0
        self._now = _START
        self._frozen_at: float | None = None
        self._notices: list[Notice] = []
        self.executions = ExecutionLog(config.retained_runs)
        self.leaving = False
        self._fence = 0
        self._role = EngineRole.SERVING
        self._start_incarnation()

    @property
    def config(self) -> EngineConfig:
        """Sizes and speeds."""
        return self._config

    @property
    def incarnation(self) -> str:
        """Name of the present incarnation."""
        return f"{self._name}.{self._starts}"

    @property
    def frozen(self) -> bool:
        """Whether the engine is frozen."""
        return self._frozen_at is not None

    def submit(
        self,
        request: GenerateRequest,
        now: float,
        *,
        prompt: PreparedPrompt | None = None,
        importable_blocks: int = 0,
    ) -> Attempt:
        """Accept an attempt into the queue.

        Args:
            request: The attempt.
            now: Present time, in seconds.
            prompt: Prepared prompt; hashed here when None.
            importable_blocks: Leading blocks that the request's KV cache store holds.

        Raises:
            EngineRefusalError: When it isn't accepted; ``execution`` says whether any of it ran.
        """
        self._advance(now)
        self._nonces.check_new(request.nonce)
        check_state(request, self.incarnation, self._role, self.leaving)
        check_weights(request, self.weights, self._config)
        prompt = prompt or prepare_prompt(request)
        check_capacity(request, prompt, self._scheduler.waiting_count, self._config)
        self._order += 1
        attempt = new_attempt(request, prompt, self._order, now, importable_blocks)
        self._nonces.add(attempt)
        first_new = len(self._notices)
        self._scheduler.add(attempt, now, self._notices)
        self._record_notices(first_new)
        return attempt

    def resume(self, nonce: str, incarnation: str, next_sequence: int, now: float) -> Attempt:
        """Return an attempt whose tokens from ``next_sequence`` on can be read.

        Raises:
            EngineRefusalError: In another incarnation, and for a nonce that isn't retained.
        """
        self._advance(now)
        self._check_incarnation(nonce, incarnation)
        return self._nonces.resumable(nonce, next_sequence)

    def cancel(self, nonce: str, incarnation: str, now: float) -> CancelOutcome:
        """Cancel an attempt; the nonce never starts in this incarnation afterwards.

        Args:
            nonce: The attempt.
            incarnation: Incarnation that it was sent to; empty when the caller doesn't know it.
                Then the outcome of a nonce that was never seen can't be proved.
            now: Present time, in seconds.

        Raises:
            EngineRefusalError: In another incarnation, or when the outcome can't be proved.
        """
        self._advance(now)
        if incarnation:
            self._check_incarnation(nonce, incarnation)
        attempt = self._nonces.find(nonce)
        if attempt is not None and not attempt.ended:
            return self._cancel_live(attempt, now)
        outcome = self._nonces.outcome(nonce)
        if outcome is not None:
            return outcome
        self._nonces.mark_not_started(nonce)
        if not incarnation:
            raise unproved_refusal(nonce, "the nonce was never seen in this incarnation")
        return CancelOutcome.NOT_STARTED

    def fence_nonce(self, nonce: str, incarnation: str, now: float) -> AttemptStatus:
        """Return the status of a nonce; one that was never seen can never start afterwards.

        Raises:
            EngineRefusalError: In another incarnation, which proves nothing about the earlier one.
        """
        self._advance(now)
        self._check_incarnation(nonce, incarnation)
        return self._nonces.fence(nonce)

    def order(self, order: EngineOrder, now: float) -> EngineFacts:
        """Execute a fenced order; requests of a changed model that haven't started are refused.

        Running ones finish with their weights before the load begins.

        Raises:
            EngineRefusalError: When the fence is below the highest accepted one.
        """
        self._advance(now)
        if order.fence < self._fence:
            raise refuse(ErrorCode.PRECONDITION_FAILED, f"the fence is below {self._fence}")
        self._fence = order.fence
        if order.role is not None:
            self._role = order.role
        changed = self.weights.request(order.weights)
        for attempt in self._scheduler.waiting_attempts():
            if attempt.model in changed and attempt.state is AttemptState.WAITING:
                self._scheduler.withdraw(attempt, AttemptState.REFUSED, now, self._notices)
                self._nonces.end(attempt)
        self._begin_loads(now)
        return self.facts(now)

    def facts(self, now: float) -> EngineFacts:
        """Return the facts that the engine reports."""
        self._advance(now)
        return EngineFacts(
            incarnation=self.incarnation,
            weights=dict(self.weights.loaded),
            role=self._role,
            leaving=self.leaving,
            load=self._history.report(now),
            event_sequence=self._events.latest_sequence(now),
            fence=self._fence,
        )

    def load(self, now: float) -> LoadReport:
        """Return the present load, without the lag of reports."""
        self._advance(now)
        return self._load_now()

    def cache_events(self, incarnation: str, after_sequence: int, now: float) -> CacheEventBatch:
        """Return published events after a sequence number, or all if the incarnation differs."""
        self._advance(now)
        after = after_sequence if incarnation == self.incarnation else 0
        return CacheEventBatch(self.incarnation, self._events.published_after(after, now))

    def cached_blocks(self, prompt: PreparedPrompt) -> int:
        """Return how many leading blocks of a prompt are cached; for oracles."""
        return self._cache.match(prompt.block_keys, len(prompt.block_keys))

    def runs(self, now: float) -> tuple[RunRecord, ...]:
        """Return the executions of every incarnation, for oracles."""
        self._advance(now)
        return self.executions.runs()

    def generated(self, attempt: Attempt, now: float) -> int:
        """Return how many tokens an attempt has generated, continued ones not counted."""
        return self._scheduler.generated(attempt, now)

    def usage(self, attempt: Attempt, now: float) -> Usage:
        """Return the token counts of an attempt so far."""
        return Usage(
            prompt_tokens=attempt.prompt.token_count,
            cached_tokens=attempt.cached_tokens,
            imported_tokens=attempt.imported_tokens,
            completion_tokens=self.generated(attempt, now),
        )

    def advance(self, now: float) -> list[Notice]:
        """Advance the engine; return the notices since the last call."""
        self._advance(now)
        notices, self._notices = self._notices, []
        return notices

    def next_event_time(self) -> float:
        """Return the time of the next event (step, import or weight load); infinity for none."""
        if self.frozen:
            return float("inf")
        return min(self._scheduler.next_event_time(), self.weights.next_ready_time())

    def next_step_time(self, now: float) -> float:
        """Return when streams may have new tokens; infinity when idle or frozen."""
        if self.frozen:
            return float("inf")
        step_time = self._scheduler.next_step_time(now)
        return min(step_time, self.weights.next_ready_time())

    def crash(self, now: float) -> None:
        """Lose all state and start a new incarnation with the initial weights."""
        self._advance(now)
        for attempt in self._nonces.live():
            attempt.generated = self._scheduler.generated(attempt, now)
            attempt.state = AttemptState.LOST
            attempt.ended_at = now
        self._frozen_at = None
        self._now = now
        self.executions.take_exports()
        self._start_incarnation()

    def freeze(self, now: float) -> None:
        """Stop all progress until ``thaw`` or ``crash``."""
        if not self.frozen:
            self._advance(now)
            self._frozen_at = now

    def thaw(self, now: float) -> None:
        """Continue after a freeze; work in progress is delayed by its length."""
        if self._frozen_at is None:
            return
        seconds = now - self._frozen_at
        self._frozen_at = None
        self._now = now
        self._scheduler.shift(seconds)
        self.weights.shift(seconds)

    def set_event_faults(self, *, dropping: bool, delay_seconds: float | None) -> None:
        """Drop cache events from now on, or publish them with another delay."""
        self._events.dropping = dropping
        default = self._config.event_delay_seconds
        self._events.delay_seconds = default if delay_seconds is None else delay_seconds

    def set_report_lag(self, lag_seconds: float | None) -> None:
        """Report the load with another lag; None for the configured one."""
        default = self._config.report_lag_seconds
        self._history.lag_seconds = default if lag_seconds is None else lag_seconds

    def _start_incarnation(self) -> None:
        """Start an incarnation with an empty cache, queue, nonce registry and fence."""
        self._starts += 1
        self._fence = 0
        self._role = EngineRole.SERVING
        self.weights = WeightsTable(self._initial_weights, self._load_time)
        self._nonces = NonceRegistry(self._config)
        self._events = EventLog(self._config, self._rng)
        self._history = LoadHistory(self._config.report_lag_seconds)
        self._cache = BlockCache(self._config.block_count, self._log_cache_event)
        self._scheduler = BatchScheduler(self._config, self._cache)

    def _advance(self, now: float) -> None:
        """Advance the engine to ``now``, unless it is frozen."""
        if self.frozen:
            return
        first_new = len(self._notices)
        while (event_time := self._scheduler.next_event_time()) <= now:
            self._now = event_time
            self._scheduler.advance(event_time, self._notices)
        self._now = now
        self._record_notices(first_new)
        if self.weights.waiting_models():
            self._begin_loads(now)
        self.weights.complete(now)
        if self._history.due(now):
            self._history.record(now, self._load_now())

    def _record_notices(self, first_new: int) -> None:
        """Record the notices from index ``first_new`` on."""
        for notice in self._notices[first_new:]:
            self.executions.record_notice(notice, self.incarnation)
            if notice.kind is NoticeKind.FINISHED:
                self._nonces.end(notice.attempt)

    def _begin_loads(self, now: float) -> None:
        """Begin loads of models without running requests, and drop the evictable cache."""
        for model in self.weights.waiting_models():
            if not self._scheduler.runs(model):
                self.weights.begin(model, now)
                self._cache.drop_evictable()

    def _cancel_live(self, attempt: Attempt, now: float) -> CancelOutcome:
        """Cancel an attempt that hasn't ended."""
        waiting = attempt.state is AttemptState.WAITING
        outcome = CancelOutcome.NOT_STARTED if waiting else CancelOutcome.CANCELLED
        first_new = len(self._notices)
        self._scheduler.withdraw(attempt, AttemptState.CANCELLED, now, self._notices)
        self._nonces.end(attempt, outcome)
        self._record_notices(first_new)
        return outcome

    def _check_incarnation(self, nonce: str, incarnation: str) -> None:
        """Refuse a call about an attempt of another incarnation, as its state is unknown here."""
        if incarnation != self.incarnation:
            raise unproved_refusal(nonce, "the attempt belongs to another incarnation")

    def _load_now(self) -> LoadReport:
        """Return the load without advancing the engine."""
        scheduler = self._scheduler
        return LoadReport(
            running=scheduler.running_count,
            waiting=scheduler.waiting_count,
            waiting_prefill_tokens=scheduler.pending_prefill_tokens,
            free_block_ratio=self._cache.free_block_ratio,
        )

    def _log_cache_event(self, kind: CacheEventKind, keys: tuple[int, ...]) -> None:
        """Log a cache event at the engine's present time."""
        self._events.append(self._now, kind, keys)
