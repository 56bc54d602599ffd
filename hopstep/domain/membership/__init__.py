"""Membership of routers: liveness, and small values shared by gossip."""

from hopstep.domain.membership.actions import (
    Action,
    EntryChanged,
    LimitMessage,
    MemberChanged,
    Refuted,
    RevisionReported,
    Send,
)
from hopstep.domain.membership.audience import audience, labels_digest
from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.protocol import Membership

__all__ = [
    "Action",
    "EntryChanged",
    "LimitMessage",
    "MemberChanged",
    "Membership",
    "MembershipConfig",
    "Refuted",
    "RevisionReported",
    "Send",
    "audience",
    "labels_digest",
]
