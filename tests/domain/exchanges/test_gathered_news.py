import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hopstep.domain.exchanges.pending_updates import MAX_PENDING, PendingUpdates

NAMES = [f"n{number}" for number in range(8)]


class GatheredNewsTest(unittest.TestCase):
    def test_nodes_that_sent_nothing_share_one_bundle(self):
        gathered = PendingUpdates()
        gathered.add("n1", ["a"])
        gathered.add("n2", ["b"])
        bundles = gathered.take(["n1", "n2", "n3", "n4"])
        self.assertEqual(
            [(bundle.updates, bundle.targets) for bundle in bundles],
            [(("a", "b"), ("n3", "n4")), (("b",), ("n1",)), (("a",), ("n2",))],
        )

    def test_a_node_gets_nothing_of_its_own_back(self):
        gathered = PendingUpdates()
        gathered.add("n1", ["a"])
        self.assertEqual(gathered.take(["n1"]), [])

    def test_what_was_taken_is_gone(self):
        gathered = PendingUpdates()
        gathered.add("n1", ["a"])
        gathered.take(["n2"])
        self.assertEqual(gathered.take(["n2"]), [])

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 40)), max_size=300),
        st.lists(st.sampled_from(NAMES), unique=True),
    )
    def test_messages_and_news_are_bounded_whatever_comes(self, arrivals, targets):
        gathered = PendingUpdates()
        for origin, count in arrivals:
            gathered.add(origin, [(origin, number) for number in range(count)])
        bundles = gathered.take(targets)
        messages = Counter(name for bundle in bundles for name in bundle.targets)
        self.assertLessEqual(max(messages.values(), default=0), 1)
        for bundle in bundles:
            self.assertLessEqual(len(bundle.updates), MAX_PENDING)
            self.assertFalse({origin for origin, _ in bundle.updates} & set(bundle.targets))


if __name__ == "__main__":
    unittest.main()
