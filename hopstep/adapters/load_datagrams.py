"""Load reports between nodes as ``cbor2`` over UDP."""

from __future__ import annotations

from collections.abc import Iterable

import cbor2
import msgspec
import trio

from hopstep.domain.addresses import parse_address
from hopstep.ports.load_exchange import LoadExchange, LoadReport

MAX_DATAGRAM_BYTES = 65_000


class UdpLoadExchange(LoadExchange):
    """One UDP socket; make it with ``open``."""

    def __init__(self, socket: trio.socket.SocketType) -> None:
        """Use a bound socket.

        Args:
            socket: UDP socket.
        """
        self._socket = socket

    @classmethod
    async def open(cls, address: str) -> UdpLoadExchange:
        """Bind a socket to ``ip:port``."""
        parsed = parse_address(address)
        socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await socket.bind((parsed.host, parsed.port))
        return cls(socket)

    async def send(self, report: LoadReport, addresses: Iterable[str]) -> None:
        """Send a report; see the port."""
        data = cbor2.dumps(msgspec.to_builtins(report))
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                await self._socket.sendto(data, (host, int(port)))
            except OSError:
                continue

    async def receive(self) -> LoadReport:
        """Return the next report; see the port."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                return msgspec.convert(cbor2.loads(data), LoadReport)
            except (OSError, cbor2.CBORDecodeError, msgspec.ValidationError):
                await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
