"""Steps of the membership protocol at a single member."""

import random
import unittest

from hopstep.adapters.peer_codec import encoded_size
from hopstep.domain.membership import MemberChanged, Membership, MembershipConfig, Refuted, Send
from hopstep.domain.peer_message import (
    Ack,
    Entry,
    EntryKind,
    Gossip,
    LeavingBackEnd,
    MemberRecord,
    MemberState,
    MemberStatus,
    PeerMessage,
    Ping,
    PingRequest,
    PullRequest,
    Push,
)

CONFIG = MembershipConfig()


def record(name, incarnation=5):
    return MemberRecord(name, incarnation, 0, MemberState.ALIVE, f"{name}:80", name)


def member(*others):
    """Return a member "a" with the given ones in its table."""
    own = Membership(record("a"), CONFIG, ("seed",), random.Random(2), encoded_size, 0.0)
    if others:
        gossip = Gossip(members=tuple(record(name) for name in others))
        own.handle(PeerMessage(others[0], 5, Push(gossip)), others[0], 0.0)
    return own


def bodies(actions, kind):
    return [
        action.body
        for action in actions
        if isinstance(action, Send) and isinstance(action.body, kind)
    ]


def deliver(own, body, now=1.0, sender="b", incarnation=5):
    return own.handle(PeerMessage(sender, incarnation, body), sender, now)


def claim(own, *claim_of, now=1.0):
    return deliver(own, Push(Gossip(statuses=(MemberStatus(*claim_of),))), now)


class ProbeTest(unittest.TestCase):
    def test_the_first_tick_of_a_member_alone_asks_the_seed(self):
        actions = member().tick(0.0)
        self.assertEqual([action.address for action in actions], ["seed"])
        self.assertEqual(actions[0].body.target, "")

    def test_pings_are_acked_if_meant_for_this_member(self):
        own = member("b")
        for target, acks in (("a", 1), ("", 1), ("c", 0)):
            self.assertEqual(len(bodies(deliver(own, Ping(7, target)), Ack)), acks, target)

    def test_an_unanswered_probe_goes_through_others_then_leads_to_suspicion_and_death(self):
        own = member("b", "c", "d")
        states = []
        helpers = set()
        now = 0.0
        while now < 20:
            now += 0.05
            for action in own.tick(now):
                if isinstance(action, MemberChanged):
                    states.append((action.record.name, action.record.state))
                elif isinstance(action, Send) and isinstance(action.body, PingRequest):
                    helpers.add(action.address)
                elif isinstance(action, Send) and action.address == "b":
                    continue
                elif isinstance(action, Send) and isinstance(action.body, Ping):
                    deliver(own, Ack(action.body.number, action.address), now, action.address)
        self.assertEqual(states, [("b", MemberState.SUSPECT), ("b", MemberState.DEAD)])
        self.assertLessEqual({"c", "d"}, helpers)

    def test_a_pause_voids_the_probe_under_way_and_delays_suspicions(self):
        own = member("b")
        claim(own, "b", 5, 0, MemberState.SUSPECT)
        now = 1.0
        while not bodies(own.tick(now), Ping):
            now += 0.05
        changed = [a for a in own.tick(now + 60) if isinstance(a, MemberChanged)]
        self.assertEqual(changed, [])


class ClaimTest(unittest.TestCase):
    def test_wrong_claims_about_this_member_are_refuted(self):
        cases = (
            (5, 0, MemberState.SUSPECT, (5, 1)),
            (5, 0, MemberState.DEAD, (5, 1)),
            (5, 3, MemberState.LEFT, (5, 4)),
            (9, 2, MemberState.ALIVE, (10, 0)),
            (5, 0, MemberState.ALIVE, None),
            (4, 9, MemberState.DEAD, None),
        )
        for incarnation, version, state, outcome in cases:
            with self.subTest(claim=(incarnation, version, state)):
                own = member("b")
                actions = claim(own, "a", incarnation, version, state)
                refuted = [a for a in actions if isinstance(a, Refuted)]
                self.assertEqual(bool(refuted), outcome is not None)
                expected = outcome or (5, 0)
                self.assertEqual((own.own.incarnation, own.own.version), expected)

    def test_an_outdated_claim_about_this_member_is_answered_at_once(self):
        own = member("b")
        claim(own, "a", 5, 0, MemberState.DEAD)
        for _ in range(20):
            deliver(own, Ping(1, "a"))
        dead = Gossip(statuses=(MemberStatus("a", 5, 0, MemberState.DEAD),))
        ack = bodies(deliver(own, Ping(1, "a", dead)), Ack)[0]
        reported = [(status.version, status.state) for status in ack.gossip.statuses]
        self.assertEqual(reported, [(1, MemberState.ALIVE)])
        self.assertEqual(own.own.version, 1)

    def test_entries_move_on_to_the_incarnation_that_outbids(self):
        own = member("b")
        value = LeavingBackEnd("e")
        own.publish(EntryKind.LEAVING_BACK_END, "e", value, 1.0)
        claim(own, "a", 9, 0, MemberState.DEAD)
        held = own.entries(EntryKind.LEAVING_BACK_END)
        self.assertEqual([(entry.incarnation, entry.value) for entry in held], [(10, value)])

    def test_an_unknown_sender_is_asked_for_its_record(self):
        own = member("b")
        for sender, incarnation, asked in (("x", 1, 1), ("b", 6, 1), ("b", 4, 0), ("b", 5, 0)):
            actions = deliver(own, Push(), sender=sender, incarnation=incarnation)
            self.assertEqual(len(bodies(actions, PullRequest)), asked, (sender, incarnation))

    def test_strangers_do_not_ask_each_other_without_end(self):
        own = member("b")
        asked = [
            len(bodies(deliver(own, PullRequest(("a",)), sender="x", incarnation=1), PullRequest))
            for _ in range(5)
        ]
        self.assertEqual(asked, [1, 0, 0, 0, 0])

    def test_entries_of_unknown_dead_or_other_incarnations_are_not_taken(self):
        for owner, incarnation, taken in (("b", 5, 1), ("b", 4, 0), ("b", 6, 0), ("x", 5, 0)):
            own = member("b", "c")
            kind = EntryKind.LEAVING_BACK_END
            entry = Entry(owner, incarnation, 1, "e", LeavingBackEnd("e"), kind)
            deliver(own, Push(Gossip(entries=(entry,))))
            self.assertEqual(len(own.entries(kind)), taken, (owner, incarnation))
            claim(own, owner, incarnation, 0, MemberState.DEAD)
            self.assertEqual(own.entries(kind), [])


if __name__ == "__main__":
    unittest.main()
