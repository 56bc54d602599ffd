"""Changes of the configuration during an attempt's preparation are applied before it is sent."""

import unittest
from unittest import mock

import msgspec

from hopstep.domain.claims import Claim, HeldClaim
from hopstep.services.requests.attempt_factory import AttemptFactory
from tests.services.requests import request_path
from tests.services.requests.request_path import RequestPath, configuration, engine, run


class ChangingClaims:
    """Claims that change the configuration during the first claim."""

    def __init__(self, path, document):
        self.path = path
        self.document = document
        self.replaced = []

    async def claim(self, tenant, key, nonce, address, incarnation, replaces=None):
        self.replaced.append(replaces)
        if self.document is not None:
            self.path.apply(self.document)
            self.document = None
        return HeldClaim(key, len(self.replaced), Claim(nonce, address, incarnation, "r", 0.0))


def edited(**changes):
    document = configuration()
    first = msgspec.structs.replace(document.back_ends[0], **changes)
    return msgspec.structs.replace(document, back_ends=(first, document.back_ends[1]))


CHANGES = (
    ("none", None, "e0"),
    ("irrelevant", edited(max_concurrent_requests=5), "e0"),
    ("leaving", edited(leaving=True), "e1"),
    ("another model", edited(models=()), "e1"),
    ("removed", msgspec.structs.replace(configuration(), back_ends=(engine(1),)), "e1"),
)


class AttemptFactoryTest(unittest.TestCase):
    def serve(self, document):
        """Return the engines that answered a request, and the claims that were replaced."""

        async def main():
            path = RequestPath(configuration())
            claims = ChangingClaims(path, document)
            path.dispatcher._factory._claims = claims
            await path.learn_facts()
            path.table.record_failure(engine(1).address, 0.0)  # e0 is chosen first.
            request = path.request("once", idempotency_key="k")
            parts = await path.answer(request)
            self.assertEqual(request_path.tokens_of(parts), request_path.oracle(request))
            self.assertEqual(path.runs(request), 1)
            return {part.engine for part in parts}, claims.replaced

        return run(main)

    def test_an_engine_that_is_ruled_out_during_the_claim_gets_nothing(self):
        for name, document, last_engine in CHANGES:
            with self.subTest(change=name):
                answered, replaced = self.serve(document)
                self.assertEqual(answered, {last_engine})
                self.assertIsNone(replaced[0])
                self.assertNotIn(None, replaced[1:])
                self.assertEqual(len(replaced), 1 if last_engine == "e0" else 2)

    def test_without_the_second_check_the_engine_would_get_the_attempt(self):
        with mock.patch.object(AttemptFactory, "_is_current", lambda *_: True):
            self.assertEqual(self.serve(edited(leaving=True))[0], {"e0"})
