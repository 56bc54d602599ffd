"""TLS contexts of the process, from files that may be replaced while it runs.

Each file is read into a new context, which replaces the earlier one as a whole. Existing
connections keep the context that they were made with, so a replacement interrupts no stream.
Sessions of earlier contexts aren't resumed, so each new connection is verified again.
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
from hopstep.log_events.event import LogEvent
from hopstep.log_events.process import (
    AUTHORITIES_LOADED,
    AUTHORITIES_REJECTED,
    CERTIFICATE_LOADED,
    CERTIFICATE_REJECTED,
)
from hopstep.logs import emit
from hopstep.settings import TlsSettings

CERTIFICATE_FIELD = "tls.certificate"
PRIVATE_KEY_FIELD = "tls.private_key"
TRUSTED_FIELD = "tls.trusted"

MINIMUM_VERSION = ssl.TLSVersion.TLSv1_2

PROTOCOLS = ["http/1.1"]
"""Application protocols offered by ALPN; only this one is tested with streams."""

_CERTIFICATE = re.compile(
    "-----BEGIN CERTIFICATE-----.+?-----END CERTIFICATE-----", flags=re.DOTALL
)


class LoadedContext(msgspec.Struct, frozen=True):
    """A context and the fingerprints of its certificates.

    Attributes:
        context: The context.
        fingerprints: SHA-256 of each certificate in its file, in hexadecimal digits.
    """

    context: ssl.SSLContext
    fingerprints: tuple[str, ...]


class ReplaceableContext(ssl.SSLContext):
    """Opens each connection with the context that is current at that time.

    Its own options have no effect. Only ``wrap_bio``, which trio uses, is redirected; for other
    methods it has no certificate and trusts no authority, so that connections fail.
    """

    _current_context: Callable[[], ssl.SSLContext]

    @classmethod
    def from_watched(cls, watched: WatchedFiles[LoadedContext]) -> ReplaceableContext:
        """Return a context that always uses the latest one of watched files."""
        replaceable = cls(ssl.PROTOCOL_TLS_CLIENT)
        replaceable._current_context = lambda: watched.value.context
        return replaceable

    def wrap_bio(self, *args: Any, **kwargs: Any) -> ssl.SSLObject:
        """Begin a connection with the current context."""
        return self._current_context().wrap_bio(*args, **kwargs)


class TlsContexts(msgspec.Struct, frozen=True):
    """Contexts for each use of TLS; None means plain HTTP.

    Attributes:
        listener: For the listener that callers and other routers connect to.
        engines: For connections to engines.
        peers: For connections to other routers.
        watched: Their files, which must be checked for changes.
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
        PortError: If a file can't be used; names the field and the file.
    """
    served = _watch_certificate(settings) if settings.certificate else None
    trusted = _watch_authorities(settings) if settings.trusted else None
    outgoing = None if trusted is None else ReplaceableContext.from_watched(trusted)
    return TlsContexts(
        listener=None if served is None else ReplaceableContext.from_watched(served),
        engines=outgoing if settings.engines else None,
        peers=None if served is None else outgoing or _system_authorities(),
        watched=tuple(each for each in (served, trusted) if each is not None),
    )


def client_context(trusted: str) -> ssl.SSLContext:
    """Return the context of a process that trusts the authorities of one file.

    Args:
        trusted: PEM file.

    Raises:
        PortError: If the file can't be used; names the file.
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
    """Watch files, the first of which has the certificates, and log each load and rejection."""

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
    """Return the context of a server."""
    chain = _read_text(certificate, CERTIFICATE_FIELD)
    _read_text(private_key, PRIVATE_KEY_FIELD)
    fingerprints = _fingerprints(chain, certificate, CERTIFICATE_FIELD)
    context = _with_common_options(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    try:
        # Without a password OpenSSL would prompt for one at the terminal and block the process.
        context.load_cert_chain(certificate, private_key, password=lambda: "")
    except (ssl.SSLError, OSError) as error:
        expectation = (
            f"expected the certificate's key, in PEM without a passphrase ({_reason(error)})"
        )
        raise _unusable(PRIVATE_KEY_FIELD, private_key, expectation) from error
    return LoadedContext(context, fingerprints)


def _read_authorities(trusted: str) -> LoadedContext:
    """Return the context of a client."""
    text = _read_text(trusted, TRUSTED_FIELD)
    fingerprints = _fingerprints(text, trusted, TRUSTED_FIELD)
    context = _with_common_options(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))
    context.load_verify_locations(cadata=text)
    return LoadedContext(context, fingerprints)


def _system_authorities() -> ssl.SSLContext:
    """Return the context of a client that trusts the system's authorities."""
    return _with_common_options(ssl.create_default_context())


def _with_common_options(context: ssl.SSLContext) -> ssl.SSLContext:
    """Set the options that all contexts share."""
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
        raise _unusable(field, path, f"expected PEM certificates ({_reason(error)})") from error
    if not encoded:
        raise _unusable(field, path, "expected PEM certificates, got none")
    return tuple(hashlib.sha256(each).hexdigest() for each in encoded)


def _reason(error: Exception) -> str:
    """Return the library's error reason, which quotes nothing from the file."""
    return getattr(error, "reason", None) or type(error).__name__


def _unusable(field: str, path: str, expectation: str) -> PortError:
    """Return the error for a file that can't be used."""
    return PortError(ErrorCode.INVALID_SETTINGS, f"{path}: {expectation}", field)
