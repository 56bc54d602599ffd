"""Tells whether two requests of one caller ask for the same thing."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
"""Of a digest: two of 10^12 different requests are equal with a chance below 10^-14."""

LENGTH_BYTES = 8
PURPOSE = b"hopstep.request"
"""Keeps these digests apart from others over the same bytes."""


def request_fingerprint(caller: str, target: bytes, body: bytes) -> bytes:
    """Return a digest that requests share which the caller would call the same.

    The caller's name salts it, so that no caller's requests can be mistaken for another's, and
    equal prompts of two callers show as different in logs and in the store.

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
