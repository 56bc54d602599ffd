"""Notes the answers of the store to this node, and what they show of an outage."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.store_contact import AnsweredCall, StoreContact
from hopstep.services.exchanges.pause_watch import PauseWatch


def note_answered(
    contact: StoreContact, pauses: PauseWatch, sent_at: float, wait_seconds: float = 0.0
) -> None:
    """Note that a call was answered now; call this before its answer is applied.

    Args:
        contact: Judges whether the store was silent before.
        pauses: Knows for how long this node itself was late.
        sent_at: When the call was sent, by the steady clock in seconds.
        wait_seconds: Time for which the store was asked to wait for a change.
    """
    delay_seconds = pauses.longest_delay_since(min(sent_at, contact.last_answer_at))
    call = AnsweredCall(sent_at, trio.current_time(), wait_seconds, delay_seconds)
    contact.note_own_answer(call)
