"""Builds small hollow clusters for tests."""

import itertools
import random

import msgspec

from emulator.hollow_cluster import HollowCluster
from emulator.link_faults import LinkFaults, LinkQuality
from hopstep.domain.membership import MembershipConfig, labels_digest

SEEDS = ("n0", "n1")
SEED = 11


def names(count):
    return sorted(f"n{number}" for number in range(count))


class RecordingCluster(HollowCluster):
    """Records every sent message, and takes incarnations from ``incarnations``."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sent = []
        self.incarnations = itertools.count(1_001)

    def next_incarnation(self):
        return next(self.incarnations)

    def own_record(self, name, zone):
        record = super().own_record(name, zone)
        return msgspec.structs.replace(record, labels_digest=labels_digest({"node": name}))

    def send(self, node, action):
        self.sent.append((action.address, action.body))
        super().send(node, action)


def make_cluster(count, quality=None, config=None, observe=lambda *_: None, down="", seed=SEED):
    faults = LinkFaults(random.Random(seed), quality or LinkQuality())
    cluster = RecordingCluster(seed, faults, config or MembershipConfig(), observe)
    for name in names(count):
        cluster.add(name, SEEDS)
    if down:
        cluster.kill(down)
    return cluster


def until_agreement(cluster, limit):
    """Advance until all nodes agree or ``limit`` has passed; return the seconds taken."""
    began = cluster.now
    while cluster.now < began + limit:
        cluster.run_until(cluster.now + 0.25)
        if cluster.agrees():
            break
    return cluster.now - began
