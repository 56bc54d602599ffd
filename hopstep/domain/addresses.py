"""Numeric socket addresses: ``ip:port``, or ``[ip]:port`` for IPv6."""

from __future__ import annotations

import ipaddress
import re

import msgspec

from hopstep.exceptions import ErrorCode, ValidationError

SCOPE_ID = re.compile(r"[A-Za-z0-9._-]{1,15}")
"""Names of network interfaces. ``ipaddress`` accepts any text, with which connecting raises errors
of the text's encoding."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = len(str(MAX_PORT))


class SocketAddress(msgspec.Struct, frozen=True):
    """An IP address and a port.

    Attributes:
        host: IP address, without brackets.
        port: 0 to 65535; 0 lets the operating system choose when listening.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the text form that operators write."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str, field: str = "") -> SocketAddress:
    """Parse an address; host names are refused, since hopstep doesn't resolve names.

    Args:
        text: ``ip:port``.
        field: Path of the field, for the error text.

    Raises:
        ValidationError: When ``text`` isn't an IP address and a port.
    """
    host, separator, port_text = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    is_number = port_text.isascii() and port_text.isdigit()
    # Python converts no text of several thousand digits to a number.
    if not separator or not is_number or len(port_text) > MAX_PORT_DIGITS:
        raise _bad_address(text, field)
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise _bad_address(text, field) from None
    port = int(port_text)
    scope_id = getattr(number, "scope_id", None)
    if scope_id is not None and not SCOPE_ID.fullmatch(scope_id):
        raise _bad_address(text, field)
    if port > MAX_PORT or bracketed is not (number.version == 6):
        raise _bad_address(text, field)
    return SocketAddress(str(number), port)


def _bad_address(text: str, field: str) -> ValidationError:
    """Return the error for a text that isn't an address."""
    return ValidationError(
        ErrorCode.INVALID_CONFIGURATION, f"expected ip:port by number, got {text!r}", field
    )
