"""What the membership protocol asks its caller to do or tells it."""

from __future__ import annotations

import msgspec

from hopstep.domain.peer_message import Body, Entry, LimitGrant, LimitReport, MemberRecord


class Send(msgspec.Struct, frozen=True):
    """Send a message.

    Attributes:
        address: UDP address of the receiver.
        body: What to say; the caller adds the authenticated envelope.
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
    """A member told of its configuration revision: a higher one, or proof of the present one.

    Attributes:
        member: Who has it.
        revision: The revision.
        confirmed_age_seconds: Age of its proof that the revision was the latest; infinite
            without one.
    """

    member: MemberRecord
    revision: int
    confirmed_age_seconds: float = float("inf")


class Refuted(msgspec.Struct, frozen=True):
    """Peers held this node suspect or dead; it has told them otherwise.

    Attributes:
        record: The node's own record after the refutation.
    """

    record: MemberRecord


class LimitMessage(msgspec.Struct, frozen=True):
    """A member sent a message about tenants' limits.

    Attributes:
        sender: Its name.
        incarnation: Its incarnation.
        body: What it says.
    """

    sender: str
    incarnation: int
    body: LimitReport | LimitGrant


Action = Send | MemberChanged | EntryChanged | RevisionReported | Refuted | LimitMessage
