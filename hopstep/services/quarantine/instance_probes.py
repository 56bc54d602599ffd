"""Probes instances whose answers broke off, to find out whether they have terminated."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.services.quarantine.trial_verdicts import ProbeInstance

MAX_PROBES = 4
PROBE_SPACING_SECONDS = 0.4
"""Time between two probes. A probe without an answer is repeated: its first packets may be lost,
and all nodes should know of a termination within the three seconds that the operators' bound
leaves.
"""

MAX_WAITING_PROBES = 256
PROBE_WAIT_SECONDS = 0.4
"""Longest wait for a probe before a request goes to another instance."""


class InstanceProbes:
    """The probes that are waiting or in progress, at most one for each incarnation."""

    def __init__(self, on_ended: Callable[[str], None]) -> None:
        """Start without probes. Must be called inside the event loop.

        Args:
            on_ended: Called with the incarnation of each instance that is found terminated.
        """
        self._on_ended = on_ended
        self._pending: dict[str, trio.Event] = {}
        self._probes, self._due = trio.open_memory_channel[tuple[str, ProbeInstance]](
            MAX_WAITING_PROBES
        )

    def begin(self, incarnation: str, probe: ProbeInstance) -> None:
        """Have an instance probed; beyond the bound, only its unlisting shows a termination."""
        if incarnation in self._pending:
            return
        try:
            self._probes.send_nowait((incarnation, probe))
        except trio.WouldBlock:
            return
        self._pending[incarnation] = trio.Event()

    async def wait(self, incarnation: str) -> None:
        """Wait for the probe of an instance, if there is one."""
        pending = self._pending.get(incarnation)
        if pending is not None:
            with trio.move_on_after(PROBE_WAIT_SECONDS):
                await pending.wait()

    async def run(self) -> None:
        """Probe instances until cancelled."""
        async with trio.open_nursery() as nursery:
            async for incarnation, probe in self._due:
                nursery.start_soon(self._probe, incarnation, probe)

    async def _probe(self, incarnation: str, probe: ProbeInstance) -> None:
        """Probe an instance until it answers, has terminated or the probes are used up."""
        try:
            for number in range(MAX_PROBES):
                if number:
                    await trio.sleep(PROBE_SPACING_SECONDS)
                result = await probe()
                if result is InstanceProbeResult.ENDED:
                    self._on_ended(incarnation)
                if result is not InstanceProbeResult.NO_ANSWER:
                    return
        finally:
            self._pending.pop(incarnation).set()
