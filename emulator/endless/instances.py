"""A process with instances of which some answer without end.

The only argument of the module is an ``InstancesPlan`` as JSON. Ids of requests that are answered
without end are written to the standard output, a line each.
"""

from __future__ import annotations

import contextlib
import math
import random
import sys
from collections import Counter
from functools import partial

import h11
import msgspec
import trio

from emulator.endless.forms import NONE, EndlessAnswer, endless_answer

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 * 1024
ID_HEADER = b"attempt-id"
BODY = b"ok" * 64


class InstancesPlan(msgspec.Struct, frozen=True):
    """What the instances of a process do.

    Attributes:
        ports: Port of each instance.
        endless: Number of instances that answer without end, those with the most requests before.
        form: Form of their answers.
        work_seconds: Time for which each instance works on a request.
        sound_seconds: Time from the first request for which all instances answer whole.
    """

    ports: list[int]
    endless: int
    form: str
    work_seconds: float
    sound_seconds: float


class Instances:
    """The instances of a process."""

    def __init__(self, plan: InstancesPlan) -> None:
        """Prepare without serving.

        Args:
            plan: What they do.
        """
        self._plan = plan
        self._endless_from = math.inf
        self._requests: Counter[int] = Counter()
        self._endless: frozenset[int] | None = None

    async def serve(self) -> None:
        """Serve until the process is ended."""
        async with trio.open_nursery() as nursery:
            for number, port in enumerate(self._plan.ports):
                handler = partial(self._serve_connection, number)
                nursery.start_soon(partial(trio.serve_tcp, handler, port, host=LOOPBACK))

    async def _serve_connection(self, number: int, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection to an instance."""
        broken = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)
        protocol = h11.Connection(h11.SERVER)
        with contextlib.suppress(*broken):
            while (request_id := await _receive_request(protocol, stream)) is not None:
                answer = _whole_answer(protocol, request_id)
                is_sound = self._is_sound(number)
                await trio.sleep(self._plan.work_seconds)
                if not is_sound:
                    print(request_id.decode(), flush=True)
                    endless = endless_answer(self._plan.form, answer, random.Random(1))
                    await _send_without_end(stream, endless)
                await stream.send_all(answer)
                protocol.start_next_cycle()
        await trio.aclose_forcefully(stream)

    def _is_sound(self, number: int) -> bool:
        """Return whether an instance answers the request whole that it has received."""
        now = trio.current_time()
        self._requests[number] += 1
        if self._endless_from == math.inf:
            self._endless_from = now + self._plan.sound_seconds
        if self._plan.form == NONE or now < self._endless_from:
            return True
        if self._endless is None:
            most = self._requests.most_common(self._plan.endless)
            self._endless = frozenset(each for each, _ in most)
        return number not in self._endless


async def _receive_request(protocol: h11.Connection, stream: trio.SocketStream) -> bytes | None:
    """Return the id of the next request, after its end; None at the end of the connection."""
    request_id = b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Request):
            request_id = dict(event.headers).get(ID_HEADER, b"")
        elif isinstance(event, h11.EndOfMessage):
            return request_id
        elif isinstance(event, h11.ConnectionClosed):
            return None


def _whole_answer(protocol: h11.Connection, request_id: bytes) -> bytes:
    """Return a whole answer to a request."""
    headers = [
        (b"Attempt-Id", request_id),
        (b"Response-Stamp", b"stamp"),
        (b"Content-Length", b"%d" % len(BODY)),
    ]
    events = (
        h11.Response(status_code=200, reason=b"OK", headers=headers),
        h11.Data(data=BODY),
        h11.EndOfMessage(),
    )
    return b"".join(protocol.send(event) or b"" for event in events)


async def _send_without_end(stream: trio.SocketStream, answer: EndlessAnswer) -> None:
    """Send as fast as the caller reads, until it closes the connection."""
    await stream.send_all(answer.beginning)
    while True:
        await stream.send_all(answer.repeated)


if __name__ == "__main__":
    trio.run(Instances(msgspec.json.decode(sys.argv[1], type=InstancesPlan)).serve)
