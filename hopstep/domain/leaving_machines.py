"""Which machines are leaving, by a list that lags and flaps."""

from __future__ import annotations

from collections.abc import Iterable

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
