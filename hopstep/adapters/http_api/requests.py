"""Resolution of a request from its admitted caller and decoded body."""

from __future__ import annotations

import secrets

from hopstep.adapters.http_api.bodies import GenerationBody
from hopstep.adapters.http_api.gate import Caller
from hopstep.domain.blocks import count_tokens
from hopstep.domain.configuration.document import Model, RequestClass, Tenant
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.inference import InferenceRequest
from hopstep.exceptions import ErrorCode, ServiceError

CLASS_HEADER = "X-Hopstep-Class"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
REQUEST_ID_BYTES = 12


def resolve_request(
    caller: Caller,
    body: GenerationBody,
    prompt: str,
    prompt_field: str,
    class_header: str,
    idempotency_key: str,
) -> InferenceRequest:
    """Resolve class, model and limits of a request.

    Args:
        caller: Admitted caller and the configuration that applies.
        body: Decoded body.
        prompt: Rendered prompt.
        prompt_field: Field of the body that holds the prompt, for errors.
        class_header: Value of ``CLASS_HEADER``; empty if absent.
        idempotency_key: Value of ``IDEMPOTENCY_HEADER``; empty if absent.

    Raises:
        ServiceError: If a name is unknown or a limit is exceeded; always ``NOT_RUN``.
    """
    model = _find_model(caller.index, body.model)
    request_class = _find_class(caller.index, caller.tenant, body, class_header)
    _check_prompt(prompt, prompt_field, model)
    _check_idempotency_key(idempotency_key)
    requested_tokens = (
        body.max_completion_tokens or body.max_tokens or request_class.max_output_tokens
    )
    return InferenceRequest(
        request_id=secrets.token_hex(REQUEST_ID_BYTES),
        tenant=caller.tenant,
        request_class=request_class,
        model=model,
        prompt=prompt,
        max_tokens=min(requested_tokens, request_class.max_output_tokens),
        idempotency_key=idempotency_key,
        deadline=caller.received_at + request_class.deadline_seconds,
    )


def _find_model(index: ConfigurationIndex, name: str) -> Model:
    """Return a model by name."""
    model = index.models.get(name)
    if model is None:
        raise ServiceError(
            ErrorCode.UNKNOWN_MODEL, "no model of this name is configured", field="model"
        )
    return model


def _find_class(
    index: ConfigurationIndex, tenant: Tenant, body: GenerationBody, class_header: str
) -> RequestClass:
    """Return the class that the header, the body or the tenant's default names."""
    body_class = body.metadata.request_class if body.metadata else ""
    name = class_header or body_class or tenant.default_class
    field = CLASS_HEADER if class_header else "metadata.class"
    request_class = index.classes.get(name)
    if request_class is None:
        raise ServiceError(
            ErrorCode.UNKNOWN_CLASS, "no request class of this name is configured", field=field
        )
    if tenant.classes and name not in tenant.classes:
        raise ServiceError(
            ErrorCode.CLASS_NOT_ALLOWED, "the tenant may not use this class", field=field
        )
    return request_class


def _check_prompt(prompt: str, field: str, model: Model) -> None:
    """Raise if the prompt is empty or longer than the model accepts."""
    tokens = count_tokens(prompt)
    if tokens == 0:
        raise ServiceError(ErrorCode.MALFORMED_REQUEST, "the prompt is empty", field=field)
    if tokens > model.max_prompt_tokens:
        raise ServiceError(
            ErrorCode.PROMPT_TOO_LONG,
            f"the prompt has {tokens} tokens; the model takes {model.max_prompt_tokens}",
            field=field,
        )


def _check_idempotency_key(key: str) -> None:
    """Raise if the caller's idempotency key is too long."""
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise ServiceError(
            ErrorCode.MALFORMED_REQUEST,
            f"the key is over {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters",
            field=IDEMPOTENCY_HEADER,
        )
