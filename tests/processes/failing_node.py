"""A node in which three parts fail: at SIGUSR1, at SIGHUP, and in its planned stop."""

import signal

import trio

from hopstep import exchange_node
from hopstep.cli import node
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.weights.rollout_lease import RolloutLease

FAULT = LookupError("a fault that nothing expects")


async def fail_on_signal(_self):
    with trio.open_signal_receiver(signal.SIGUSR1) as received:
        async for _ in received:
            raise FAULT


async def fail(_self):
    raise FAULT


def fail_to_reload(*_arguments):
    raise FAULT


if __name__ == "__main__":
    PauseWatch.run = fail_on_signal
    RolloutLease.release = fail
    exchange_node._reload = fail_to_reload
    node.main()
