"""Refusals and releases of quarantined requests: their logging, and trials of refused requests."""

import random
import unittest

import msgspec
import structlog
import trio

from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.domain.quarantine.crash_records import RETENTION_SECONDS
from hopstep.domain.quarantine.crashes import (
    InstanceProbeResult,
    TerminationEvidence,
)
from hopstep.domain.store_position import StorePosition
from hopstep.services.quarantine.quarantine import EXPIRY_SECONDS, PEER_REPORT_SECONDS, Quarantine
from hopstep.services.quarantine.records import (
    OBSERVER_WRITE_SECONDS,
    TRIAL_AFTER_SECONDS,
    QuarantineRecords,
)
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX
from hopstep.services.quarantine.trial_verdicts import VERDICT_CHECK_SECONDS, VERDICT_SECONDS
from tests.services.quarantine.reports import FATAL, OTHER, REQUEST, report


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
                quarantine.merge_reports([report(FATAL, f"i{number}")])

        self.assertEqual(self.run_script(script), [("HS3106", FATAL, "")])

    def test_a_release_is_logged_with_its_reason(self):
        async def script(quarantine):
            for reason in ("answered", "lifted", "cleared"):
                incarnations = [f"{reason}{number}" for number in range(3)]
                quarantine.merge_reports([report(FATAL, *incarnations)])
                if reason == "answered":
                    quarantine.note_complete_response(REQUEST)
                elif reason == "lifted":
                    quarantine.lift(FATAL)
                else:
                    quarantine.merge_reports([report(FATAL, cleared=incarnations)])

        lines = self.run_script(script)
        self.assertEqual(
            [reason for number, _, reason in lines if number == "HS3107"],
            ["answered", "lifted", "answered"],
        )

    def test_a_request_is_released_when_another_one_explains_its_ends(self):
        async def script(quarantine):
            quarantine.merge_reports([report(OTHER, "j1", "j2", "i4")])
            quarantine.merge_reports([report(FATAL, "i1", "i2", "i3", "i4")])
            self.assertEqual(quarantine.refused_seconds(OTHER), 0.0)

        self.assertEqual(
            self.run_script(script),
            [("HS3106", OTHER, ""), ("HS3106", FATAL, ""), ("HS3107", OTHER, "explained")],
        )

    def test_a_refusal_that_runs_out_is_logged(self):
        async def script(quarantine):
            quarantine.merge_reports([report(FATAL, "i1", "i2", "i3")])
            await trio.sleep(RETENTION_SECONDS + 2 * EXPIRY_SECONDS)

        self.assertEqual(
            self.run_script(script), [("HS3106", FATAL, ""), ("HS3107", FATAL, "expired")]
        )


class AdmissionTest(unittest.TestCase):
    """A request that was in progress when all instances of a service crashed isn't refused forever.

    Guards against this failure: all nodes are killed, so that none remembers the request's 162
    complete responses; then three instances terminate within 2.4 s under other requests, and the
    request is refused from then on.
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
                for service in (*quarantines, *records):
                    nursery.start_soon(service.run)
                await script(store, quarantines, records)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    @staticmethod
    async def refuse_at_all(store, quarantines, records, seen_by="n2"):
        """Have a request refused at all nodes, and let them write and read the store."""
        for quarantine in quarantines:
            quarantine.merge_reports([report(FATAL, "i1", "i2", "i3", seen_by=seen_by)])
        await trio.sleep(2 * OBSERVER_WRITE_SECONDS)
        stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
        for record in records:
            record.apply_stored(stored.key, stored.value, stored.version)

    def test_one_node_may_try_a_refused_request_once(self):
        async def script(store, quarantines, records):
            await self.refuse_at_all(store, quarantines, records)
            self.assertGreater((await quarantines[0].admit(REQUEST)).seconds, 0.0)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)
            for quarantine in (*quarantines, *quarantines):
                self.assertGreater((await quarantine.admit(REQUEST)).seconds, 100.0)

        self.run_script(script)

    def test_a_complete_response_to_it_releases_the_request(self):
        async def script(store, quarantines, records):
            await self.refuse_at_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)
            quarantines[0].note_complete_response(REQUEST)
            self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)

        self.run_script(script)

    def test_nodes_that_are_all_lost_right_after_a_trial_was_answered_read_its_release(self):
        """Guards against a sound subject that is refused for ten minutes, its trial used up."""

        async def script(store, quarantines, records):
            await self.claim_trial(store, quarantines, records)
            quarantines[0].note_complete_response(REQUEST)
            await trio.sleep(0.1)
            stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
            restarted = Quarantine("n0")
            reader = QuarantineRecords(restarted, store, random.Random(1))
            reader.apply_stored(stored.key, stored.value, stored.version)
            self.assertEqual((await restarted.admit(REQUEST)).seconds, 0.0)

        self.run_script(script)

    async def claim_trial(self, store, quarantines, records):
        """Have a request refused at all nodes, and run its trial at the first one."""
        await self.refuse_at_all(store, quarantines, records)
        await trio.sleep(TRIAL_AFTER_SECONDS)
        self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)

    async def count_admitted(self, store, quarantines, records):
        """Return how often all nodes admit the request now, after reading the store again."""
        admitted = 0
        for _ in range(2):
            stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
            for record in records:
                record.apply_stored(stored.key, stored.value, stored.version)
            for quarantine in quarantines:
                admitted += (await quarantine.admit(REQUEST)).seconds == 0.0
        return admitted

    def test_a_restored_store_that_shows_no_trial_does_not_allow_another_one(self):
        # Otherwise each restore lets a request that crashes instances reach another one.
        for lost_whole in (False, True):
            with self.subTest(lost_whole=lost_whole):

                async def script(store, quarantines, records, lost_whole=lost_whole):
                    empty = store._shared.model.backup()
                    await self.refuse_at_all(store, quarantines, records, seen_by="n0")
                    copy = empty if lost_whole else store._shared.model.backup()
                    await trio.sleep(TRIAL_AFTER_SECONDS)
                    self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)
                    quarantines[0].note_interrupted(REQUEST, "i9")
                    quarantines[0].note_terminated("i9", TerminationEvidence.REFUSED)
                    quarantines[0].end_trial(REQUEST)
                    await trio.sleep(VERDICT_SECONDS)
                    for record in records:
                        record.apply_stored(*await self.read(store))
                    store._shared.restore(copy)
                    for _ in range(3):
                        for record in records:
                            record.apply_stored(*await self.read(store))
                        for quarantine in quarantines:
                            self.assertGreater((await quarantine.admit(REQUEST)).seconds, 0.0)
                        await trio.sleep(TRIAL_AFTER_SECONDS)
                    stored = await store.get(QUARANTINE_PREFIX + FATAL.hex())
                    self.assertEqual(msgspec.json.decode(stored.value)["trials"], 1)

                self.run_script(script)

    @staticmethod
    async def read(store):
        """Return the key, value and version of the request's record in the store."""
        key = QUARANTINE_PREFIX + FATAL.hex()
        stored = await store.get(key)
        if stored is None:
            return key, b"", StorePosition(store._shared.model.era, store._shared.model.revision)
        return key, stored.value, stored.version

    def test_a_trial_whose_client_leaves_is_followed_by_another_one(self):
        async def script(store, quarantines, records):
            await self.claim_trial(store, quarantines, records)
            quarantines[0].note_interrupted(REQUEST, "i9")
            quarantines[0].end_trial(REQUEST)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 0)
            await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 1)

        self.run_script(script)

    def test_a_trial_that_reached_no_instance_is_followed_by_another_one(self):
        async def script(store, quarantines, records):
            await self.claim_trial(store, quarantines, records)
            quarantines[0].end_trial(REQUEST)
            await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 1)

        self.run_script(script)

    def test_a_trial_that_reached_no_instance_is_released_before_its_node_may_be_lost(self):
        """Guards against trials that a node keeps for eight seconds and takes with it."""

        async def script(store, quarantines, records):
            await self.claim_trial(store, quarantines, records)
            quarantines[0].end_trial(REQUEST)
            await trio.sleep(2 * VERDICT_CHECK_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 1)

        self.run_script(script)

    def test_an_instance_that_outlived_a_trial_and_ends_later_did_not_end_under_it(self):
        """Guards against trials of clients that left counting for any end within eight seconds."""
        for outlived, seconds, admitted in ((True, 4.0, 1), (True, 0.5, 0), (False, 4.0, 0)):
            with self.subTest(outlived=outlived, seconds=seconds):

                async def script(
                    store, quarantines, records, outlived=outlived, seconds=seconds, found=admitted
                ):
                    await self.claim_trial(store, quarantines, records)
                    quarantines[0].note_interrupted(REQUEST, "i9")
                    quarantines[0].end_trial(REQUEST)
                    if outlived:
                        quarantines[0].note_answer("i9", trio.current_time())
                    await trio.sleep(seconds)
                    quarantines[0].note_terminated("i9", TerminationEvidence.REFUSED)
                    await trio.sleep(VERDICT_SECONDS)
                    count = await self.count_admitted(store, quarantines, records)
                    self.assertEqual(count, found)

                self.run_script(script)

    def test_a_trial_that_ends_an_instance_is_the_last_one(self):
        for terminates_first in (True, False):
            with self.subTest(terminates_first=terminates_first):

                async def script(store, quarantines, records, terminates_first=terminates_first):
                    await self.claim_trial(store, quarantines, records)
                    quarantines[0].note_interrupted(REQUEST, "i9")
                    if terminates_first:
                        quarantines[0].note_terminated("i9", TerminationEvidence.REFUSED)
                    quarantines[0].end_trial(REQUEST)
                    await trio.sleep(VERDICT_SECONDS / 2)
                    if not terminates_first:
                        quarantines[0].note_terminated("i9", TerminationEvidence.UNLISTED)
                    await trio.sleep(2 * VERDICT_SECONDS)
                    self.assertEqual(await self.count_admitted(store, quarantines, records), 0)

                self.run_script(script)

    def test_a_trial_whose_instance_does_not_answer_a_probe_is_the_last_one(self):
        for sign, admitted in (
            (InstanceProbeResult.ANSWERS, 1),
            (InstanceProbeResult.ENDED, 0),
            (InstanceProbeResult.NO_ANSWER, 0),
        ):
            with self.subTest(sign=sign):

                async def probe(sign=sign):
                    await trio.lowlevel.checkpoint()
                    return sign

                async def script(store, quarantines, records, probe=probe, admitted=admitted):
                    await self.claim_trial(store, quarantines, records)
                    quarantines[0].note_abandoned(REQUEST, "i9", probe)
                    quarantines[0].end_trial(REQUEST)
                    await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
                    found = await self.count_admitted(store, quarantines, records)
                    self.assertEqual(found, admitted)

                self.run_script(script)

    def test_a_trial_is_not_followed_by_another_one_while_it_runs(self):
        async def script(store, quarantines, records):
            await self.claim_trial(store, quarantines, records)
            await trio.sleep(3 * VERDICT_SECONDS)
            self.assertEqual(await self.count_admitted(store, quarantines, records), 0)

        self.run_script(script)

    def test_it_is_released_at_all_nodes_however_many_ends_had_come_together(self):
        async def script(store, quarantines, records):
            incarnations = [f"i{number}" for number in range(7)]
            for quarantine in quarantines:
                quarantine.merge_reports([report(FATAL, *incarnations)])
            await self.refuse_at_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)
            quarantines[0].note_complete_response(REQUEST)
            quarantines[1].merge_reports([quarantines[0].known_crashes(FATAL)])
            for quarantine in quarantines:
                self.assertEqual(quarantine.refused_seconds(FATAL), 0.0)
                quarantine.merge_reports([report(FATAL, "j1")])
                quarantine.merge_reports([report(FATAL, "j2")])
                self.assertGreater(quarantine.refused_seconds(FATAL), 0.0)

        self.run_script(script)

    def test_a_termination_under_a_trial_counts_for_no_other_request(self):
        """Otherwise a trial's termination gives its request the most, which releases those that
        shared instances with it: four nodes then send such a request at once, 8 s after it
        crashed its third instance.
        """

        async def script(store, quarantines, records):
            await self.refuse_at_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)
            quarantines[0].note_interrupted(REQUEST, "i4")
            quarantines[0].note_terminated("i4", TerminationEvidence.REFUSED)
            self.assertEqual(quarantines[0].terminations(FATAL), TERMINATIONS_TO_REFUSE)
            self.assertGreater((await quarantines[0].admit(REQUEST)).seconds, 0.0)

        self.run_script(script)

    def test_no_trial_is_claimed_while_the_store_is_unreachable(self):
        async def script(store, quarantines, records):
            await self.refuse_at_all(store, quarantines, records)
            await trio.sleep(TRIAL_AFTER_SECONDS)
            store.cut_off = True
            self.assertGreater((await quarantines[0].admit(REQUEST)).seconds, 100.0)
            store.cut_off = False
            self.assertEqual((await quarantines[0].admit(REQUEST)).seconds, 0.0)

        self.run_script(script)

    def test_a_termination_that_reports_clear_a_moment_later_refuses_nothing(self):
        async def script(store, quarantines, records):
            quarantine = quarantines[0]
            quarantine.merge_reports([report(FATAL, "i1", "i2", "i3")])

            async def clear():
                await trio.sleep(PEER_REPORT_SECONDS / 2)
                quarantine.merge_reports([report(FATAL, "i1", "i2", "i3", cleared=("i3",))])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(clear)
                await quarantine.settle(REQUEST, "i3")
            self.assertEqual((await quarantine.admit(REQUEST)).seconds, 0.0)

        self.run_script(script)

    def test_reports_of_other_nodes_are_awaited_once_and_for_half_a_second(self):
        async def script(store, quarantines, records):
            quarantines[0].merge_reports([report(FATAL, "i1", "i2", "i3")])
            began_at = trio.current_time()
            for _ in range(2):
                await quarantines[0].settle(REQUEST, "i3")
                self.assertEqual(trio.current_time() - began_at, PEER_REPORT_SECONDS)
            self.assertGreater((await quarantines[0].admit(REQUEST)).seconds, 0.0)

        self.run_script(script)
