"""Stateful fuzzing of membership, checked by a simple oracle.

Faults are any mixture of kills, restarts, planned stops, pauses, partitions, cuts, losses, forged
and replayed datagrams. The oracle checks that after the faults every running node sees exactly the
running nodes as alive in their current incarnations and has the highest revision and the latest
entries of each, and that a datagram changes nothing unless it is authentic and new.
"""

import hmac
import random
import unittest
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from emulator.hollow_cluster import HollowCluster
from emulator.link_faults import LinkFaults, LinkQuality
from hopstep.adapters.peer_codec import PeerCodec, ReplayWindow
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.entry_table import EntryTable
from hopstep.domain.membership import MembershipConfig, RevisionReported, table
from hopstep.domain.membership.anti_entropy import AntiEntropy
from hopstep.domain.membership.state import MembershipState
from hopstep.domain.peer_message import (
    EntryKind,
    Gossip,
    LeavingBackEnd,
    MemberState,
    MemberStatus,
    Push,
)
from tests import fuzz_settings

NAMES = tuple(f"n{number}" for number in range(5))
SEEDS = NAMES[:2]
KEYS = PeerKeys({"k": bytes(32)})
SETTLE_SECONDS = 90
RESIDUE_SECONDS = 10
QUIET_SECONDS = 15
KIND = EntryKind.LEAVING_BACK_END

names = strategies.sampled_from(NAMES)


class RecordingCluster(HollowCluster):
    """Records the datagrams that each node has accepted in its current incarnation."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.accepted = {}

    def receive(self, node, message, source):
        authentic = super().receive(node, message, source)
        if authentic:
            start = node.codec
            self.accepted.setdefault((node.name, start), []).append(message)
        return authentic


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        faults = LinkFaults(random.Random(1), LinkQuality(loss=0.01))
        self.cluster = RecordingCluster(1, faults, MembershipConfig(), self.observe, KEYS)
        self.published = {}
        self.revision = 0
        for name in NAMES:
            self.cluster.add(name, SEEDS)

    def observe(self, node, action, now):
        """Apply every announced revision, as if it were fetched at once."""
        if isinstance(action, RevisionReported):
            self.cluster.act(node, node.membership.set_revision(action.revision, now))

    def node(self, name):
        return self.cluster.nodes[name]

    @rule(seconds=strategies.sampled_from((0.01, 0.3, 1.0, 3.0)))
    def advance(self, seconds):
        self.cluster.run_until(self.cluster.now + seconds)

    @rule(seconds=strategies.sampled_from((10.0, 40.0)))
    def wait(self, seconds):
        self.cluster.run_until(self.cluster.now + seconds)

    @rule(name=names)
    def kill(self, name):
        self.cluster.kill(name)

    @rule(name=names)
    def restart(self, name):
        self.cluster.restart(name, SEEDS)
        self.published.pop(name, None)

    @rule(name=names)
    def leave(self, name):
        if self.node(name).running and not self.node(name).paused:
            self.cluster.leave(name)

    @rule(name=names)
    def pause(self, name):
        self.cluster.pause(name)

    @rule(name=names)
    def resume(self, name):
        if self.node(name).paused:
            self.cluster.resume(name)

    @rule(group=strategies.sets(names))
    def partition(self, group):
        self.cluster.faults.partition(group)

    @rule(name=names)
    def cut(self, name):
        self.cluster.faults.cut(name)

    @rule(source=names, receiver=names)
    def cut_one_way(self, source, receiver):
        self.cluster.faults.cut_one_way(source, receiver)

    @rule(loss=strategies.sampled_from((0.0, 0.1, 0.5)))
    def degrade(self, loss):
        quality = LinkQuality(loss=loss, duplication=loss, max_delay_seconds=0.05 + loss)
        self.cluster.faults.quality = quality

    @rule()
    def heal(self):
        self.cluster.faults.heal()

    @rule(name=names, subject=strategies.sampled_from("xyz"), leaving=strategies.booleans())
    def publish(self, name, subject, leaving):
        node = self.node(name)
        if not node.running or node.paused:
            return
        value = LeavingBackEnd(subject) if leaving else None
        actions = node.membership.publish(KIND, subject, value, self.cluster.now)
        self.cluster.act(node, actions)
        self.published.setdefault(name, {})[subject] = value

    @rule(name=names)
    def accept_revision(self, name):
        node = self.node(name)
        if node.running and not node.paused:
            self.revision += 1
            actions = node.membership.set_revision(self.revision, self.cluster.now)
            self.cluster.act(node, actions)

    @rule(
        receiver=names,
        kind=strategies.sampled_from(("replayed", "forged", "foreign")),
        number=strategies.integers(0, 100_000),
    )
    def inject(self, receiver, kind, number):
        node = self.node(receiver)
        accepted = self.cluster.accepted.get((receiver, node.codec), [])
        if kind == "foreign":
            self.inject_and_expect_no_effect(
                node, self.foreign_datagram(NAMES[number % len(NAMES)])
            )
        elif accepted:
            datagram = bytearray(accepted[number % len(accepted)])
            if kind == "forged":
                datagram[number % len(datagram)] ^= 1 << number % 8
            self.inject_and_expect_no_effect(node, bytes(datagram))

    def foreign_datagram(self, victim):
        now = self.cluster.wall_clock()
        codec = PeerCodec("another", "stranger", 1, KEYS, lambda: now)
        status = MemberStatus(victim, 10_000, 0, MemberState.DEAD)
        return codec.encode(Push(Gossip(99, statuses=(status,))))

    def inject_and_expect_no_effect(self, node, datagram):
        before = self.view(node), self.cluster.messages
        self.cluster.inject(node.name, datagram, "stranger")
        assert (self.view(node), self.cluster.messages) == before, (
            "an invalid datagram had an effect"
        )

    def view(self, node):
        return node.membership.members(), node.membership.entries(KIND)

    def stop_faults(self):
        self.cluster.faults.heal()
        self.cluster.faults.quality = LinkQuality()
        for node in self.cluster.nodes.values():
            if node.running and node.paused:
                self.cluster.resume(node.name)
        for name in SEEDS:
            if not self.node(name).running:
                self.restart(name)

    def settled(self):
        running = self.cluster.running()
        revision = max(node.membership.own.configuration_revision for node in running)
        expected = self.expected_entries()
        return self.cluster.agrees() and all(
            node.membership.own.configuration_revision == revision
            and held_entries(node) == expected
            for node in running
        )

    def expected_entries(self):
        return {
            (name, subject): value
            for name, values in self.published.items()
            for subject, value in values.items()
            if value is not None and self.node(name).running
        }

    def teardown(self):
        self.stop_faults()
        # Suspicions and retries that the faults caused may still be in progress.
        self.cluster.run_until(self.cluster.now + RESIDUE_SECONDS)
        deadline = self.cluster.now + SETTLE_SECONDS
        while not self.settled() and self.cluster.now < deadline:
            self.cluster.run_until(self.cluster.now + 1)
        assert self.settled(), "no agreement after faults stopped"
        for _ in range(QUIET_SECONDS):
            self.cluster.run_until(self.cluster.now + 1)
            assert self.settled(), "agreement was lost without a fault"
        self.check_isolation()

    def check_isolation(self):
        """Check that without faults and with a majority of nodes running no node is isolated.

        A minority can't distinguish dead nodes from unreachable ones.
        """
        running = self.cluster.running()
        if 2 * len(running) <= len(NAMES):
            return
        now = self.cluster.now
        isolated = [node.name for node in running if node.membership.is_partitioned(now)]
        assert not isolated, f"{isolated} isolated without a fault"


def held_entries(node):
    return {(entry.owner, entry.subject): entry.value for entry in node.membership.entries(KIND)}


def patched(owner, name, replacement):
    return lambda: mock.patch.object(owner, name, replacement)


def any_state_first(incarnation, version, state):
    return state, incarnation, version


def cut_for_long(machine):
    machine.wait(10.0)
    machine.partition({"n3", "n4"})
    machine.wait(40.0)


def kill_and_restart(machine):
    machine.wait(10.0)
    machine.kill("n4")
    machine.wait(40.0)
    machine.restart("n4")


def publish_in_a_cut(machine):
    machine.wait(10.0)
    machine.cut("n4")
    machine.publish("n3", "x", True)
    machine.advance(3.0)
    machine.wait(10.0)
    machine.wait(40.0)


def publish_and_kill(machine):
    machine.wait(10.0)
    machine.publish("n3", "x", True)
    machine.advance(3.0)
    machine.kill("n3")


def inject(kind):
    def script(machine):
        machine.wait(10.0)
        for number in range(200):
            machine.inject("n2", kind, number)

    return script


# Name of a wrong variant, its patch, and a script under which the oracle must catch it.
WRONG_VARIANTS = (
    ("no refutation", patched(MembershipState, "_refute", lambda *_: False), cut_for_long),
    ("state first", patched(table, "precedence", any_state_first), kill_and_restart),
    ("replays admitted", patched(ReplayWindow, "admit", lambda *_: True), inject("replayed")),
    ("tags not compared", patched(hmac, "compare_digest", lambda *_: True), inject("forged")),
    ("no anti-entropy", patched(AntiEntropy, "_begin", lambda *_: None), publish_in_a_cut),
    ("entries stay", patched(EntryTable, "drop_owner", lambda *_: None), publish_and_kill),
    ("dead never probed", patched(table.MemberTable, "dead", lambda _: []), cut_for_long),
)


class MembershipStatefulTest(unittest.TestCase):
    def test_agreement_after_any_faults(self):
        fuzz_settings.run_machine(MembershipMachine, base_examples=20, base_steps=25)

    def test_wrong_variants_are_caught(self):
        for name, variant, script in WRONG_VARIANTS:
            with self.subTest(name, wrong=False):
                self.run_script(script)
            with self.subTest(name, wrong=True), variant(), self.assertRaises(AssertionError):
                self.run_script(script)

    def run_script(self, script):
        machine = MembershipMachine()
        script(machine)
        machine.teardown()


if __name__ == "__main__":
    unittest.main()
