"""Free ports of the loopback interface, of which no two concurrent runs take the same.

A port that is free when it is looked at may be taken by another run before a process binds it. So
each run reserves blocks of ports, by keeping the first port of a block bound.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

LOOPBACK = "127.0.0.1"

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the ephemeral range, so no outgoing connection takes a stopped process's port."""

PORTS_OF_A_BLOCK = 500
BLOCKS = (LAST_PORT - FIRST_PORT) // PORTS_OF_A_BLOCK


class ReservedPorts:
    """The ports of one run; they stay reserved until ``close``."""

    def __init__(self, first_block: int) -> None:
        """Reserve nothing yet.

        Args:
            first_block: Number of the block that is tried first, modulo their number.
        """
        self._next_block = first_block
        self._guards: dict[int, socket.socket] = {}
        self._ports: Iterator[int] = iter(())

    def free_addresses(self, count: int) -> list[str]:
        """Return ``count`` loopback addresses with free ports.

        None is returned twice before all ports of all blocks that can be reserved were returned.

        Raises:
            OSError: When no block can be reserved.
        """
        addresses: list[str] = []
        while len(addresses) < count:
            port = self._take()
            if _is_free(port):
                addresses.append(f"{LOOPBACK}:{port}")
        return addresses

    def close(self) -> None:
        """Leave the blocks to other runs."""
        for guard in self._guards.values():
            guard.close()
        self._guards.clear()
        self._ports = iter(())

    def _take(self) -> int:
        """Return the next reserved port, after having reserved another block if need be."""
        port = next(self._ports, None)
        if port is None:
            self._ports = self._reserve()
            port = next(self._ports)
        return port

    def _reserve(self) -> Iterator[int]:
        """Reserve another block; when no other one is left, start again with those of this run."""
        for _ in range(BLOCKS):
            block = self._next_block % BLOCKS
            self._next_block += 1
            if block not in self._guards and self._guard(block):
                return iter(_ports_of(block))
        if not self._guards:
            raise OSError("all blocks of ports are reserved by other runs")
        return (port for block in self._guards for port in _ports_of(block))

    def _guard(self, block: int) -> bool:
        """Bind the first port of a block; return whether no other run has done so."""
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((LOOPBACK, FIRST_PORT + block * PORTS_OF_A_BLOCK))
        except OSError:
            guard.close()
            return False
        self._guards[block] = guard
        return True


def _ports_of(block: int) -> range:
    """Return the ports of a block without the first, which reserves it."""
    first = FIRST_PORT + block * PORTS_OF_A_BLOCK
    return range(first + 1, first + PORTS_OF_A_BLOCK)


def _is_free(port: int) -> bool:
    """Return whether a port can currently be bound for both TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as each:
                each.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


_reserved = ReservedPorts(first_block=os.getpid())


def free_addresses(count: int) -> list[str]:
    """Return ``count`` loopback addresses with free ports that are reserved for this process."""
    return _reserved.free_addresses(count)
