"""Fingerprints of requests and of parts of prompts; equal ones of one caller are the same."""

from __future__ import annotations

import functools
import hashlib

FINGERPRINT_BYTES = 16
"""Bytes of a digest: two of 10^12 different requests collide with a probability below 10^-14."""

LENGTH_BYTES = 8
"""Bytes of the length that precedes each hashed part."""

PURPOSE = b"hopstep.request"
PART_PURPOSE = b"hopstep.part"
"""Personalizations of the hash, so that these digests differ from others over the same bytes."""

PART_MARK = b"p"
"""First byte of a part's fingerprint, which is longer by it than a request's."""

MAX_REMEMBERED_PARTS = 4_096
"""Maximum number of digests that are kept, as most requests repeat the parts of others."""


def request_fingerprint(caller: str, target: bytes, body: bytes) -> bytes:
    """Return a digest that is the same for equal requests of one caller.

    The caller's name is part of it, so that no caller's requests can be mistaken for another's, and
    equal prompts of two callers have different digests in logs and in the store.

    Args:
        caller: Name of the tenant; empty where requests carry no key.
        target: Raw path and query.
        body: Whole body.
    """
    return _digest(PURPOSE, caller.encode(), target, body)


@functools.lru_cache(MAX_REMEMBERED_PARTS)
def part_fingerprint(isolation_group: str, part_id: str) -> bytes:
    """Return a digest that is the same for all prompts with one part.

    Args:
        isolation_group: Group of callers that share cached parts: in these a part's id names the
            same text. It keeps callers outside the group from having its prompts refused.
        part_id: Id of the part.
    """
    return PART_MARK + _digest(PART_PURPOSE, isolation_group.encode(), part_id.encode())


def is_part(fingerprint: bytes) -> bool:
    """Return whether a fingerprint is that of a part of prompts, and not of a request."""
    return len(fingerprint) == len(PART_MARK) + FINGERPRINT_BYTES


def _digest(purpose: bytes, *fields: bytes) -> bytes:
    """Return a digest of several fields, each preceded by its length."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=purpose)
    for value in fields:
        digest.update(len(value).to_bytes(LENGTH_BYTES, "big"))
        digest.update(value)
    return digest.digest()
