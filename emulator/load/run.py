"""Runs a bounded load with a fixed number of concurrent requests."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Sequence
from typing import Protocol

import msgspec
import trio

from emulator.load.messages import LoadRequest, LoadResult, Outcome

MAX_REQUESTS = 200_000
MAX_SECONDS = 600.0
MAX_TRIES = 10
MAX_PAUSE_SECONDS = 2.0


class Sender(Protocol):
    """Client of routers or of engines."""

    async def send(self, address: str, request: LoadRequest) -> LoadResult:
        """Send one request and return its result."""


async def send_until_settled(
    sender: Sender, addresses: Iterator[str], request: LoadRequest
) -> LoadResult:
    """Send a request, and retry it only after a refusal that proves it was not executed.

    After a refusal for wrong placement, retries go to the endpoints that the refusal names.

    Args:
        sender: Sends one request.
        addresses: Addresses to send to; each try takes the next one.
        request: The request.
    """
    for tries in itertools.count(1):
        sent = await sender.send(next(addresses), request)
        result = msgspec.structs.replace(sent, tries=tries)
        if result.execution != "not_run" or tries == MAX_TRIES:
            break
        if result.endpoints:
            addresses = itertools.cycle(result.endpoints)
        else:
            await trio.sleep(min(result.retry_after_seconds, MAX_PAUSE_SECONDS))
    return result


async def run_closed_loop(
    sender: Sender,
    addresses: Sequence[str],
    requests: Sequence[LoadRequest],
    concurrency: int,
    max_seconds: float = MAX_SECONDS,
    report: Callable[[LoadResult], None] = lambda result: None,
) -> list[LoadResult]:
    """Keep ``concurrency`` requests in flight until all are sent.

    Args:
        sender: Sends one request.
        addresses: Addresses of routers or engines, used in turn.
        requests: Requests to send; those beyond ``MAX_REQUESTS`` are ignored.
        concurrency: Number of concurrent requests.
        max_seconds: Longest duration of the run; requests still unfinished then are given up.
        report: Called with each result.
    """
    waiting = iter(requests[:MAX_REQUESTS])
    in_turn = itertools.cycle(addresses)
    results: list[LoadResult] = []

    async def work() -> None:
        for request in waiting:
            result = await send_until_settled(sender, in_turn, request)
            results.append(result)
            report(result)

    with trio.move_on_after(min(max_seconds, MAX_SECONDS)):
        async with trio.open_nursery() as nursery:
            for _ in range(concurrency):
                nursery.start_soon(work)
    return results


def all_complete(results: Sequence[LoadResult]) -> bool:
    """Return whether every response is complete and correct."""
    return all(result.outcome is Outcome.COMPLETE for result in results)
