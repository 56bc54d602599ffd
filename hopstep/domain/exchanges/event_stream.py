"""Whole events out of the bytes of an event stream, in order and without repeats.

Fields are those of the ``text/event-stream`` format; only ``id`` is read. An event that was cut
off is never passed on, so that a stream can go on after the last whole event.
"""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1 << 20


class StreamOrderError(Exception):
    """An event that doesn't follow the last one, or one that never ends."""


class EventFramer:
    """Splits bytes into whole events and follows their ids."""

    def __init__(self, last_id: int | None = None) -> None:
        """Start a stream.

        Args:
            last_id: Id of the event before the first one; None when it isn't known.
        """
        self.last_id = last_id
        self.events = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole with ``data``.

        Either all of them count as passed on, or none of them.

        Raises:
            StreamOrderError: When an id doesn't follow the last one.
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
        """Forget a partial event: another instance goes on after the last whole one."""
        self._partial = b""

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and isn't whole."""
        return bool(self._partial.strip())

    def _keep(self, partial: bytes) -> None:
        """Hold what isn't whole yet."""
        if len(partial) > MAX_EVENT_BYTES:
            raise StreamOrderError("an event is too long")
        self._partial = partial


def _follow(last_id: int | None, events: list[bytes]) -> int | None:
    """Return the id of the last one of some events, or the one before them if they have none.

    Raises:
        StreamOrderError: When an id doesn't follow the one before it.
    """
    for event in events:
        event_id = _event_id(event)
        if event_id is None:
            continue
        if last_id is not None and event_id != last_id + 1:
            raise StreamOrderError(f"event {event_id} after {last_id}")
        last_id = event_id
    return last_id


def _event_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` field, or None."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                return None
    return None
