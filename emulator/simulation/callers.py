"""Callers of a simulated cluster: single calls, and a seeded crowd of callers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import trio

from emulator.simulation.connection import Connection, ConnectionEnd
from emulator.simulation.history import Answer, Call, Outcome
from hopstep.adapters.http_api.errors import ErrorDetail
from hopstep.domain.inference import AnswerPart

if TYPE_CHECKING:
    from emulator.simulation.cluster import SimulatedCluster
    from emulator.simulation.router import SimulatedRouter

SHARED_PREFIX = "the rules that every tenant's prompts begin with, word by word; " * 6
"""Prefix of all tenants' prompts: only the salt separates their cache entries."""

CALLER_TIMEOUT_SECONDS = 200.0


async def ask(
    router: SimulatedRouter,
    answer: Answer,
    disconnect_after_tokens: int | None,
    seconds_per_part: float,
) -> None:
    """Send a call to a router and record its answer.

    Args:
        router: Router that gets the call.
        answer: Record that is filled in.
        disconnect_after_tokens: Tokens after which the caller disconnects; None for never.
        seconds_per_part: Time that the caller takes to read each part.
    """
    connection = Connection(answer.number, answer.call)
    router.connect(connection)
    with trio.move_on_after(CALLER_TIMEOUT_SECONDS):
        while answer.outcome is Outcome.OPEN:
            if (
                disconnect_after_tokens is not None
                and len(answer.tokens) >= disconnect_after_tokens
            ):
                break
            item = await connection.receive()
            _take(answer, item, connection.end)
            await trio.sleep(seconds_per_part)
    if answer.outcome is Outcome.OPEN:
        answer.outcome = Outcome.LEFT
        answer.ended_at = trio.current_time()
    connection.disconnect()
    answer.request_id = connection.request_id
    answer.delayed = connection.delayed or seconds_per_part > 0


def _take(answer: Answer, item: AnswerPart | ErrorDetail | None, end: ConnectionEnd | None) -> None:
    """Record a part, an error or the end of the connection."""
    if isinstance(item, AnswerPart):
        _take_part(answer, item)
    elif isinstance(item, ErrorDetail):
        answer.outcome = Outcome.FAILED if answer.tokens else Outcome.REFUSED
        answer.code, answer.execution = item.code, item.execution
        answer.retry_after_seconds = item.retry_after_seconds
        answer.endpoints = item.endpoints
    elif end is ConnectionEnd.REFUSED:
        answer.outcome = Outcome.CONNECTION_REFUSED
    else:
        answer.outcome = Outcome.CONNECTION_LOST
    if answer.outcome is not Outcome.OPEN:
        answer.ended_at = trio.current_time()


def _take_part(answer: Answer, part: AnswerPart) -> None:
    """Record the tokens, the end mark and the usage of a part."""
    if part.sequence != len(answer.tokens):
        answer.sequence_errors += 1
    if part.tokens and not answer.tokens:
        answer.first_token_at = trio.current_time()
    answer.tokens.extend(part.tokens)
    if part.finish is not None:
        answer.finished = True
        answer.outcome = Outcome.COMPLETE
    if part.usage is not None:
        answer.usage_tokens = part.usage.completion_tokens
        answer.cached_tokens = part.usage.cached_tokens


class Mix(msgspec.Struct, frozen=True):
    """Mix of requests of a crowd of callers.

    Attributes:
        requests_per_second: Mean rate.
        classes: Request classes to choose from.
        once_share: Share of requests of the class that runs at most once.
        repeat_share: Share of these requests whose key is sent a second time.
        leave_share: Share of requests whose caller disconnects before the end.
        slow_share: Share of requests whose caller reads slowly.
        max_tokens: Longest answer, in tokens.
        topics: Number of different prefixes after the shared one.
    """

    requests_per_second: float = 5.0
    classes: tuple[str, ...] = ("quick", "batch")
    once_share: float = 0.25
    repeat_share: float = 0.5
    leave_share: float = 0.1
    slow_share: float = 0.1
    max_tokens: int = 30
    topics: int = 3


class Crowd:
    """Seeded callers that send load to a cluster."""

    def __init__(self, cluster: SimulatedCluster, seed: int, mix: Mix | None = None) -> None:
        """Create the crowd; ``run`` sends its requests.

        Args:
            cluster: Cluster that gets the requests.
            seed: Seed of the requests and their times.
            mix: Mix of requests; None for the default.
        """
        self._cluster = cluster
        self._generator = random.Random(seed)
        self._mix = mix or Mix()
        self._count = 0

    async def run(self, seconds: float) -> None:
        """Send requests for ``seconds``, and return when all have ended."""
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                nursery.start_soon(self._caller)
                wait = self._generator.expovariate(self._mix.requests_per_second)
                await trio.sleep(wait)

    def next_call(self) -> Call:
        """Return the next call."""
        self._count += 1
        generator = self._generator
        tenant = generator.choice(self._cluster.deployment.tenants).name
        topic = generator.randrange(self._mix.topics)
        once = generator.random() < self._mix.once_share
        number = self._count
        return Call(
            tenant=tenant,
            request_class="once" if once else generator.choice(self._mix.classes),
            prompt=f"{SHARED_PREFIX}topic {topic}: " * 2 + f"question {number}",
            max_tokens=generator.randint(1, self._mix.max_tokens),
            idempotency_key=f"key-{number}" if once else "",
        )

    async def _caller(self) -> None:
        """Send one call and possibly repeat its key, at once or later, at any router."""
        call = self.next_call()
        chance = self._generator
        repeats = call.idempotency_key and chance.random() < self._mix.repeat_share
        await self._send(call)
        if repeats:
            await trio.sleep(chance.choice((0.0, 0.0, 0.3, 3.0)))
            await self._send(call)

    async def _send(self, call: Call) -> None:
        """Send a call once to a random router, with random disconnection and reading speed."""
        chance = self._generator
        router = chance.choice(sorted(self._cluster.routers))
        leaves = chance.random() < self._mix.leave_share
        slow = chance.random() < self._mix.slow_share
        await self._cluster.ask(
            router,
            call,
            disconnect_after_tokens=chance.randrange(call.max_tokens) if leaves else None,
            seconds_per_part=0.2 if slow else 0.0,
        )
