"""A router in which the membership fails at SIGUSR1."""

import signal

import trio

from hopstep.cli import router
from hopstep.services.membership import MembershipService


async def fail_on_signal(_self):
    with trio.open_signal_receiver(signal.SIGUSR1) as received:
        async for _ in received:
            raise LookupError("a fault that nothing expects")


if __name__ == "__main__":
    MembershipService._tick = fail_on_signal
    router.main()
