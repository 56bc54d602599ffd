"""Tracked connections of the server for clients, with real sockets."""

import functools
import unittest

import trio

from hopstep.adapters.exchange_server import track_connection
from hopstep.adapters.http_server import ServerConfig, serve_app
from hopstep.ports.exchange_front import CONNECTION_STATE

LONG_RESPONSE = b"x" * 20_000_000


class TrackedConnectionTest(unittest.TestCase):
    def test_disconnecting_ends_a_write_that_waits_for_its_client(self):
        """Guards against a client that reads nothing and holds a response for ever."""
        connections = []

        async def app(scope, receive, send):
            if scope["type"] == "lifespan":
                for _ in range(2):
                    message = await receive()
                    await send({"type": f"{message['type']}.complete"})
                return
            connections.append(scope["state"][CONNECTION_STATE])
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": LONG_RESPONSE})
            written.set()

        async def main():
            serve = functools.partial(
                serve_app, app, ServerConfig("127.0.0.1:0", None), stopped.wait
            )
            async with trio.open_nursery() as nursery:
                serving = functools.partial(serve, wrap_stream=track_connection)
                urls = await nursery.start(serving)
                stream = await trio.open_tcp_stream("127.0.0.1", int(urls[0].rpartition(":")[2]))
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await trio.sleep(0.3)
                (connection,) = connections
                self.assertTrue(connection.is_writing and not written.is_set())
                before = connection.last_progress_at
                self.assertLess(before, trio.current_time() - 0.1)
                await stream.receive_some(1_000_000)
                await trio.sleep(0.1)
                self.assertGreater(connection.last_progress_at, before)
                connection.disconnect()
                with trio.fail_after(1.0):
                    await written.wait()
                    with self.assertRaises(trio.BrokenResourceError):
                        while await stream.receive_some():
                            pass
                stopped.set()

        async def run():
            nonlocal written, stopped
            written, stopped = trio.Event(), trio.Event()
            await main()

        written = stopped = None
        trio.run(run)


if __name__ == "__main__":
    unittest.main()
