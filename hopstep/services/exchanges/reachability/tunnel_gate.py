"""Decides at this node which tunnels it opens for other nodes."""

from __future__ import annotations

import heapq

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.instance_admission import LAST_SENDS_SHARE, Barrier, Purpose
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.instance_links import InstanceLinks
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.ports.tunnels import TunnelGate
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.sending_view import SendingView
from hopstep.services.lifecycle import Lifecycle

GONE_BARRIERS = frozenset({Barrier.ENDED, Barrier.DRAINING, Barrier.LEAVING})
"""Barriers for which no gateway passes requests on, whichever node has sent them."""

REFERENCES = 2
"""Other instances that are tried when one can't be reached; one of them may have ended too."""


class InstanceTunnelGate(TunnelGate):
    """Opens tunnels to listed instances, while this node's own links work."""

    def __init__(
        self,
        calls: InstanceCalls,
        knowledge: ServingKnowledge,
        links: InstanceLinks,
        lifecycle: Lifecycle,
        sending_view: SendingView,
        drain_seconds: float,
    ) -> None:
        """Create the gate.

        Args:
            calls: Direct connections to instances.
            knowledge: The listed instances.
            links: This node's links to instances.
            lifecycle: A stopping node opens no further tunnels.
            sending_view: Whether the view of the instances is recent enough to send by it.
            drain_seconds: Time for which an instance still serves after it announced its shutdown.
        """
        self._sending_view = sending_view
        self._last_sends_seconds = LAST_SENDS_SHARE * drain_seconds
        self._calls = calls
        self._knowledge = knowledge
        self._links = links
        self._lifecycle = lifecycle

    def check(self, sender: str, target: TunnelTarget) -> TunnelFailure | None:
        """Return why a tunnel isn't opened; see the port.

        A tunnel leads to the listener of a listed instance only, never to another gateway.
        """
        view = self._view(target)
        if self._lifecycle.stopping or view is None:
            return TunnelFailure.REJECTED
        is_suspected = self._links.is_suspected(view.instance.service, trio.current_time())
        if is_suspected or self._links.is_cut(view.instance):
            return TunnelFailure.CUT_OFF
        return None

    def check_request(self, target: TunnelTarget) -> TunnelFailure | None:
        """Return why a request isn't passed on; see the port.

        The node that sent it has asked the same of its own view; since then it was on its way here.
        """
        if not self._sending_view.allows_sending:
            return TunnelFailure.LATE
        view = self._view(target)
        if view is None:
            return TunnelFailure.INSTANCE_LEAVING
        now = trio.current_time()
        admission = view.admission(Purpose.RESUME_SENDING, now, self._last_sends_seconds)
        return TunnelFailure.INSTANCE_LEAVING if admission.barrier in GONE_BARRIERS else None

    async def diagnose(self, target: TunnelTarget, *, refused: bool) -> TunnelFailure:
        """Return what a failed connection shows; see the port.

        If this node reaches another instance, its own link isn't the reason.
        """
        references = self._references(target)
        if not await self._reaches_any(references):
            for reference in references:
                self._links.note_suspected(reference.instance.service, trio.current_time())
            return TunnelFailure.CUT_OFF
        return TunnelFailure.INSTANCE_REFUSED if refused else TunnelFailure.INSTANCE_SILENT

    async def _reaches_any(self, references: list[InstanceView]) -> bool:
        """Return whether any reference accepts a connection; without references it is assumed."""
        answers: list[InstanceProbeResult] = []

        async def probe(reference: InstanceView) -> None:
            answers.append(await self._calls.probe_connection(reference.instance))
            if answers[-1] is InstanceProbeResult.ANSWERS:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for reference in references:
                nursery.start_soon(probe, reference)
        return not references or InstanceProbeResult.ANSWERS in answers

    def _view(self, target: TunnelTarget) -> InstanceView | None:
        """Return the view of a listed instance; None if it isn't listed at this address."""
        view = self._knowledge.table.get(target.instance_id)
        if view is None or view.instance.address != target.address:
            return None
        return view if self._knowledge.table.is_trusted(view) else None

    def _references(self, target: TunnelTarget) -> list[InstanceView]:
        """Return other instances, of the same service if possible, that have last sent a byte.

        A node may have lost its links to one service only.
        """
        now = trio.current_time()
        failed = self._view(target)
        service = failed.instance.service if failed is not None else ""
        others = [view for view in self._knowledge.table if view is not failed]
        alike = [view for view in others if view.instance.service == service]
        return heapq.nsmallest(
            REFERENCES, alike or others, key=lambda view: view.seconds_without_byte(now)
        )
