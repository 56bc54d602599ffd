"""Which routers may hold an entry: those whose labels a tenant's selector admits.

A router announces the digest of its labels to its peers. The publisher tests the selector
against the label sets that it has and names the digests that pass, so no router needs to
trust another one's evaluation of the configuration.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable

from hopstep.domain.labels import Labels, LabelSelector

MAX_AUDIENCE = 32
"""Maximum number of label sets in an audience; an entry for more isn't shared, as the digests would
take too many bytes."""


def labels_digest(labels: Labels) -> int:
    """Return a 64-bit digest of a label set; never 0."""
    text = json.dumps(labels, sort_keys=True)
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") or 1


def audience(selector: LabelSelector, label_sets: Iterable[Labels]) -> tuple[int, ...] | None:
    """Return the digests of the label sets that a selector admits.

    Args:
        selector: Tenant's selector.
        label_sets: Labels of the routers in the configuration, and of this router.

    Returns:
        Sorted digests, or None when the entry must not be shared: no label set is admitted, or
        too many are.
    """
    admitted = {labels_digest(labels) for labels in label_sets if selector.matches(labels)}
    if not admitted or len(admitted) > MAX_AUDIENCE:
        return None
    return tuple(sorted(admitted))
