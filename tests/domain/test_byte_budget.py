"""The budget for held bytes, replayed against clients that read nothing of long responses."""

import unittest

from hopstep.domain.byte_budget import (
    MEGABYTE,
    MIN_LIMIT_BYTES,
    RESPONSE_BYTES,
    STALL_SECONDS,
    ByteBudget,
    ByteShare,
    WaitingClient,
    byte_limit,
    choose_stalled,
)

SLOW_READERS = 200
LONG_RESPONSE = 1_000_000
PART = 16 * 1024
OTHER_CALLERS = 100


def hold_for_slow_readers(budget):
    """Return the bytes that a node reads of responses to clients that read nothing."""
    read = 0
    for _ in range(SLOW_READERS):
        share = ByteShare(budget)
        if not share.take(RESPONSE_BYTES):
            continue
        held = RESPONSE_BYTES
        while held < LONG_RESPONSE and share.take_spare(PART):
            held += PART
        read += held
    return read


class ByteBudgetTest(unittest.TestCase):
    def test_a_quarter_of_the_memory_and_what_is_left_above_the_process(self):
        for memory_mb, limit in (
            (0, 0),
            (552, 138 * MEGABYTE),
            (160, 40 * MEGABYTE),
            (80, 16 * MEGABYTE),
            (40, MIN_LIMIT_BYTES),
        ):
            with self.subTest(memory_mb):
                self.assertEqual(byte_limit(memory_mb), limit)

    def test_clients_that_read_nothing_leave_space_for_other_callers(self):
        """Guards against a node that runs out of memory, or serves nobody else, for them."""
        limit = byte_limit(160)
        unbounded = hold_for_slow_readers(ByteBudget())
        budget = ByteBudget(limit)
        bounded = hold_for_slow_readers(budget)
        self.assertGreater(unbounded, 4 * limit)
        self.assertLessEqual(bounded, limit)
        self.assertEqual(budget.held_bytes, bounded)
        others = [ByteShare(budget) for _ in range(OTHER_CALLERS)]
        self.assertTrue(all(share.take(RESPONSE_BYTES) for share in others))

    def test_a_share_without_space_changes_nothing_and_a_closed_one_returns_all(self):
        budget = ByteBudget(1_000)
        first, second = ByteShare(budget), ByteShare(budget)
        self.assertTrue(first.take(600))
        self.assertFalse(second.take(401))
        self.assertFalse(second.take_spare(1))
        self.assertEqual((budget.held_bytes, second.held_bytes), (600, 0))
        first.release(1_000)
        first.close()
        self.assertEqual((budget.held_bytes, first.held_bytes), (0, 0))
        self.assertTrue(second.take_spare(500))

    def test_without_a_limit_nothing_is_refused(self):
        share = ByteShare(ByteBudget())
        self.assertTrue(share.take(10**12) and share.take_spare(10**12))
        share.release(5)
        self.assertEqual(ByteBudget().excess_bytes, 0)

    def test_clients_without_progress_are_chosen_until_there_is_space_again(self):
        """Guards against a budget that nothing ever frees, and against cutting off readers."""
        clients = (
            ("reads", WaitingClient(900, STALL_SECONDS - 0.1)),
            ("newer", WaitingClient(300, STALL_SECONDS)),
            ("older", WaitingClient(300, STALL_SECONDS + 2)),
            ("oldest", WaitingClient(300, STALL_SECONDS + 9)),
        )
        for excess, chosen in (
            (0, []),
            (1, ["oldest"]),
            (301, ["oldest", "older"]),
            (5_000, ["oldest", "older", "newer"]),
        ):
            with self.subTest(excess):
                self.assertEqual(choose_stalled(clients, excess), chosen)

    def test_the_budget_is_short_above_three_quarters(self):
        budget = ByteBudget(1_000)
        share = ByteShare(budget)
        share.take(750)
        self.assertEqual(budget.excess_bytes, 0)
        share.take(100)
        self.assertEqual(budget.excess_bytes, 100)
