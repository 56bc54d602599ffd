"""Bodies of clients' requests as they arrive at a node."""

import unittest

from prometheus_client import CollectorRegistry

from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.byte_budget import ByteBudget, ByteShare
from hopstep.domain.exchanges.request_body import (
    MAX_DISCARDED_BYTES,
    BodyOmission,
    RequestBody,
)
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.requests.intake.held_bytes import HeldBytes
from hopstep.services.exchanges.requests.intake.incoming_exchange import IncomingExchange


class RequestBodyTest(unittest.TestCase):
    def body(self, parts, limit_bytes=10, budget_bytes=0):
        """Return a body that arrived in parts, and its share."""
        share = ByteShare(ByteBudget(budget_bytes), "r1")
        body = RequestBody(limit_bytes, share)
        for part in parts:
            body.add(part)
        return body, share

    def test_a_body_is_kept_in_order(self):
        body, _ = self.body((b"12", b"", b"345"))
        self.assertEqual((body.take(), body.omission), (b"12345", None))

    def test_a_long_body_is_read_but_not_kept(self):
        body, share = self.body([b"123456789"] * 50, budget_bytes=1_000)
        self.assertEqual((body.received_bytes, body.omission), (450, BodyOmission.TOO_LONG))
        self.assertEqual((share.held_bytes, share.refused), (0, False))
        with self.assertRaisesRegex(ValueError, "too_long"):
            body.take()

    def test_a_body_that_was_taken_is_held_no_longer(self):
        """Guards against two copies of each body for as long as its request lasts."""
        body, _ = self.body((b"12", b"345"))
        self.assertEqual((body.take(), body.take()), (b"12345", b""))

    def test_a_body_of_exactly_the_limit_is_kept(self):
        body, share = self.body((b"1234", b"567890"), budget_bytes=1_000)
        self.assertEqual((body.take(), share.held_bytes), (b"1234567890", 10))

    def test_a_body_without_space_is_read_to_its_end_and_dropped(self):
        """Guards against bodies beyond the budget, and refusals that are lost with a reset."""
        body, share = self.body((b"12", b"345", b"6"), budget_bytes=4)
        self.assertEqual((body.received_bytes, body.omission), (6, BodyOmission.NO_SPACE))
        self.assertEqual((share.held_bytes, share.refused), (0, True))
        with self.assertRaisesRegex(ValueError, "no_space"):
            body.take()

    def test_a_body_without_end_is_read_no_further(self):
        """Guards against clients whose refused bodies are read for as long as they send."""
        body, _ = self.body([b"x" * MAX_DISCARDED_BYTES], limit_bytes=10)
        self.assertFalse(body.may_be_endless)
        body.add(b"x" * 11)
        self.assertTrue(body.may_be_endless)

    def test_a_body_that_is_given_up_is_held_no_longer(self):
        """Guards against the space of bodies that don't end."""
        body, share = self.body([b"123"], budget_bytes=1_000)
        body.give_up()
        self.assertEqual((body.omission, share.held_bytes), (BodyOmission.TOO_SLOW, 0))


class IncomingExchangeTest(unittest.TestCase):
    def test_a_body_is_counted_as_it_arrives_until_its_request_has_ended(self):
        seen = []

        async def serve(head, body, answer):
            seen.append((body.take(), held.budget.held_bytes, share.body_pending))

        held = HeldBytes(100, ExchangeMetrics(CollectorRegistry()))
        with held.open_share("r1", None) as share:
            request = IncomingExchange(None, share, 10, serve)
            request.add(b"12")
            self.assertEqual((held.budget.held_bytes, share.body_pending), (2, True))
            request.add(b"345")
            run_in_virtual_time(request.serve, None)
        self.assertEqual(seen, [(b"12345", 5, False)])
        self.assertEqual(held.budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
