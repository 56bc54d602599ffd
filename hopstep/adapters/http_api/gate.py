"""Admission of requests by their headers alone, before any of the body is read.

The framework starts to read the body as soon as it receives a request, so this is an ASGI layer
around it: no byte of the prompt is read of a request that is refused here.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from hopstep.adapters.http_api.context import ApiContext
from hopstep.adapters.http_api.errors import encode_error, error_headers, http_status
from hopstep.domain.configuration.document import BackEndKind, Tenant
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.head_numbers import whole_number
from hopstep.domain.placement import router_may_serve
from hopstep.exceptions import ErrorCode, ServiceError

AsgiScope = dict[str, Any]
AsgiReceive = Callable[[], Awaitable[Any]]
AsgiSend = Callable[[Any], Awaitable[None]]
AsgiApp = Callable[[Any, AsgiReceive, AsgiSend], Awaitable[None]]

CALLER_PATHS = "/v1/"
CALLER_KEY = "hopstep.caller"
"""Key of the admitted caller in the ASGI scope."""

ISOLATED_RETRY_AFTER_SECONDS = 2.0

HEADER_ENCODING = "latin-1"
"""Encoding in which each byte of a header is one character."""


class Caller(msgspec.Struct, frozen=True):
    """A caller whose headers were accepted.

    Attributes:
        tenant: Tenant that the bearer key belongs to.
        index: Configuration that applies to the request, even if a newer one arrives.
        received_at: Time at which the headers were read, by the node's clock in seconds.
    """

    tenant: Tenant
    index: ConfigurationIndex
    received_at: float


class HeaderGate:
    """ASGI layer that admits callers by their headers and counts active requests."""

    def __init__(self, app: AsgiApp, context: ApiContext) -> None:
        """Wrap an application.

        Args:
            app: The framework's ASGI application.
            context: The node.
        """
        self._app = app
        self._context = context

    async def __call__(self, scope: AsgiScope, receive: AsgiReceive, send: AsgiSend) -> None:
        """Handle one ASGI connection."""
        if scope["type"] != "http" or not scope["path"].startswith(CALLER_PATHS):
            await self._app(scope, receive, send)
            return
        try:
            scope[CALLER_KEY] = self._admit(scope)
        except ServiceError as error:
            self._context.metrics.requests.labels("", error.code.value).inc()
            await _send_error(send, error)
            return
        with self._context.lifecycle.active():
            await self._app(scope, receive, send)

    def _admit(self, scope: AsgiScope) -> Caller:
        """Return the caller, or raise ``ServiceError``."""
        context = self._context
        context.lifecycle.check_serving()
        index = context.holder.require_index()
        headers = dict(scope["headers"])
        tenant = context.authenticator.authenticate(headers.get(b"authorization", b""))
        self._check_placement(index, tenant)
        _check_length(headers.get(b"content-length", b""), context.settings.max_body_bytes)
        return Caller(tenant, index, trio.current_time())

    def _check_placement(self, index: ConfigurationIndex, tenant: Tenant) -> None:
        """Raise if this router may not read the tenant's prompts."""
        if not _router_admits(index, tenant, self._context):
            routers = index.tenant_back_ends(tenant, BackEndKind.ROUTER)
            raise ServiceError(
                ErrorCode.OUTSIDE_PLACEMENT,
                "this router is outside the tenant's places; use one of the endpoints",
                endpoints=tuple(router.address for router in routers),
            )
        if tenant.selector.requirements() and self._context.health.is_partitioned():
            raise ServiceError(
                ErrorCode.ISOLATED,
                "this router is cut off and can't tell whether its placement still holds",
                retry_after_seconds=ISOLATED_RETRY_AFTER_SECONDS,
            )


def _router_admits(index: ConfigurationIndex, tenant: Tenant, context: ApiContext) -> bool:
    """Return whether the router's labels permit it to read the tenant's prompts.

    Both its settings and, where the configuration lists it, its configured labels must match:
    operators can exclude a router, but can't place it where its machine isn't.
    """
    if not router_may_serve(tenant, context.settings.all_labels()):
        return False
    configured = index.back_ends.get(context.settings.name)
    if configured is None or configured.kind is not BackEndKind.ROUTER:
        return True
    return router_may_serve(tenant, configured.labels)


def _check_length(content_length: bytes, max_body_bytes: int) -> None:
    """Raise ``BODY_TOO_LARGE`` if the declared length exceeds the limit."""
    length = whole_number(content_length.decode(HEADER_ENCODING), max_body_bytes)
    if content_length.isdigit() and length is None:
        raise body_too_large(max_body_bytes)


def body_too_large(max_body_bytes: int) -> ServiceError:
    """Return the error for a body over the limit."""
    return ServiceError(
        ErrorCode.BODY_TOO_LARGE, f"the body is over {max_body_bytes} bytes", field="body"
    )


async def _send_error(send: AsgiSend, error: ServiceError) -> None:
    """Send an error response without reading the body, and close the connection.

    The rest of the body may be long; closing the connection avoids reading it.
    """
    body = encode_error(error)
    headers = error_headers(error) | {"Content-Length": str(len(body)), "Connection": "close"}
    encoded = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": http_status(error), "headers": encoded})
    await send({"type": "http.response.body", "body": body, "more_body": False})
