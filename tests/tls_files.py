"""Certificate files of one authority, for tests."""

from __future__ import annotations

import hashlib
import ssl
import tempfile
from pathlib import Path

import trio
import trustme

from hopstep.adapters.tls import client_context
from hopstep.settings import TlsSettings

LOOPBACK = "127.0.0.1"


def fingerprint(certificate: bytes) -> str:
    """Return the fingerprint of a certificate in PEM or DER."""
    if certificate.startswith(b"-----"):
        certificate = ssl.PEM_cert_to_DER_cert(certificate.decode())
    return hashlib.sha256(certificate).hexdigest()


class TlsFiles:
    """A directory with a certificate, its key and the authorities to trust."""

    def __init__(self) -> None:
        """Write files of a new authority."""
        self._directory = tempfile.TemporaryDirectory()
        self.directory = Path(self._directory.name)
        self.certificate = self.directory / "certificate.pem"
        self.private_key = self.directory / "key.pem"
        self.trusted = self.directory / "trusted.pem"
        self.authority = trustme.CA()
        self.issue()
        self.trust(self.authority)

    def close(self) -> None:
        """Delete the files."""
        self._directory.cleanup()

    def settings(self, *, served: bool = True, trusted: bool = True) -> TlsSettings:
        """Return settings that name the files."""
        return TlsSettings(
            str(self.certificate) if served else "",
            str(self.private_key) if served else "",
            str(self.trusted) if trusted else "",
        )

    def issue(self) -> str:
        """Write a new certificate with its key, and return the fingerprint."""
        issued = self.authority.issue_cert(LOOPBACK)
        chain = b"".join(each.bytes() for each in issued.cert_chain_pems)
        self.private_key.write_bytes(issued.private_key_pem.bytes())
        self.certificate.write_bytes(chain)
        return fingerprint(issued.cert_chain_pems[0].bytes())

    async def served_fingerprint(self, address: str) -> str:
        """Return the fingerprint of the certificate that a new connection is served."""
        stream = await self.connect(address)
        served = fingerprint(stream.getpeercert(binary_form=True))
        await stream.aclose()
        return served

    async def connect(self, address: str) -> trio.SSLStream:
        """Return a new connection that verifies the certificate."""
        host, _, port = address.rpartition(":")
        context = client_context(str(self.trusted))
        stream = await trio.open_ssl_over_tcp_stream(
            host, int(port), ssl_context=context, https_compatible=True
        )
        await stream.do_handshake()
        return stream

    def trust(self, *authorities: trustme.CA) -> None:
        """Write the authorities to trust."""
        self.trusted.write_bytes(b"".join(each.cert_pem.bytes() for each in authorities))
