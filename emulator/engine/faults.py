"""Faults that tests induce in an emulated engine."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator

import msgspec
import trio

from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import TokenFrame

FOREIGN_TEXT = "????"
"""Text of the tokens in frames of another attempt."""


class StreamCutError(Exception):
    """The stream breaks off without a last frame."""


class StreamFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault of the next streams.

    Attributes:
        streams: Number of affected streams.
        cut_after_tokens: Number of tokens after which the stream breaks off; negative for never.
        duplicate_frames: Whether every frame is sent twice.
        reorder_frames: Whether each pair of frames is swapped.
        late_seconds: Delay of each frame.
        foreign_nonce: Nonce that replaces the one of every frame; empty to keep the right one.
        injected_nonce: Nonce of an extra frame sent before each right one; empty for none.
    """

    streams: int = 1
    cut_after_tokens: int = -1
    duplicate_frames: bool = False
    reorder_frames: bool = False
    late_seconds: float = 0.0
    foreign_nonce: str = ""
    injected_nonce: str = ""


class RefusalFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Refusal of the next ``count`` attempts."""

    code: ErrorCode = ErrorCode.OVERLOADED
    execution: Execution = Execution.NOT_RUN
    count: int = 1
    retry_after_seconds: float = 1.0


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All faults of one engine; setting them replaces the earlier ones.

    Attributes:
        crash: Crash once, now.
        frozen: Whether the engine makes no progress and answers nothing.
        leaving: Whether it refuses new attempts and reports in its facts that it is leaving.
        lost_answers: Number of next attempts that are accepted, but whose answer is lost.
        stream: Fault of the next streams.
        refusal: Refusal of the next attempts.
        drop_events: Whether cache events are lost.
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
    """Yield ``frames`` with the fault applied.

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
    tokens_left = limit
    async with contextlib.aclosing(frames):
        if limit == 0:
            raise StreamCutError
        async for frame in frames:
            if frame is None or limit < 0:
                yield frame
                continue
            if len(frame.tokens) >= tokens_left:
                yield msgspec.structs.replace(
                    frame, tokens=frame.tokens[:tokens_left], finish_reason=None
                )
                raise StreamCutError
            tokens_left -= len(frame.tokens)
            yield frame


async def _reorder(frames: Frames) -> Frames:
    """Yield each pair of frames in reverse order."""
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
    """Return a frame of another attempt, with as many tokens."""
    return msgspec.structs.replace(frame, nonce=nonce, tokens=(FOREIGN_TEXT,) * len(frame.tokens))
