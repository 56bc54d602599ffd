"""Client of the platform's machine list over HTTP."""

from __future__ import annotations

import httpx
import msgspec

from hopstep.adapters.key_value_store_wire import MACHINES_PATH
from hopstep.adapters.platform_http import PlatformHttpClient
from hopstep.decoding import decode_json
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.ports.machine_list import Machine, MachineListPort


class HttpMachineList(PlatformHttpClient, MachineListPort):
    """Client of the machine list; see ``PlatformHttpClient`` for its arguments."""

    async def machines(self) -> list[Machine]:
        """Return the machines; raises ``StoreError`` without a usable answer from the platform."""
        try:
            response = await self._client.get(
                self._base_url + MACHINES_PATH, timeout=self._timeout_seconds
            )
            response.raise_for_status()
            return decode_json(response.content, list[Machine])
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE, "the machine list gave no usable answer"
            ) from error
