"""Whether the nodes together know that a service has had a single software version lately.

That there is no other version is a claim that something doesn't exist. A lack of answers doesn't
support it: it needs a view of the directory that was read after the question came up.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class VersionClaim(msgspec.Struct, frozen=True, array_like=True):
    """What one node knows of the software versions of a service.

    Attributes:
        versions: Versions of its instances that may have begun a stream that still runs; an
            unknown version is empty.
        is_complete: Whether the node would know of each such version up to the date of its view.
        is_fresh: Whether its view of the directory is recent. This proves nothing about streams
            that began since, but shows which nodes are likely to reach the store.
        is_current: Whether its view has all changes that were made before the node was asked.
    """

    versions: tuple[str, ...] = ()
    is_complete: bool = False
    is_fresh: bool = False
    is_current: bool = False


def common_version(claims: Sequence[VersionClaim]) -> str:
    """Return the only version that any of the claims names; empty for none or several."""
    versions = {version for claim in claims for version in claim.versions}
    return versions.pop() if len(versions) == 1 else ""


def sole_version(own: VersionClaim, others: Sequence[VersionClaim], nodes: int) -> str:
    """Return the only version that may have begun a stream of a service; empty when unknown.

    A stream begins only after the store has the entry of its instance. So a view that was read
    after the resume came has each version at which the stream can have begun. While the store is
    down for all no view is current, but no instance can list itself either: then all other nodes
    must answer, each with a complete view, since one that doesn't may be in touch with the store
    and may have begun streams at a version that the others don't know.

    Args:
        own: Claim of this node.
        others: Claims of the other nodes that answered.
        nodes: Number of other nodes.
    """
    claims = (own, *others)
    is_read = any(claim.is_current and claim.is_complete for claim in claims)
    is_unanimous = len(others) >= nodes and all(claim.is_complete for claim in claims)
    return common_version(claims) if is_read or is_unanimous else ""
