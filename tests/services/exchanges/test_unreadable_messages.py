"""Messages of registered nodes whose values can't be meant end no node that receives them."""

import unittest

import structlog.testing
import trio

from emulator.exchange_platform.node_network import EmulatedNodeExchange
from hopstep.ports.node_exchange import (
    GrantedPermits,
    Hints,
    LeavingInstance,
    LimitedInstance,
    LoadingEngine,
    RelayDigest,
    RelayQuery,
    SegmentUpdate,
    SentPrompt,
    SuspectedInstance,
    UrgentUpdates,
)
from tests.services.exchanges.exchange_world import ExchangeWorld

PROPAGATION_SECONDS = 3.0
NODES = 3
HUGE = 10**400
"""Larger than any floating-point number."""

HINTS = {
    "loading": Hints(loading=(LoadingEngine("i0@0", HUGE),)),
    "leaving": Hints(leaving=(LeavingInstance("i0@0", HUGE),)),
    "limits": Hints(limits=(LimitedInstance("i0@0", HUGE, HUGE, HUGE),)),
    "permits": Hints(permits=(GrantedPermits("i0@0", HUGE, HUGE),)),
    "segments": Hints(segments=(SegmentUpdate("i0@0", (), HUGE),)),
    "nodes": Hints(nodes=HUGE),
}
MESSAGES = {
    "loading engine": UrgentUpdates(1, loading=(LoadingEngine("i0@0", HUGE),)),
    "suspected": UrgentUpdates(2, suspected=(SuspectedInstance("i0@0", HUGE, "n1"),)),
    "prompt": UrgentUpdates(3, prompts=(SentPrompt(SegmentUpdate("i0@0", (), HUGE), HUGE),)),
    "position": RelayQuery(HUGE, HUGE, position=HUGE, era=HUGE, configuration=HUGE, weights=HUGE),
    **{f"digest, {name}": RelayDigest(HUGE, hints) for name, hints in HINTS.items()},
    **{f"query, {name}": RelayQuery(1, 0, hints=hints) for name, hints in HINTS.items()},
}


class UnreadableMessagesTest(unittest.TestCase):
    def check(self, message):
        async def script(world):
            sender = world.nodes[1].knowledge
            key = f"key of {sender.name}".encode()
            exchange = EmulatedNodeExchange(world.network, sender.name, key, None)
            await trio.sleep(PROPAGATION_SECONDS)
            for node in (world.nodes[0], world.nodes[2]):
                await exchange.send(message, node.knowledge.record)
            world.add("late")
            await trio.sleep(PROPAGATION_SECONDS)
            for node in world.nodes:
                self.assertIsNotNone(node.knowledge.table.get("late"))
            self.assertEqual((await world.request("safe", 0)).status, 200)

        world = ExchangeWorld(NODES)
        world.add("i0")
        with structlog.testing.capture_logs() as lines:
            world.run(script)
        return [line for line in lines if line["event"] == "node_message_rejected"]

    def test_a_number_that_no_clock_holds_ends_no_receiver(self):
        # Its conversion raised OverflowError, which ended the task that receives messages.
        rejected = []
        for name, message in MESSAGES.items():
            with self.subTest(name):
                rejected += self.check(message)
        self.assertTrue(any("OverflowError at" in line["reason"] for line in rejected))


if __name__ == "__main__":
    unittest.main()
