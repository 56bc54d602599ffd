"""The emulated instance over HTTP: preconditions, orders and streams."""

import json
import random
import unittest

import trio

from emulator.exchange_platform.http_instance import HttpInstance
from emulator.exchange_platform.instance_traits import InstanceTraits
from emulator.virtual_time import run_in_virtual_time


class Listener:
    def __init__(self):
        self.seen = []
        self.ends = 0
        self.answers = []
        self.order_statuses = []

    def request_arrived(self, _instance, request_id):
        self.seen.append(("arrived", request_id))

    def run_started(self, _instance, headers, _stamp):
        self.seen.append(("began", headers.request_id))

    def run_ended(self, _instance, _stamp):
        self.ends += 1

    def run_answered(self, _stamp, status, body):
        self.answers.append((status, body))

    def order_answered(self, _instance, order, status):
        self.order_statuses.append((order.version, status))

    def control_request_arrived(self, instance):
        return

    def order_executed(self, _instance, holder, token):
        self.seen.append(("ordered", holder, token))

    def entry_changed(self, instance):
        self.seen.append(("changed", instance.version))


class HttpInstanceTest(unittest.TestCase):
    def run_script(self, script):
        async def main():
            listener = Listener()
            traits = InstanceTraits("i1", "engines", "z", slots=2, model="m", load_seconds=0.01)
            instance = HttpInstance(traits, listener, random.Random(1))
            async with trio.open_nursery() as nursery:
                instance.use_nursery(nursery)
                await script(instance, instance.app.test_client(), listener)

        run_in_virtual_time(main)

    async def post(self, client, body=b"", path="/x", **headers):
        fields = {"Attempt-Id": "r", **headers}
        return await client.post(path, headers=fields, data=body)

    async def order(self, client, version=2, token=7, expected=0, instance="i1"):
        document = {
            "operation": "version",
            "model": "m",
            "version": version,
            "method": "retain",
            "holder": "n0",
            "fencingToken": token,
            "expectedRevision": expected,
        }
        headers = {"Expect-Instance": instance}
        response = await client.post("/order", headers=headers, data=json.dumps(document))
        return response.status_code

    def test_a_request_is_answered_with_its_id_and_a_stamp(self):
        async def script(_instance, client, listener):
            response = await self.post(client)
            self.assertEqual(response.status_code, 200)
            self.assertEqual(response.headers["Attempt-Id"], "r")
            self.assertTrue(response.headers["Response-Stamp"])
            self.assertEqual(listener.seen, [("arrived", "r"), ("began", "r")])

        self.run_script(script)

    def test_a_report_of_another_incarnation_is_refused(self):
        async def script(_instance, client, _listener):
            for expected, status in (("i1", 200), ("i0", 421)):
                response = await client.get("/report", headers={"Expect-Instance": expected})
                self.assertEqual(response.status_code, status)

        self.run_script(script)

    def test_the_listener_learns_what_each_run_answers(self):
        async def script(instance, client, listener):
            stream = json.dumps({"events": 2}).encode()
            await self.post(client)
            await (await self.post(client, stream)).get_data()
            instance.faults.failing = instance.faults.failing_streams = 1.0
            for body in (b"", stream):
                response = await self.post(client, body)
                self.assertEqual(response.status_code, 500)
                self.assertTrue(response.headers["Response-Stamp"])
            self.assertEqual(
                listener.answers,
                [(200, b"done r"), (200, None), (500, b"failed"), (500, b"failed")],
            )

        self.run_script(script)

    def test_a_numbered_try_is_named_with_its_number_and_answered_with_its_id(self):
        async def script(_instance, client, listener):
            response = await self.post(client, **{"X-Try": "2"})
            self.assertEqual(response.headers["Attempt-Id"], "r")
            self.assertEqual(listener.seen, [("arrived", "r#2"), ("began", "r#2")])

        self.run_script(script)

    def test_another_incarnation_or_version_is_not_run(self):
        async def script(_instance, client, listener):
            for headers in ({"Expect-Instance": "i0"}, {"Expect-Version": "2"}):
                response = await self.post(client, **headers)
                self.assertEqual(response.status_code, 421)
            self.assertNotIn(("began", "r"), listener.seen)

        self.run_script(script)

    def test_a_stream_goes_on_behind_the_last_event(self):
        async def script(_instance, client, _listener):
            body = json.dumps({"events": 4}).encode()
            whole = await self.post(client, body)
            resumed = await self.post(client, body, **{"Last-Event-Id": "1"})
            whole_text, resumed_text = await whole.get_data(), await resumed.get_data()
            self.assertEqual(whole_text.count(b"id: "), 4)
            self.assertTrue(whole_text.endswith(resumed_text))
            self.assertTrue(resumed_text.startswith(b"id: 2\n"))

        self.run_script(script)

    def test_orders_are_fenced_and_checked(self):
        async def script(instance, client, listener):
            self.assertEqual(await self.order(client, instance="i0"), 421)
            self.assertEqual(await self.order(client), 202)
            self.assertEqual(await self.order(client, 3, expected=1), 409)
            busy = await self.post(client)
            self.assertEqual((busy.status_code, "Not-Executed" in busy.headers), (503, True))
            await trio.sleep(0.1)
            self.assertEqual(instance.version, 2)
            self.assertEqual(await self.order(client, 3, token=6, expected=1), 412)
            self.assertEqual(await self.order(client, 3, expected=0), 409)
            self.assertEqual(await self.order(client, 2, expected=1), 200)
            self.assertEqual(
                [x for x in listener.seen if x[0] != "arrived"],
                [("ordered", "n0", 7), ("changed", 2)],
            )
            self.assertEqual(
                listener.order_statuses, [(2, 202), (3, 409), (3, 412), (3, 409), (2, 200)]
            )

        self.run_script(script)
