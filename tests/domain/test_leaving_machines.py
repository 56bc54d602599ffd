"""A flapping list doesn't give work back to a machine that is shutting down."""

import unittest

from hopstep.domain.leaving_machines import LIVE_ANSWERS, LeavingMachines

SHOWN = (("a",), ())
MISSING = ((), ())
LIVE = ((), ("a",))


class LeavingMachinesTest(unittest.TestCase):
    def test_a_machine_is_leaving_until_it_is_live_in_some_consecutive_answers(self):
        for answers, leaves in (
            ([LIVE], False),
            ([SHOWN], True),
            ([SHOWN, MISSING] * 4, True),
            ([SHOWN] + [MISSING] * 100, True),
            ([SHOWN, LIVE] * 4, True),
            ([SHOWN] + [LIVE] * (LIVE_ANSWERS - 1), True),
            ([SHOWN] + [LIVE] * LIVE_ANSWERS, False),
            ([SHOWN] + [LIVE] * LIVE_ANSWERS + [SHOWN], True),
        ):
            with self.subTest(answers=answers):
                machines = LeavingMachines()
                for answer in answers:
                    result = machines.update(*answer)
                self.assertEqual(result, frozenset({"a"} if leaves else ()))
