"""Decoding of an engine's stream from newline-delimited JSON to token frames."""

from __future__ import annotations

import msgspec

from hopstep.adapters.engine_messages import Refusal
from hopstep.decoding import JsonDecoder
from hopstep.exceptions import EngineError, ErrorCode, Execution
from hopstep.log_events.instances import ENGINE_ANSWER_MALFORMED
from hopstep.logs import emit
from hopstep.ports.engine import TokenFrame

MAX_LINE_BYTES = 1024 * 1024
"""Longest line of a stream; a longer one interrupts the stream."""


class RefusalLine(msgspec.Struct, frozen=True):
    """Line of a stream that refuses an attempt after it was queued."""

    refusal: Refusal


def refusal_error(refusal: Refusal, nonce: str) -> EngineError:
    """Return the error for a refusal; ``NOT_RUN`` is accepted for this nonce only."""
    proved = refusal.execution is Execution.NOT_RUN and refusal.nonce == nonce
    return EngineError(
        refusal.code,
        refusal.message,
        Execution.NOT_RUN if proved else Execution.UNKNOWN,
        refusal.retry_after_seconds,
    )


def interrupted(message: str) -> EngineError:
    """Return the error for a stream that can't continue."""
    return EngineError(ErrorCode.STREAM_INTERRUPTED, message, Execution.UNKNOWN)


class StreamDecoder:
    """Decodes the bytes of one stream to frames and joins frames that arrive together."""

    def __init__(self, nonce: str, engine: str) -> None:
        """Start at the beginning of a stream.

        Args:
            nonce: The attempt; frames of other attempts are returned but don't finish it.
            engine: Address that the stream comes from.
        """
        self._nonce = nonce
        self._engine = engine
        self._incomplete_line = bytearray()
        self._frame_decoder = JsonDecoder(TokenFrame)
        self._refusal_decoder = JsonDecoder(RefusalLine)
        self.finished = False

    def feed(self, data: bytes) -> list[TokenFrame]:
        """Return the frames that ``data`` completes.

        Raises:
            EngineError: The engine refuses the attempt, or sends an invalid frame.
        """
        received, before = self._incomplete_line, len(self._incomplete_line)
        received += data
        # What arrived earlier isn't copied or searched again, since a line may come in small parts.
        lines: list[bytes] = []
        end = received.rfind(b"\n", before)
        if end >= 0:
            lines = bytes(received[:end]).split(b"\n")
            del received[: end + 1]
        if len(received) > MAX_LINE_BYTES:
            emit(ENGINE_ANSWER_MALFORMED, engine=self._engine)
            raise interrupted("the engine sent a line that is too long")
        frames: list[TokenFrame] = []
        for line in lines:
            if line:
                self._append_joined(frames, self._decode(line))
        return frames

    def _decode(self, line: bytes) -> TokenFrame:
        """Return the frame of one line."""
        try:
            frame = self._frame_decoder.decode(line)
        except msgspec.DecodeError:
            raise self._line_error(line) from None
        if frame.finish_reason is not None and frame.nonce == self._nonce:
            self.finished = True
        return frame

    def _line_error(self, line: bytes) -> EngineError:
        """Return the error for a line that isn't a frame."""
        try:
            refusal = self._refusal_decoder.decode(line).refusal
        except msgspec.DecodeError:
            emit(ENGINE_ANSWER_MALFORMED, engine=self._engine)
            return interrupted("the engine sent what isn't a frame")
        return refusal_error(refusal, self._nonce)

    @staticmethod
    def _append_joined(frames: list[TokenFrame], frame: TokenFrame) -> None:
        """Add a frame, joined to the one before it when it continues it without a gap."""
        last = frames[-1] if frames else None
        continues_last = (
            last is not None
            and last.finish_reason is None
            and last.nonce == frame.nonce
            and last.incarnation == frame.incarnation
            and last.sequence + len(last.tokens) == frame.sequence
        )
        if last is None or not continues_last:
            frames.append(frame)
            return
        frames[-1] = TokenFrame(
            nonce=frame.nonce,
            incarnation=frame.incarnation,
            sequence=last.sequence,
            tokens=last.tokens + frame.tokens,
            finish_reason=frame.finish_reason,
            usage=frame.usage or last.usage,
        )
