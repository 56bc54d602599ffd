"""The platform's machine list over HTTP."""

from __future__ import annotations

import httpx
import msgspec

from hopstep.adapters.key_value_store_wire import MACHINES_PATH
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.ports.machine_list import Machine, MachineListPort

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a connection and for the answer."""


class HttpMachineList(MachineListPort):
    """Client of the machine list.

    Args:
        address: ``ip:port`` of the platform, or its URL for TLS.
        client: HTTP client, owned by the caller.
        timeout_seconds: Longest wait for a connection and for the answer.
    """

    def __init__(
        self,
        address: str,
        client: httpx.AsyncClient,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        base = address if "://" in address else f"http://{address}"
        self._url = base + MACHINES_PATH
        self._client = client
        self._timeout_seconds = timeout_seconds

    async def machines(self) -> list[Machine]:
        """Return the list; raises ``StoreError`` when the platform gives no usable answer."""
        try:
            response = await self._client.get(self._url, timeout=self._timeout_seconds)
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=list[Machine])
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE, "the machine list gave no usable answer"
            ) from error
