"""Rendering of chat messages to prompt text.

The rendering is append-only: messages that share a beginning render to texts that share one,
so nested conversations and documents keep their common prefix.
"""

from __future__ import annotations

import msgspec


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat.

    Attributes:
        role: Who speaks, such as ``system`` or ``user``.
        text: What is said.
    """

    role: str
    text: str


def render_chat(messages: tuple[ChatMessage, ...]) -> str:
    """Return the prompt text of a chat, ready for the assistant's answer.

    Args:
        messages: Messages, oldest first.
    """
    turns = [f"<|{message.role}|>\n{message.text}\n" for message in messages]
    return "".join(turns) + "<|assistant|>\n"
