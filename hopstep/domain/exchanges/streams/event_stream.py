"""Splits the bytes of an event stream into complete events, in order and without duplicates.

Fields are those of the ``text/event-stream`` format; only ``id`` is read. A truncated event is
never passed on, so that a stream can be resumed after the last complete event.
"""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1 << 20


class StreamOrderError(Exception):
    """An event id out of sequence, or an event that exceeds ``MAX_EVENT_BYTES``."""


class EventFramer:
    """Splits bytes into complete events and checks that their ids are consecutive."""

    def __init__(self, last_id: int | None = None) -> None:
        """Start a stream.

        Args:
            last_id: Id of the event before the first one; None when unknown.
        """
        self.last_id = last_id
        self.events = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are complete once ``data`` is added.

        On an error none of them counts as passed on.

        Raises:
            StreamOrderError: When an id isn't the successor of the last, or an event is too long.
        """
        end_of_data = self._partial + data if self._partial else data
        end = end_of_data.rfind(EVENT_END)
        if end < 0:
            self._keep(end_of_data)
            return b""
        end += len(EVENT_END)
        whole = end_of_data[:end]
        events = [event for event in whole.split(EVENT_END) if event.strip()]
        last_id = _follow(self.last_id, events)
        self._keep(end_of_data[end:])
        self.last_id = last_id
        self.events += len(events)
        return whole

    def restart(self) -> None:
        """Drop a partial event: another instance resumes after the last complete one."""
        self._partial = b""

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and isn't complete."""
        return bool(self._partial.strip())

    @property
    def partial_bytes(self) -> int:
        """Bytes that are kept of an incomplete event."""
        return len(self._partial)

    def _keep(self, partial: bytes) -> None:
        """Keep the bytes of an incomplete event."""
        if len(partial) > MAX_EVENT_BYTES:
            raise StreamOrderError("an event is longer than the limit")
        self._partial = partial


def _follow(last_id: int | None, events: list[bytes]) -> int | None:
    """Return the id of the last event with an id, or ``last_id`` when no event has one.

    Raises:
        StreamOrderError: When an id isn't the successor of the one before it.
    """
    for event in events:
        event_id = _event_id(event)
        if event_id is None:
            continue
        if last_id is not None and event_id != last_id + 1:
            raise StreamOrderError(f"event id {event_id} isn't the successor of {last_id}")
        last_id = event_id
    return last_id


def _event_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` field, or None without a valid one."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                return None
    return None
