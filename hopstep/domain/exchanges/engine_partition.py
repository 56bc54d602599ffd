"""Keeps some engines of a service free of long prompts, for requests that can't wait for one.

The load that this addresses: an engine prefills prompts in the order in which it admitted them, so
a short prompt behind a long one waits for all of it. Where its objective is shorter than that, it
is late whenever it was sent to an engine that has just begun a long prompt, however urgent it is.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.read_speed import READ_SECONDS_PER_TOKEN
from hopstep.domain.exchanges.route_work import RouteWork, WorkByRoute
from hopstep.domain.exchanges.segment_moves import NO_PREFERENCE, EnginePreference
from hopstep.domain.exchanges.selection import ACTIVE_SECONDS

MIN_KEPT_SHARE = 1 / 6
MAX_KEPT_SHARE = 1 / 2
LONG_RATIO = 4.0
"""Least ratio of a long prompt's length to the usual one of the requests that it delays."""

LONG_SHARE = 0.5
"""Part of the usual length of the longest prompts from which a prompt counts as long."""

BEHIND_SHARE = 0.5
"""Part of a long prompt's prefill that a request expects at an engine that isn't kept: reports
don't show the prompts that other nodes are just sending there."""

ENDING_MARGIN = 1.25
"""Factor by which an objective must exceed the delay until engines are no longer kept."""

SLOW_QUANTILE = 0.75
"""Rank of the engine, from the fastest to the slowest, by whose speed delays are judged."""


class EnginePartition(msgspec.Struct, frozen=True):
    """Engines that are kept free of long prompts; empty for none.

    Attributes:
        routes: Names of the routes for which they are kept.
        long_tokens: Length from which the prompts of other routes are kept off.
        long_seconds: Time in which a slow engine prefills one of the longest prompts.
        engines: Ids of the engines.
    """

    routes: frozenset[str] = frozenset()
    long_tokens: float = 0.0
    long_seconds: float = 0.0
    engines: frozenset[str] = frozenset()

    def preference(
        self, route: str, prompt_tokens: int, objective_seconds: float
    ) -> EnginePreference:
        """Return the costs of engines for a request.

        A kept engine costs a long prompt its objective, so that any other one in time is better.

        Args:
            route: Name of its route.
            prompt_tokens: Length of its prompt.
            objective_seconds: Its route's objective.
        """
        if not self.engines:
            return NO_PREFERENCE
        if route in self.routes:
            behind = BEHIND_SHARE * self.long_seconds
            return EnginePreference(self.engines, other_seconds=behind)
        if prompt_tokens < self.long_tokens:
            return NO_PREFERENCE
        return EnginePreference(self.engines, kept_seconds=objective_seconds)


NO_PARTITION = EnginePartition()


def plan_partition(
    work: WorkByRoute, views: Sequence[InstanceView], previous: EnginePartition = NO_PARTITION
) -> EnginePartition:
    """Return the engines to keep, by the routes' recent work.

    All nodes with similar work keep the same engines: the first ones in the order of the hashes of
    their ids.

    Args:
        work: Recent work at the service's engines by name of the route.
        views: The service's engines.
        previous: What was kept so far.
    """
    if len(views) < 2 or len(work) < 2:
        return NO_PARTITION
    longest = max(each.usual_prompt_tokens for each in work.values())
    costs = _EngineCosts(
        seconds_per_token=READ_SECONDS_PER_TOKEN * _slow_engine(views),
        decoding_seconds=ACTIVE_SECONDS * max(view.instance.slots for view in views),
    )
    routes = {
        route
        for route, each in work.items()
        if costs.is_delayed(each, longest, ENDING_MARGIN if route in previous.routes else 1.0)
    }
    if not routes:
        return NO_PARTITION
    count = _kept_count(len(views), _share_of(routes, work))
    ordered = sorted(views, key=lambda view: view.hashed)
    engines = frozenset(view.instance.instance_id for view in ordered[:count])
    return EnginePartition(
        routes=frozenset(routes),
        long_tokens=LONG_SHARE * longest,
        long_seconds=longest * costs.seconds_per_token,
        engines=engines,
    )


class _EngineCosts(msgspec.Struct, frozen=True):
    """Speed of a slow engine.

    Attributes:
        seconds_per_token: Time to prefill a token.
        decoding_seconds: Delay of a first token by other requests that are decoding.
    """

    seconds_per_token: float
    decoding_seconds: float

    def is_delayed(self, work: RouteWork, longest: float, margin: float) -> bool:
        """Return whether requests that could be in time are late behind one of the longest prompts.

        Args:
            work: The requests.
            longest: Usual length of the longest prompts, in tokens.
            margin: Factor on the delay.
        """
        if work.usual_prompt_tokens * LONG_RATIO > longest:
            return False
        own_seconds = work.usual_uncached_tokens * self.seconds_per_token + self.decoding_seconds
        behind_seconds = own_seconds + longest * self.seconds_per_token
        return own_seconds < work.objective_seconds < margin * behind_seconds


def _slow_engine(views: Sequence[InstanceView]) -> float:
    """Return the slowness of an engine that is slower than most."""
    ordered = sorted(view.slowness for view in views)
    return ordered[int(SLOW_QUANTILE * (len(ordered) - 1))]


def _share_of(routes: set[str], work: WorkByRoute) -> float:
    """Return the share of some routes in all tokens that were prefilled."""
    total = sum(each.uncached_tokens for each in work.values())
    own = sum(work[route].uncached_tokens for route in routes)
    return own / max(1, total)


def _kept_count(engines: int, share: float) -> int:
    """Return how many engines are kept for a share of the work."""
    bounded = min(MAX_KEPT_SHARE, max(MIN_KEPT_SHARE, share))
    return max(1, round(engines * bounded))
