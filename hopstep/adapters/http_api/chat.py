"""Route ``/v1/chat/completions``."""

from __future__ import annotations

from quart import Blueprint, Response

from hopstep.adapters.http_api.bodies import ChatBody, decode_body
from hopstep.adapters.http_api.context import ApiContext
from hopstep.adapters.http_api.generation import read_body, start_generation
from hopstep.adapters.http_api.rendering import ChatRenderer
from hopstep.decoding import JsonDecoder
from hopstep.domain.prompts import ChatMessage, render_chat

DECODER = JsonDecoder(ChatBody)


def chat_blueprint(context: ApiContext) -> Blueprint:
    """Return the routes of chat completions."""
    blueprint = Blueprint("chat", __name__)

    @blueprint.post("/v1/chat/completions")
    async def create_chat_completion() -> Response:
        """Answer a chat request."""
        body = decode_body(await read_body(), DECODER)
        messages = tuple(ChatMessage(message.role, message.text()) for message in body.messages)
        generation, resolved = start_generation(context, body, render_chat(messages), "messages")
        return await generation.respond(ChatRenderer(resolved), body)

    return blueprint
