"""A node logs when a request begins to be refused, and when it no longer is, and why."""

import random
import unittest

import msgspec
import structlog
import trio

from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.quarantine.crash_ledger import ENDS_TO_REFUSE
from hopstep.domain.quarantine.crash_records import MEMORY_SECONDS
from hopstep.domain.quarantine.crashes import (
    Crash,
    EndEvidence,
    InstanceSign,
    RequestCrashes,
    RequestName,
)
from hopstep.domain.store_place import StorePlace
from hopstep.services.quarantine.quarantine import EXPIRY_SECONDS, HEARING_SECONDS, Quarantine
from hopstep.services.quarantine.records import (
    QUARANTINE_PREFIX,
    STAND_BACK_SECONDS,
    TRIAL_AFTER_SECONDS,
    QuarantineRecords,
)
from hopstep.services.quarantine.trial_verdicts import VERDICT_CHECK_SECONDS, VERDICT_SECONDS

FATAL = b"fatal"
OTHER = b"other"


def told(fingerprint, *lives, cleared=(), seen_by="n2"):
    return RequestCrashes(fingerprint, tuple(Crash(life, seen_by) for life in lives), cleared)


class LoggedRefusalsTest(unittest.TestCase):
    def run_script(self, script):
        """Return the refusals and releases that were logged: event, request, reason."""

        async def main():
            async with trio.open_nursery() as nursery:
                quarantine = Quarantine("n1")
                nursery.start_soon(quarantine.run)
                await script(quarantine)
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines:
            run_in_virtual_time(main)
        return [
            (line["number"], bytes.fromhex(line["fingerprint"]), line.get("reason", ""))
            for line in lines
            if line["number"] in ("HS3106", "HS3107")
        ]

    def test_the_beginning_of_a_refusal_is_logged_once(self):
        async def script(quarantine):
            for number in range(6):
                quarantine.take([told(FATAL, f"i{number}")])

        self.assertEqual(self.run_script(script), [("HS3106", FATAL, "")])

    def test_a_release_is_logged_with_its_reason(self):
        async def script(quarantine):
            for reason in ("answered", "lifted", "told"):
                lives = [f"{reason}{number}" for number in range(3)]
                quarantine.take([told(FATAL, *lives)])
                if reason == "answered":
                    quarantine.note_whole_answer(FATAL)
                elif reason == "lifted":
                    quarantine.lift(FATAL)
                else:
                    quarantine.take([told(FATAL, cleared=lives)])

        lines = self.run_script(script)
        self.assertEqual(
            [reason for number, _, reason in lines if number == "HS3107"],
            ["answered", "lifted", "answered"],
        )

    def test_a_request_is_released_when_another_one_explains_its_ends(self):
        async def script(quarantine):
            quarantine.take([told(OTHER, "j1", "j2", "i4")])
            quarantine.take([told(FATAL, "i1", "i2", "i3", "i4")])
            self.assertEqual(quarantine.refused_seconds(OTHER), 0.0)

        self.assertEqual(
            self.run_script(script),
            [("HS3106", OTHER, ""), ("HS3106", FATAL, ""), ("HS3107", OTHER, "explained")],
        )

    def test_a_refusal_that_runs_out_is_logged(self):
        async def script(quarantine):
            quarantine.take([told(FATAL, "i1", "i2", "i3")])
            await trio.sleep(MEMORY_SECONDS + 2 * EXPIRY_SECONDS)

        self.assertEqual(
            self.run_script(script), [("HS3106", FATAL, ""), ("HS3107", FATAL, "expired")]
        )


class AdmissionTest(unittest.TestCase):
    """A request that all instances of a service took with them isn't refused for good.

    A soak had this: all nodes were killed, so none knew of the request's 162 whole answers; the
    three instances ended within 2.4 s under other requests; the request was refused from then on.
    """

    def run_script(self, script):
        async def main():
            store = InMemoryStore(SharedStore())
            async with trio.open_nursery() as nursery:
                quarantines = [Quarantine(f"n{number}") for number in range(2)]
                records = [
                    QuarantineRecords(quarantine, store, random.Random(1))
                    for quarantine in quarantines
                ]
                for part in (*quarantines, *records):
                    nursery.start_soon(part.run)
                await script(store, quarantines, records)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    @staticmethod
    async def tell_all(store, quarantines, records, seen_by="n2"):
        """Refuse a request at all nodes, and let them write and read the store."""
        for quarantine in quarantines:
            quarantine.take([told(FATAL, "i1", "i2", "i3", seen_by=seen_by)])
        await trio.sleep(2 * STAND_BACK_SECONDS)
        stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
        for part in records:
            part.take(stored.key, stored.value, stored.version)

    def test_one_node_may_try_a_refused_request_once(self):
        async def script(store, quarantines, records):
            await self.tell_all(store, quarantines, records)
            self.assertGreater(await quarantines[0].admit(FATAL), 0.0)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual(await quarantines[0].admit(FATAL), 0.0)
            for quarantine in (*quarantines, *quarantines):
                self.assertGreater(await quarantine.admit(FATAL), 100.0)

        self.run_script(script)

    def test_a_whole_answer_to_it_releases_the_request(self):
        async def script(store, quarantines, records):
            await self.tell_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual(await quarantines[0].admit(FATAL), 0.0)
            quarantines[0].note_whole_answer(FATAL)
            self.assertEqual(await quarantines[0].admit(FATAL), 0.0)

        self.run_script(script)

    async def try_once(self, store, quarantines, records):
        """Refuse a request at all nodes, and have the first one try it."""
        await self.tell_all(store, quarantines, records)
        await trio.sleep(TRIAL_AFTER_SECONDS)
        self.assertEqual(await quarantines[0].admit(FATAL), 0.0)

    async def count_admitted(self, store, quarantines, records):
        """Return how often all nodes let the request run now, as they read the store again."""
        admitted = 0
        for _ in range(2):
            stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
            for part in records:
                part.take(stored.key, stored.value, stored.version)
            for quarantine in quarantines:
                admitted += await quarantine.admit(FATAL) == 0.0
        return admitted

    def test_a_request_is_tried_again_since_a_restored_store_shows_no_try(self):
        # Each restore let a request that ends instances reach one more of them.
        for lost_whole in (False, True):
            with self.subTest(lost_whole=lost_whole):

                async def script(store, quarantines, records, lost_whole=lost_whole):
                    empty = store._shared.model.backup()
                    await self.tell_all(store, quarantines, records, seen_by="n0")
                    copy = empty if lost_whole else store._shared.model.backup()
                    await trio.sleep(TRIAL_AFTER_SECONDS)
                    self.assertEqual(await quarantines[0].admit(FATAL), 0.0)
                    quarantines[0].note_broken(RequestName(FATAL), "i9")
                    quarantines[0].note_ended("i9", EndEvidence.REFUSED)
                    quarantines[0].end_trial(FATAL)
                    await trio.sleep(VERDICT_SECONDS)
                    for part in records:
                        part.take(*await self.read(store))
                    store._shared.restore(copy)
                    for _ in range(3):
                        for part in records:
                            part.take(*await self.read(store))
                        for quarantine in quarantines:
                            self.assertGreater(await quarantine.admit(FATAL), 0.0)
                        await trio.sleep(TRIAL_AFTER_SECONDS)
                    stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
                    self.assertEqual(msgspec.json.decode(stored.value)["trials"], 1)

                self.run_script(script)

    @staticmethod
    async def read(store):
        """Return the request's key as the store shows it: key, value, version."""
        key = QUARANTINE_PREFIX + FATAL.hex()
        stored = await store.get(key)
        if stored is None:
            return key, b"", StorePlace(store._shared.model.era, store._shared.model.revision)
        return key, stored.value, stored.version

    def test_a_try_whose_client_leaves_is_followed_by_another_one(self):
        async def script(store, quarantines, records):
            await self.try_once(store, quarantines, records)
            quarantines[0].note_broken(RequestName(FATAL), "i9")
            quarantines[0].end_trial(FATAL)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 0)
            await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 1)

        self.run_script(script)

    def test_a_try_that_reached_no_instance_is_followed_by_another_one(self):
        async def script(store, quarantines, records):
            await self.try_once(store, quarantines, records)
            quarantines[0].end_trial(FATAL)
            await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 1)

        self.run_script(script)

    def test_a_try_that_ends_an_instance_is_the_last_one(self):
        for ends_first in (True, False):
            with self.subTest(ends_first=ends_first):

                async def script(store, quarantines, records, ends_first=ends_first):
                    await self.try_once(store, quarantines, records)
                    quarantines[0].note_broken(RequestName(FATAL), "i9")
                    if ends_first:
                        quarantines[0].note_ended("i9", EndEvidence.REFUSED)
                    quarantines[0].end_trial(FATAL)
                    await trio.sleep(VERDICT_SECONDS / 2)
                    if not ends_first:
                        quarantines[0].note_ended("i9", EndEvidence.UNLISTED)
                    await trio.sleep(2 * VERDICT_SECONDS)
                    self.assertEqual(await self.count_admitted(store, quarantines, records), 0)

                self.run_script(script)

    def test_a_try_whose_instance_does_not_answer_a_look_is_the_last_one(self):
        for sign, admitted in (
            (InstanceSign.ANSWERS, 1),
            (InstanceSign.ENDED, 0),
            (InstanceSign.NO_ANSWER, 0),
        ):
            with self.subTest(sign=sign):

                async def look(sign=sign):
                    await trio.lowlevel.checkpoint()
                    return sign

                async def script(store, quarantines, records, look=look, admitted=admitted):
                    await self.try_once(store, quarantines, records)
                    quarantines[0].note_left(RequestName(FATAL), "i9", look)
                    quarantines[0].end_trial(FATAL)
                    await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
                    found = await self.count_admitted(store, quarantines, records)
                    self.assertEqual(found, admitted)

                self.run_script(script)

    def test_a_try_is_not_followed_by_another_one_while_it_runs(self):
        async def script(store, quarantines, records):
            await self.try_once(store, quarantines, records)
            await trio.sleep(3 * VERDICT_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 0)

        self.run_script(script)

    def test_it_is_released_at_all_nodes_however_many_ends_had_come_together(self):
        async def script(store, quarantines, records):
            lives = [f"i{number}" for number in range(7)]
            for quarantine in quarantines:
                quarantine.take([told(FATAL, *lives)])
            await self.tell_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual(await quarantines[0].admit(FATAL), 0.0)
            quarantines[0].note_whole_answer(FATAL)
            quarantines[1].take([quarantines[0].told(FATAL)])
            for quarantine in quarantines:
                self.assertEqual(quarantine.refused_seconds(FATAL), 0.0)
                quarantine.take([told(FATAL, "j1")])
                quarantine.take([told(FATAL, "j2")])
                self.assertGreater(quarantine.refused_seconds(FATAL), 0.0)

        self.run_script(script)

    def test_an_end_under_a_try_counts_for_no_other_request(self):
        """A soak had this: a try's end made a request the worse one, and released those beside it.

        Then four nodes sent one of these at once, 8 s after it had ended its third instance.
        """

        async def script(store, quarantines, records):
            await self.tell_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual(await quarantines[0].admit(FATAL), 0.0)
            quarantines[0].note_broken(RequestName(FATAL), "i4")
            quarantines[0].note_ended("i4", EndEvidence.REFUSED)
            self.assertEqual(quarantines[0].ends(FATAL), ENDS_TO_REFUSE)
            self.assertGreater(await quarantines[0].admit(FATAL), 0.0)

        self.run_script(script)

    def test_none_is_tried_while_the_store_is_away(self):
        async def script(store, quarantines, records):
            await self.tell_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            store.cut_off = True
            self.assertGreater(await quarantines[0].admit(FATAL), 100.0)
            store.cut_off = False
            self.assertEqual(await quarantines[0].admit(FATAL), 0.0)

        self.run_script(script)

    def test_an_end_that_others_excuse_a_moment_later_refuses_nothing(self):
        async def script(store, quarantines, records):
            quarantine = quarantines[0]
            quarantine.take([told(FATAL, "i1", "i2", "i3")])

            async def excuse():
                await trio.sleep(HEARING_SECONDS / 2)
                quarantine.take([told(FATAL, "i1", "i2", "i3", cleared=("i3",))])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(excuse)
                await quarantine.settle(FATAL, "i3")
            self.assertEqual(await quarantine.admit(FATAL), 0.0)

        self.run_script(script)

    def test_the_word_of_others_is_awaited_once_and_for_half_a_second(self):
        async def script(store, quarantines, records):
            quarantines[0].take([told(FATAL, "i1", "i2", "i3")])
            began_at = trio.current_time()
            for _ in range(2):
                await quarantines[0].settle(FATAL, "i3")
                self.assertEqual(trio.current_time() - began_at, HEARING_SECONDS)
            self.assertGreater(await quarantines[0].admit(FATAL), 0.0)

        self.run_script(script)


if __name__ == "__main__":
    unittest.main()
