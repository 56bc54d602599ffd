"""A node one of whose background tasks fails when the process gets SIGUSR1."""

import signal

import trio

from hopstep.cli import node
from hopstep.services.exchanges.pause_watch import PauseWatch


async def fail_on_signal(_self):
    with trio.open_signal_receiver(signal.SIGUSR1) as received:
        async for _ in received:
            raise LookupError("a fault that nothing expects")


if __name__ == "__main__":
    PauseWatch.run = fail_on_signal
    node.main()
