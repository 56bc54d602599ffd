"""What this node has to tell all others at once, until it is sent."""

from __future__ import annotations

import msgspec
import trio

from hopstep.ports.node_exchange import LoadingEngine, SentPrompt

MAX_REQUESTS = 32
"""Requests that end instances in one message, at up to 700 bytes each before compression."""


class UrgentContents(msgspec.Struct, frozen=True):
    """What one message tells.

    Attributes:
        prompts: Long prompts that were just sent.
        loading: Engines about to load weights.
        requests: Fingerprints of requests under which instances have ended.
    """

    prompts: tuple[SentPrompt, ...]
    loading: tuple[LoadingEngine, ...]
    requests: tuple[bytes, ...]


class UrgentQueue:
    """Collects news.

    Attributes:
        filled: Set while there are any.
    """

    def __init__(self) -> None:
        """Start empty. Must be called inside the event loop."""
        self.filled = trio.Event()
        self._prompts: list[SentPrompt] = []
        self._loading: list[LoadingEngine] = []
        self._requests: dict[bytes, None] = {}

    def put_prompt(self, prompt: SentPrompt) -> None:
        """Add a long prompt."""
        self._prompts.append(prompt)
        self.filled.set()

    def put_loading(self, engine: LoadingEngine) -> None:
        """Add an engine that is about to load weights."""
        self._loading.append(engine)
        self.filled.set()

    def put_request(self, fingerprint: bytes) -> None:
        """Add a request under which an instance has ended."""
        self._requests[fingerprint] = None
        self.filled.set()

    def take(self) -> UrgentContents:
        """Return the next message's contents; what is too much for it stays."""
        requests = tuple(self._requests)[:MAX_REQUESTS]
        contents = UrgentContents(tuple(self._prompts), tuple(self._loading), requests)
        self._prompts.clear()
        self._loading.clear()
        for fingerprint in requests:
            del self._requests[fingerprint]
        self.filled = trio.Event()
        if self._requests:
            self.filled.set()
        return contents
