"""Client of KV cache stores, for emulated engines."""

from __future__ import annotations

from collections.abc import Sequence

import httpx
import msgspec

from emulator.kv_cache_store.messages import LOOKUP_PATH, WRITE_PATH, BlockList, LookupAnswer

TIMEOUT_SECONDS = 1.0


class KvCacheStoreClient:
    """Reads and writes blocks; a store that is down only costs the import."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._client = httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def held_prefix(self, address: str, keys: Sequence[int]) -> int:
        """Return how many leading blocks the store holds; 0 when it doesn't answer."""
        content = await self._post(address, LOOKUP_PATH, keys)
        return msgspec.json.decode(content, type=LookupAnswer).held if content else 0

    async def write(self, address: str, keys: Sequence[int]) -> None:
        """Write blocks; they are lost when the store doesn't answer."""
        await self._post(address, WRITE_PATH, keys)

    async def _post(self, address: str, path: str, keys: Sequence[int]) -> bytes:
        """Send a list of keys; return the body of a success, else nothing."""
        content = msgspec.json.encode(BlockList(tuple(keys)))
        try:
            response = await self._client.post(f"http://{address}{path}", content=content)
        except httpx.HTTPError:
            return b""
        return response.content if response.is_success else b""
