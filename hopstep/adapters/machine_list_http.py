"""Client of the platform's machine list over HTTP."""

from __future__ import annotations

import httpx
import msgspec
import trio

from hopstep.adapters.answer_parts import UNENCODED, answer_parts
from hopstep.adapters.key_value_store_wire import MACHINES_PATH
from hopstep.adapters.platform_http import PlatformHttpClient
from hopstep.bounded_body import MACHINE_LIST_BOUND, BodyTooLongError, bounded_answer
from hopstep.decoding import decode_json
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.ports.machine_list import Machine, MachineListPort


class HttpMachineList(PlatformHttpClient, MachineListPort):
    """Client of the machine list; see ``PlatformHttpClient`` for its arguments."""

    async def machines(self) -> list[Machine]:
        """Return the machines; raises ``StoreError`` without a usable answer from the platform."""
        try:
            url = self._base_url + MACHINES_PATH
            # httpx limits each read only; the outer timeout limits the whole answer.
            with bounded_answer(url, MACHINE_LIST_BOUND, 2 * self._timeout_seconds) as answer:
                async with self._client.stream(
                    "GET", url, headers=UNENCODED, timeout=self._timeout_seconds
                ) as response:
                    response.raise_for_status()
                    content = await answer.read(answer_parts(response))
            return decode_json(content, list[Machine])
        except (
            httpx.HTTPError,
            BodyTooLongError,
            trio.TooSlowError,
            msgspec.DecodeError,
        ) as error:
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE, "the machine list gave no usable answer"
            ) from error
