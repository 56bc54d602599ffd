"""Rendering of chat messages to prompt text.

The rendering is append-only: chats with a common prefix of messages render to texts with a common
prefix, which can be cached.
"""

from __future__ import annotations

import msgspec


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat.

    Attributes:
        role: Role of the author, such as ``system`` or ``user``.
        text: Text of the message.
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
