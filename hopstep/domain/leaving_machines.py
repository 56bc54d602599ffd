"""Machines that are shutting down, by a list that lags and flaps and by reports of peers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

LIVE_ANSWERS = 3
"""Consecutive answers that must show a leaving machine as live before it gets work again."""


class LeavingMachines:
    """Machines that the list has shown as leaving.

    A machine that is missing from an answer stays leaving, since the list may omit it briefly; one
    that is shown as live stays leaving until ``LIVE_ANSWERS`` consecutive answers show it so.
    """

    def __init__(self) -> None:
        """Start with no machine leaving."""
        self._live_answers: dict[str, int] = {}

    def update(self, leaving: Iterable[str], live: Iterable[str]) -> frozenset[str]:
        """Apply one answer of the list.

        Args:
            leaving: Addresses of machines that it shows as leaving.
            live: Addresses of machines that it shows as live.

        Returns:
            Addresses of the machines that must get no new work.
        """
        for address in live:
            if address in self._live_answers:
                self._live_answers[address] += 1
        for address in leaving:
            self._live_answers[address] = 0
        self._live_answers = {
            address: answers
            for address, answers in self._live_answers.items()
            if answers < LIVE_ANSWERS
        }
        return frozenset(self._live_answers)


class ReportedMachines:
    """Machines that peers have reported as leaving.

    A live peer can withdraw its report. The report of a peer that has gone stays valid until this
    router's own list shows the machine as live.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._reporters: dict[str, frozenset[str]] = {}

    def update(
        self,
        reported: Mapping[str, frozenset[str]],
        live_routers: frozenset[str],
        live_machines: Iterable[str] = (),
    ) -> frozenset[str]:
        """Apply the current reports of peers.

        Args:
            reported: Names of the peers that report a machine, by its address.
            live_routers: Names of the live routers.
            live_machines: Addresses that this router's own list has just shown as live.

        Returns:
            Addresses of the machines that must get no new work.
        """
        shown_live = frozenset(live_machines)
        still_valid = {
            address: reporters
            for address, reporters in self._reporters.items()
            if not reporters & live_routers and address not in shown_live
        }
        self._reporters = still_valid | dict(reported)
        return frozenset(self._reporters)
