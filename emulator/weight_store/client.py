"""Client of the weight store, for emulated engines."""

from __future__ import annotations

import httpx
import msgspec
import trio

from emulator.weight_store.messages import LOADS_PATH, LoadGrant, LoadRequest

TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.1


class WeightStoreClient:
    """Asks for loads until the store grants them."""

    def __init__(self, address: str) -> None:
        """Talk to the store at ``address``."""
        self._url = f"http://{address}{LOADS_PATH}"
        self._client = httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def begin_load(self, model: str, weights_version: str) -> float:
        """Return the seconds that a load takes, once the store grants it.

        While the store is down or refuses by its rate limit, this waits and tries again.
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
