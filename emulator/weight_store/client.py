"""HTTP client of the weight store, used by emulated engines."""

from __future__ import annotations

import httpx
import msgspec
import trio

from emulator.weight_store.messages import LOADS_PATH, LoadGrant, LoadRequest

TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.1


class WeightStoreClient:
    """Requests loads, and retries until the store grants them."""

    def __init__(self, address: str) -> None:
        """Create a client of the store at ``address``."""
        self._url = f"http://{address}{LOADS_PATH}"
        self._client = httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def begin_load(self, model: str, weights_version: str) -> float:
        """Wait until the store grants a load, and return its duration in seconds.

        Retries every ``RETRY_SECONDS`` while the store is down or its rate limit refuses.
        """
        content = msgspec.json.encode(LoadRequest(model, weights_version))
        while True:
            try:
                response = await self._client.post(self._url, content=content)
                if response.is_success:
                    return msgspec.json.decode(response.content, type=LoadGrant).seconds
            except httpx.HTTPError:
                pass
            await trio.sleep(RETRY_SECONDS)
