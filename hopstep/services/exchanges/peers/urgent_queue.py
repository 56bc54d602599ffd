"""Queue of the updates that this node sends to all others at once."""

from __future__ import annotations

import msgspec
import trio

from hopstep.ports.node_exchange import LoadingEngine, SentPrompt, SuspectedInstance

MAX_REQUESTS = 32
"""Most requests that crashed instances in one message: up to 700 bytes each, uncompressed."""

MAX_SUSPECTED = 128
"""Most unresponsive instances in one message: some 10 kB."""


class UrgentBatch(msgspec.Struct, frozen=True):
    """Updates for one message.

    Attributes:
        prompts: Long prompts that were just sent to instances.
        loading: Engines about to load weights.
        requests: Fingerprints of requests under which instances have crashed.
        suspected: Instances that don't respond to this node.
    """

    prompts: tuple[SentPrompt, ...]
    loading: tuple[LoadingEngine, ...]
    requests: tuple[bytes, ...]
    suspected: tuple[SuspectedInstance, ...]


class UrgentQueue:
    """Collects updates until they are sent.

    Attributes:
        filled: Set while the queue has any.
    """

    def __init__(self) -> None:
        """Start empty. Must be called inside the event loop."""
        self.filled = trio.Event()
        self._prompts: list[SentPrompt] = []
        self._loading: list[LoadingEngine] = []
        self._requests: dict[bytes, None] = {}
        self._suspected: dict[str, SuspectedInstance] = {}

    def put_prompt(self, prompt: SentPrompt) -> None:
        """Add a long prompt."""
        self._prompts.append(prompt)
        self.filled.set()

    def put_loading(self, engine: LoadingEngine) -> None:
        """Add an engine that is about to load weights."""
        self._loading.append(engine)
        self.filled.set()

    def put_request(self, fingerprint: bytes) -> None:
        """Add a request under which an instance has crashed."""
        self._requests[fingerprint] = None
        self.filled.set()

    def put_suspected(self, suspected: SuspectedInstance) -> None:
        """Add an instance that doesn't respond to this node; replaces an earlier report of it."""
        self._suspected[suspected.incarnation] = suspected
        self.filled.set()

    def take(self) -> UrgentBatch:
        """Remove and return the updates for one message; excess requests and instances stay."""
        requests = tuple(self._requests)[:MAX_REQUESTS]
        suspected = tuple(self._suspected.values())[:MAX_SUSPECTED]
        batch = UrgentBatch(tuple(self._prompts), tuple(self._loading), requests, suspected)
        self._prompts.clear()
        self._loading.clear()
        for fingerprint in requests:
            del self._requests[fingerprint]
        for report in suspected:
            del self._suspected[report.incarnation]
        self.filled = trio.Event()
        if self._requests or self._suspected:
            self.filled.set()
        return batch
