"""No request is sent over a tunnel whose instance has closed its connection."""

import contextlib
import re
import unittest

import trio

from hopstep.adapters.tunnel_codec import CHUNK_HEADER, END
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.reachability.gateways import Gateway
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, SendProof
from tests.platform.test_late_copies_elsewhere import PlainTunnels, request
from tests.repeating_peer import read_request

ANSWER = b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\n\r\nbody"
"""An answer without a length ends with its connection."""

CLOSE_SECONDS = 0.05
"""Time from the mark of the end to the end of the gateway's connection."""


class EndedTunnelsTest(unittest.TestCase):
    # Until the gateway's end had arrived too, the tunnel stayed in use, and a request was lost.
    def test_a_tunnel_that_has_ended_with_an_answer_is_not_used_again(self):
        tunnels = 0

        async def handle(stream):
            nonlocal tunnels
            tunnels += 1
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                received = await read_request(stream)
                answer = ANSWER % re.search(rb"(?i)attempt-id: (\S+)", received)[1]
                await stream.send_all(CHUNK_HEADER.pack(len(answer)) + answer)
                await stream.send_all(CHUNK_HEADER.pack(END))
                await trio.sleep(CLOSE_SECONDS)

        async def main():
            bodies = []
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, handle, 0)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                client = HttpClient(tunnels=PlainTunnels())
                instances = HttpInstances(client)
                instance = Instance("i1", "s", address, "z", 1)
                way = Gateway("n", address, b"")
                for request_id in ("r1", "r2"):
                    sent = request(request_id)
                    call = InstanceCall(instance, sent, 1.5, proof=SendProof(), gateway=way)
                    async with instances.open(call) as answer:
                        bodies.append(b"".join([data async for data in answer.body()]))
                await client.aclose()
                nursery.cancel_scope.cancel()
            return bodies

        self.assertEqual(trio.run(main), [b"body", b"body"])
        self.assertEqual(tunnels, 2)


if __name__ == "__main__":
    unittest.main()
