"""Authentication by bearer keys: the SHA-256 of a key identifies its tenant.

The configuration holds hashes only. A key is kept only during the look-up and is never logged.
"""

from __future__ import annotations

import hashlib
import hmac

from hopstep.domain.configuration.document import AcceptedConfiguration, Tenant
from hopstep.exceptions import ErrorCode, ServiceError

BEARER_PREFIX = b"bearer "

ABSENT_HASH = "0" * 64
"""Compared if no tenant has the hash, so that known and unknown keys take the same work."""


def hash_key(key: bytes) -> str:
    """Return the hex SHA-256 of a bearer key, as the configuration holds it."""
    return hashlib.sha256(key).hexdigest()


class Authenticator:
    """Finds tenants by key hash, as of the latest configuration."""

    def __init__(self) -> None:
        """Start without tenants."""
        self._tenants: dict[str, Tenant] = {}

    def update_tenants(self, accepted: AcceptedConfiguration) -> None:
        """Replace the tenants by those of a new configuration."""
        self._tenants = {
            key_hash: tenant
            for tenant in accepted.configuration.tenants
            for key_hash in tenant.key_hashes
        }

    def authenticate(self, authorization: bytes) -> Tenant:
        """Return the tenant of an ``Authorization`` header.

        Args:
            authorization: The header's value; empty if absent.

        Raises:
            ServiceError: ``INVALID_KEY``, for an absent, a malformed and an unknown key alike.
        """
        scheme, key = authorization[: len(BEARER_PREFIX)], authorization[len(BEARER_PREFIX) :]
        key_hash = hash_key(key.strip())
        tenant = self._tenants.get(key_hash)
        known = hmac.compare_digest(key_hash, key_hash if tenant else ABSENT_HASH)
        if scheme.lower() != BEARER_PREFIX or not known or tenant is None:
            raise ServiceError(
                ErrorCode.INVALID_KEY, "the bearer key is not valid", field="Authorization"
            )
        return tenant
