"""Larger transfers between routers: HTTP POST of signed CBOR frames under ``/peer/v1/``.

Requests and answers are signed by the same codec as the datagrams, under other contexts. The
answer's context includes the tag of the request, so it isn't accepted for another request.
"""

from __future__ import annotations

from collections.abc import Callable

import httpx
import msgspec
import trio

from hopstep.adapters.answer_parts import UNENCODED, answer_parts
from hopstep.adapters.peer_codec import TAG_BYTES, PeerCodec, decode_struct, encode_struct
from hopstep.bounded_body import PEER_BOUND, BodyTooLongError, bounded_answer
from hopstep.domain.configuration.encoding import decode_transfer, encode
from hopstep.domain.configuration.log import ConfigurationTransfer
from hopstep.exceptions import DomainError, ErrorCode, PeerMessageError
from hopstep.ports.peer_configuration import PeerConfigurationPort

CONFIGURATION_CALL = "configuration"
"""Name of the call that transfers configuration revisions."""

MEDIA_TYPE = "application/cbor"

TIMEOUT_SECONDS = 2.0
"""Longest wait for each step of a call (connect, write, read)."""

ANSWER_SECONDS = 30.0
"""Longest duration of a whole call: 64 MiB arrive in it at 20 Mbit/s."""


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the changes from a revision to the current one."""

    after_revision: int


class PeerHttpHandler:
    """Handles calls of peers."""

    def __init__(self, codec: PeerCodec, transfer: Callable[[int], ConfigurationTransfer]) -> None:
        """Store the collaborators.

        Args:
            codec: Signs answers and verifies requests.
            transfer: Returns the transfer that brings a peer up to date from a revision.
        """
        self._codec = codec
        self._transfer = transfer

    async def handle(self, name: str, body: bytes) -> bytes:
        """Answer one call.

        Args:
            name: Last part of the path.
            body: Body of the request.

        Raises:
            PeerMessageError: If the call is unknown or the body fails verification.
        """
        if name != CONFIGURATION_CALL:
            raise _failed(f"unknown call {name[:32]!r}")
        frame = self._codec.open(body, _request_context(name))
        request = decode_struct(frame.payload, ConfigurationRequest)
        transfer = self._transfer(request.after_revision)
        return self._codec.seal(encode(transfer), _answer_context(name, frame.tag))


class HttpPeerConfiguration(PeerConfigurationPort):
    """Fetches configuration revisions from a peer; needs no store."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        codec: PeerCodec,
        find_url: Callable[[str], str | None],
    ) -> None:
        """Store the collaborators.

        Args:
            client: HTTP client.
            codec: Signs requests and verifies answers.
            find_url: Returns the base URL of a peer by its name, or None if it is unknown.
        """
        self._client = client
        self._codec = codec
        self._find_url = find_url

    async def fetch(self, peer: str, after_revision: int) -> ConfigurationTransfer:
        """Return the changes from ``after_revision`` to the current revision of ``peer``.

        Raises:
            PeerMessageError: If the peer can't be reached or its answer fails verification.
        """
        url = self._find_url(peer)
        if url is None:
            raise _failed(f"peer {peer} is unknown")
        name = CONFIGURATION_CALL
        body = self._codec.seal(
            encode_struct(ConfigurationRequest(after_revision)), _request_context(name)
        )
        answer = await self._post(f"{url}/peer/v1/{name}", body)
        frame = self._codec.open(answer, _answer_context(name, body[:TAG_BYTES]))
        if frame.sender != peer:
            raise _failed(f"{frame.sender} answered for {peer}")
        try:
            return decode_transfer(frame.payload)
        except DomainError as error:
            raise _failed(error.message) from error

    async def _post(self, url: str, body: bytes) -> bytes:
        headers = {"Content-Type": MEDIA_TYPE, **UNENCODED}
        try:
            with bounded_answer(url, PEER_BOUND, ANSWER_SECONDS) as answer:
                async with self._client.stream(
                    "POST", url, content=body, headers=headers, timeout=TIMEOUT_SECONDS
                ) as response:
                    if response.status_code != httpx.codes.OK:
                        raise _failed(f"the peer answered {response.status_code}")
                    return await answer.read(answer_parts(response))
        except (httpx.HTTPError, BodyTooLongError, trio.TooSlowError, OSError) as error:
            raise _failed(f"the call failed: {type(error).__name__}") from error


def _request_context(name: str) -> bytes:
    return f"request {name}".encode()


def _answer_context(name: str, request_tag: bytes) -> bytes:
    return f"answer {name} ".encode() + request_tag


def _failed(reason: str) -> PeerMessageError:
    return PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, reason)
