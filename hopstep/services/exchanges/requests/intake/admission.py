"""Admits requests by their head: route, API key, age of the node's configuration."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.request_body import BodyOmission, RequestBody
from hopstep.domain.exchanges.route_durations import RouteDurations
from hopstep.domain.exchanges.serving import RequestLimits, Route, ServingIndex, Tenant
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.ports.exchange_front import RequestHead
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.requests.intake.held_bytes import no_space
from hopstep.services.lifecycle import Lifecycle


class ExchangeAdmission:
    """Turns request heads into admitted requests, or refuses them."""

    def __init__(
        self, knowledge: ServingKnowledge, lifecycle: Lifecycle, durations: RouteDurations
    ) -> None:
        """Create the admission check of this node.

        Args:
            knowledge: Configuration and its age.
            lifecycle: Whether the node is stopping.
            durations: How long requests of each route have lasted lately.
        """
        self._durations = durations
        self._knowledge = knowledge
        self._lifecycle = lifecycle

    def admit(self, head: RequestHead, body: RequestBody) -> ExchangeRequest:
        """Return the admitted request.

        Raises:
            ServiceError: When the request may not run here; nothing was sent.
        """
        index = self._knowledge.require_index()
        route = index.find_route(head.host, head.path)
        if route is None:
            raise self._denied(ErrorCode.NOT_FOUND, "no route for this host and path")
        tenant = self._find_tenant(index, route, head.key)
        now = trio.current_time()
        self._lifecycle.check_serving(_deadline(head, route) - now, self._expected(route, now))
        if head.error is not None:
            raise ServiceError(head.error.code, head.error.message, field=head.error.field)
        if not head.request_id:
            raise ServiceError(ErrorCode.MALFORMED_REQUEST, "the request has no id")
        _check_body(body, index.configuration.limits)
        return _make_request(head, body.take(), route, tenant, index.configuration.version)

    def _expected(self, route: Route, now: float) -> float:
        """Return how long a request may well last that can't be sent again if a stop cuts it."""
        return 0.0 if route.idempotent else self._durations.expected_seconds(route.name, now)

    def readmit(self, request: ExchangeRequest, service: str) -> None:
        """Judge a request anew, under a configuration that has come into force since.

        Args:
            request: A request without any part of an answer.
            service: Service that its route chose.

        Raises:
            ServiceError: It isn't allowed any more, or only in another way than it was admitted.
        """
        index = self._knowledge.require_index()
        route = index.route_named(request.route.name)
        if route is None:
            raise self._denied(ErrorCode.NOT_FOUND, "the route was removed")
        tenant = self._find_tenant(index, route, request.key)
        if request.caller != (tenant.name if tenant is not None else ""):
            raise _changed("the key is of another tenant by now")
        if service not in (share.service for share in route.shares):
            raise _changed("the route's service was replaced")
        if not route.has_terms_of(request.route):
            raise _changed("the route's kind was changed")

    def _find_tenant(self, index: ServingIndex, route: Route, key: str) -> Tenant | None:
        """Return the tenant of a request; None on a public route or without tenants."""
        if route.public or not index.keys_required:
            return None
        self._knowledge.keys.require()
        tenant = index.find_tenant(key)
        if tenant is None:
            raise self._denied(ErrorCode.INVALID_KEY, "the key is of no tenant")
        return tenant

    def _denied(self, code: ErrorCode, message: str) -> ServiceError:
        """Return the refusal of an unconfigured route or key.

        Raises:
            ServiceError: When the node's configuration isn't recent enough to tell.
        """
        self._knowledge.keys.require()
        return ServiceError(code, message)


def _check_body(body: RequestBody, limits: RequestLimits) -> None:
    """Raise unless a body is within the limits and was kept.

    Args:
        body: A complete body.
        limits: Limits in force now; those at the request's head decided whether it was kept.
    """
    if body.received_bytes > limits.max_body_bytes:
        raise ServiceError(ErrorCode.BODY_TOO_LARGE, "the body is too long")
    if body.omission is BodyOmission.TOO_LONG:
        raise _changed("the limit on bodies rose while the body arrived")
    if body.omission is BodyOmission.TOO_SLOW:
        raise ServiceError(ErrorCode.DEADLINE_EXCEEDED, "the body didn't end in time")
    if body.omission is BodyOmission.NO_SPACE:
        raise no_space()


def _changed(message: str) -> ServiceError:
    """Return the refusal of a request that was judged by a configuration of before."""
    return ServiceError(ErrorCode.CONFIGURATION_CHANGED, message)


def _client_seconds(head: RequestHead, route: Route) -> float:
    """Return how long a client waits; as long as its route allows when it doesn't say."""
    seconds = head.client_timeout_seconds
    return route.timeout_seconds if seconds is None else seconds


def _deadline(head: RequestHead, route: Route) -> float:
    """Return when the final answer is due, by the steady clock in seconds."""
    return head.received_at + min(_client_seconds(head, route), route.timeout_seconds)


def _make_request(
    head: RequestHead, body: bytes, route: Route, tenant: Tenant | None, configuration: int
) -> ExchangeRequest:
    """Return an admitted request with its deadlines."""
    return ExchangeRequest(
        request_id=head.request_id,
        method=head.method,
        target=head.target,
        headers=head.headers,
        body=body,
        route=route,
        tenant=tenant,
        received_at=head.received_at,
        complete_at=trio.current_time(),
        deadline=_deadline(head, route),
        client_deadline=head.received_at + _client_seconds(head, route),
        prompt=head.prompt,
        resume_after=head.resume_after,
        usage_tokens=head.usage_tokens,
        key=head.key,
        resumes=head.resumes,
        configuration=configuration,
    )
