"""Tracks the message format versions of the registered nodes, which may differ in an upgrade."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.log_events.membership import NODE_FORMS_CHANGED
from hopstep.logs import emit


class MessageFormats:
    """Remembers the formats in use, and logs when that set changes."""

    def __init__(self, own: int) -> None:
        """Start with this node only.

        Args:
            own: Message format version of this node.
        """
        self._own = own
        self._in_use = {own}

    def update(self, records: Iterable[NodeRecord]) -> None:
        """Update the formats from the records of all registered nodes."""
        formats = Counter(record.form for record in records)
        if formats.keys() == self._in_use:
            return
        self._in_use = set(formats)
        by_form = {str(form): count for form, count in sorted(formats.items())}
        emit(NODE_FORMS_CHANGED, own=self._own, nodes_by_form=by_form)
