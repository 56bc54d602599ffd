"""Where the origin of a stream is known from when a client resumes it, and when it isn't."""

import unittest

import msgspec
import trio

from hopstep.domain.exchanges.serving import ServiceShare
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceListed, InstanceRemoved
from hopstep.services.exchanges.streams.stream_origins import FRESH_SECONDS
from tests.services.exchanges.exchange_world import (
    ISOLATED_KEY,
    KEY,
    ROUTES,
    RecordedAnswer,
    configuration,
)
from tests.services.exchanges.versioned_streams import ROUTE, VersionedStreams

CLIENT_SECONDS = 9.0
"""Time for which a client holds its stream."""

BROKEN_SECONDS = 0.4
"""Time after which a client's first connection breaks."""


class OriginsTest(unittest.TestCase):
    def run_world(self, script, nodes=3, versions=("v1", "v2")):
        played = VersionedStreams(nodes)
        for number in range(2 * len(versions)):
            played.add(f"e{number}", versions[number % len(versions)])
        played.world.run(lambda _world: script(played))

    async def begin(self, played, request_id="r1", node=0, seconds=BROKEN_SECONDS):
        """Begin a stream whose connection breaks; return its version and its last event."""
        answer = RecordedAnswer()
        with trio.move_on_after(seconds):
            await played.world.request(
                ROUTE, node, KEY, request_id, patience=CLIENT_SECONDS, answer=answer
            )
        last = answer.body.decode().rsplit("id: ", 1)[1].split("\n")[0]
        return self.version_of(played, request_id), last

    def version_of(self, played, request_id):
        versions = {
            event.software_version
            for server in played.world.instances.all_servers
            for event in server.sent_events
            if event.request_id == request_id
        }
        self.assertEqual(len(versions), 1)
        return versions.pop()

    def services_of(self, played, *request_ids):
        """Return the services whose instances ran some requests."""
        return {
            server.instance.service
            for server in played.world.instances.all_servers
            for run in server.runs
            if run.request_id in request_ids
        }

    async def resume(self, played, last, node=1, key=KEY, resumes="r1", request_id="r2"):
        return await played.world.request(
            ROUTE, node, key, request_id, last, resumes=resumes, patience=2.5
        )

    def check_resumed(self, played, answer, version, request_id="r2"):
        self.assertTrue(answer.finished, answer.error)
        self.assertEqual(self.version_of(played, request_id), version)

    async def check_outlasts_all(self, played, nodes, version, last):
        """Kill and restart all nodes; the stream must then be resumed at its version."""
        for number in range(nodes):
            played.kill_node(number)
        for number in range(nodes):
            played.restart_node(number)
        await trio.sleep(0.1)
        answer = await self.resume(played, last)
        self.assertIsNone(answer.error)
        self.assertEqual(self.version_of(played, "r2"), version)

    def check_refused(self, answer):
        self.assertTrue(answer.promised_not_run)
        self.assertIs(answer.error.code, ErrorCode.STREAM_NOT_RESUMABLE)


class StreamOriginsTest(OriginsTest):
    def test_streams_that_run_when_a_second_version_appears_keep_theirs(self):
        # Nobody but the node that had begun them knew their version, and that node died.
        async def script(played):
            begun = []
            async with trio.open_nursery() as nursery:

                async def begin():
                    begun.append(await self.begin(played))

                nursery.start_soon(begin)
                await trio.sleep(0.2)
                for number in range(4):
                    played.add(f"n{number}", "v2")
            played.kill_node(0)
            version, last = begun[0]
            self.check_resumed(played, await self.resume(played, last), version)

        self.run_world(script, versions=("v1",))

    def test_a_chain_of_resumes_keeps_the_version_of_its_first_request(self):
        # Each further node knew only the resume before.
        async def script(played):
            version, last = await self.begin(played)
            for number, node in enumerate((1, 2, 1), 2):
                answer = RecordedAnswer()
                request_id = f"r{number}"
                with trio.move_on_after(0.15):
                    await played.world.request(
                        ROUTE, node, KEY, request_id, last, answer=answer, resumes="r1"
                    )
                self.assertEqual(self.version_of(played, request_id), version)
                last = answer.body.decode().rsplit("id: ", 1)[1].split("\n")[0]
                if number == 2:
                    played.kill_node(0)

        self.run_world(script)

    def test_another_tenant_gets_nothing_by_an_id(self):
        # An id is the client's word.
        async def script(played):
            _version, last = await self.begin(played)
            self.check_refused(await self.resume(played, last, key=ISOLATED_KEY))

        self.run_world(script)

    def test_a_resume_is_refused_while_the_version_is_unknown(self):
        # It went on at any version.
        async def script(played):
            self.check_refused(await self.resume(played, "3", resumes="never begun"))
            self.check_refused(await self.resume(played, "3", resumes=""))

        self.run_world(script)

    def test_a_resume_is_bound_also_where_its_route_no_longer_allows_it(self):
        # A change of the configuration sent it to any version, with the last event of another.
        async def script(played):
            routes = [
                msgspec.structs.replace(route, resumable=False) if route.name == ROUTE else route
                for route in ROUTES
            ]
            version, last = await self.begin(played)
            played.world.publish(ConfigurationPublished(configuration(2, tuple(routes))))
            await trio.sleep(0.5)
            self.check_resumed(played, await self.resume(played, last), version)
            self.check_refused(await self.resume(played, last, resumes="never begun"))

        self.run_world(script)

    def test_a_resume_without_a_record_goes_on_where_one_version_is_known(self):
        # Refusing it would harm every service whose instances all have one version.
        async def script(played):
            answer = await self.resume(played, "3", resumes="never begun")
            self.check_resumed(played, answer, "v1")

        self.run_world(script, versions=("v1",))

    def test_one_version_is_known_while_the_store_is_away_for_all(self):
        # No node's view is recent then, but no instance can list itself either.
        async def script(played):
            for directory in played.world.directories:
                directory.down = True
            await trio.sleep(2.7)
            self.assertGreater(played.world.nodes[1].knowledge.keys.age_seconds, FRESH_SECONDS)
            answer = await self.resume(played, "3", resumes="never begun")
            self.check_resumed(played, answer, "v1")

        self.run_world(script, versions=("v1",))

    def test_a_node_that_is_cut_off_from_store_and_nodes_guesses_nothing(self):
        # It knew one version, while streams had begun at another one that came meanwhile.
        async def script(played):
            world = played.world
            world.network.isolate("n1")
            world.directories[1].unresponsive = True
            await trio.sleep(0.3)
            for number in range(2):
                played.add(f"n{number}", "v2")
            await trio.sleep(3.4)
            answer = await self.resume(played, "3", resumes="never begun")
            self.check_refused(answer)

        self.run_world(script, versions=("v1",))

    def test_a_version_counts_after_its_last_instance_has_gone(self):
        # All listed instances were of the new version, the stream was of the one before.
        async def script(played):
            await trio.sleep(0.2)
            for number in (0, 2):
                played.world.instances.servers[f"e{number}"].end()
                played.world.publish(InstanceRemoved(f"e{number}"))
            await trio.sleep(1.0)
            self.check_refused(await self.resume(played, "3", resumes="never begun"))

        self.run_world(script)

    def test_a_stream_whose_version_has_gone_is_refused_at_once(self):
        # It waited for an instance until its deadline.
        async def script(played):
            version, last = await self.begin(played)
            for name, server in played.world.instances.servers.items():
                if server.instance.software_version == version:
                    server.end()
                    played.world.publish(InstanceRemoved(name))
            await trio.sleep(0.5)
            asked_at = trio.current_time()
            self.check_refused(await self.resume(played, last))
            self.assertLess(trio.current_time() - asked_at, 0.3)

        self.run_world(script)

    def test_a_stream_goes_on_where_all_instances_of_its_version_drain(self):
        # They got nothing new, and nobody else may go on with it.
        async def script(played):
            version, last = await self.begin(played)
            for server in played.world.instances.all_servers:
                if server.instance.software_version == version:
                    entry = msgspec.structs.replace(server.instance, draining=True)
                    played.world.publish(InstanceListed(entry))
            await trio.sleep(0.2)
            self.check_resumed(played, await self.resume(played, last), version)
            await trio.sleep(0.5)
            answer = await self.resume(played, last, request_id="r3")
            self.assertTrue(answer.promised_not_run)
            self.assertEqual(played.world.instances.runs("r3"), [])

        self.run_world(script)

    def test_a_stream_does_not_change_its_service_midway(self):
        # The route's split chose a service anew for each try.
        def split(version, *services):
            shares = tuple(ServiceShare(service) for service in services)
            routes = [r for r in ROUTES if r.name != ROUTE]
            changed = next(r for r in ROUTES if r.name == ROUTE)
            routes.append(msgspec.structs.replace(changed, shares=shares))
            return ConfigurationPublished(configuration(version, tuple(routes)))

        async def script(played):
            played.world.publish(split(2, "llm", "llm2"))
            for number in range(2):
                played.world.add(f"o{number}", "llm2", slots=32, versions={"m": 1}).events = 20
            await trio.sleep(0.5)
            for number in range(8):
                _version, last = await self.begin(played, f"b{number}")
                answer = await self.resume(
                    played, last, resumes=f"b{number}", request_id=f"c{number}"
                )
                self.assertTrue(answer.finished, answer.error)
                services = self.services_of(played, f"b{number}", f"c{number}")
                self.assertEqual(len(services), 1)
            number = 0
            while self.services_of(played, f"d{number}") != {"llm"}:
                number += 1
                _version, last = await self.begin(played, f"d{number}")
            played.world.publish(split(3, "llm2"))
            await trio.sleep(0.5)
            self.check_refused(await self.resume(played, last, resumes=f"d{number}"))

        self.run_world(script, versions=("v1",))

    def test_records_wait_while_the_store_is_away_and_outlast_all_nodes_then(self):
        # Their write was given up with the store's outage.
        async def script(played):
            world = played.world
            world.shared.model.down = True
            version, last = await self.begin(played, seconds=1.0)
            world.shared.model.down = False
            await trio.sleep(1.2)
            await self.check_outlasts_all(played, 3, version, last)

        self.run_world(script)

    def test_records_outlast_all_nodes_while_any_one_node_has_lost_the_store(self):
        # One node writes the records of all; cut off from the store alone it kept them to itself.
        for cut in range(4):
            with self.subTest(cut):
                self.run_world(lambda played, cut=cut: self.outlast(played, cut), nodes=4)

    async def outlast(self, played, cut):
        """Let all nodes die after a stream has begun while one node was cut off from the store."""
        world = played.world
        world.stores[cut].cut_off = world.directories[cut].unresponsive = True
        version, last = await self.begin(played, node=(cut + 1) % 4, seconds=1.0)
        await trio.sleep(1.0)
        await self.check_outlasts_all(played, 4, version, last)


class GaugesTest(OriginsTest):
    def test_operators_see_versions_and_streams_that_have_hardly_anywhere_to_go(self):
        async def script(played):
            version, last = await self.begin(played)
            registry = played.world.nodes[0].registry
            labels = {"service": "llm"}
            self.assertEqual(registry.get_sample_value("hopstep_service_versions", labels), 2)
            scarce = "hopstep_streams_with_few_instances"
            self.assertEqual(registry.get_sample_value(scarce, labels), 0)
            for name, server in played.world.instances.servers.items():
                if server.instance.software_version == version:
                    played.world.publish(InstanceRemoved(name))
                    break
            await trio.sleep(0.5)
            self.assertEqual(registry.get_sample_value(scarce, labels), 1)
            await self.resume(played, last)
            others = [node.registry for node in played.world.nodes[1:]]
            kept = [each.get_sample_value("hopstep_kept_stream_origins") for each in others]
            self.assertEqual(kept, [1, 1])
            resumes = "hopstep_stream_resumes_total"
            known = others[0].get_sample_value(resumes, {"known_from": "own"})
            self.assertEqual(known, 1)

        self.run_world(script)


class FullInstancesTest(OriginsTest):
    def test_a_resume_goes_before_new_requests_that_wait_for_its_version(self):
        # It came after all that waited already, and its client's time ran out.
        async def script(played):
            version, last = await self.begin(played, seconds=0.15)
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(played.stream, 0, None, None, 1)
                await trio.sleep(0.1)
                asked_at = trio.current_time()
                self.check_resumed(played, await self.resume(played, last, node=0), version)
                nursery.cancel_scope.cancel()
            servers = played.world.instances.all_servers
            [server] = [s for s in servers if s.instance.software_version == version]
            later = [run.request_id for run in server.runs if run.at > asked_at]
            self.assertEqual(later[0], "r2")

        played = VersionedStreams(1)
        for number in range(2):
            server = played.add(f"e{number}", f"v{1 + number}", slots=2)
            server.event_seconds = 0.01
        played.world.run(lambda _world: script(played))


class RestartedInstancesTest(OriginsTest):
    BORN = 1_700_000_000_000

    def run_single(self, script):
        """Run with one engine, whose process may be replaced."""
        played = VersionedStreams(2)
        played.add("x", "v1", born_ms=self.BORN, zone="z1")

        async def main(_world):
            await script(played)

        played.world.run(main)

    def replace(self, played, version, listed=True):
        """Replace the process of an engine under its id, with or without its new entry."""
        world = played.world
        changed = msgspec.structs.replace(
            world.listed["x"], born_ms=self.BORN + 1_000, software_version=version
        )
        server = world.instances.restart(changed)
        server.events, server.event_seconds = 20, 0.05
        if listed:
            world.publish(InstanceListed(changed))
        return changed

    def test_a_stream_of_a_process_whose_entry_lags_behind_is_of_the_later_version(self):
        # The record named the version of the entry, and the process that answered was a later one.
        async def script(played):
            changed = self.replace(played, "v2", listed=False)
            version, last = await self.begin(played, seconds=0.3)
            self.assertEqual(version, "v2")
            played.world.publish(InstanceListed(changed))
            for number in range(2):
                played.add(f"old{number}", "v1", born_ms=self.BORN + 5)
            await trio.sleep(0.3)
            played.world.instances.servers["x"].end()
            played.world.publish(InstanceRemoved("x"))
            await trio.sleep(0.3)
            answer = await self.resume(played, last)
            self.check_refused(answer)

        self.run_single(script)

    def test_an_answer_of_a_process_whose_entry_lagged_behind_is_cut_when_it_breaks(self):
        # It went on at instances of the version that the outdated entry named.
        async def script(played):
            for number in range(2):
                played.add(f"old{number}", "v1", born_ms=self.BORN + 5, zone="z9")
            changed = self.replace(played, "v2", listed=False)
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(played.stream, 0, None, None, 1)
                await trio.sleep(0.3)
                played.world.publish(InstanceListed(changed))
                await trio.sleep(0.2)
                played.world.instances.servers["x"].end()
            self.assertEqual(played.mixed(), [])
            self.assertTrue(any("v2" in played.versions(s) for s in played.streams))

        self.run_single(script)

    def test_a_stream_that_went_on_elsewhere_is_not_doubted_for_a_later_restart(self):
        # Its resume counted as its begin: a later restart of its first instance made it doubtful.
        async def script(played):
            for number in range(2):
                played.add(f"old{number}", "v1", born_ms=self.BORN + 5, zone="z9")
            version, last = await self.begin(played, seconds=0.3)
            self.assertEqual(
                played.world.instances.runs("r1"), played.world.instances.servers["x"].runs
            )
            await trio.sleep(2.5)
            self.replace(played, "v2")
            await trio.sleep(0.3)
            for request_id in ("r2", "r3"):
                answer = RecordedAnswer()
                with trio.move_on_after(0.2):
                    await played.world.request(
                        ROUTE, 1, KEY, request_id, last, 9.0, answer, resumes="r1"
                    )
                self.assertIsNone(answer.error)
                self.assertEqual(self.version_of(played, request_id), version)

        self.run_single(script)

    def test_an_instance_that_came_back_with_other_software_takes_no_stream_of_before(self):
        # It was known by its id, and had begun the stream.
        async def script(played):
            _version, last = await self.begin(played, seconds=0.3)
            self.replace(played, "v2")
            await trio.sleep(0.3)
            self.check_refused(await self.resume(played, last))

        self.run_single(script)
