"""No call is sent over a connection whose end was read with the answer before."""

import unittest

import httpcore
import httpx
import trio

from hopstep.adapters.kept_connections import CLIENT_LIMITS, make_transport

ANSWER = (b"HTTP/1.1 200 OK\r\n\r\nbody", b"")
"""An answer without a length, and the end of its connection."""


class CountingBackend(httpcore.AsyncMockBackend):
    """Opens connections that don't look readable at their end, as under TLS until TCP ends too."""

    def __init__(self):
        super().__init__(list(ANSWER))
        self.opened = 0

    async def connect_tcp(self, *arguments, **options):
        self.opened += 1
        self._buffer = list(ANSWER)
        return await super().connect_tcp(*arguments, **options)


class EndedConnectionsTest(unittest.TestCase):
    # The second call was lost: the library keeps a connection that has ended with an answer.
    def test_a_connection_that_has_ended_with_an_answer_is_not_used_again(self):
        async def main():
            backend = CountingBackend()
            transport = make_transport(CLIENT_LIMITS, None, backend)
            async with httpx.AsyncClient(transport=transport) as client:
                bodies = [(await client.get("http://engine.example/")).text for _ in range(2)]
            return bodies, backend.opened

        self.assertEqual(trio.run(main), (["body", "body"], 2))


if __name__ == "__main__":
    unittest.main()
