"""Little processor time suspends the promises with a time bound, but that of draining instances."""

import unittest

from emulator.soak.checks import configurations_are_in_force, draining_instances_get_nothing
from emulator.soak.disturbances import STARVED, Disturbance
from emulator.soak.history import History
from emulator.soak.operator_changes import DrainStart, RouteChange
from emulator.soak.promises import Bounds
from emulator.soak.request_records import ReceivedRequest, RequestKind, Run, SentRequest

RUN_AT = 12.5
LEFT_AT = 10.0


def history():
    """Return a run at an instance that has drained for 2.5 s, and a probe of an old route."""
    request = SentRequest("r1", RequestKind.SAFE, "plain", "k", "n1", RUN_AT - 0.1, 20.0, 0)
    probe = SentRequest(
        "p1",
        RequestKind.SAFE,
        "plain",
        "k",
        "n1",
        RUN_AT,
        20.0,
        0,
        path="/added1/",
        status=404,
        ended_at=RUN_AT,
    )
    run = Run(
        request_id="r1",
        instance_id="i1",
        incarnation="i1@1",
        service="plain",
        at=RUN_AT,
        tenant="t",
        version=0,
        salt="",
        key_shown=False,
        stamp="s",
        software_version="v1",
        first_event=0,
        received=ReceivedRequest("POST", "/", "", ()),
    )
    made = History()
    made.requests.update({"r1": request, "p1": probe})
    made.runs.append(run)
    made.drain_starts.append(DrainStart("i1@1", LEFT_AT))
    made.route_changes.append(RouteChange("/added1/", True, LEFT_AT))
    return made


class StarvedNodesTest(unittest.TestCase):
    def broken(self, subject):
        """Return which checks are broken while a subject is starved."""
        made = history()
        made.disturbances.append(Disturbance(STARVED, subject, LEFT_AT - 1.0, RUN_AT + 1.0))
        checks = (draining_instances_get_nothing, configurations_are_in_force)
        return [bool(list(check(made, Bounds()))) for check in checks]

    def test_a_starved_node_is_held_to_the_drain_bound_only(self):
        self.assertEqual(self.broken("n1"), [True, False])

    def test_other_nodes_are_held_to_all(self):
        self.assertEqual(self.broken("n2"), [True, True])
