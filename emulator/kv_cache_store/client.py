"""HTTP client of KV cache stores, used by emulated engines."""

from __future__ import annotations

from collections.abc import Sequence

import httpx
import msgspec

from emulator.kv_cache_store.messages import LOOKUP_PATH, WRITE_PATH, BlockList, LookupAnswer

TIMEOUT_SECONDS = 1.0


class KvCacheStoreClient:
    """Looks up and writes blocks; an unavailable store counts as empty."""

    def __init__(self) -> None:
        """Create a client without open connections."""
        self._client = httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def held_prefix(self, address: str, keys: Sequence[int]) -> int:
        """Return how many leading blocks the store holds; 0 when it is unavailable."""
        content = await self._post(address, LOOKUP_PATH, keys)
        return msgspec.json.decode(content, type=LookupAnswer).held if content else 0

    async def write(self, address: str, keys: Sequence[int]) -> None:
        """Write blocks; they are dropped when the store is unavailable."""
        await self._post(address, WRITE_PATH, keys)

    async def _post(self, address: str, path: str, keys: Sequence[int]) -> bytes:
        """Send a list of keys; return the response body, or nothing after a failure."""
        content = msgspec.json.encode(BlockList(tuple(keys)))
        try:
            response = await self._client.post(f"http://{address}{path}", content=content)
        except httpx.HTTPError:
            return b""
        return response.content if response.is_success else b""
