"""Early refusals: what is refused, when clients return, and the gain in a replayed overload."""

import unittest
from collections import deque

import msgspec

from hopstep.domain.exchanges.early_refusal import (
    FirstByteTimes,
    ReturningClients,
    ServedShares,
    WaitEstimate,
    expected_wait,
    misses_deadline,
    return_seconds,
)
from hopstep.domain.exchanges.waiting_order import WaitingOrder, WaitingRequest
from hopstep.domain.queue_pace import MAX_AGE_SECONDS, QueuePace

FULL = WaitEstimate(
    ahead=20,
    wait_seconds=4.0,
    first_byte_seconds=0.5,
    remaining_seconds=5.0,
    free_places=1,
    taken_places=60,
)


def changed(**changes):
    return msgspec.structs.replace(FULL, **changes)


class EarlyRefusalTest(unittest.TestCase):
    def test_only_a_request_without_prospect_is_refused(self):
        cases = (
            ("too long with the margin", FULL, True),
            ("in time with the margin", changed(wait_seconds=3.4), False),
            ("half of the places are free", changed(free_places=60), False),
            ("a less urgent one is kept", changed(less_urgent_waits=True), False),
            ("nothing observed", changed(wait_seconds=0.0), False),
        )
        for name, wait_estimate, refused in cases:
            with self.subTest(name):
                self.assertEqual(misses_deadline(wait_estimate), refused)

    def test_a_request_that_returns_then_is_not_refused_again(self):
        seconds = return_seconds(FULL, 0.2, 0)
        later = changed(
            wait_seconds=FULL.wait_seconds - seconds,
            remaining_seconds=FULL.remaining_seconds - seconds,
        )
        self.assertFalse(misses_deadline(later))
        sooner = changed(wait_seconds=4.0 - 0.9 * seconds, remaining_seconds=5.0 - 0.9 * seconds)
        self.assertTrue(misses_deadline(sooner))

    def test_clients_return_in_the_order_of_their_refusals(self):
        waits = [return_seconds(FULL, 0.2, returning) for returning in range(4)]
        self.assertEqual(waits, sorted(set(waits)))

    def test_returning_clients_count_until_they_are_due(self):
        clients = ReturningClients()
        for due_at in (1.0, 2.0, 3.0):
            clients.add(due_at)
        self.assertEqual([clients.count(now) for now in (0.0, 2.0, 9.0)], [3, 1, 0])

    def test_a_class_that_is_overtaken_gets_a_small_share(self):
        """By the order alone, requests that newer ones overtake would be expected to leave soon."""
        shares = ServedShares()
        self.assertEqual((shares.share(0), shares.share(1)), (1.0, 1.0))
        for number in range(200):
            shares.note_departure(1 if number % 17 == 16 else 0, (0, 1))
        self.assertAlmostEqual(shares.share(1), 1 / 17, delta=0.04)
        self.assertGreater(shares.share(0), 0.9)
        shares.clear()
        self.assertEqual(shares.share(1), 1.0)

    def test_the_first_byte_is_expected_by_route(self):
        times = FirstByteTimes()
        for _ in range(30):
            times.observe("long", 1.0)
            times.observe("short", 0.1)
        self.assertAlmostEqual(times.expected("long"), 1.0)
        self.assertAlmostEqual(times.expected("short"), 0.1)
        self.assertGreater(times.expected("unknown"), 0.0)


class Overload:
    """One server that answers a request each ``SERVICE_SECONDS``, at one and a half its rate."""

    SERVICE_SECONDS = 0.1
    ARRIVAL_SECONDS = 0.067
    DEADLINE_SECONDS = 2.0
    ARRIVALS = 600

    def __init__(self, refuses):
        self.refuses = refuses
        self.pace = QueuePace()
        self.waiting = deque()
        self.held_then_refused = []
        self.refused_at_once = 0
        self.answered = 0

    def play(self):
        next_service = 0.0
        for number in range(self.ARRIVALS):
            now = number * self.ARRIVAL_SECONDS
            while next_service <= now:
                self.serve(next_service)
                next_service += self.SERVICE_SECONDS
            self.arrive(now)
        return self

    def arrive(self, now):
        ahead = len(self.waiting)
        wait = self.pace.expected_wait("s", 0, ahead, now)
        wait_estimate = WaitEstimate(ahead, wait, self.SERVICE_SECONDS, self.DEADLINE_SECONDS, 0, 1)
        if self.refuses and misses_deadline(wait_estimate):
            self.refused_at_once += 1
            return
        self.pace.begin("s", 0, now)
        self.waiting.append(now)

    def serve(self, now):
        while self.waiting and now - self.waiting[0] > self.DEADLINE_SECONDS:
            self.held_then_refused.append(now - self.waiting.popleft())
        if not self.waiting:
            return
        arrived_at = self.waiting.popleft()
        self.pace.record_entry("s", 0, now)
        self.answered += now + self.SERVICE_SECONDS <= arrived_at + self.DEADLINE_SECONDS


class OverloadTest(unittest.TestCase):
    def test_an_overload_is_refused_at_once_instead_of_held_until_the_deadline(self):
        before, after = Overload(refuses=False).play(), Overload(refuses=True).play()
        self.assertGreater(len(before.held_then_refused), 100)
        self.assertLess(len(after.held_then_refused), 0.05 * len(before.held_then_refused))
        self.assertGreater(after.refused_at_once, 100)
        self.assertGreater(after.answered, before.answered)


class OvertakenOverload:
    """The same with an objective: requests in time overtake those that can't meet it any more."""

    OBJECTIVE_SECONDS = 0.5

    def __init__(self, with_shares):
        self.with_shares = with_shares
        self.pace = QueuePace()
        self.shares = ServedShares()
        self.order = WaitingOrder()
        self.arrived_at = {}
        self.held_then_refused = 0
        self.answered = 0

    def play(self):
        next_service = 0.0
        for number in range(Overload.ARRIVALS):
            now = number * Overload.ARRIVAL_SECONDS
            while next_service <= now:
                self.serve(next_service)
                next_service += Overload.SERVICE_SECONDS
            self.arrive(str(number), now)
        return self

    def wait(self, place, now):
        share = self.shares.share(place.order_class) if self.with_shares else 1.0
        by_order = self.pace.expected_wait("s", 0, place.ahead, now)
        interval = self.pace.expected_wait("s", 0, 0, now)
        return expected_wait(by_order, place.ahead_in_class, interval, share)

    def arrive(self, name, now):
        late_from = now + self.OBJECTIVE_SECONDS
        request = WaitingRequest(name, "t", 0, 1, late_from)
        place = self.order.place_of(request, now)
        if self.with_shares and now + self.wait(place, now) >= late_from:
            place = self.order.place_of(request, now, late=True)
        remaining = Overload.DEADLINE_SECONDS
        wait_estimate = WaitEstimate(place.ahead, self.wait(place, now), 0.0, remaining, 0, 1)
        if misses_deadline(wait_estimate):
            return
        self.pace.begin("s", 0, now)
        self.order.add(request, now)
        self.arrived_at[name] = now

    def serve(self, now):
        for name, arrived_at in tuple(self.arrived_at.items()):
            if now - arrived_at > Overload.DEADLINE_SECONDS:
                self.order.discard(name)
                del self.arrived_at[name]
                self.held_then_refused += 1
        self.order.sort_late(now)
        name = self.order.pop(lambda _name: True)
        if name is not None:
            late = now - self.arrived_at.pop(name) >= self.OBJECTIVE_SECONDS
            self.shares.note_departure(int(late), self.order.classes())
            self.pace.record_entry("s", 0, now)
            self.answered += 1


class OvertakenOverloadTest(unittest.TestCase):
    def test_requests_that_would_be_overtaken_are_refused_at_once(self):
        by_order, by_share = (OvertakenOverload(each).play() for each in (False, True))
        self.assertGreater(by_order.held_then_refused, 50)
        self.assertLess(by_share.held_then_refused, 0.3 * by_order.held_then_refused)
        self.assertGreaterEqual(by_share.answered, 0.98 * by_order.answered)


class PausedPaceTest(unittest.TestCase):
    def observed(self):
        pace = QueuePace()
        pace.begin("s", 0, 0.0)
        for second in range(1, 21):
            pace.record_entry("s", 0, float(second))
        pace.pause("s", 0)
        return pace

    def test_the_time_without_waiting_requests_is_no_interval(self):
        pace = self.observed()
        pace.begin("s", 0, 25.0)
        pace.record_entry("s", 0, 26.0)
        self.assertAlmostEqual(pace.expected_wait("s", 0, 0, 26.0), 1.0)

    def test_old_observations_do_not_count(self):
        pace = self.observed()
        pace.begin("s", 0, 20.0 + MAX_AGE_SECONDS + 0.1)
        self.assertEqual(pace.expected_wait("s", 0, 5, 40.0), 0.0)
