"""Peer messages that are forged, replayed or from another cluster change nothing."""

import random

import msgspec
import trio

from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.peer_message import (
    EngineEntry,
    Entry,
    EntryKind,
    Gossip,
    LeavingBackEnd,
    MemberRecord,
    MemberState,
    Push,
)
from tests.simulation.harness import STEADY, SimulationTest, call, under_load

ROUTERS = ("r0", "r1", "r2")
LATE = 20.0


def harmful_message(cluster):
    """Return a message that would change all shared state of the peers."""
    record = cluster.routers["r0"].services.membership.own
    dead = msgspec.structs.replace(record, state=MemberState.DEAD, version=record.version + 9)
    unknown_member = MemberRecord("evil", 99, 1, MemberState.ALIVE, "6.6.6.6:1", "6.6.6.6:1", "a")
    engine = cluster.back_end("e0").address
    entries = (
        Entry("r0", record.incarnation, 999, engine, LeavingBackEnd(engine), EntryKind(0)),
        Entry("r0", record.incarnation, 999, engine, EngineEntry(engine, "forged"), EntryKind(1)),
    )
    return Push(Gossip(revision=77, members=(dead, unknown_member), entries=entries))


def forge(cluster, cluster_name, keys):
    """Return a datagram in the name of r0, encoded with a cluster name and keys."""
    incarnation = cluster.routers["r0"].services.membership.own.incarnation
    codec = PeerCodec(cluster_name, "r0", incarnation, keys, cluster.world.wall_clock)
    codec._sequence = 1_000_000
    return codec.encode(harmful_message(cluster))


def record_datagrams(cluster):
    """Collect the datagrams that are sent, with source and target."""
    sent = []
    carry = cluster.world.network.carry

    def collect(source, target, data):
        sent.append((source, target, data))
        carry(source, target, data)

    cluster.world.network.carry = collect
    return sent, carry


async def attack(cluster):
    """Replay, alter and forge datagrams for some seconds."""
    generator = random.Random(1)
    sent, carry = record_datagrams(cluster)
    await trio.sleep(2)
    routers = [cluster.routers[name].settings.address for name in ROUTERS]
    for _ in range(100):
        await trio.sleep(0.03)
        source, target, data = generator.choice(sent)
        carry(source, target, data)
        carry(source, generator.choice(routers), data)
        position = generator.randrange(len(data))
        changed = bytes((data[position] ^ 1 << generator.randrange(8),))
        carry(source, target, data[:position] + changed + data[position + 1 :])
        carry(source, target, data[:position])
        carry(source, target, forge(cluster, "another", PeerKeys.derived("hopstep")))
        carry(source, target, forge(cluster, "hopstep", PeerKeys.derived("another")))


def view(cluster):
    """Return the routers' views of members, entries, revision and an engine."""
    states = {}
    for name in ROUTERS:
        services = cluster.routers[name].services
        members = services.membership.members()
        states[name] = (
            sorted((item.name, item.incarnation, item.state) for item in members),
            sorted(entry.subject for entry in services.membership.entries(EntryKind(0))),
            services.holder.revision,
            services.table.facts(cluster.back_end("e0").address).incarnation,
        )
    return states


class HostilePeersTest(SimulationTest):
    def test_nothing_changes_under_an_attack(self):
        async def body(cluster):
            before = view(cluster)
            await under_load(cluster, attack, seconds=6.0, mix=STEADY)
            await trio.sleep(2)
            self.assertEqual(view(cluster), before)
            rejected = [
                cluster.routers[name].services.membership._metrics.messages_rejected
                for name in ROUTERS
            ]
            self.assertGreater(sum(item._value.get() for item in rejected), 300)

        self.assert_all_complete(self.run_clean(body))

    def test_the_forged_message_has_an_effect_when_its_signature_is_valid(self):
        async def body(cluster):
            datagram = forge(cluster, "hopstep", PeerKeys.derived("hopstep"))
            before = view(cluster)
            own, target = (cluster.routers[name].settings.address for name in ("r0", "r1"))
            cluster.world.network.carry(own, target, datagram)
            await trio.sleep(0.5)
            self.assertNotEqual(view(cluster), before)
            await cluster.ask("r2", call())

        self.run_clean(body)
