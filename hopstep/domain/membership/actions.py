"""Actions that the membership protocol returns to its caller: messages to send, and events."""

from __future__ import annotations

import msgspec

from hopstep.domain.peer_message import Body, Entry, LimitGrant, LimitReport, MemberRecord


class Send(msgspec.Struct, frozen=True):
    """Send a message.

    Attributes:
        address: UDP address of the receiver.
        body: Content; the caller adds the authenticated envelope.
    """

    address: str
    body: Body


class MemberChanged(msgspec.Struct, frozen=True):
    """A member is new or its state changed."""

    record: MemberRecord


class EntryChanged(msgspec.Struct, frozen=True):
    """An entry is new, changed or withdrawn."""

    entry: Entry


class RevisionReported(msgspec.Struct, frozen=True):
    """A member reported its configuration revision: a higher one, or proof of the current one.

    Attributes:
        member: Record of the member.
        revision: The revision.
        confirmed_age_seconds: Age of its proof that the revision was the latest; infinite
            without one.
    """

    member: MemberRecord
    revision: int
    confirmed_age_seconds: float = float("inf")


class Refuted(msgspec.Struct, frozen=True):
    """Peers marked this node suspect or dead, and it has announced a refutation.

    Attributes:
        record: The node's own record after the refutation.
    """

    record: MemberRecord


class LimitMessage(msgspec.Struct, frozen=True):
    """A member sent a message about tenants' limits.

    Attributes:
        sender: Its name.
        incarnation: Its incarnation.
        body: Content.
    """

    sender: str
    incarnation: int
    body: LimitReport | LimitGrant


Action = Send | MemberChanged | EntryChanged | RevisionReported | Refuted | LimitMessage
