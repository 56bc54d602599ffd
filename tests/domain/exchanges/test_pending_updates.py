import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hopstep.domain.exchanges.pending_updates import MAX_PENDING, PendingUpdates

NAMES = [f"n{number}" for number in range(8)]


class PendingUpdatesTest(unittest.TestCase):
    def test_nodes_that_sent_nothing_share_one_batch(self):
        pending = PendingUpdates()
        pending.add("n1", ["a"])
        pending.add("n2", ["b"])
        batches = pending.take(["n1", "n2", "n3", "n4"])
        self.assertEqual(
            [(batch.updates, batch.targets) for batch in batches],
            [(("a", "b"), ("n3", "n4")), (("b",), ("n1",)), (("a",), ("n2",))],
        )

    def test_a_node_does_not_get_its_own_updates_back(self):
        pending = PendingUpdates()
        pending.add("n1", ["a"])
        self.assertEqual(pending.take(["n1"]), [])

    def test_updates_are_taken_once(self):
        pending = PendingUpdates()
        pending.add("n1", ["a"])
        pending.take(["n2"])
        self.assertEqual(pending.take(["n2"]), [])

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 40)), max_size=300),
        st.lists(st.sampled_from(NAMES), unique=True),
    )
    def test_messages_and_updates_are_bounded_for_any_arrivals(self, arrivals, targets):
        pending = PendingUpdates()
        for origin, count in arrivals:
            pending.add(origin, [(origin, number) for number in range(count)])
        batches = pending.take(targets)
        messages = Counter(name for batch in batches for name in batch.targets)
        self.assertLessEqual(max(messages.values(), default=0), 1)
        for batch in batches:
            self.assertLessEqual(len(batch.updates), MAX_PENDING)
            self.assertFalse({origin for origin, _ in batch.updates} & set(batch.targets))


if __name__ == "__main__":
    unittest.main()
