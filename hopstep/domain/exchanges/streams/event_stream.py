"""Splits the bytes of an event stream into complete events, in order and without duplicates.

Fields are those of the ``text/event-stream`` format; only ``id`` is read. A truncated event is
never passed on, so that a stream can be resumed after the last complete event.
"""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1 << 20


class StreamOrderError(Exception):
    """An event id out of sequence, a second one in an event, or an event that is too long."""


class EventFramer:
    """Splits bytes into complete events and checks that their ids are consecutive."""

    def __init__(self, last_id: int | None = None) -> None:
        """Start a stream.

        Args:
            last_id: Id of the event before the first one; None when unknown.
        """
        self.last_id = last_id
        self.events = 0
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are complete once ``data`` is added.

        On an error none of them counts as passed on.

        Raises:
            StreamOrderError: When an id isn't the successor of the last, an event has several ids,
                or it is too long.
        """
        partial, before = self._partial, len(self._partial)
        partial += data
        try:
            return self._take_complete(max(0, before - 1))
        except StreamOrderError:
            del partial[before:]
            raise

    def _take_complete(self, start: int) -> bytes:
        """Return the bytes of the complete events and keep the rest.

        Args:
            start: Offset before which no event ends; what arrived earlier isn't searched again, so
                that a long event in small parts costs no more than in large ones.
        """
        partial = self._partial
        end = partial.rfind(EVENT_END, start)
        if end < 0:
            _require_length(len(partial))
            return b""
        end += len(EVENT_END)
        whole = bytes(partial[:end])
        events = [event for event in whole.split(EVENT_END) if event.strip()]
        last_id = _follow(self.last_id, events)
        _require_length(len(partial) - end)
        del partial[:end]
        self.last_id = last_id
        self.events += len(events)
        return whole

    def restart(self) -> None:
        """Drop a partial event: another instance resumes after the last complete one."""
        self._partial.clear()

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and isn't complete."""
        return bool(self._partial.strip())

    @property
    def partial_bytes(self) -> int:
        """Bytes that are kept of an incomplete event."""
        return len(self._partial)


def _require_length(partial_bytes: int) -> None:
    """Raise ``StreamOrderError`` when an incomplete event is too long."""
    if partial_bytes > MAX_EVENT_BYTES:
        raise StreamOrderError("an event is longer than the limit")


def _follow(last_id: int | None, events: list[bytes]) -> int | None:
    """Return the id of the last event with an id, or ``last_id`` when no event has one.

    Raises:
        StreamOrderError: When an id isn't the successor of the one before it, or one of several.
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
    """Return the number in an event's ``id`` field, or None without a valid one.

    Raises:
        StreamOrderError: When it has several: the event broke off, and its rest is of another one.
    """
    ids = [line[len(ID_FIELD) :] for line in event.split(b"\n") if line.startswith(ID_FIELD)]
    if len(ids) > 1:
        raise StreamOrderError("an event with more than one id")
    try:
        return int(ids[0]) if ids else None
    except ValueError:
        return None
