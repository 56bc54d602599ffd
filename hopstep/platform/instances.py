"""Requests and weights orders to instances over HTTP."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import httpcore
import msgspec
import trio

from hopstep.bounded_body import CONTROL_BOUND, bounded_answer
from hopstep.decoding import decode_json
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.instance_notices import (
    AnswerKind,
    NoticeListener,
    ignore_notice,
)
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.exceptions import ErrorCode, Execution
from hopstep.platform import names
from hopstep.platform.http_call import (
    ConnectionUse,
    HttpCall,
    SendTrace,
    SendWithdrawnError,
    TunnelRoute,
)
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instance_answers import (
    FAILURES,
    HttpInstanceAnswer,
    check_head,
    is_control_answer,
    is_other_answer,
    is_own_answer,
    request_notice,
)
from hopstep.platform.notices import read_notice
from hopstep.platform.tunnel_backend import RefusedByGatewayError
from hopstep.platform.vocabulary import UnrecognizedValueReporter
from hopstep.ports.instance_calls import (
    InstanceAnswer,
    InstanceCall,
    InstanceCallError,
    InstanceCalls,
    SendProof,
    withdrawn_call,
)
from hopstep.ports.surplus_answers import SurplusBytes, SurplusPlace
from hopstep.ports.tunnels import TunnelError
from hopstep.ports.unrecognized_values import (
    UnrecognizedValueListener,
    ValueLocation,
    ignore_unrecognized,
)
from hopstep.ports.weights_orders import EngineReport, OrderOutcome, WeightsOrder, WeightsOrders

CONNECT_SECONDS = 0.4
CONTROL_SECONDS = 0.4
"""Longest duration of a control call: an order or a report."""

MILLISECONDS = 1_000
HEAD = b"HEAD"

LISTENING_SIGNS = {
    True: InstanceProbeResult.ANSWERS,
    False: InstanceProbeResult.ENDED,
    None: InstanceProbeResult.NO_ANSWER,
}
"""By whether an instance's address accepts connections; a port is closed as its process ends."""

ORDER_OUTCOMES = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.UNDER_WAY,
    409: OrderOutcome.BUSY_OR_SEQUENCE_CHANGED,
    412: OrderOutcome.FENCED,
}


class _Order(msgspec.Struct, frozen=True, rename="camel"):
    operation: str
    model: str
    version: int
    method: str
    holder: str
    fencing_token: int
    expected_revision: int


class _ReportedModel(msgspec.Struct):
    name: str
    version: int = 0


class _Report(msgspec.Struct, frozen=True, rename="camel"):
    busy: bool = False
    call_sequence: int = 0
    born: int = 0
    models: list[_ReportedModel] = []


class HttpInstances(InstanceCalls, WeightsOrders):
    """Calls instances over pooled connections."""

    def __init__(
        self, client: HttpClient, on_unrecognized: UnrecognizedValueListener = ignore_unrecognized
    ) -> None:
        """Use a client.

        Args:
            client: HTTP client, owned by the caller.
            on_unrecognized: Called for each unrecognized value in a response.
        """
        self._client = client
        self._unrecognized = UnrecognizedValueReporter(on_unrecognized)

    @contextlib.asynccontextmanager
    async def open(self, call: InstanceCall) -> AsyncIterator[InstanceAnswer]:
        """Send a request; see the port."""
        request = call.request
        http_call = HttpCall(
            call.instance.address,
            request.method,
            request.target,
            _request_headers(call),
            request.body,
            connect_seconds=CONNECT_SECONDS,
            route=_route(call.instance, call.gateway) if call.gateway is not None else None,
            request_id=request.request_id.encode(names.HEADER_ENCODING),
            use=_connection_use(request.method),
        )
        trace = SendTrace(call.proof, call.may_send)
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(self._client.open(http_call, trace))
            except SendWithdrawnError as error:
                raise withdrawn_call() from error
            except TunnelError as error:
                raise _no_tunnel(error.failure, error.message) from error
            except RefusedByGatewayError as error:
                call.proof.take_back()
                raise _no_tunnel(error.failure, str(error)) from error
            except FAILURES as error:
                raise _no_answer(call.proof, error) from error
            if is_own_answer(response, call):
                self._report_headers(call.instance, response)
                call.on_notice(request_notice(response))
            if is_other_answer(response, call.request.request_id.encode(names.HEADER_ENCODING)):
                self._note_other_answer(call.instance, call.proof)
            check_head(response, call)
            yield HttpInstanceAnswer(response)

    async def probe_connection(self, instance: Instance) -> InstanceProbeResult:
        """Try to connect to an instance; see the port."""
        return LISTENING_SIGNS[
            await self._client.accepts_connections(instance.address, CONNECT_SECONDS)
        ]

    async def probe_through(self, instance: Instance, gateway: Gateway) -> TunnelFailure | None:
        """Try to connect to an instance through a gateway; see the port."""
        try:
            await self._client.try_tunnel(_route(instance, gateway))
        except TunnelError as error:
            return error.failure
        return None

    def idle_addresses(self) -> set[str]:
        """Return the addresses without requests in progress; see the port."""
        return self._client.idle_addresses()

    async def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address; see the port."""
        await self._client.drop_idle(address)

    async def drop_unused_tunnels(self) -> None:
        """Close tunnels that are no longer used; see the port."""
        await self._client.drop_unused_tunnels()

    async def forget(self, address: str) -> None:
        """Close the connections to an address; see the port."""
        await self._client.forget(address)

    async def order(
        self, instance: Instance, order: WeightsOrder, on_notice: NoticeListener = ignore_notice
    ) -> OrderOutcome:
        """Send an order; see the port."""
        body = _Order(
            operation=names.VERSION_OPERATION,
            model=order.weights.model,
            version=order.weights.version,
            method=names.METHOD_RETAIN,
            holder=order.holder,
            fencing_token=order.fencing_token,
            expected_revision=order.expected_sequence,
        )
        proof = SendProof()
        answer = await self._control(
            instance, b"POST", names.ORDER_PATH, msgspec.json.encode(body), proof, on_notice
        )
        if answer is None:
            return OrderOutcome.UNKNOWN if proof.sent else OrderOutcome.REJECTED
        return ORDER_OUTCOMES.get(answer[0], OrderOutcome.REJECTED)

    async def report(
        self, instance: Instance, on_notice: NoticeListener = ignore_notice
    ) -> EngineReport | None:
        """Return an engine's report; see the port."""
        answer = await self._control(
            instance, b"GET", names.REPORT_PATH, b"", SendProof(), on_notice
        )
        if answer is None or answer[0] != 200:  # noqa: PLR2004
            return None
        try:
            report = decode_json(answer[1], _Report)
        except msgspec.DecodeError:
            return None
        self._unrecognized.report_fields(ValueLocation.REPORT, instance.address, answer[1], _Report)
        versions = {model.name: model.version for model in report.models}
        return EngineReport(report.busy, report.call_sequence, versions, report.born)

    def _note_other_answer(self, instance: Instance, proof: SendProof) -> None:
        """Note that an answer to another request came in the place of the one that is due."""
        self._client.note_surplus(
            SurplusBytes(
                instance.address,
                SurplusPlace.IN_PLACE_OF_ANSWER,
                proof.connection,
                proof.send_number,
                size=0,
            )
        )

    def _report_headers(self, instance: Instance, response: httpcore.Response) -> None:
        """Report the unrecognized headers of a response."""
        self._unrecognized.report_headers(
            ValueLocation.ANSWER_HEAD, instance.address, response.status, response.headers
        )

    async def _control(
        self,
        instance: Instance,
        method: bytes,
        path: str,
        body: bytes,
        proof: SendProof,
        on_notice: NoticeListener,
    ) -> tuple[int, bytes] | None:
        """Make a control call, which isn't a client's request; return status and body, or None.

        Its answer carries no identifier, so each call has a connection of its own.
        """
        headers = [
            (b"host", instance.address.encode()),
            (names.EXPECT_INSTANCE, instance.instance_id.encode()),
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
        call = HttpCall(
            instance.address,
            method,
            path.encode(),
            tuple(headers),
            body,
            connect_seconds=CONNECT_SECONDS,
            use=ConnectionUse.SINGLE,
        )
        try:
            with bounded_answer(instance.address, CONTROL_BOUND, CONTROL_SECONDS) as answer:
                async with self._client.open(call, SendTrace(proof)) as response:
                    if is_other_answer(response, b""):
                        self._note_other_answer(instance, proof)
                        return None
                    if is_control_answer(response):
                        self._report_headers(instance, response)
                        on_notice(
                            read_notice(response.status, response.headers, AnswerKind.CONTROL)
                        )
                    return response.status, await answer.read(response.aiter_stream())
        except (*FAILURES, trio.TooSlowError):
            return None


def _connection_use(method: bytes) -> ConnectionUse:
    """Return how the connection of a request is used.

    Whether a response has a body depends on the method that it answers, so a late answer to a HEAD
    request can't be told apart from the next one's beginning.
    """
    return ConnectionUse.SINGLE if method == HEAD else ConnectionUse.KEPT


def _request_headers(call: InstanceCall) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of an attempt."""
    request = call.request
    headers = [pair for pair in request.headers if pair[0] != names.LAST_EVENT]
    remaining = max(1, int(call.remaining_seconds * MILLISECONDS))
    headers.append((names.DEADLINE, str(remaining).encode()))
    headers.append((names.EXPECT_INSTANCE, call.instance.instance_id.encode()))
    if request.tenant is not None:
        headers.append((names.TENANT, request.tenant.name.encode()))
    if call.resume_after:
        headers.append((names.LAST_EVENT, call.resume_after.encode()))
    if call.priority is not None:
        headers.append((names.PRIORITY, str(call.priority).encode()))
    if call.expected_version:
        headers.append((names.EXPECT_VERSION, str(call.expected_version).encode()))
    if call.cache_salt:
        headers.append((names.CACHE_SALT, call.cache_salt.encode()))
    if call.cache_source:
        headers.append((names.CACHE_SOURCE, call.cache_source.encode()))
    if call.cache_target:
        headers.append((names.CACHE_TARGET, call.cache_target.encode()))
    return tuple(headers)


def _route(instance: Instance, gateway: Gateway) -> TunnelRoute:
    """Return the way to an instance through a gateway."""
    return TunnelRoute(gateway, TunnelTarget(instance.instance_id, instance.address))


def _no_tunnel(failure: TunnelFailure, message: str) -> InstanceCallError:
    """Return the error of a request of which no byte reached the instance through a gateway."""
    leaves = failure is TunnelFailure.INSTANCE_LEAVING
    return InstanceCallError(
        ErrorCode.OVERLOADED if leaves else ErrorCode.ENGINE_UNREACHABLE,
        message,
        Execution.NOT_RUN,
        sent=False,
        tunnel_failure=failure,
    )


def _no_answer(proof: SendProof, error: Exception) -> InstanceCallError:
    """Return the error of a request that got no response.

    Args:
        proof: Whether a byte of the request may have been sent.
        error: The library's error.
    """
    if proof.sent:
        return InstanceCallError(ErrorCode.EXECUTION_UNKNOWN, "no answer came", Execution.UNKNOWN)
    return InstanceCallError(
        ErrorCode.ENGINE_UNREACHABLE,
        f"no connection, {_connect_failure(error)}",
        Execution.NOT_RUN,
        sent=False,
    )


def _connect_failure(error: BaseException) -> str:
    """Return why no connection came about, for the log."""
    if isinstance(error, httpcore.TimeoutException):
        return "timed out"
    return "refused" if _is_refused(error) else "broken"


def _is_refused(error: BaseException | None) -> bool:
    """Return whether an error is a refused connection, or follows from one."""
    if isinstance(error, BaseExceptionGroup):
        return any(_is_refused(each) for each in error.exceptions)
    if error is None or isinstance(error, ConnectionRefusedError):
        return error is not None
    return _is_refused(error.__cause__ or error.__context__)
