"""Which instances may go on with a stream that another one began.

Streams of two software versions of a service don't fit together, and instances don't check this.
"""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.instances import Instance


class StreamOrigin(msgspec.Struct, frozen=True):
    """What began a stream.

    Attributes:
        service: Service whose instance sent the first event.
        software_version: Software version of that instance; empty when unknown.
        incarnation: The instance's incarnation, as ``str(InstanceIncarnation)``; empty when only
            the version is known.
    """

    service: str
    software_version: str
    incarnation: str = ""

    @classmethod
    def of(cls, instance: Instance) -> StreamOrigin:
        """Return the origin of a stream that an instance begins."""
        return cls(instance.service, instance.software_version, str(instance.incarnation))

    def allows(self, instance: Instance) -> bool:
        """Return whether an instance may go on with the stream.

        When either version is unknown only the same incarnation may. Without a start time it can't
        be distinguished from a later one under the same id, so then none may.
        """
        if instance.service != self.service:
            return False
        if self.software_version and instance.software_version:
            return self.software_version == instance.software_version
        return bool(instance.born_ms) and str(instance.incarnation) == self.incarnation
