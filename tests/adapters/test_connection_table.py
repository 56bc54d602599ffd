"""Each cell of the table of design 0046: a state of a client's connection and what ends it."""

import contextlib
import socket
import struct
import unittest
from pathlib import Path
from unittest import mock

import trio

from hopstep.adapters import http_server
from tests.adapters.test_connection_ends import (
    LONG_BODY_BYTES,
    REQUEST,
    ServedCase,
    answer_long,
    read_slowly,
)

NOTE = (
    Path(__file__).parents[2] / "docs" / "design" / "0046-ends-of-a-clients-connection.md"
).read_text()
UPLOAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789"
STREAM_REQUEST = b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"
END = b"the end"
WORK_SECONDS = 0.2
EVENT_SECONDS = 0.1
"""Time from the beginning of a state to its event."""

IDLE_SECONDS = 0.15
LONG_IDLE_SECONDS = 60.0
NOTICED_SECONDS = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

SENT_IN_STATE = {
    "idle": (REQUEST, b""),
    "head arriving": (REQUEST[:9], REQUEST[9:]),
    "body arriving": (UPLOAD[:-5], UPLOAD[-5:]),
    "waiting": (REQUEST, b""),
    "being answered": (STREAM_REQUEST, b""),
    "answered, not read yet": (REQUEST, b""),
    "next request already here": (2 * REQUEST, b""),
}
"""What the client sends before and after the event."""


class Application:
    """Answers after some time; counts the requests that came whole, and those that were ended."""

    def __init__(self, work_seconds):
        self.work_seconds = work_seconds
        self.begun = 0
        self.ended = 0

    async def __call__(self, scope, receive, send):
        while (message := await receive()).get("more_body"):
            pass
        if message["type"] == "http.disconnect":
            return
        self.begun += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cancel_on_disconnect, receive, nursery.cancel_scope)
            await self.answer(scope, send)
            nursery.cancel_scope.cancel()

    async def cancel_on_disconnect(self, receive, scope):
        """Cancel a request; the server also reports a disconnect after a whole response."""
        await receive()
        if self.ended < self.begun:
            scope.cancel()

    async def answer(self, scope, send):
        """Answer after the time of work; a stream begins before it."""
        headers = [(b"content-length", str(2 * len(END)).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        piece = {"type": "http.response.body", "body": b"." * len(END), "more_body": True}
        if scope["path"] == "/stream":
            await send(start)
            await send(piece)
            await trio.sleep(self.work_seconds)
        else:
            await trio.sleep(self.work_seconds)
            await send(start)
            await send(piece)
        self.ended += 1
        await send({**piece, "body": END, "more_body": False})


async def set_stop(_stream, stopped):
    stopped.set()


async def wait_idle(_stream, _stopped):
    await trio.sleep(IDLE_SECONDS)


async def half_close(stream, _stopped):
    await stream.send_eof()


async def close(stream, _stopped):
    await stream.aclose()


async def reset(stream, _stopped):
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()


EVENTS = {
    "end of the drain": set_stop,
    "idle time ends": wait_idle,
    "half-close": half_close,
    "close": close,
    "reset": reset,
}


def read_table(heading):
    """Return the cells of the table under a heading, by state and event."""
    section = NOTE.partition(f"## {heading}\n")[2].partition("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| ")]
    head, _, *rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return {
        (row[0], event): cell for row in rows for event, cell in zip(head[1:], row[1:], strict=True)
    }


def describe(state, received, application, has_left):
    """Return the word of the table for what happened."""
    sent = SENT_IN_STATE[state][0].count(b" HTTP/1.1\r\n")
    answers = received.count(END)
    if received.startswith(b"HTTP/1.1 400"):
        return "400" if application.begun == 0 else "400 after a run"
    if answers == application.begun == max(1, sent):
        return "answered"
    if application.begun == 0:
        return "not run"
    if has_left:
        # Of two requests the first may still be answered; the last may not run to its end.
        return "cancelled" if application.ended < max(1, sent) else "run to the end"
    if answers == application.begun == sent - 1:
        return "last not run"
    return f"{application.begun} run, {answers} answered"


class ConnectionTableTest(ServedCase):
    def play(self, state, event):
        """Return the word of the table for a state and an event."""
        if state == "answered, not read yet":
            return self.play_unread(event)
        application = Application(0.0 if state == "idle" else WORK_SECONDS)
        before, after = SENT_IN_STATE[state]
        has_left = event in ("close", "reset")

        async def script(stream, stopped):
            received = b""
            await stream.send_all(before)
            if state in ("idle", "being answered"):
                received += await stream.receive_some()
            await trio.sleep(EVENT_SECONDS)
            while state == "idle" and END not in received:
                received += await stream.receive_some()
            await EVENTS[event](stream, stopped)
            if has_left:
                await trio.sleep(NOTICED_SECONDS)
                return received
            if event != "half-close":
                await trio.sleep(EVENT_SECONDS / 2)
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(after)
            return received + (await read_slowly(stream))[0]

        received = self.serve(event, script, application)
        return describe(state, received, application, has_left)

    def play_unread(self, event):
        """Return the word for a long answer that its client reads after the event only."""

        async def script(stream, stopped):
            await stream.send_all(REQUEST)
            await trio.sleep(EVENT_SECONDS)
            await EVENTS[event](stream, stopped)
            if event in ("close", "reset"):
                return b""
            return (await read_slowly(stream))[0]

        received = self.serve(event, script, answer_long)
        is_whole = len(received.partition(b"\r\n\r\n")[2]) == LONG_BODY_BYTES
        return "answered" if is_whole else "left" if not received else "cut"

    def serve(self, event, script, application):
        """Run a script; the server's idle time is short where its end is the event."""
        seconds = IDLE_SECONDS if event == "idle time ends" else LONG_IDLE_SECONDS
        with mock.patch.object(http_server, "KEEP_ALIVE_SECONDS", seconds):
            return self.run_client(script, application)

    def test_the_table_has_every_state_and_event(self):
        cells = {(state, event) for state in SENT_IN_STATE for event in EVENTS}
        self.assertEqual(set(read_table("The connection alone")), cells)

    def test_no_cell_is_other_than_the_table_says(self):
        # A request that was passed on and whose connection then ended without an answer.
        for (state, event), expected in read_table("The connection alone").items():
            with self.subTest(state=state, event=event):
                self.assertEqual(self.play(state, event), expected)


if __name__ == "__main__":
    unittest.main()
