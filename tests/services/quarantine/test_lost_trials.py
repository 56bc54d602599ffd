"""Trials of refused requests whose process ends, or whose claim isn't acknowledged."""

import random
import unittest

import msgspec
import trio

from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.quarantine.crashes import (
    RequestIdentity,
    TerminationEvidence,
)
from hopstep.domain.quarantine.fingerprint import part_fingerprint
from hopstep.services.quarantine.quarantine import Quarantine
from hopstep.services.quarantine.records import (
    OBSERVER_WRITE_SECONDS,
    TRIAL_AFTER_SECONDS,
    QuarantineRecords,
)
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX
from hopstep.services.quarantine.trial_verdicts import VERDICT_CHECK_SECONDS, VERDICT_SECONDS
from tests.services.quarantine.reports import FATAL, OTHER, report


class Processes:
    """The registered processes of the nodes, as one node sees them."""

    def __init__(self, registered, node):
        self.registered = registered
        self.node = node

    @property
    def own_process(self):
        return self.registered.get(self.node, "")

    def has_ended(self, process):
        return process not in self.registered.values()


class LostTrialTest(unittest.TestCase):
    """A trial whose node is killed before it is judged is run again, within the bound on runs.

    Guards against sound subjects that are refused for ten minutes, and against fatal ones that
    reach an instance for every node that is killed.
    """

    PART, OTHER_PART = part_fingerprint("", "shared"), part_fingerprint("", "other")
    NODE_COUNTS = (3, 7, 79, 390)

    def run_script(self, script, node_count=3, subjects=(FATAL,), ends=3):
        """Run a script with nodes that refuse subjects, once a trial is due."""

        async def main():
            store = InMemoryStore(SharedStore())
            self.registered = {f"n{number}": f"n{number}@0" for number in range(node_count)}
            async with trio.open_nursery() as nursery:
                self.nursery, self.subjects, self.scopes = nursery, subjects, {}
                self.quarantines, self.records = {}, {}
                for node in self.registered:
                    self.start(store, node)
                await self.report_ends(store, ends)
                await script(store)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def start(self, store, node):
        """Start the process of a node."""
        quarantine = Quarantine(node)
        processes = Processes(self.registered, node)
        records = QuarantineRecords(quarantine, store, random.Random(1), processes)
        self.quarantines[node], self.records[node] = quarantine, records
        self.scopes[node] = trio.CancelScope()
        self.nursery.start_soon(self.run_node, quarantine, records, self.scopes[node])

    async def run_node(self, quarantine, records, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(quarantine.run)
                nursery.start_soon(records.run)

    async def report_ends(self, store, ends):
        """Have the subjects refused at all nodes, and wait until a trial is due."""
        reports = [
            report(subject, *(f"{subject.hex()} {number}" for number in range(ends)))
            for subject in self.subjects
        ]
        for quarantine in self.quarantines.values():
            quarantine.merge_reports(reports)
        await trio.sleep(2 * OBSERVER_WRITE_SECONDS)
        await self.read_store(store)
        await trio.sleep(TRIAL_AFTER_SECONDS)

    async def read_store(self, store):
        """Let all nodes read the subjects' records."""
        for subject in self.subjects:
            stored = await store.get(QUARANTINE_PREFIX + subject.hex())
            for records in self.records.values():
                records.apply_stored(stored.key, stored.value, stored.version)

    async def admitting(self, store, *subjects):
        """Return the nodes that admit a request with subjects now, each after reading the store."""
        admitting = []
        request = RequestIdentity(b"any", parts=subjects or self.subjects)
        for node, quarantine in list(self.quarantines.items()):
            if not (await quarantine.admit(request)).seconds:
                admitting.append(node)
                await self.read_store(store)
        return admitting

    async def replace(self, store, nodes, number):
        """Kill nodes, start them again, and let them read the store once a trial is due."""
        for node in nodes:
            self.scopes[node].cancel()
            self.registered[node] = f"{node}@{number}"
            self.start(store, node)
        if not store.cut_off:
            await self.read_store(store)
        await trio.sleep(TRIAL_AFTER_SECONDS)

    def test_a_trial_is_run_again_once_its_process_was_replaced(self):
        async def script(store):
            [node] = await self.admitting(store)
            await trio.sleep(2 * VERDICT_SECONDS)
            self.assertEqual(await self.admitting(store), [])
            await self.replace(store, [node], 1)
            self.assertEqual(len(await self.admitting(store)), 1)

        self.run_script(script)

    def test_nodes_that_find_a_trial_lost_at_the_same_time_run_it_once(self):
        async def script(store):
            [node] = await self.admitting(store)
            await self.replace(store, [node], 1)
            admitted = []

            async def admit(quarantine):
                refusal = await quarantine.admit(RequestIdentity(b"any", parts=self.subjects))
                admitted.append(not refusal.seconds)

            async with trio.open_nursery() as nursery:
                for quarantine in self.quarantines.values():
                    nursery.start_soon(admit, quarantine)
            self.assertEqual(sum(admitted), 1)

        self.run_script(script, node_count=79)

    def test_a_node_that_is_replaced_after_its_verdict_has_lost_no_trial(self):
        async def script(store):
            [node] = await self.admitting(store)
            quarantine = self.quarantines[node]
            request = RequestIdentity(b"any", parts=self.subjects)
            quarantine.note_interrupted(request, "i9")
            quarantine.note_terminated("i9", TerminationEvidence.REFUSED)
            quarantine.end_trial(request)
            await trio.sleep(1.0)
            await self.replace(store, [node], 1)
            self.assertEqual(await self.admitting(store), [])

        self.run_script(script)

    def test_a_trial_of_a_process_that_is_not_registered_yet_is_not_run_again(self):
        async def script(store):
            registered = dict(self.registered)
            self.registered.clear()
            [node] = await self.admitting(store)
            self.registered.update(registered)
            await self.replace(store, [node], 1)
            self.assertEqual(await self.admitting(store), [])

        self.run_script(script)

    def count_trials(self, node_count, subject, ends, kill_all=False, away_from=10):
        """Return how often a subject runs while the node of each trial, or each node, is killed."""
        count = 0

        async def script(store):
            nonlocal count
            for number in range(1, 5):
                if number == away_from:
                    store.cut_off = True
                admitting = await self.admitting(store)
                count += len(admitting)
                await self.replace(store, list(self.quarantines) if kill_all else admitting, number)

        self.run_script(script, node_count, (subject,), ends)
        return count

    def test_a_part_that_runs_beside_another_one_at_first_runs_three_times_at_most(self):
        async def script(store):
            count = 0
            for number in range(1, 9):
                subjects = (self.PART, self.OTHER_PART) if number < 5 else (self.PART,)
                admitting = await self.admitting(store, *subjects)
                count += len(admitting)
                await self.replace(store, admitting, number)
            self.assertEqual(count, 3)

        self.run_script(script, subjects=(self.PART, self.OTHER_PART), ends=4)

    def test_it_runs_no_more_often_than_operators_allow_while_its_nodes_are_killed(self):
        for subject, ends, most in (
            (FATAL, 3, 2),
            (FATAL, 4, 1),
            (FATAL, 5, 1),
            (self.PART, 3, 2),
            (self.PART, 4, 2),
            (self.PART, 5, 1),
            (self.PART, 6, 1),
        ):
            with self.subTest(subject=subject, ends=ends):
                self.assertEqual(self.count_trials(3, subject, ends), most)

    def test_it_runs_no_more_often_with_more_nodes(self):
        for node_count in self.NODE_COUNTS:
            with self.subTest(node_count=node_count):
                self.assertEqual(self.count_trials(node_count, self.PART, 4), 2)

    def test_it_runs_no_more_often_while_all_nodes_are_killed_each_time(self):
        for node_count in self.NODE_COUNTS[:3]:
            with self.subTest(node_count=node_count):
                self.assertEqual(self.count_trials(node_count, FATAL, 3, kill_all=True), 2)

    def test_no_lost_trial_is_run_again_while_the_store_is_away(self):
        for node_count in self.NODE_COUNTS:
            with self.subTest(node_count=node_count):
                self.assertEqual(self.count_trials(node_count, FATAL, 3, away_from=2), 1)

    def test_a_claim_beside_one_that_another_node_took_is_given_back(self):
        """Guards against a trial that is used up without a run, as two requests share a part."""
        first, second = (RequestIdentity(name, parts=(self.PART,)) for name in (FATAL, OTHER))

        async def script(store):
            quarantines, refusals = self.quarantines, {}

            async def admit(node, request):
                refusals[node] = await quarantines[node].admit(request)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(admit, "n0", first)
                nursery.start_soon(admit, "n1", second)
            [admitted] = [node for node, refusal in refusals.items() if not refusal.seconds]
            quarantines[admitted].note_complete_response(
                RequestIdentity(b"any", parts=(self.PART,))
            )
            await trio.sleep(2 * VERDICT_CHECK_SECONDS)
            await self.read_store(store)
            [lost] = {"n0", "n1"} - {admitted}
            request = {"n0": FATAL, "n1": OTHER}[lost]
            self.assertEqual((await quarantines["n2"].admit(RequestIdentity(request))).seconds, 0.0)

        self.run_script(script, subjects=(FATAL, OTHER, self.PART))

    def test_a_trial_whose_client_leaves_while_it_is_claimed_is_given_back(self):
        """Guards against a trial that is used up without a run, as its client didn't wait."""
        for patience in (0.05, 0.15, 0.25, 0.35, 0.45, 0.55):
            with self.subTest(patience=patience):

                async def script(store, patience=patience):
                    quarantine = self.quarantines["n0"]
                    request = RequestIdentity(FATAL, parts=(self.PART,))
                    store._shared.faults.slow_seconds = 0.2
                    with trio.move_on_after(patience):
                        if not (await quarantine.admit(request)).seconds:
                            quarantine.end_trial(request)
                    store._shared.faults.slow_seconds = 0.0
                    for _ in range(2):
                        await trio.sleep(2 * VERDICT_CHECK_SECONDS)
                        await self.read_store(store)
                    self.assertEqual(len(await self.admitting(store, FATAL, self.PART)), 1)

                self.run_script(script, subjects=(FATAL, self.PART))

    def test_a_claim_that_the_store_acknowledges_too_late_is_given_back(self):
        """Guards against a trial that is used up without a run, as the store was slow."""

        async def script(store):
            store._shared.faults.slow_seconds = 0.8
            refusal = await self.quarantines["n2"].admit(RequestIdentity(FATAL))
            self.assertGreater(refusal.seconds, 0.0)
            store._shared.faults.slow_seconds = 0.0
            for _ in range(2):
                await trio.sleep(2 * VERDICT_CHECK_SECONDS)
                await self.read_store(store)
            self.assertEqual(len(await self.admitting(store)), 1)

        self.run_script(script)

    def test_a_trial_that_runs_is_not_given_back_as_an_unconfirmed_claim(self):
        """Guards against a trial in progress that a later claim, which fails, gives back."""

        async def script(store):
            [node] = await self.admitting(store, self.PART, self.OTHER_PART)
            store.cut_off = True
            request = RequestIdentity(b"any", parts=(self.PART,))
            self.assertGreater((await self.quarantines[node].admit(request)).seconds, 0.0)
            store.cut_off = False
            for _ in range(2):
                await trio.sleep(2 * VERDICT_CHECK_SECONDS)
                await self.read_store(store)
            stored = await store.get(QUARANTINE_PREFIX + self.PART.hex())
            self.assertEqual(msgspec.json.decode(stored.value)["trials"], 1)

        self.run_script(script, subjects=(self.PART, self.OTHER_PART))

    def test_a_restored_store_does_not_allow_a_second_repeat(self):
        async def script(store):
            [node] = await self.admitting(store)
            copy = store._shared.model.backup()
            await self.replace(store, [node], 1)
            [node] = await self.admitting(store)
            store._shared.restore(copy)
            await self.read_store(store)
            await self.replace(store, [node], 2)
            self.assertEqual(await self.admitting(store), [])

        self.run_script(script)
