"""Faults that tests induce in an emulated engine."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator

import msgspec
import trio

from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import TokenFrame

FOREIGN_TEXT = "????"
"""Text of tokens that belong to no attempt of the oracle."""


class StreamCutError(Exception):
    """The stream breaks off here, without a last frame."""


class StreamFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes wrong on the next streams.

    Attributes:
        streams: Streams that it hits.
        cut_after_tokens: Breaks the stream off after so many tokens; negative never does.
        duplicate_frames: Sends every frame twice.
        reorder_frames: Swaps each pair of frames.
        late_seconds: Delays each frame.
        foreign_nonce: Sends every frame under this nonce; empty for the right one.
        injected_nonce: Sends a frame of this nonce before each right one; empty for none.
    """

    streams: int = 1
    cut_after_tokens: int = -1
    duplicate_frames: bool = False
    reorder_frames: bool = False
    late_seconds: float = 0.0
    foreign_nonce: str = ""
    injected_nonce: str = ""


class RefusalFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Refuses the next ``count`` attempts."""

    code: ErrorCode = ErrorCode.OVERLOADED
    execution: Execution = Execution.NOT_RUN
    count: int = 1
    retry_after_seconds: float = 1.0


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All faults of one engine; setting them replaces the earlier ones.

    Attributes:
        crash: Crash once, now.
        frozen: Stand still.
        leaving: Refuse new attempts and say so in facts.
        lost_answers: Attempts whose request takes effect, but whose answer is lost.
        stream: Fault of the next streams.
        refusal: Refusal of the next attempts.
        drop_events: Lose cache events.
        event_delay_seconds: Delay of cache events; None for the configured one.
        report_lag_seconds: Lag of load reports; None for the configured one.
    """

    crash: bool = False
    frozen: bool = False
    leaving: bool = False
    lost_answers: int = 0
    stream: StreamFault | None = None
    refusal: RefusalFault | None = None
    drop_events: bool = False
    event_delay_seconds: float | None = None
    report_lag_seconds: float | None = None


Frames = AsyncGenerator[TokenFrame | None, None]
"""Frames of a stream; None is a keep-alive."""


async def apply_stream_fault(frames: Frames, fault: StreamFault) -> Frames:
    """Yield ``frames`` as the fault leaves them.

    Raises:
        StreamCutError: Where the fault breaks the stream off.
    """
    frames = _cut(frames, fault.cut_after_tokens)
    if fault.reorder_frames:
        frames = _reorder(frames)
    async with contextlib.aclosing(frames):
        async for frame in frames:
            if frame is None:
                yield None
                continue
            await trio.sleep(fault.late_seconds)
            if fault.injected_nonce:
                yield _foreign(frame, fault.injected_nonce)
            sent = _foreign(frame, fault.foreign_nonce) if fault.foreign_nonce else frame
            yield sent
            if fault.duplicate_frames:
                yield sent


async def _cut(frames: Frames, limit: int) -> Frames:
    """Yield the first ``limit`` tokens, then break off; all of them if it is negative."""
    rest = limit
    async with contextlib.aclosing(frames):
        if limit == 0:
            raise StreamCutError
        async for frame in frames:
            if frame is None or limit < 0:
                yield frame
                continue
            if len(frame.tokens) >= rest:
                yield msgspec.structs.replace(frame, tokens=frame.tokens[:rest], finish_reason=None)
                raise StreamCutError
            rest -= len(frame.tokens)
            yield frame


async def _reorder(frames: Frames) -> Frames:
    """Yield each two frames in the wrong order."""
    held: TokenFrame | None = None
    async with contextlib.aclosing(frames):
        async for frame in frames:
            if frame is None:
                yield None
            elif held is None:
                held = frame
            else:
                yield frame
                yield held
                held = None
    if held is not None:
        yield held


def _foreign(frame: TokenFrame, nonce: str) -> TokenFrame:
    """Return a frame as another attempt would get it."""
    return msgspec.structs.replace(frame, nonce=nonce, tokens=(FOREIGN_TEXT,) * len(frame.tokens))
