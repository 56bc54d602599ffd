"""TLS contexts of the process, from files that may be replaced while it runs.

Each file is read into a new context, which takes the place of the earlier one as a whole.
Connections that were made under the earlier one go on under it; so a replacement cuts off no
stream. Sessions of earlier contexts aren't resumed, so each new connection is checked anew.
"""

from __future__ import annotations

import hashlib
import re
import ssl
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from hopstep.adapters.watched_files import WatchedFiles
from hopstep.exceptions import ErrorCode, PortError
from hopstep.log_events import (
    AUTHORITIES_LOADED,
    AUTHORITIES_REJECTED,
    CERTIFICATE_LOADED,
    CERTIFICATE_REJECTED,
    LogEvent,
)
from hopstep.logs import emit
from hopstep.settings import TlsSettings

CERTIFICATE_FIELD = "tls.certificate"
PRIVATE_KEY_FIELD = "tls.private_key"
TRUSTED_FIELD = "tls.trusted"

MINIMUM_VERSION = ssl.TLSVersion.TLSv1_2

PROTOCOLS = ["http/1.1"]
"""Application protocols that are offered; streams are tested over this one."""

_CERTIFICATE = re.compile(
    "-----BEGIN CERTIFICATE-----.+?-----END CERTIFICATE-----", flags=re.DOTALL
)


class LoadedContext(msgspec.Struct, frozen=True):
    """A context and what it was made from.

    Attributes:
        context: The context.
        fingerprints: SHA-256 of each certificate in its file, in hexadecimal digits.
    """

    context: ssl.SSLContext
    fingerprints: tuple[str, ...]


class ReplaceableContext(ssl.SSLContext):
    """Makes each connection under the context in force at that time.

    Its own options count for nothing. Used otherwise than by ``wrap_bio``, which is what trio
    uses, it has no certificate and trusts nobody, so that connections fail.
    """

    _in_force: Callable[[], ssl.SSLContext]

    @classmethod
    def of(cls, watched: WatchedFiles[LoadedContext]) -> ReplaceableContext:
        """Return the context of watched files."""
        replaceable = cls(ssl.PROTOCOL_TLS_CLIENT)
        replaceable._in_force = lambda: watched.value.context
        return replaceable

    def wrap_bio(self, *args: Any, **kwargs: Any) -> ssl.SSLObject:
        """Begin a connection under the context in force."""
        return self._in_force().wrap_bio(*args, **kwargs)


class TlsContexts(msgspec.Struct, frozen=True):
    """Contexts of everything that may speak TLS; None is plain HTTP.

    Attributes:
        listener: For the listener, which callers and other routers connect to.
        engines: For connections to engines.
        peers: For connections to other routers.
        watched: Their files; to be followed.
    """

    listener: ssl.SSLContext | None = None
    engines: ssl.SSLContext | None = None
    peers: ssl.SSLContext | None = None
    watched: tuple[WatchedFiles[LoadedContext], ...] = ()

    @property
    def peer_scheme(self) -> str:
        """Scheme of other routers' URLs."""
        return "http" if self.peers is None else "https"


def load_tls(settings: TlsSettings) -> TlsContexts:
    """Return the contexts that the settings ask for.

    Args:
        settings: Names of the files.

    Raises:
        PortError: When a file can't be used; names the field and the file.
    """
    served = _watch_certificate(settings) if settings.certificate else None
    trusted = _watch_authorities(settings) if settings.trusted else None
    outgoing = None if trusted is None else ReplaceableContext.of(trusted)
    return TlsContexts(
        listener=None if served is None else ReplaceableContext.of(served),
        engines=outgoing if settings.engines else None,
        peers=None if served is None else outgoing or _machine_authorities(),
        watched=tuple(each for each in (served, trusted) if each is not None),
    )


def client_context(trusted: str) -> ssl.SSLContext:
    """Return the context of a process that trusts the authorities of one file.

    Args:
        trusted: PEM file.

    Raises:
        PortError: When the file can't be used; names the file.
    """
    return _read_authorities(trusted).context


def _watch_certificate(settings: TlsSettings) -> WatchedFiles[LoadedContext]:
    """Read the listener's certificate and key."""
    files = (settings.certificate, settings.private_key)
    events = (CERTIFICATE_LOADED, CERTIFICATE_REJECTED)
    return _watch(CERTIFICATE_FIELD, files, lambda: _read_certificate(*files), *events)


def _watch_authorities(settings: TlsSettings) -> WatchedFiles[LoadedContext]:
    """Read the authorities of outgoing connections."""
    file = settings.trusted
    events = (AUTHORITIES_LOADED, AUTHORITIES_REJECTED)
    return _watch(TRUSTED_FIELD, (file,), lambda: _read_authorities(file), *events)


def _watch(
    field: str,
    files: Sequence[str],
    read: Callable[[], LoadedContext],
    loaded_event: LogEvent,
    rejected_event: LogEvent,
) -> WatchedFiles[LoadedContext]:
    """Read files, the first of which holds the certificates, and log what becomes of them."""

    def report(loaded: LoadedContext) -> None:
        emit(loaded_event, field=field, file=files[0], fingerprints=list(loaded.fingerprints))

    watched = WatchedFiles(
        [Path(file) for file in files],
        read,
        on_replaced=report,
        on_rejected=lambda error: emit(rejected_event, field=error.field, reason=error.message),
    )
    report(watched.value)
    return watched


def _read_certificate(certificate: str, private_key: str) -> LoadedContext:
    """Return a server's context."""
    chain = _read_text(certificate, CERTIFICATE_FIELD)
    _read_text(private_key, PRIVATE_KEY_FIELD)
    fingerprints = _fingerprints(chain, certificate, CERTIFICATE_FIELD)
    context = _with_limits(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    try:
        # Without a password OpenSSL would ask for one at the terminal, and hold the process.
        context.load_cert_chain(certificate, private_key, password=lambda: "")
    except (ssl.SSLError, OSError) as error:
        expectation = f"expected the certificate's key, in PEM without a passphrase ({_of(error)})"
        raise _unusable(PRIVATE_KEY_FIELD, private_key, expectation) from error
    return LoadedContext(context, fingerprints)


def _read_authorities(trusted: str) -> LoadedContext:
    """Return a client's context."""
    text = _read_text(trusted, TRUSTED_FIELD)
    fingerprints = _fingerprints(text, trusted, TRUSTED_FIELD)
    context = _with_limits(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))
    context.load_verify_locations(cadata=text)
    return LoadedContext(context, fingerprints)


def _machine_authorities() -> ssl.SSLContext:
    """Return a client's context that trusts what the machine trusts."""
    return _with_limits(ssl.create_default_context())


def _with_limits(context: ssl.SSLContext) -> ssl.SSLContext:
    """Set what all contexts have in common."""
    context.minimum_version = MINIMUM_VERSION
    context.set_alpn_protocols(PROTOCOLS)
    return context


def _read_text(path: str, field: str) -> str:
    """Return the text of a PEM file."""
    try:
        return Path(path).read_text(encoding="ascii")
    except OSError as error:
        raise _unusable(field, path, f"can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise _unusable(field, path, "expected PEM, which is ASCII text") from error


def _fingerprints(text: str, path: str, field: str) -> tuple[str, ...]:
    """Check the certificates of a PEM text and return their fingerprints."""
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(cadata=text)
        encoded = [ssl.PEM_cert_to_DER_cert(block) for block in _CERTIFICATE.findall(text)]
    except (ssl.SSLError, ValueError) as error:
        raise _unusable(field, path, f"expected PEM certificates ({_of(error)})") from error
    if not encoded:
        raise _unusable(field, path, "expected PEM certificates, got none")
    return tuple(hashlib.sha256(each).hexdigest() for each in encoded)


def _of(error: Exception) -> str:
    """Return the library's reason, which quotes nothing of the file."""
    return getattr(error, "reason", None) or type(error).__name__


def _unusable(field: str, path: str, expectation: str) -> PortError:
    """Return the error for a file that can't be used."""
    return PortError(ErrorCode.INVALID_SETTINGS, f"{path}: {expectation}", field)
