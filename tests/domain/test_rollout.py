import unittest

from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RoutingPolicy,
)
from hopstep.domain.engines import EngineFacts
from hopstep.domain.rollout import plan

REVISION = 7
NEW, OLD = {"m": "w2"}, {"m": "w1"}


def facts(weights, fence=0):
    return EngineFacts("i", weights, fence=fence)


def planned(known, bound=2):
    """Return the addresses that get an order, for facts by address."""
    back_ends = [BackEnd(name, name, models=("m",)) for name in sorted(known)]
    store = BackEnd("store", "store", BackEndKind.KV_CACHE_STORE)
    policy = RoutingPolicy(max_concurrent_weight_loads=bound)
    document = Configuration((*back_ends, store), models=(Model("m", "w2"),), routing=policy)
    orders = plan(AcceptedConfiguration(REVISION, document), known | {"store": facts(OLD)})
    for order in orders:
        assert (order.fence, order.weights) == (REVISION, NEW)
    return [order.address for order in orders]


class PlanTest(unittest.TestCase):
    def test_orders(self):
        loading = facts({}, REVISION)
        cases = {
            "nothing to do": ({"a": facts(NEW), "b": facts(NEW, 3)}, []),
            "old weights, as many as the bound": ({key: facts(OLD) for key in "abc"}, ["a", "b"]),
            "loads in progress count": ({"a": loading, "b": facts(OLD), "c": facts(OLD)}, ["b"]),
            "at the bound": ({"a": loading, "b": loading, "c": facts(OLD)}, []),
            "beyond the bound": ({"a": loading, "b": loading, "c": loading}, []),
            "an unrelated newer revision": (
                {"a": facts({}, REVISION - 1), "b": facts({}, REVISION - 2), "c": facts(OLD)},
                [],
            ),
            "restarted with old weights": ({"a": facts(OLD, 0), "b": facts(NEW, REVISION)}, ["a"]),
            "the fence without the weights": ({"a": facts(OLD, REVISION)}, ["a"]),
            "restarted without weights": ({"a": facts({}, 0)}, ["a"]),
            "unknown engines": ({}, []),
        }
        for name, (known, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(planned(known), expected)
