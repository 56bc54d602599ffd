"""Sends requests directly to an engine, as a baseline for requests through a router."""

from __future__ import annotations

import uuid

import trio

from emulator.engine.answers import expected_tokens
from emulator.load.loopback import require_loopback
from emulator.load.messages import LoadRequest, LoadResult, Outcome
from emulator.load.router_client import rendered_prompt
from hopstep.adapters.engine_http import HttpEngine
from hopstep.domain.blocks import cache_salt
from hopstep.exceptions import EngineError
from hopstep.ports.engine import GenerateRequest, Usage

DIRECT_PRIORITY = 10


class DirectClient:
    """Client that calls an engine as a router does."""

    def __init__(self) -> None:
        """Create a client without open connections."""
        self._engine = HttpEngine()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._engine.aclose()

    async def send(self, address: str, request: LoadRequest) -> LoadResult:
        """Send one request and check its response.

        Args:
            address: ``ip:port`` of an engine on loopback.
            request: The request.
        """
        require_loopback(address)
        weights = (await self._engine.probe(address)).weights[request.model]
        started_at = trio.current_time()
        first_at = 0.0
        tokens: list[str] = []
        usage = Usage(0)
        try:
            async with self._engine.generate(
                address, _generate_request(request, weights)
            ) as frames:
                async for frame in frames:
                    if frame.tokens and not first_at:
                        first_at = trio.current_time()
                    tokens.extend(frame.tokens)
                    usage = frame.usage or usage
                    if frame.finish_reason is not None:
                        break
        except EngineError as error:
            return LoadResult(
                request, Outcome.REFUSED, code=error.code.value, execution=error.execution.value
            )
        correct = tuple(tokens) == expected_tokens(rendered_prompt(request), request.max_tokens)
        return LoadResult(
            request,
            Outcome.COMPLETE if correct else Outcome.WRONG,
            tokens=len(tokens),
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            first_token_seconds=first_at - started_at,
            total_seconds=trio.current_time() - started_at,
        )


def _generate_request(request: LoadRequest, weights_version: str) -> GenerateRequest:
    """Return the engine's message for a request."""
    return GenerateRequest(
        nonce=uuid.uuid4().hex,
        model=request.model,
        prompt=rendered_prompt(request),
        max_tokens=request.max_tokens,
        priority=DIRECT_PRIORITY,
        cache_salt=cache_salt(request.tenant, weights_version),
        weights_version=weights_version,
    )
