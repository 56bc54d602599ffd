"""Whether the nodes together know that a service has had a single software version lately."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class VersionClaim(msgspec.Struct, frozen=True, array_like=True):
    """What one node knows of the software versions of a service.

    Attributes:
        versions: Versions of its instances that may have begun a stream that still runs; an
            unknown version is empty.
        is_complete: Whether the node would know of each such version up to the date of its view.
        is_fresh: Whether its view of the directory is recent.
    """

    versions: tuple[str, ...] = ()
    is_complete: bool = False
    is_fresh: bool = False


def sole_version(own: VersionClaim, others: Sequence[VersionClaim], nodes: int) -> str:
    """Return the only version that may have begun a stream of a service; empty when unknown.

    While the store is down no view is recent, but no instance can list itself either: then it is
    enough that half of the other nodes answer. A node that is cut off from them can't tell.

    Args:
        own: Claim of this node.
        others: Claims of the other nodes that answered.
        nodes: Number of other nodes.
    """
    claims = (own, *others)
    versions = {version for claim in claims for version in claim.versions}
    if len(versions) != 1 or not any(claim.is_complete for claim in claims):
        return ""
    is_recent = any(claim.is_fresh for claim in claims) or 2 * len(others) >= nodes
    return versions.pop() if is_recent else ""
