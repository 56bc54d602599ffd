"""Checks of what nodes do after an instance has said in an answer that it leaves or wants rest."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.history import Arrival, History, SaidWord
from emulator.soak.promises import Bounds, Check

NodeAndLife = tuple[str, str]


def leaving_words_bind(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that reach an instance long after their node passed on its word of leaving.

    A node that was interrupted since may have forgotten it, and may catch up late.
    """
    told: dict[NodeAndLife, float] = {}
    for word in history.words:
        request = history.requests.get(word.request_id)
        if not word.leaving or request is None or request.head_at is None:
            continue
        key = (request.node, word.life)
        told[key] = min(told.get(key, float("inf")), request.head_at)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        since = told.get((request.node, arrival.life)) if request is not None else None
        if request is None or since is None or request.sent_at <= since + bounds.drain:
            continue
        if not history.interrupted(request.node, since, arrival.at):
            late = request.sent_at - since
            yield f"{request.node} sent {arrival.request_id} to {arrival.life} {late:.2f} s after"


def rests_are_kept(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield rests in which a node sent an instance more than what was on its way."""
    arrivals = _arrivals_by_node(history)
    for word in history.words:
        request = history.requests.get(word.request_id)
        if not word.rest_seconds or request is None:
            continue
        first, last = word.at + bounds.on_the_way, word.at + word.rest_seconds
        within = [a for a in arrivals[(request.node, word.life)] if first < a.at < last]
        if len(within) > bounds.within_rest and not history.interrupted(
            request.node, word.at, within[-1].at
        ):
            yield (
                f"{request.node} sent {len(within)} requests to {word.life} in "
                f"{word.rest_seconds:.2f} s of rest, the first {_after(word, within[0]):.2f} s in"
            )


def _after(word: SaidWord, arrival: Arrival) -> float:
    """Return how long after a word a request came, in seconds."""
    return arrival.at - word.at


def _arrivals_by_node(history: History) -> dict[NodeAndLife, list[Arrival]]:
    """Return what reached each life of an instance from each node, in order."""
    arrivals: dict[NodeAndLife, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        if request is not None:
            arrivals[(request.node, arrival.life)].append(arrival)
    return arrivals


WORD_CHECKS: dict[str, Check] = {
    "word of leaving": leaving_words_bind,
    "rest": rests_are_kept,
}
