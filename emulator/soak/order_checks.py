"""Checks that nodes take from each order's answer what the instance did with that order."""

from __future__ import annotations

import contextlib
import datetime
import json
from collections.abc import Iterable

from emulator.soak.history import History
from emulator.soak.instance_records import AnsweredOrder, LoggedOrder
from emulator.soak.promises import Bounds, Check

ORDER_SENT = "weights_order_sent"
STATUS_OF_OUTCOME = {
    "holds_already": 200,
    "under_way": 202,
    "busy_or_moved_on": 409,
    "fenced": 412,
}
"""Outcomes that only an answer can show, and the status of that answer."""

LONGEST_CALL_SECONDS = 1.0
"""Time from the answer of an order until it is in the log; nodes wait less than that for one."""

CLOCK_SECONDS = 0.05
"""Slack of clocks that are read in two processes."""


def logged_orders(log: str) -> list[LoggedOrder]:
    """Return the orders in a node's log."""
    orders = []
    for line in log.splitlines():
        if ORDER_SENT not in line:
            continue
        with contextlib.suppress(json.JSONDecodeError, KeyError):
            fields = json.loads(line)
            orders.append(
                LoggedOrder(
                    fields["instance"],
                    fields["node"],
                    fields["fencing_token"],
                    fields["version"],
                    fields["outcome"],
                    datetime.datetime.fromisoformat(fields["timestamp"]).timestamp(),
                )
            )
    return orders


def outcomes_of_orders_are_true(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield outcomes of orders that nodes logged although the instance answered otherwise.

    An order that a suspended node logs late is left out, as its time shows nothing.
    """
    unmatched = list(history.answered_orders)
    for logged in sorted(history.logged_orders, key=lambda order: order.at_unix):
        status = STATUS_OF_OUTCOME.get(logged.outcome)
        if status is None:
            continue
        own = [order for order in unmatched if _is_answer_to(order, logged)]
        true = next((order for order in own if order.status == status), None)
        if true is not None:
            unmatched.remove(true)
        else:
            answered = [order.status for order in own]
            yield (
                f"{logged.node} logged the order of version {logged.version} to "
                f"{logged.instance_id} as {logged.outcome}, which answered {answered}"
            )


def _is_answer_to(answered: AnsweredOrder, logged: LoggedOrder) -> bool:
    """Return whether an answer may be that of a logged order."""
    late = logged.at_unix - answered.at_unix
    return (
        answered.instance_id == logged.instance_id
        and answered.holder == logged.node
        and answered.token == logged.token
        and answered.version == logged.version
        and -CLOCK_SECONDS <= late <= LONGEST_CALL_SECONDS
    )


ORDER_CHECKS: dict[str, Check] = {"outcomes of orders": outcomes_of_orders_are_true}
