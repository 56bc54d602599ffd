"""Contract tests of the in-memory and the HTTP store clients, and tests of the machine list."""

import contextlib
import unittest

import httpx
import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryMachineList, InMemoryStore
from emulator.platform.machine_list import MachineListModel
from emulator.platform.server import ADMIN_FAULTS_PATH, ADMIN_MACHINES_PATH, serve_platform
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.key_value_store_wire import STORE_PATH
from hopstep.adapters.machine_list_http import HttpMachineList
from hopstep.domain.store_position import ABSENT, UNSPECIFIED_ERA, StorePosition
from hopstep.exceptions import ErrorCode, StoreError, StoreOutcomeUnknownError
from hopstep.ports.machine_list import Machine, MachineState
from tests.contract.store_contract import CLIENT_TIMEOUT_SECONDS, StoreContract

MACHINES = (
    Machine("127.0.0.1:1", MachineState.LIVE),
    Machine("127.0.0.1:2", MachineState.LEAVING),
)
LOST_RESPONSES = (
    ("closed before the answer", b""),
    ("cut within the head", b"HTTP/1.1 200 OK\r\nContent-"),
    ("cut within the body", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1"),
    ("not JSON", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"),
    ("proxy error", b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\n{}"),
    (
        "error of a wrong code",
        b'HTTP/1.1 500 E\r\nContent-Length: 34\r\n\r\n{"code":"internal","message":"it"}',
    ),
)


@contextlib.asynccontextmanager
async def http_platform():
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:

        async def serve(task_status):
            await serve_platform("127.0.0.1:0", MACHINES, task_status=task_status)

        urls = await nursery.start(serve)
        yield urls[0], client
        nursery.cancel_scope.cancel()


class InMemoryStoreTest(StoreContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def platform(self):
        shared = SharedStore()

        async def order(faults):
            shared.order_faults(faults)

        yield InMemoryStore(shared, CLIENT_TIMEOUT_SECONDS), order

    def run_async(self, test):
        run_in_virtual_time(test)

    def test_one_client_is_cut_off_alone(self):
        async def test():
            shared = SharedStore()
            cut, uncut = InMemoryStore(shared), InMemoryStore(shared)
            cut.cut_off = True
            version = await uncut.compare_and_swap("a", ABSENT, b"1")
            self.assertEqual(version, StorePosition(UNSPECIFIED_ERA, 1))
            await self.check_call(lambda: cut.get("a"), (StoreError, ErrorCode.STORE_UNAVAILABLE))

        self.run_async(test)

    def test_history_is_bounded(self):
        async def test():
            store = InMemoryStore(SharedStore(history_length=2))
            for key in ("a", "b", "c"):
                await store.compare_and_swap(key, ABSENT, b"1")
            batch = await store.watch("", ABSENT, 0.0)
            self.assertEqual([value.key for value in batch.values], ["b", "c"])

        self.run_async(test)


class HttpStoreTest(StoreContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def platform(self):
        async with http_platform() as (url, client):

            async def order(faults):
                response = await client.post(
                    url + ADMIN_FAULTS_PATH,
                    json={
                        field: getattr(faults, field)
                        for field in faults.__struct_fields__
                        if getattr(faults, field) is not None
                    },
                )
                response.raise_for_status()

            yield HttpKeyValueStore(url, client, CLIENT_TIMEOUT_SECONDS), order

    def run_async(self, test):
        trio.run(test)

    def test_an_unreachable_store_took_no_effect(self):
        async def test():
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            await listener.aclose()
            async with httpx.AsyncClient() as client:
                store = HttpKeyValueStore(f"127.0.0.1:{port}", client)
                expected = (StoreError, ErrorCode.STORE_UNAVAILABLE)
                await self.check_call(lambda: store.compare_and_swap("a", ABSENT, b"1"), expected)

        self.run_async(test)

    def test_every_other_lost_answer_leaves_a_write_unknown(self):
        for name, answer in LOST_RESPONSES:
            with self.subTest(name):
                self.run_async(lambda answer=answer: self.check_raw_answer(answer))

    async def check_raw_answer(self, answer):
        async def handle(stream):
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.aclose()

        async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
            listener = (await nursery.start(trio.serve_tcp, handle, 0))[0]
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            store = HttpKeyValueStore(address, client)
            unknown = (StoreOutcomeUnknownError, ErrorCode.STORE_OUTCOME_UNKNOWN)
            unavailable = (StoreError, ErrorCode.STORE_UNAVAILABLE)
            await self.check_call(lambda: store.compare_and_swap("a", ABSENT, b"1"), unknown)
            await self.check_call(lambda: store.get("a"), unavailable)
            nursery.cancel_scope.cancel()

    def test_bad_bodies_are_named_and_serving_goes_on(self):
        async def test():
            async with http_platform() as (url, client):
                for path, body, message in (
                    (STORE_PATH, b"{", "truncated"),
                    (STORE_PATH, b'{"operation":"steal"}', "steal"),
                    (STORE_PATH, b'{"operation":"get"}', "key"),
                    (ADMIN_FAULTS_PATH, b'{"outages":true}', "outages"),
                    (ADMIN_FAULTS_PATH, b'{"outage":7}', "outage"),
                ):
                    response = await client.post(url + path, content=body)
                    self.assertEqual(response.status_code, 400)
                    self.assertIn(message, response.json()["message"])
                self.assertEqual(await HttpKeyValueStore(url, client).list(""), [])

        self.run_async(test)


class MachineListTest(unittest.TestCase):
    def test_http_list_shows_editions_and_faults(self):
        async def test():
            async with http_platform() as (url, client):
                machine_list = HttpMachineList(url, client)
                self.assertEqual(await machine_list.machines(), list(MACHINES))
                await client.put(url + ADMIN_MACHINES_PATH, json=[])
                self.assertEqual(await machine_list.machines(), [])
                await client.post(url + ADMIN_FAULTS_PATH, json={"machine_list_outage": True})
                with self.assertRaises(StoreError):
                    await machine_list.machines()

        trio.run(test)

    def test_in_memory_list_lags_flaps_and_fails(self):
        async def test():
            model = MachineListModel(MACHINES)
            machine_list = InMemoryMachineList(model)
            model.order_faults(FaultOrder(machine_list_lag_seconds=10.0))
            model.replace((), trio.current_time())
            self.assertEqual(await machine_list.machines(), list(MACHINES))
            await trio.sleep(10.0)
            self.assertEqual(await machine_list.machines(), [])
            model.replace(MACHINES, trio.current_time() - 10.0)
            model.order_faults(FaultOrder(machine_list_flapping=("127.0.0.1:1",)))
            shown = {len(await machine_list.machines()) for _ in range(2)}
            self.assertEqual(shown, {1, 2})
            model.order_faults(FaultOrder(machine_list_outage=True))
            with self.assertRaises(StoreError):
                await machine_list.machines()

        run_in_virtual_time(test)
