"""The state of one question for the origin of a stream, while other nodes answer it."""

from __future__ import annotations

import msgspec
import trio

from hopstep.domain.exchanges.streams.origin_records import OriginRecord
from hopstep.domain.exchanges.streams.version_claims import VersionClaim


class Inquiry(msgspec.Struct, eq=False):
    """A question for the origin of a stream.

    Attributes:
        number: Number of the queries.
        key: Key of the stream.
        service: Service whose instances may have begun it; empty for several.
        asked_at: When the question came up, by the steady clock in seconds.
        missing: Nodes that haven't answered yet.
        asked: Number of nodes that were asked.
        others: Number of all other nodes.
        readers: Nodes that were asked to read the store before they answer again.
        record: The origin, once a node knows it.
        node: Node that knows it; empty for none.
        claims: What the others that answered know of the service's software versions, by name.
        is_own_view_current: Whether this node has read the store since the question came up.
        needs_reading: Whether a reading of the store may still decide.
        progress: Set with each answer and reading.
    """

    number: int
    key: bytes
    service: str
    asked_at: float
    missing: set[str]
    asked: int
    others: int
    readers: set[str] = set()
    record: OriginRecord | None = None
    node: str = ""
    claims: dict[str, VersionClaim] = {}
    is_own_view_current: bool = False
    needs_reading: bool = True
    progress: trio.Event = msgspec.field(default_factory=trio.Event)

    @property
    def is_open(self) -> bool:
        """Whether further answers or readings may change the result."""
        may_be_confirmed = self.needs_reading and not self.has_current_view
        return self.record is None and (may_be_confirmed or bool(self.missing))

    @property
    def has_current_view(self) -> bool:
        """Whether this node, or one that answered, has read the store since then."""
        return self.is_own_view_current or any(c.is_current for c in self.claims.values())

    def expects(self, node: str) -> bool:
        """Return whether a node was asked and may still answer."""
        return node in self.missing or node in self.readers

    def take_claim(self, claim: VersionClaim, node: str) -> None:
        """Keep what a node has answered; datagrams may be reordered, so a current view stays."""
        self.missing.discard(node)
        known = self.claims.get(node)
        if known is None or claim.is_current or not known.is_current:
            self.claims[node] = claim

    def take_record(self, record: OriginRecord, node: str) -> None:
        """Keep a record that a node has answered, the one that began last of several."""
        if self.record is None or record.began_at > self.record.began_at:
            self.record = record
            self.node = node

    def notify(self) -> None:
        """Wake the tasks that wait for progress."""
        self.progress.set()
        self.progress = trio.Event()
