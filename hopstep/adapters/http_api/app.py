"""The HTTP application of a node."""

from __future__ import annotations

from quart import Response
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from hopstep.adapters.http_api.chat import chat_blueprint
from hopstep.adapters.http_api.completions import completions_blueprint
from hopstep.adapters.http_api.context import ApiContext
from hopstep.adapters.http_api.errors import encode_error, error_headers, http_status
from hopstep.adapters.http_api.gate import HeaderGate, body_too_large
from hopstep.adapters.http_api.generation import CLASS_KEY, asgi_scope
from hopstep.adapters.http_api.operator import operator_blueprint
from hopstep.adapters.http_api.peer import peer_blueprint
from hopstep.exceptions import ErrorCode, Execution, PeerMessageError, ServiceError
from hopstep.log_events.http_api import REQUEST_CRASHED
from hopstep.logs import emit

PEER_REFUSED_STATUS = 403


def create_app(context: ApiContext) -> QuartTrio:
    """Return the application.

    Args:
        context: The node.
    """
    app = QuartTrio("hopstep")
    app.config["MAX_CONTENT_LENGTH"] = context.settings.max_body_bytes
    # A stream lasts as long as its answer, which the request's own deadline limits.
    app.config["RESPONSE_TIMEOUT"] = None
    app.register_blueprint(chat_blueprint(context))
    app.register_blueprint(completions_blueprint(context))
    app.register_blueprint(operator_blueprint(context))
    if context.handle_peer is not None:
        app.register_blueprint(peer_blueprint(context.handle_peer))
    _register_error_handlers(app, context)
    gate = HeaderGate(app.asgi_app, context)
    app.asgi_app = gate  # type: ignore[method-assign, assignment]
    return app


def _register_error_handlers(app: QuartTrio, context: ApiContext) -> None:
    """Turn every error into a JSON body with a stable code."""

    @app.errorhandler(ServiceError)
    async def service_error(error: ServiceError) -> Response:
        """Render an error of the services."""
        request_class = str(asgi_scope().get(CLASS_KEY, ""))
        context.metrics.requests.labels(request_class, error.code.value).inc()
        return _error_response(error)

    @app.errorhandler(PeerMessageError)
    async def peer_error(_error: PeerMessageError) -> Response:
        """Refuse a peer's call without a reason: the sender may not be a peer."""
        return Response(b"", status=PEER_REFUSED_STATUS)

    @app.errorhandler(RequestEntityTooLarge)
    async def too_large(_error: RequestEntityTooLarge) -> Response:
        """Refuse a body that exceeded the limit while it was read."""
        context.metrics.requests.labels("", ErrorCode.BODY_TOO_LARGE.value).inc()
        return _error_response(body_too_large(context.settings.max_body_bytes))

    @app.errorhandler(HTTPException)
    async def http_error(error: HTTPException) -> Response:
        """Refuse an unknown path, a wrong method or a body that doesn't arrive in time."""
        message = f"{error.name.lower()}"
        response = _error_response(ServiceError(ErrorCode.NOT_FOUND, message))
        response.status_code = error.code or response.status_code
        return response

    @app.errorhandler(Exception)
    async def unexpected(error: Exception) -> Response:
        """Answer an unexpected exception without its text, which may quote a prompt."""
        emit(
            REQUEST_CRASHED,
            request_id="",
            error_type=type(error).__name__,
            location="http_api",
        )
        fault = ServiceError(
            ErrorCode.INTERNAL, "a fault in this router", execution=Execution.UNKNOWN
        )
        return _error_response(fault)


def _error_response(error: ServiceError) -> Response:
    """Return the response for an error."""
    return Response(encode_error(error), status=http_status(error), headers=error_headers(error))
