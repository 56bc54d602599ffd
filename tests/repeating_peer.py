"""A peer on plain sockets that sends surplus answers on its kept connections."""

import contextlib
import functools
import re

import trio

WITH_ANSWER = "in one write with the answer"
WHILE_IDLE = "before the next send"
BEFORE_NEXT = "after the next send, before its answer"
WITHIN_NEXT = "between head and body of the next answer"
MOMENTS = (WITH_ANSWER, WHILE_IDLE, BEFORE_NEXT, WITHIN_NEXT)

IDLE_SECONDS = 0.05
"""Time in which a surplus answer that was sent while a connection is idle arrives."""


def answer(body, *headers, status=200):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_request(stream):
    """Return the bytes of one request; none once the connection is closed."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if end and len(body) >= int(length[1] if length else 0):
            return data
        received = await stream.receive_some()
        if not received:
            return b""
        data += received


class RepeatingPeer:
    """Answers requests in order, and sends a copy of the first answer at one moment."""

    def __init__(self, answers, moment, repeats_ids=False):
        """Prepare the answers.

        Args:
            answers: Answers to the requests in order of arrival, or functions that return them.
            moment: When the copy is sent; None for no copy.
            repeats_ids: Whether answers repeat the id of their call.
        """
        self._answers = list(answers)
        self._moment = moment
        self._repeats_ids = repeats_ids
        self._copied = b""
        self._copied_on = 0
        self.requests = []
        self.connections = 0

    async def serve(self, nursery):
        """Start listening; return the address."""
        serve = functools.partial(trio.serve_tcp, self._handle, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    async def _handle(self, stream):
        self.connections += 1
        connection = self.connections
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while request := await read_request(stream):
                self.requests.append(request)
                own = await self._own_answer(request)
                if len(self.requests) == 1:
                    self._copied, self._copied_on = own, connection
                    await stream.send_all(own * (2 if self._moment == WITH_ANSWER else 1))
                    if self._moment == WHILE_IDLE:
                        await trio.sleep(IDLE_SECONDS / 2)
                        await stream.send_all(own)
                    continue
                await self._answer_next(stream, own, connection == self._copied_on)
        await stream.aclose()

    async def _own_answer(self, request):
        """Return the answer to a request."""
        own = self._answers.pop(0)
        if callable(own):
            own = await own(request)
        call_id = re.search(rb"(?i)\r\n(call-id: [^\r]+)", request)
        if not self._repeats_ids or call_id is None:
            return own
        status, _, rest = own.partition(b"\r\n")
        return b"\r\n".join((status, call_id[1], rest))

    async def _answer_next(self, stream, own, surplus):
        """Answer a later request, with the copy where its moment is here."""
        if surplus and self._moment == BEFORE_NEXT:
            await stream.send_all(self._copied)
            await trio.sleep(IDLE_SECONDS)
        if surplus and self._moment == WITHIN_NEXT:
            head, _, body = own.partition(b"\r\n\r\n")
            await stream.send_all(head + b"\r\n\r\n")
            await stream.send_all(self._copied + body)
            return
        await stream.send_all(own)
