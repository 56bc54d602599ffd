"""How a tracked connection tells who ended it."""

import contextlib
import socket
import struct
import unittest

import structlog.testing
import trio

from hopstep.adapters.tracked_connection import TrackedConnection
from hopstep.ports.exchange_front import ConnectionEnd

READ_BYTES = 1_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionEndTest(unittest.TestCase):
    def end_after(self, script, sent=b""):
        """Return who ended a connection, and the lines of that, after a script of both ends."""

        async def main():
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            client = await trio.open_tcp_stream(*listener.socket.getsockname())
            async with listener, client, await listener.accept() as served:
                connection = TrackedConnection(served, contextlib.nullcontext)
                if sent:
                    await client.send_all(sent)
                    await connection.receive_some(READ_BYTES)
                await script(client, connection)
                return connection.end

        with structlog.testing.capture_logs() as lines:
            end = trio.run(main)
        return end, [line for line in lines if line["event"] == "connection_closed_unread"]

    def test_a_client_that_closes_its_sending_side(self):
        async def script(client, connection):
            await client.send_eof()
            await connection.receive_some(READ_BYTES)
            await connection.aclose()

        self.assertEqual(self.end_after(script), (ConnectionEnd.CLIENT, []))

    def test_a_reset(self):
        async def script(client, connection):
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.socket.close()
            with contextlib.suppress(trio.BrokenResourceError):
                await connection.receive_some(READ_BYTES)

        self.assertEqual(self.end_after(script), (ConnectionEnd.RESET, []))

    def test_a_node_that_closes_in_the_midst_of_a_head_logs_it(self):
        # Such requests ended without any line of the node.
        async def script(client, connection):
            await connection.aclose()

        end, lines = self.end_after(script, sent=b"POST / HT")
        self.assertIs(end, ConnectionEnd.NODE)
        self.assertEqual([line["closed_by"] for line in lines], ["node"])
        self.assertTrue(lines[0]["client"])


if __name__ == "__main__":
    unittest.main()
