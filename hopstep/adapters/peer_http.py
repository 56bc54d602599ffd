"""Larger transfers between routers: HTTP POST of signed CBOR frames under ``/peer/v1/``.

Both ways are signed by the codec of the datagrams, under other contexts. The answer's context
holds the tag of the request, so an answer can't be passed off for another request's.
"""

from __future__ import annotations

from collections.abc import Callable

import httpx
import msgspec

from hopstep.adapters.peer_codec import TAG_BYTES, PeerCodec, decode_struct, encode_struct
from hopstep.domain.configuration.encoding import decode_transfer, encode
from hopstep.domain.configuration.log import ConfigurationTransfer
from hopstep.exceptions import DomainError, ErrorCode, PeerMessageError
from hopstep.ports.peer_configuration import PeerConfigurationPort

CONFIGURATION_CALL = "configuration"
"""Name of the call that transfers configuration revisions."""

MEDIA_TYPE = "application/cbor"

TIMEOUT_SECONDS = 2.0
"""Longest wait for any one step of a call."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Longer answers are refused."""


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what leads from a revision to the present one."""

    after_revision: int


class PeerHttpHandler:
    """Answers peers' calls."""

    def __init__(self, codec: PeerCodec, transfer: Callable[[int], ConfigurationTransfer]) -> None:
        """Prepare.

        Args:
            codec: Signs and checks.
            transfer: Returns what leads a peer on from a revision.
        """
        self._codec = codec
        self._transfer = transfer

    async def handle(self, name: str, body: bytes) -> bytes:
        """Answer one call.

        Args:
            name: Last part of the path.
            body: Body of the request.

        Raises:
            PeerMessageError: When the call isn't known or the body can't be trusted.
        """
        if name != CONFIGURATION_CALL:
            raise _failed(f"there is no call {name[:32]!r}")
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
        url_of: Callable[[str], str | None],
    ) -> None:
        """Prepare.

        Args:
            client: HTTP client.
            codec: Signs and checks.
            url_of: Returns the base URL of a peer by its name, or None when it isn't known.
        """
        self._client = client
        self._codec = codec
        self._url_of = url_of

    async def fetch(self, peer: str, after_revision: int) -> ConfigurationTransfer:
        """Return what leads from ``after_revision`` to the revision that ``peer`` holds.

        Raises:
            PeerMessageError: When the peer can't be reached or its answer can't be trusted.
        """
        url = self._url_of(peer)
        if url is None:
            raise _failed(f"peer {peer} isn't known")
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
        try:
            response = await self._client.post(
                url, content=body, headers={"Content-Type": MEDIA_TYPE}, timeout=TIMEOUT_SECONDS
            )
        except (httpx.HTTPError, OSError) as error:
            raise _failed(f"the call failed: {type(error).__name__}") from error
        if response.status_code != httpx.codes.OK:
            raise _failed(f"the peer answered {response.status_code}")
        if len(response.content) > MAX_ANSWER_BYTES:
            raise _failed("the answer is too long")
        return response.content


def _request_context(name: str) -> bytes:
    return f"request {name}".encode()


def _answer_context(name: str, request_tag: bytes) -> bytes:
    return f"answer {name} ".encode() + request_tag


def _failed(reason: str) -> PeerMessageError:
    return PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, reason)
