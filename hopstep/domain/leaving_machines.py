"""Which machines are leaving, by a list that lags and flaps, and by peers that come and go."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

LIVE_ANSWERS = 3
"""Answers in a row that must show a leaving machine as live before it gets work again."""


class LeavingMachines:
    """Remembers machines that the list has shown as leaving.

    One that is missing from an answer goes on leaving, since the list may have lost it for a
    moment; one that is shown as live has to be so for ``LIVE_ANSWERS`` answers in a row.
    """

    def __init__(self) -> None:
        """Start with no machine leaving."""
        self._live_answers: dict[str, int] = {}

    def update(self, leaving: Iterable[str], live: Iterable[str]) -> frozenset[str]:
        """Take one answer of the list.

        Args:
            leaving: Addresses that it shows as leaving.
            live: Addresses that it shows as live.

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
    """Remembers machines that peers have told of as leaving.

    A live peer takes back what it told. What a peer told that has gone since stands, until the
    own list shows the machine as live.
    """

    def __init__(self) -> None:
        """Start with nothing told."""
        self._tellers: dict[str, frozenset[str]] = {}

    def update(
        self,
        told: Mapping[str, frozenset[str]],
        live_routers: frozenset[str],
        live_machines: Iterable[str] = (),
    ) -> frozenset[str]:
        """Take what peers tell now.

        Args:
            told: Names of the peers that tell of a machine, by its address.
            live_routers: Names of the live routers.
            live_machines: Addresses that the own list has just shown as live.

        Returns:
            Addresses of the machines that must get no new work.
        """
        shown_live = frozenset(live_machines)
        outliving = {
            address: tellers
            for address, tellers in self._tellers.items()
            if not tellers & live_routers and address not in shown_live
        }
        self._tellers = outliving | dict(told)
        return frozenset(self._tellers)
