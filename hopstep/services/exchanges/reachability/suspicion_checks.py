"""Checks instances that don't respond before they are reported to other nodes.

An instance that doesn't respond to this node may respond to others: then this node's link is cut,
and a report would take a healthy instance from nodes that reach it.
"""

from __future__ import annotations

import math

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.services.exchanges.peers.suspicions import Suspicions
from hopstep.services.exchanges.reachability.instance_paths import InstancePaths
from hopstep.services.exchanges.reachability.path_probes import Reachability

REPORTED = frozenset({Reachability.DIRECT, Reachability.REFUSED, Reachability.SILENT})
"""Results after which an instance is reported; one that accepts connections may still be silent."""


class SuspicionChecks:
    """Checks each suspected instance once at a time."""

    def __init__(self, paths: InstancePaths, suspicions: Suspicions) -> None:
        """Create the checks; ``run`` makes them.

        Args:
            paths: Reaches instances directly and through other nodes.
            suspicions: Reports instances to other nodes.
        """
        self._paths = paths
        self._suspicions = suspicions
        self._pending: set[str] = set()
        self._requests, self._received = trio.open_memory_channel[InstanceView](math.inf)
        suspicions.check_with(self.request)

    def note_suspected(self, view: InstanceView, is_confirmed: bool) -> None:
        """Report an instance that doesn't respond, after a check unless others confirm it already.

        Args:
            view: The instance.
            is_confirmed: Whether a node with working links couldn't reach it either.
        """
        if is_confirmed:
            self._suspicions.note_failed(view)
        else:
            self.request(view)

    def request(self, view: InstanceView) -> None:
        """Have an instance checked, unless its check is pending or its link is known to be cut."""
        is_cut = self._paths.links.is_cut(view.instance)
        if not is_cut and view.incarnation not in self._pending:
            self._pending.add(view.incarnation)
            self._requests.send_nowait(view)

    async def run(self) -> None:
        """Make the requested checks until cancelled."""
        async with trio.open_nursery() as nursery:
            async for view in self._received:
                nursery.start_soon(self._check, view)

    async def _check(self, view: InstanceView) -> None:
        """Check one instance, and report it unless only this node's link is at fault."""
        began_at = trio.current_time()
        seconds = view.suspended_until - began_at
        try:
            reachability = await self._paths.check(view.instance)
        finally:
            self._pending.discard(view.incarnation)
        now = trio.current_time()
        has_responded = view.seconds_without_byte(now) < now - began_at
        if reachability in REPORTED and not has_responded:
            # The check may take longer than the first suspension.
            view.suspend(now + seconds)
            self._suspicions.note_failed(view)
