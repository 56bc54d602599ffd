"""Restricts the load generator to loopback addresses."""

from __future__ import annotations

import ipaddress


def require_loopback(address: str) -> str:
    """Return ``address`` if it is ``ip:port`` on loopback.

    Raises:
        ValueError: When it is anything else.
    """
    host, _, port = address.rpartition(":")
    if not port.isdigit() or not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f"{address!r} is not an ip:port on loopback")
    return address
