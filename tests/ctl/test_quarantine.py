import unittest

import msgspec

from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.ctl.quarantine import release_request, show_quarantine
from hopstep.ctl.results import ExitCode
from hopstep.domain.quarantine.crashes import Crash
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import ValidationError
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX, StoredRequest

FINGERPRINT = "00ff" * 8
CRASHES = tuple(Crash(f"i{number}@7", f"n{number}") for number in range(3))


class QuarantineVerbsTest(unittest.TestCase):
    def run_with_store(self, scenario):
        async def main():
            store = InMemoryStore(SharedStore())
            await scenario(store)

        run_in_virtual_time(main)

    async def keep(self, store, fingerprint=FINGERPRINT, **changes):
        value = StoredRequest(**{"tenant": "t", "route": "r", "crashes": CRASHES, **changes})
        key = QUARANTINE_PREFIX + fingerprint
        await store.compare_and_swap(key, ABSENT, msgspec.json.encode(value))

    def test_kept_requests_are_listed_with_the_nodes_that_saw_the_ends(self):
        async def scenario(store):
            await self.keep(store)
            result = await show_quarantine(store)
            self.assertEqual(
                result.text,
                f"{FINGERPRINT}  request  t  r  refused  i0@7 seen by n0, i1@7 seen by n1, "
                "i2@7 seen by n2  (0 discounted, 0 trials)",
            )

        self.run_with_store(scenario)

    def test_ends_that_no_longer_count_are_left_out(self):
        async def scenario(store):
            await self.keep(store, cleared=("i0@7",))
            [request] = (await show_quarantine(store)).document.requests
            self.assertFalse(request.refused)
            self.assertEqual(len(request.ends), 2)

        self.run_with_store(scenario)

    def test_a_request_is_allowed_whose_ends_another_one_explains(self):
        async def scenario(store):
            await self.keep(store)
            others = tuple(Crash(f"j{number}@7", "n") for number in range(3))
            await self.keep(store, "11" * 16, crashes=(*others, CRASHES[0]))
            requests = (await show_quarantine(store)).document.requests
            refused = {request.fingerprint: request.refused for request in requests}
            self.assertEqual(refused, {FINGERPRINT: False, "11" * 16: True})

        self.run_with_store(scenario)

    def test_a_request_is_allowed(self):
        async def scenario(store):
            await self.keep(store)
            result = await release_request(store, FINGERPRINT)
            self.assertEqual(result.exit_code, ExitCode.OK)
            kept = await store.get(QUARANTINE_PREFIX + FINGERPRINT)
            self.assertTrue(msgspec.json.decode(kept.value, type=StoredRequest).lifted)

        self.run_with_store(scenario)

    def test_unknown_requests_and_malformed_fingerprints_are_refused(self):
        async def scenario(store):
            result = await release_request(store, FINGERPRINT)
            self.assertEqual(result.exit_code, ExitCode.REJECTED)
            with self.assertRaisesRegex(ValidationError, "hexadecimal"):
                await release_request(store, "no digits")
            self.assertEqual((await show_quarantine(store)).text, "no request is kept")

        self.run_with_store(scenario)
