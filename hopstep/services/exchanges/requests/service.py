"""Entry point of requests: admission, one exchange each, and a log line for each outcome."""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator

import trio

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.prefill_causes import SharedPrefill
from hopstep.domain.exchanges.repeat_budget import RepeatBounds, RepeatBudget
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.request_body import RequestBody
from hopstep.domain.exchanges.retry_after import QueueReturn, RetryAdvice, RetryReason
from hopstep.domain.exchanges.route_durations import RouteDurations
from hopstep.domain.exchanges.serving import RequestLimits
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.log_events.requests import BODY_NOT_KEPT, EXCHANGE_ENDED, EXCHANGE_REFUSED
from hopstep.logs import emit
from hopstep.ports.exchange_front import (
    ClientAnswer,
    ClientConnection,
    ConnectionEnd,
    ExchangeHandler,
    IncomingRequest,
    RequestHead,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.sending_view import SendingView
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.reachability.instance_paths import InstancePaths
from hopstep.services.exchanges.reachability.suspicion_checks import SuspicionChecks
from hopstep.services.exchanges.requests.choice.instance_choice import InstanceChoice
from hopstep.services.exchanges.requests.choice.service_capacity import ServiceCapacity
from hopstep.services.exchanges.requests.exchange import Exchange
from hopstep.services.exchanges.requests.exchange_parts import (
    CLIENT_LEFT,
    CRASHED,
    MILLISECONDS,
    STOPPED,
    UNKNOWN_MS,
    ExchangeOutcome,
    ExchangeParts,
)
from hopstep.services.exchanges.requests.intake.admission import ExchangeAdmission
from hopstep.services.exchanges.requests.intake.held_bytes import HeldBytes, require_space
from hopstep.services.exchanges.requests.intake.incoming_exchange import IncomingExchange
from hopstep.services.exchanges.requests.intake.quotas import Quotas
from hopstep.services.exchanges.requests.queueing.request_queue import RequestQueue
from hopstep.services.exchanges.requests.retry_advisor import RetryAdvisor
from hopstep.services.exchanges.streams.stream_origins import StreamOrigins
from hopstep.services.lifecycle import Lifecycle
from hopstep.services.quarantine.quarantine import Quarantine


class ExchangeService(ExchangeHandler):
    """Serves the requests that arrive at a node."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        sending_view: SendingView,
        lifecycle: Lifecycle,
        paths: InstancePaths,
        checks: SuspicionChecks,
        sharing: LoadSharing,
        store_watch: CacheStoreWatch,
        pauses: PauseWatch,
        quarantine: Quarantine,
        quotas: Quotas,
        notices: InstanceNotices,
        limits: InstanceLimits,
        origins: StreamOrigins,
        held_bytes: HeldBytes,
        bounds: RepeatBounds,
        metrics: ExchangeMetrics,
        generator: random.Random,
        zone: str,
        other_zone_seconds: float,
        drain_seconds: float,
    ) -> None:
        """Create the service and its parts.

        Args:
            knowledge: Configuration, instances and nodes.
            sending_view: The view of the instances by which requests are sent.
            lifecycle: Counts active requests.
            paths: Sends requests to instances.
            checks: Reports instances that don't respond to other nodes.
            sharing: Reports each prompt that is sent to other nodes.
            store_watch: Contents of the cache stores.
            pauses: Detects pauses of the node's own process.
            quarantine: Requests under which instances crash.
            quotas: Quotas of tenants.
            notices: Receives what instances announce in response headers.
            limits: Permits to send to rate-limited instances.
            origins: What began the streams that clients may resume.
            held_bytes: Counts the bytes that are held for each request.
            bounds: Bounds of retries over all nodes.
            metrics: Counts requests and attempts.
            generator: Splits traffic and breaks ties.
            zone: Zone of this node.
            other_zone_seconds: Delay that is added to the estimate of instances in other zones.
            drain_seconds: Time for which an instance still serves after it announced its shutdown.
        """
        self._durations = RouteDurations()
        self.admission = ExchangeAdmission(knowledge, lifecycle, self._durations)
        self._knowledge = knowledge
        self._lifecycle = lifecycle
        self._advisor = RetryAdvisor(knowledge, limits, generator)
        self._generator = generator
        self._bounds = bounds
        self._quotas = quotas
        self._held_bytes = held_bytes
        self._metrics = metrics
        self._budgets: dict[str, RepeatBudget] = {}
        choice = InstanceChoice(
            knowledge,
            store_watch,
            pauses,
            generator,
            zone,
            other_zone_seconds,
            drain_seconds,
            self._count_prefilled,
        )
        capacity = ServiceCapacity(knowledge, choice)
        self.queue = RequestQueue(capacity, choice, lifecycle, metrics)
        self._parts = ExchangeParts(
            calls=paths,
            choice=choice,
            budgets=self._budget,
            nodes=knowledge.count_nodes,
            note_sent=sharing.note_sent,
            note_suspected=checks.note_suspected,
            is_link_cut=paths.links.is_cut,
            pauses=pauses,
            quarantine=quarantine,
            require_fresh=knowledge.keys.require,
            count_failure=self._count_failure,
            count_resume=lambda source: metrics.resumes.labels(source).inc(),
            notices=notices,
            limits=limits,
            queue=self.queue,
            origins=origins,
            view_age=lambda: knowledge.history.age_seconds,
            sending_view=sending_view,
            is_drained=lambda: lifecycle.is_drained,
            cancelled_by_stop=lifecycle.cancelled_by_stop,
            configuration=lambda: knowledge.configuration.version,
            readmit=self.admission.readmit,
        )
        metrics.watch(
            "hopstep_kept_engines",
            "Engines that this node keeps free of long prompts.",
            lambda: self._parts.choice.kept_engines,
        )

    @contextlib.asynccontextmanager
    async def begin(
        self, head: RequestHead, connection: ClientConnection | None
    ) -> AsyncIterator[IncomingRequest]:
        """Take on a request whose head has been read; see the port."""
        open_share = self._held_bytes.open_share
        with self._lifecycle.active(), open_share(head.request_id, connection) as share:
            await self._knowledge.wait_first_reading()
            limits = self._limits_in_force()
            yield IncomingExchange(head, share, limits.max_body_bytes, self._serve)

    def max_head_bytes(self) -> int:
        """Return the limit on the head of a request that begins now."""
        return self._limits_in_force().max_head_bytes

    def _limits_in_force(self) -> RequestLimits:
        """Return the limits of the configuration in force; the default ones before the first."""
        current = self._knowledge.current
        return current.limits if current is not None else RequestLimits()

    async def _serve(self, head: RequestHead, body: RequestBody, answer: ClientAnswer) -> None:
        """Serve one request.

        Raises:
            ServiceError: When nothing of a response was sent.
        """
        if body.omission is not None:
            self._log_omission(head, body)
        try:
            request = self.admission.admit(head, body)
            require_space(answer.share)
            await self._quotas.require(request)
        except ServiceError as error:
            advice = self._advise(error)
            error.retry_after_seconds = advice.seconds
            self._log_refusal(head, error, advice)
            self._metrics.requests.labels("", error.code.value).inc()
            raise
        await self._run(request, answer)

    def _advise(self, error: ServiceError) -> RetryAdvice:
        """Return when a client that wasn't admitted should retry."""
        if error.code is ErrorCode.RATE_LIMITED:
            return RetryAdvice(error.retry_after_seconds or 0.0, RetryReason.QUOTA)
        return self._advisor.advise(error.code)

    async def _run(self, request: ExchangeRequest, answer: ClientAnswer) -> None:
        """Run an admitted request and log its outcome."""
        service = request.route.choose_service(self._generator)
        exchange = Exchange(self._parts, request, service, answer)
        advice: RetryAdvice | None = None
        outcome = exchange.outcome
        try:
            await exchange.run()
        except ServiceError as error:
            outcome.outcome = f"{error.code.value}:{error.execution.value}"
            outcome.kept_from = self._kept_from(exchange.scope)
            advice = self._advisor.advise(
                error.code,
                exchange.scope.service,
                exchange.scope.tried,
                exchange.refused_seconds,
                _queue_return(request, exchange),
                exchange.scope.origin,
            )
            error.retry_after_seconds = advice.seconds
            if error.execution is Execution.NOT_RUN:
                self._quotas.uncount(request)
            raise
        except Exception as error:
            outcome.outcome = f"{CRASHED}:{type(error).__name__}"
            raise
        except BaseException:
            # A cancellation, alone or in a group.
            outcome.outcome = outcome.outcome or self._cancelled_outcome()
            raise
        finally:
            self._count(request, outcome, answer.connection_end)
            emit(
                EXCHANGE_ENDED,
                request_id=request.request_id,
                fingerprint=outcome.fingerprint,
                route=request.route.name,
                tenant=request.tenant.name if request.tenant is not None else "",
                service=exchange.scope.service,
                instance=outcome.instance,
                software_version=outcome.software_version,
                resumes=request.resumes,
                resume_after=request.resume_after,
                attempts=outcome.attempts.counted,
                outcome=outcome.outcome,
                closed_by=answer.connection_end.value,
                body_ms=round((request.complete_at - request.received_at) * MILLISECONDS),
                first_byte_ms=outcome.first_byte_ms,
                total_ms=round((trio.current_time() - request.received_at) * MILLISECONDS),
                events=outcome.events,
                pause_ms=outcome.pause_ms,
                read_tokens=outcome.read_tokens,
                source=outcome.source,
                target=outcome.target,
                cache_salt=outcome.cache_salt,
                waited_ms=outcome.waited_ms,
                kept_from=outcome.kept_from,
                quarantined_for=outcome.quarantined_for,
                gateway=outcome.gateway,
                sent_ms=outcome.sent_ms,
                view_age_ms=outcome.view_age_ms,
                loop_delay_ms=self._loop_delay_ms(request),
                connection=outcome.connection,
                send_number=outcome.send_number,
                configuration=self._knowledge.configuration.version,
                age_ms=self._knowledge.keys.shown_age_ms,
                era=self._knowledge.store_position.era,
                revision=self._knowledge.store_position.revision,
                retry_after_ms=_retry_after_ms(advice),
                retry_reason=advice.reason.value if advice is not None else "",
            )

    def _cancelled_outcome(self) -> str:
        """Return the outcome of a request that is cancelled now."""
        return STOPPED if self._lifecycle.is_drained else CLIENT_LEFT

    def _loop_delay_ms(self, request: ExchangeRequest) -> int:
        """Return the longest delay of the event loop since a request's head was read."""
        return round(self._parts.pauses.longest_delay_since(request.received_at) * MILLISECONDS)

    def _kept_from(self, scope: InstanceScope) -> dict[str, int]:
        """Return the number of instances that each barrier keeps a request from."""
        blocked = self._parts.choice.blocked_instances(scope)
        return dict(Counter(a.barrier.value for _view, a in blocked if a.barrier is not None))

    def _log_omission(self, head: RequestHead, body: RequestBody) -> None:
        """Log a request whose body isn't kept."""
        emit(
            BODY_NOT_KEPT,
            request_id=head.request_id,
            reason=body.omission,
            received_bytes=body.received_bytes,
            limit_bytes=body.limit_bytes,
            limit_now_bytes=self._limits_in_force().max_body_bytes,
            configuration=self._knowledge.configuration.version,
        )

    def _log_refusal(self, head: RequestHead, error: ServiceError, advice: RetryAdvice) -> None:
        """Log a request that wasn't admitted."""
        emit(
            EXCHANGE_REFUSED,
            request_id=head.request_id,
            code=error.code.value,
            reason=error.message,
            configuration=self._knowledge.configuration.version,
            age_ms=self._knowledge.keys.shown_age_ms,
            era=self._knowledge.store_position.era,
            revision=self._knowledge.store_position.revision,
            retry_after_ms=_retry_after_ms(advice),
            retry_reason=advice.reason.value,
        )

    def _count(
        self, request: ExchangeRequest, outcome: ExchangeOutcome, end: ConnectionEnd
    ) -> None:
        """Count an admitted request that has ended."""
        kind = request.route.kind.value
        if outcome.is_unanswered:
            self._metrics.unanswered.labels(outcome.outcome, end.value).inc()
        if outcome.first_byte_ms >= 0 and outcome.attempts.counted == 1:
            sent_ms = max(0, outcome.first_byte_ms - outcome.waited_ms)
            self.queue.refusals.first_bytes.observe(request.route.name, sent_ms / MILLISECONDS)
        self._metrics.requests.labels(kind, outcome.outcome).inc()
        self._metrics.read_tokens.inc(outcome.read_tokens)
        if outcome.view_age_ms != UNKNOWN_MS:
            self._metrics.view_age.observe(outcome.view_age_ms / MILLISECONDS)
        if outcome.attempts.counted:
            now = trio.current_time()
            self._durations.note(request.route.name, now - request.received_at, now)
        if outcome.first_byte_ms >= 0:
            self._metrics.first_byte.labels(kind).observe(outcome.first_byte_ms / MILLISECONDS)
        if outcome.events:
            self._metrics.pause.observe(outcome.pause_ms / MILLISECONDS)

    def _count_failure(self, code: str, next_step: str) -> None:
        """Count a failed attempt."""
        self._metrics.attempts.labels(code, next_step).inc()

    def _count_prefilled(self, prefilled: SharedPrefill) -> None:
        """Count shared tokens that an engine has to prefill."""
        self._metrics.shared_prefill.labels(prefilled.cause.value).inc(prefilled.tokens)

    def _budget(self, service: str) -> RepeatBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RepeatBudget(self._bounds)
        return budget


def _queue_return(request: ExchangeRequest, exchange: Exchange) -> QueueReturn | None:
    """Return when a client should return that was refused for the wait of its request."""
    seconds = exchange.waits.return_seconds
    if seconds is None:
        return None
    remaining = request.client_deadline - trio.current_time()
    return QueueReturn(seconds, remaining)


def _retry_after_ms(advice: RetryAdvice | None) -> int:
    """Return the advised wait in milliseconds; 0 for none."""
    return round(advice.seconds * MILLISECONDS) if advice is not None else 0
