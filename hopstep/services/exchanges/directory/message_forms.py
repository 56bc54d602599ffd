"""Watches which forms of messages the registered nodes write: versions that run side by side."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from hopstep import log_events
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.logs import emit


class MessageForms:
    """Remembers the forms that are there, and logs when another one comes or goes."""

    def __init__(self, own: int) -> None:
        """Know this node alone.

        Args:
            own: Form of this node's version.
        """
        self._own = own
        self._present = {own}

    def note(self, records: Iterable[NodeRecord]) -> None:
        """Take the records of all registered nodes."""
        forms = Counter(record.form for record in records)
        if forms.keys() == self._present:
            return
        self._present = set(forms)
        by_form = {str(form): count for form, count in sorted(forms.items())}
        emit(log_events.NODE_FORMS_CHANGED, own=self._own, nodes_by_form=by_form)
