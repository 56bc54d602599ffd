"""Transfers between routers over HTTP, and answers that must be rejected."""

import unittest

import httpx
import trio

from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_http import HttpPeerConfiguration, PeerHttpHandler
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Configuration,
    Tenant,
)
from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    ConfigurationTransfer,
    Edit,
    Section,
)
from hopstep.exceptions import PeerMessageError

URL = "http://127.0.0.1:1"
CONFIGURATION = Configuration(back_ends=(BackEnd("e", "127.0.0.1:2", labels={"zone": "z"}),))
EDITS = (
    Edit(Section.BACK_ENDS, "f", BackEnd("f", "127.0.0.1:3")),
    Edit(Section.TENANTS, "t", Tenant("t")),
    Edit(Section.ROUTING, "routing", None),
)
CHANGE = AcceptedChange(8, Change("id", "operator", "why", 7, EDITS))
TRANSFER = ConfigurationTransfer(AcceptedConfiguration(7, CONFIGURATION), (CHANGE,))


def codec(name, cluster="c"):
    return PeerCodec(cluster, name, 1, PeerKeys({"k": bytes(32)}), lambda: 1_000.0)


class PeerHttpTest(unittest.TestCase):
    def setUp(self):
        self.requested_revisions = []
        self.handler = PeerHttpHandler(codec("b"), self.transfer)

    def transfer(self, after_revision):
        self.requested_revisions.append(after_revision)
        return TRANSFER

    async def answer(self, request):
        name = request.url.path.rpartition("/")[2]
        try:
            content = await self.handler.handle(name, await request.aread())
        except PeerMessageError:
            return httpx.Response(403)
        return httpx.Response(200, content=content)

    def fetch(self, answer=None, own=None, peer="b", times=1):
        async def main():
            transport = httpx.MockTransport(answer or self.answer)
            async with httpx.AsyncClient(transport=transport) as client:
                urls = {"b": URL, "z": URL}
                port = HttpPeerConfiguration(client, own or codec("a"), urls.get)
                for _ in range(times):
                    transfer = await port.fetch(peer, 6)
                return transfer

        return trio.run(main)

    def test_transfers_arrive_whole(self):
        self.assertEqual(self.fetch(), TRANSFER)
        self.assertEqual(self.requested_revisions, [6])

    def test_callers_that_are_not_to_be_trusted_get_nothing(self):
        with self.assertRaises(PeerMessageError):
            self.fetch(own=codec("a", cluster="d"))
        self.assertEqual(self.requested_revisions, [])

    def test_answers_that_are_not_to_be_trusted(self):
        stored = []

        async def replayed(request):
            stored.append(await self.answer(request))
            return httpx.Response(200, content=stored[0].content)

        async def truncated(request):
            complete = await self.answer(request)
            return httpx.Response(200, content=complete.content[:-1])

        async def broken(request):
            raise httpx.ConnectError("refused")

        cases = (
            ("the answer to an earlier request", replayed, "b", 2),
            ("truncated", truncated, "b", 1),
            ("an error of the peer", lambda _: httpx.Response(500), "b", 1),
            ("no connection", broken, "b", 1),
            ("an unknown peer", self.answer, "unknown", 1),
            ("another peer than asked", self.answer, "z", 1),
        )
        for name, answer, peer, times in cases:
            with self.subTest(name), self.assertRaises(PeerMessageError):
                self.fetch(answer, peer=peer, times=times)

    def test_unknown_calls_are_refused(self):
        with self.assertRaises(PeerMessageError):
            trio.run(self.handler.handle, "other", b"")


if __name__ == "__main__":
    unittest.main()
