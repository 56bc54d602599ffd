"""Routes ``/v1/completions`` and ``/v1/models``."""

from __future__ import annotations

import msgspec
from quart import Blueprint, Response

from hopstep.adapters.http_api.bodies import (
    CompletionBody,
    ModelBody,
    ModelListBody,
    decode_body,
)
from hopstep.adapters.http_api.context import ApiContext
from hopstep.adapters.http_api.gate import Caller
from hopstep.adapters.http_api.generation import (
    admitted_caller,
    read_body,
    start_generation,
)
from hopstep.adapters.http_api.rendering import CompletionRenderer
from hopstep.decoding import JsonDecoder
from hopstep.domain.configuration.document import BackEndKind

DECODER = JsonDecoder(CompletionBody)


def completions_blueprint(context: ApiContext) -> Blueprint:
    """Return the routes of plain completions and of the list of models."""
    blueprint = Blueprint("completions", __name__)

    @blueprint.post("/v1/completions")
    async def create_completion() -> Response:
        """Complete a prompt."""
        body = decode_body(await read_body(), DECODER)
        generation, resolved = start_generation(context, body, body.prompt, "prompt")
        return await generation.respond(CompletionRenderer(resolved), body)

    @blueprint.get("/v1/models")
    async def list_models() -> Response:
        """List the models that are available to the caller's tenant."""
        models = _reachable_models(admitted_caller())
        body = ModelListBody(tuple(ModelBody(name) for name in models))
        return Response(msgspec.json.encode(body), content_type="application/json")

    return blueprint


def _reachable_models(caller: Caller) -> list[str]:
    """Return the configured models served by an engine that the tenant's selector matches."""
    engines = caller.index.tenant_back_ends(caller.tenant, BackEndKind.ENGINE)
    served = {name for engine in engines for name in engine.models}
    return [name for name in caller.index.models if name in served]
