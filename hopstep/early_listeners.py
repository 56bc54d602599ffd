"""Listeners that a node opens before it loads its libraries.

Loading takes about a third of a second of processor time. An open port holds new connections in
its queue during this time; a closed one refuses them, and clients repeat a request only once or
twice. This module imports only the standard library.
"""

from __future__ import annotations

import socket
import tomllib

BACKLOG = 1024
"""Connections that may wait at a listener: several times those that arrive during loading."""

LISTENER_FIELDS = ("address", "readiness_address", "metrics_address")
"""Settings that name listeners."""

Listeners = dict[str, socket.socket]
"""Open listeners by their ``ip:port``."""


def open_listeners(path: str) -> Listeners:
    """Open the listeners that the settings name.

    Addresses that can't be read or opened are skipped. The program later checks its settings in
    full, binds missing listeners and reports errors.

    Args:
        path: Settings file.
    """
    try:
        with open(path, "rb") as file:
            settings = tomllib.load(file)
    except (OSError, ValueError):
        return {}
    addresses = (settings.get(field) for field in LISTENER_FIELDS)
    opened = ((address, _open(address)) for address in addresses if isinstance(address, str))
    return {address: listener for address, listener in opened if listener is not None}


def _open(address: str) -> socket.socket | None:
    """Return a listener at ``ip:port``; None if it can't be opened."""
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, OverflowError):
        return None
