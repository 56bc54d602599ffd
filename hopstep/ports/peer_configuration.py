"""Port for fetching configuration revisions from another router."""

from __future__ import annotations

import abc

from hopstep.domain.configuration.log import ConfigurationTransfer


class PeerConfigurationPort(abc.ABC):
    """Authenticated calls to peers; works without the store."""

    @abc.abstractmethod
    async def fetch(self, peer: str, after_revision: int) -> ConfigurationTransfer:
        """Return the changes from ``after_revision`` to the revision that ``peer`` has.

        Args:
            peer: Name of the peer.
            after_revision: Revision that the caller has; 0 for none.

        Raises:
            PeerMessageError: When the peer can't be reached or its response isn't authentic.
        """
