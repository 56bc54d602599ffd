"""Fingerprints of requests; equal requests of one caller have the same one."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
"""Bytes of a digest: two of 10^12 different requests collide with a probability below 10^-14."""

LENGTH_BYTES = 8
"""Bytes of the length that precedes each hashed part."""

PURPOSE = b"hopstep.request"
"""Personalization of the hash, so that these digests differ from others over the same bytes."""


def request_fingerprint(caller: str, target: bytes, body: bytes) -> bytes:
    """Return a digest that is the same for equal requests of one caller.

    The caller's name is part of it, so that no caller's requests can be mistaken for another's, and
    equal prompts of two callers have different digests in logs and in the store.

    Args:
        caller: Name of the tenant; empty where requests carry no key.
        target: Raw path and query.
        body: Whole body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=PURPOSE)
    for part in (caller.encode(), target, body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
