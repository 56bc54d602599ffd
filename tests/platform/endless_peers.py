"""Stand-in that answers without end, and measures of what its callers spend on that."""

import contextlib
import gc
import time
import tracemalloc

import trio

from tests.platform.test_instances import RawServer

BLOCK_BYTES = 64 * 1024
DRIP_SECONDS = 0.02
LONGEST_STEP_SECONDS = 0.010
STEP_RUNS = 3


class EndlessServer(RawServer):
    """Begins its answer to each request with the same bytes, then repeats others without end."""

    def __init__(self, beginning, repeated, *, drips=False):
        super().__init__(beginning)
        self.repeated = repeated
        self.drips = drips

    async def handle(self, stream):
        self.connections += 1
        block = self.repeated
        if not self.drips:
            block *= max(1, BLOCK_BYTES // len(block))
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self.read_request(stream)
            await stream.send_all(self.answer)
            while True:
                await stream.send_all(block)
                if self.drips:
                    await trio.sleep(DRIP_SECONDS)
        await trio.aclose_forcefully(stream)


async def send_without_end(
    stream, beginning, repeated, pause_seconds=None, on_sent=lambda _size: None
):
    """Send a beginning and then the same bytes again and again, until the connection ends.

    With a pause between two sends they drip; without one they are sent in blocks.
    """
    drips = pause_seconds is not None
    block = repeated if drips else repeated * (BLOCK_BYTES // len(repeated) + 1)
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(beginning)
        while True:
            await stream.send_all(block)
            on_sent(len(block))
            await trio.sleep(pause_seconds or 0.0)


async def receive_to_end(stream):
    """Return what is received until the connection ends, also by a reset."""
    received = b""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := await stream.receive_some():
            received += data
    return received


class LongestStep(trio.abc.Instrument):
    """Measures the processor time of the longest step of any task: the loop stands still for it.

    The collector is off meanwhile: a pass over all objects of the tests takes 25 ms.
    """

    def __init__(self):
        self.seconds = 0.0
        self._began_at = 0.0

    def before_run(self):
        gc.disable()

    def after_run(self):
        gc.enable()

    def before_task_step(self, _task):
        self._began_at = time.thread_time()

    def after_task_step(self, _task):
        self.seconds = max(self.seconds, time.thread_time() - self._began_at)


def longest_step(run):
    """Return the longest step of a function that is called with an instrument.

    It is called again if the step is too long: what a virtual machine does meanwhile counts as
    processor time too, while a peer's bytes take the same time in every run.
    """
    steps = []
    while len(steps) < STEP_RUNS and (not steps or steps[-1] >= LONGEST_STEP_SECONDS):
        step = LongestStep()
        run(step)
        steps.append(step.seconds)
    return min(steps)


@contextlib.contextmanager
def traced_peak():
    """Yield a function that returns the most bytes that were allocated within the context."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    try:
        yield lambda: tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
