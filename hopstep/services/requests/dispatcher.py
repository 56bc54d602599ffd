"""Dispatch of requests: limits, admission, attempts, and the answer part by part."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import trio
from prometheus_client import CollectorRegistry

from hopstep.domain.inference import AnswerPart, InferenceRequest
from hopstep.domain.retry_budget import RetryBudget
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.ports.engine import EnginePort
from hopstep.services.claims import ClaimService
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.requests.admission import AdmissionService
from hopstep.services.requests.answer_progress import AnswerProgress
from hopstep.services.requests.answer_stream import AnswerStream
from hopstep.services.requests.attempt_closer import AttemptCloser
from hopstep.services.requests.attempt_factory import AttemptFactory, new_nonce
from hopstep.services.requests.attempt_runner import AttemptRunner
from hopstep.services.requests.engine_terminations import EngineTerminations
from hopstep.services.requests.request_execution import ExecutionContext, RequestExecution
from hopstep.services.requests.request_metrics import RequestMetrics
from hopstep.services.requests.tenant_limits import TenantLimitService


class Dispatcher:
    """Runs requests; each answer is complete and in order, or ends with ``ServiceError``.

    Args:
        port: Calls to engines.
        table: The router's view of engines.
        holder: Configuration in force.
        admission: Grants slots at engines.
        claims: At-most-once claims; None refuses requests that need one.
        limits: Tenants' limits; None to apply no limits.
        make_nonce: Returns a new nonce.
        metrics: Counts attempts and cached tokens; None for unregistered counters.
        quarantine: Requests that crash engines; None for a quarantine of this dispatcher alone.
    """

    def __init__(
        self,
        port: EnginePort,
        table: RoutingTable,
        holder: ConfigurationHolder,
        admission: AdmissionService,
        claims: ClaimService | None = None,
        limits: TenantLimitService | None = None,
        make_nonce: Callable[[], str] = new_nonce,
        metrics: RequestMetrics | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._port = port
        quarantine = quarantine or Quarantine("")
        self._factory = AttemptFactory(port, table, holder, admission, claims, make_nonce)
        self._limits = limits
        self._context = ExecutionContext(
            port,
            holder,
            self._factory,
            AttemptRunner(port),
            RetryBudget(trio.current_time()),
            metrics or RequestMetrics(CollectorRegistry()),
            EngineTerminations(quarantine, port, table),
        )

    @contextlib.asynccontextmanager
    async def run(self, request: InferenceRequest) -> AsyncIterator[AsyncIterator[AnswerPart]]:
        """Run a request and yield an iterator over the parts of its answer.

        Leaving the block before the last part cancels the request, in the queue or at the
        engine; leaving takes at most ``CANCEL_TIMEOUT_SECONDS``. Errors are raised by the
        iteration, after the parts that were delivered before.

        Args:
            request: The request.

        Raises:
            ServiceError: ``RATE_LIMITED`` on entering the block, as not run.
        """
        stream = AnswerStream()
        failure: Exception | None = None
        with self._limited(request, stream):
            async with trio.open_nursery() as nursery:
                closer = AttemptCloser(self._port, self._factory.table, nursery.start_soon)
                progress = AnswerProgress(request, stream)
                execution = RequestExecution(self._context, request, progress, closer)
                nursery.start_soon(self._execute, execution, stream)
                try:
                    yield stream
                except Exception as error:
                    # Raised again outside the nursery, which would wrap it in a group.
                    failure = error
                finally:
                    nursery.cancel_scope.cancel()
            self._factory.forget(request)
        if failure is not None:
            raise failure

    def _limited(
        self, request: InferenceRequest, stream: AnswerStream
    ) -> contextlib.AbstractContextManager[None]:
        """Hold the request's share of its tenant's limits."""
        if self._limits is None:
            return contextlib.nullcontext()
        return self._limits.entered(request, lambda: stream.taken_tokens)

    @staticmethod
    async def _execute(execution: RequestExecution, stream: AnswerStream) -> None:
        """Run a request to its end and put its failure, if any, into the stream."""
        try:
            await execution.run()
        except Exception as error:
            stream.fail(error)
