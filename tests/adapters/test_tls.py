"""TLS of the listener and of connections to engines, with replaced or invalid files."""

from __future__ import annotations

import contextlib
import functools
import itertools
import ssl
import unittest
from pathlib import Path
from unittest import mock

import httpx
import msgspec
import structlog.testing
import trio
import trustme
from cryptography.hazmat.primitives import serialization

from emulator.engine.answers import expected_tokens
from emulator.engine.records import RunRecord
from emulator.engine.server import ADMIN_RUNS_PATH
from emulator.engine.service import serve_engine
from hopstep.adapters import engine_http, watched_files
from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.http_server import serve_http
from hopstep.adapters.tls import load_tls
from hopstep.adapters.watched_files import follow_files
from hopstep.exceptions import EngineError, ErrorCode, Execution, PortError
from hopstep.settings import TlsSettings
from tests.contract.engine_contract import CONFIG, REQUEST, WEIGHTS
from tests.tls_files import LOOPBACK, TlsFiles, fingerprint

ANY_PORT = f"{LOOPBACK}:0"
TEST_TIMEOUT_SECONDS = 30
ENGINE_TIMEOUT_SECONDS = 5.0
IDLE_SECONDS = 0.05
POLL_SECONDS = 0.01
ANSWER = expected_tokens(REQUEST.prompt, REQUEST.max_tokens)
NOT_RUN = (ErrorCode.ENGINE_UNREACHABLE, Execution.NOT_RUN)
RESPONSE_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-length", b"10")],
}
FIRST_PART, LAST_PART = b"first", b"-last"


def address_of(binds: list[str]) -> str:
    return binds[0].removeprefix("https://")


class TlsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.files = TlsFiles()
        self.addCleanup(self.files.close)
        self.enterContext(mock.patch.object(watched_files, "CHECK_SECONDS", POLL_SECONDS))
        self.logs = self.enterContext(structlog.testing.capture_logs())

    def logged(self, number: str) -> list[dict]:
        return [line for line in self.logs if line["number"] == number]

    async def wait_logged(self, number: str, count: int) -> None:
        while len(self.logged(number)) < count:  # noqa: ASYNC110 - logged by another task
            await trio.sleep(POLL_SECONDS)

    def run_bounded(self, check) -> None:
        async def main() -> None:
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                await check()

        trio.run(main)


class BadFilesTest(TlsTest):
    def test_the_error_names_field_and_file(self) -> None:
        files = self.files
        certificate, key = files.certificate.read_bytes(), files.private_key.read_bytes()
        locked = serialization.load_pem_private_key(key, None).private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.BestAvailableEncryption(b"secret"),
        )
        another = trustme.CA().issue_cert(LOOPBACK).private_key_pem.bytes()
        cases = (
            ("tls.certificate", files.certificate, None),
            ("tls.certificate", files.certificate, b""),
            ("tls.certificate", files.certificate, certificate[:-40]),
            ("tls.certificate", files.certificate, key),
            ("tls.certificate", files.certificate, b"\xff\x00" * 9),
            ("tls.private_key", files.private_key, None),
            ("tls.private_key", files.private_key, key[: len(key) // 2]),
            ("tls.private_key", files.private_key, certificate),
            ("tls.private_key", files.private_key, another),
            ("tls.private_key", files.private_key, locked),
            ("tls.trusted", files.trusted, None),
            ("tls.trusted", files.trusted, b"# nobody\n"),
            ("tls.trusted", files.trusted, key),
            ("tls.trusted", files.trusted, certificate + certificate[:-40]),
        )
        for field, path, content in cases:
            with self.subTest(field=field, content=content):
                good = path.read_bytes()
                path.unlink() if content is None else path.write_bytes(content)
                with self.assertRaises(PortError) as raised:
                    load_tls(files.settings())
                path.write_bytes(good)
                self.assertEqual(raised.exception.code, ErrorCode.INVALID_SETTINGS)
                self.assertEqual(raised.exception.field, field)
                self.assertIn(str(path), raised.exception.message)
        self.assertIsNotNone(load_tls(files.settings()).listener)

    def test_what_the_settings_ask_for(self) -> None:
        cases = (
            (TlsSettings(), (False, False, "http")),
            (self.files.settings(trusted=False), (True, False, "https")),
            (self.files.settings(served=False), (False, True, "http")),
            (msgspec.structs.replace(self.files.settings(), engines=False), (True, False, "https")),
            (self.files.settings(), (True, True, "https")),
        )
        for settings, expected in cases:
            with self.subTest(settings):
                tls = load_tls(settings)
                found = (tls.listener is not None, tls.engines is not None, tls.peer_scheme)
                self.assertEqual(found, expected)
                for watched in tls.watched:
                    version = watched.value.context.minimum_version
                    self.assertEqual(version, ssl.TLSVersion.TLSv1_2)


class ListenerTest(TlsTest):
    """Runs a listener whose answer pauses between two parts until ``go_on`` is set."""

    @contextlib.asynccontextmanager
    async def listener(self):
        self.go_on = trio.Event()
        tls = load_tls(self.files.settings())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow_files, tls.watched)
            serve = functools.partial(serve_http, self.answer)
            bound = await nursery.start(serve, ANY_PORT, tls.listener, trio.sleep_forever)
            yield address_of(bound)
            nursery.cancel_scope.cancel()

    async def answer(self, scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            for kind in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{kind}.complete"})
            return
        await send(RESPONSE_START)
        await send({"type": "http.response.body", "body": FIRST_PART, "more_body": True})
        await self.go_on.wait()
        await send({"type": "http.response.body", "body": LAST_PART})

    async def read_until(self, stream: trio.SSLStream, end: bytes) -> None:
        data = b""
        while not data.endswith(end):
            received = await stream.receive_some()
            self.assertTrue(received, "the stream was cut off")
            data += bytes(received)

    def test_a_replacement_reaches_new_connections_and_leaves_streams(self) -> None:
        async def check() -> None:
            async with self.listener() as address:
                before = await self.files.served_fingerprint(address)
                stream = await self.files.connect(address)
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await self.read_until(stream, FIRST_PART)
                issued = self.files.issue()
                self.assertNotEqual(issued, before)
                await self.wait_logged("HS1020", 2)
                self.assertEqual(await self.files.served_fingerprint(address), issued)
                self.go_on.set()
                await self.read_until(stream, LAST_PART)
                # The next request of the same connection also keeps the earlier certificate.
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await self.read_until(stream, FIRST_PART + LAST_PART)
                under = fingerprint(stream.getpeercert(binary_form=True))
                self.assertEqual(under, before)
                await trio.aclose_forcefully(stream)

        self.run_bounded(check)
        self.assertEqual(len(self.logged("HS1020")), 2)

    def test_broken_files_change_nothing_until_they_are_mended(self) -> None:
        def half(path: Path) -> None:
            path.write_bytes(path.read_bytes()[:-50])

        without_key = self.files.authority.issue_cert(LOOPBACK).cert_chain_pems[0].bytes()
        cases = (
            (self.files.certificate, half),
            (self.files.private_key, half),
            (self.files.certificate, Path.unlink),
            (self.files.private_key, lambda path: path.write_bytes(b"")),
            (self.files.certificate, lambda path: path.write_bytes(without_key)),
        )

        async def check() -> None:
            async with self.listener() as address:
                before = await self.files.served_fingerprint(address)
                for number, (path, change) in enumerate(cases, start=1):
                    good = path.read_bytes()
                    change(path)
                    await self.wait_logged("HS1021", number)
                    self.assertEqual(await self.files.served_fingerprint(address), before)
                    path.write_bytes(good)
                    await self.wait_logged("HS1020", number + 1)
                issued = self.files.issue()
                await self.wait_logged("HS1020", len(cases) + 2)
                self.assertEqual(await self.files.served_fingerprint(address), issued)

        self.run_bounded(check)
        self.assertEqual(
            [line["field"] for line in self.logged("HS1021")],
            [*["tls.certificate", "tls.private_key"] * 2, "tls.private_key"],
        )

    def test_strangers_do_not_stop_the_listener(self) -> None:
        async def check() -> None:
            async with self.listener() as address:
                host, _, port = address.rpartition(":")
                for invalid in (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"\x16\x03\x01\xff", b""):
                    plain = await trio.open_tcp_stream(host, int(port))
                    await plain.send_all(invalid)
                    await plain.aclose()
                await self.files.served_fingerprint(address)

        self.run_bounded(check)


class EngineTest(TlsTest):
    @contextlib.asynccontextmanager
    async def engine(self):
        """Start an engine over TLS; yield a client with this side's settings, and its address."""
        own = load_tls(self.files.settings(served=False))
        port = HttpEngine(
            idle_timeout_seconds=ENGINE_TIMEOUT_SECONDS,
            call_timeout_seconds=ENGINE_TIMEOUT_SECONDS,
            connect_timeout_seconds=ENGINE_TIMEOUT_SECONDS,
            ssl_context=own.engines,
        )
        async with trio.open_nursery() as nursery, contextlib.aclosing(port):
            nursery.start_soon(follow_files, own.watched)
            serve = functools.partial(
                serve_engine, CONFIG, WEIGHTS, tls=self.files.settings(trusted=False)
            )
            yield port, address_of(await nursery.start(serve, ANY_PORT, trio.sleep_forever))
            nursery.cancel_scope.cancel()

    async def fetch_answer(self, port: HttpEngine, address: str, nonce: str) -> str:
        """Return the answer to one request."""
        request = msgspec.structs.replace(REQUEST, nonce=nonce)
        async with port.generate(address, request) as frames:
            return "".join([token async for frame in frames for token in frame.tokens])

    async def request_until(self, port: HttpEngine, address: str, *, answered: bool) -> None:
        """Send requests until one is answered, or refused, as the current authorities require."""
        for nonce in self.nonces:
            try:
                answer = await self.fetch_answer(port, address, nonce)
            except EngineError as error:
                self.assertEqual((error.code, error.execution), NOT_RUN)
                self.refused.add(nonce)
                if not answered:
                    return
            else:
                self.assertEqual(answer, "".join(ANSWER))
                if answered:
                    return
            # Longer than idle connections are kept, so that the next request opens a new one.
            await trio.sleep(IDLE_SECONDS)

    async def runs(self, address: str) -> set[str]:
        """Return the nonces of the requests that the engine ran."""
        context = ssl.create_default_context(cafile=str(self.files.directory / "own.pem"))
        async with httpx.AsyncClient(trust_env=False, verify=context) as client:
            response = await client.get(f"https://{address}{ADMIN_RUNS_PATH}")
        records = msgspec.json.decode(response.content, type=tuple[RunRecord, ...])
        return {record.nonce for record in records}

    def test_only_engines_of_a_trusted_authority_get_requests(self) -> None:
        own, other = self.files.authority, trustme.CA()
        (self.files.directory / "own.pem").write_bytes(own.cert_pem.bytes())
        self.refused: set[str] = set()
        self.nonces = (f"n{number}" for number in itertools.count())

        async def check() -> None:
            async with self.engine() as (port, address):
                await self.request_until(port, address, answered=True)
                self.files.trust(other)
                await self.request_until(port, address, answered=False)
                self.files.trust(other, own)
                await self.request_until(port, address, answered=True)
                self.assertTrue(self.refused)
                self.assertFalse(self.refused & await self.runs(address))

        with mock.patch.object(engine_http, "KEEP_ALIVE_SECONDS", IDLE_SECONDS / 2):
            self.run_bounded(check)

    def test_an_engine_without_tls_is_refused_as_not_run(self) -> None:
        async def check() -> None:
            async with trio.open_nursery() as nursery, self.engine() as (port, _):
                serve = functools.partial(serve_engine, CONFIG, WEIGHTS)
                plain = await nursery.start(serve, ANY_PORT, trio.sleep_forever)
                with self.assertRaises(EngineError) as raised:
                    await self.fetch_answer(port, plain[0].removeprefix("http://"), "n")
                error = raised.exception
                self.assertEqual((error.code, error.execution), NOT_RUN)
                nursery.cancel_scope.cancel()

        self.run_bounded(check)


if __name__ == "__main__":
    unittest.main()
