"""Outcomes of ordinary requests during fatal ones are computed from the callers' observations."""

import unittest

from emulator.soak.fatal_impact import measure_fatal_impact
from emulator.soak.history import History
from emulator.soak.request_records import RequestKind, SentRequest


def request(name, at, head_seconds=None, **changes):
    sent = SentRequest(name, RequestKind.SAFE, "plain", "key", "n0", at, at + 4.0, 5)
    if head_seconds is not None:
        sent.status, sent.whole, sent.head_at = 200, True, at + head_seconds
    for field, value in changes.items():
        setattr(sent, field, value)
    return sent


class BesideFatalTest(unittest.TestCase):
    def test_shares_and_times_with_fatal_requests_and_without(self):
        requests = [
            request("f", 10.0, fatal="f"),
            request("a", 10.5, 0.2),
            request("b", 10.6, 0.4),
            request("c", 10.7, status=503, whole=True),
            request("d", 20.0, 0.1),
            request("left", 10.5, left=True),
            request("probe", 10.5, path="/added1/"),
        ]
        seen = History(requests={sent.request_id: sent for sent in requests})
        compared = measure_fatal_impact(seen)
        self.assertEqual(compared.during_fatal.requests, 3)
        self.assertAlmostEqual(compared.during_fatal.served_share, 2 / 3)
        self.assertAlmostEqual(compared.during_fatal.head_ms, 300.0)
        self.assertEqual((compared.otherwise.requests, compared.otherwise.served_share), (1, 1.0))

    def test_no_requests(self):
        self.assertEqual(measure_fatal_impact(History()).during_fatal.served_share, 0.0)


if __name__ == "__main__":
    unittest.main()
