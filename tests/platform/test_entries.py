"""Invalid values under instances' keys list no instance, and don't affect other entries."""

import base64
import ipaddress
import json
import unittest

import hypothesis
import trio
from hypothesis import strategies

from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition
from hopstep.platform.directory import PlatformDirectory, read_change
from hopstep.platform.store import PlatformStore
from hopstep.ports.key_value_store import StoredValue
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RejectReason,
    Unreadable,
    WeightsPublished,
)
from tests import fuzz_settings

KEY = "servers/i-1"
GOOD = {
    "service": "s",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "callSequence": 5,
}
ENGINE = {**GOOD, "stage": "prefill_decode", "models": [{"name": "m", "version": 3}]}

GOOD_ENTRIES = (
    GOOD,
    ENGINE,
    {**GOOD, "state": "draining"},
    {**GOOD, "born": 1_700_000_000_123},
    {**GOOD, "coldRemainingMs": 12.5},
    {**GOOD, "somethingNew": {"x": [1, None]}},
)

MISSING, TYPE, VALUE, UNDECODABLE = (
    RejectReason.FIELD_MISSING,
    RejectReason.FIELD_TYPE,
    RejectReason.FIELD_VALUE,
    RejectReason.UNREADABLE,
)
BAD_FIELDS = (
    ("service", 7, TYPE),
    ("service", "", VALUE),
    ("address", None, TYPE),
    ("address", "", VALUE),
    ("address", "10.0.0.1", VALUE),
    ("address", "10.0.0.1:0", VALUE),
    ("address", "10.0.0.1:99999", VALUE),
    ("address", "somewhere:80", VALUE),
    ("address", "10.0.0.1:80\r\nx: y", VALUE),
    ("zone", [], TYPE),
    ("zone", "", VALUE),
    ("version", 1, TYPE),
    ("slots", 0, VALUE),
    ("slots", -3, VALUE),
    ("slots", 10**9, VALUE),
    ("slots", "6", TYPE),
    ("slots", 6.5, TYPE),
    ("slots", True, TYPE),
    ("state", "resting", VALUE),
    ("state", 1, TYPE),
    ("state", "", VALUE),
    ("coldRemainingMs", -1, VALUE),
    ("coldRemainingMs", "0", TYPE),
    ("callSequence", -1, VALUE),
    ("callSequence", None, TYPE),
    ("callSequence", 10**30, VALUE),
    ("models", {}, TYPE),
    ("models", [{"name": "m", "version": -1}], VALUE),
    ("models", [{"name": "", "version": 1}], VALUE),
    ("models", [{"version": 1}], MISSING),
    ("stage", 3, TYPE),
    ("born", "1700000000123", TYPE),
    ("born", 1700000000.5, TYPE),
    ("born", -1, VALUE),
    ("born", 0, VALUE),
    ("born", 10**30, VALUE),
    ("born", None, TYPE),
)
BAD_BYTES = (
    b"\xff\xfe",
    b"{",
    b"null",
    b"[]",
    b'"ready"',
    b"12",
    json.dumps(GOOD).encode() + b" and more",
    b'{"service": "\xff"}',
    b'{"x": ' + b"[" * 100_000,
)

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(["ready", "draining", "10.0.0.2:81", "s"]),
    lambda nested: (
        strategies.lists(nested, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), nested, max_size=3)
    ),
    max_leaves=4,
)


def read(document, key=KEY):
    value = document if isinstance(document, bytes) else json.dumps(document).encode()
    return read_change(StoredValue(key, value, StorePosition(UNSPECIFIED_ERA, 9)))


def is_number(value, lowest, highest=2**53):
    return type(value) is int and lowest <= value <= highest


def is_valid(document):
    """Return whether an entry lists an instance, by the published rules for entries."""
    if not isinstance(document, dict) or not GOOD.keys() <= document.keys():
        return False
    address, separator, port = str(document["address"]).rpartition(":")
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return (
        all(isinstance(document[name], str) and document[name] for name in ("service", "zone"))
        and isinstance(document["address"], str)
        and separator == ":"
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65_536
        and document["state"] in ("ready", "draining")
        and is_number(document["slots"], 1, 65_536)
        and is_number(document["callSequence"], 0)
        and ("born" not in document or is_number(document["born"], 1))
    )


class EntryTest(unittest.TestCase):
    def test_good_entries_name_an_instance(self):
        for entry in GOOD_ENTRIES:
            with self.subTest(entry=entry):
                self.assertIsInstance(read(entry), InstanceListed)
                self.assertEqual(read(entry).instance.software_version, "v1")

    def test_an_entry_without_one_of_its_fields_names_none(self):
        for name in GOOD:
            with self.subTest(field=name):
                change = read({key: value for key, value in GOOD.items() if key != name})
                self.assertIsInstance(change, InstanceRejected)
                self.assertEqual((change.reason, change.field), (MISSING, name))

    def test_a_field_of_another_type_or_without_meaning_names_none(self):
        for name, value, reason in BAD_FIELDS:
            with self.subTest(field=name, value=value):
                change = read({**ENGINE, name: value})
                self.assertIsInstance(change, InstanceRejected)
                self.assertEqual((change.instance_id, change.reason), ("i-1", reason))
                self.assertEqual(change.field.partition("[")[0], name)

    def test_bytes_that_are_no_document_name_none(self):
        for value in BAD_BYTES:
            with self.subTest(value=value[:40]):
                change = read(value)
                self.assertIsInstance(change, InstanceRejected)
                self.assertIn(change.reason, (UNDECODABLE, TYPE))

    def test_an_id_that_fits_no_header_names_none(self):
        for instance_id in ("", "a b", "a\r\nb", "\u00e9", "x" * 300):
            with self.subTest(instance_id=instance_id):
                self.assertIsInstance(read(GOOD, f"servers/{instance_id}"), InstanceRejected)

    def test_a_key_that_is_gone_is_no_entry(self):
        self.assertEqual(read(b""), InstanceRemoved("i-1"))

    def test_other_documents_that_cannot_be_read_are_told_by_key(self):
        for key in ("op/config", "op/version/m"):
            change = read(b'{"version": []}', key)
            self.assertIsInstance(change, Unreadable)
            self.assertEqual(change.key, key)
            self.assertIsInstance(read(b"{" * 100_000, key), Unreadable)


class EntryPropertyTest(unittest.TestCase):
    @fuzz_settings.settings(base_examples=400)
    @hypothesis.given(strategies.binary(max_size=80))
    def test_no_bytes_raise_or_name_an_instance(self, value):
        self.assertIsInstance(read(value), InstanceRejected | InstanceRemoved)

    @fuzz_settings.settings(base_examples=600)
    @hypothesis.given(
        strategies.sampled_from([GOOD, ENGINE, {**GOOD, "born": 1_700_000_000_123}]),
        strategies.dictionaries(
            strategies.sampled_from([*ENGINE, "born", "else"]), VALUES, max_size=3
        ),
        strategies.sets(strategies.sampled_from([*GOOD]), max_size=2),
    )
    def test_an_entry_is_taken_only_if_it_names_an_instance(self, good, changed, dropped):
        document = {
            key: changed_value
            for key, changed_value in {**good, **changed}.items()
            if key not in dropped
        }
        change = read(document)
        if isinstance(change, InstanceListed):
            self.assertTrue(is_valid(document), document)
        elif not changed and not dropped:
            self.fail(f"a valid entry was rejected: {change}")

    @fuzz_settings.settings(base_examples=200)
    @hypothesis.given(strategies.lists(strategies.booleans() | strategies.binary(max_size=30)))
    def test_what_stands_beside_a_bad_entry_is_taken(self, drawn):
        good = json.dumps(GOOD).encode()
        values = [good if item is True else b"{}" if item is False else item for item in drawn]
        stored = [
            StoredValue(f"servers/i-{index}", value, StorePosition(UNSPECIFIED_ERA, index + 1))
            for index, value in enumerate(values)
        ]
        listed = [isinstance(read_change(value), InstanceListed) for value in stored]
        self.assertEqual(listed, [value == good for value in values])


class StoreItemTest(unittest.TestCase):
    def snapshot(self, items):
        """Return the directory changes of a store's listing."""
        body = {"items": items, "hasMore": False, "atRevision": 9}

        class Response:
            status = 200
            headers = ()

            async def aiter_stream(self):
                await trio.lowlevel.checkpoint()
                yield json.dumps(body).encode()

        class Client:
            def open(self, _call, _trace):
                return self

            async def __aenter__(self):
                await trio.lowlevel.checkpoint()
                return Response()

            async def __aexit__(self, *_exception):
                await trio.lowlevel.checkpoint()

        directory = PlatformDirectory(PlatformStore("127.0.0.1:9", Client()))
        return [entry.change for entry in trio.run(directory.snapshot).entries]

    def test_a_value_that_is_no_base64_harms_no_other_key(self):
        good = base64.b64encode(json.dumps(GOOD).encode()).decode()
        changes = self.snapshot(
            [
                {"privateKey": "servers/i-1", "value": good, "revision": 1},
                {"privateKey": "servers/i-2", "value": "!", "revision": 2},
                {"privateKey": "servers/i-3", "value": "\u00e9", "revision": 3},
                {"privateKey": "servers/i-4", "value": good, "revision": 4},
            ]
        )
        self.assertEqual(
            [type(change) for change in changes],
            [InstanceListed, InstanceRejected, InstanceRejected, InstanceListed],
        )

    def test_documents_of_operators_still_read(self):
        configuration = base64.b64encode(b'{"version": 3, "routes": []}').decode()
        weights = base64.b64encode(b'{"model": "m", "version": 2}').decode()
        changes = self.snapshot(
            [
                {"privateKey": "op/config", "value": configuration, "revision": 1},
                {"privateKey": "op/version/m", "value": weights, "revision": 2},
            ]
        )
        self.assertEqual(
            [type(change) for change in changes], [ConfigurationPublished, WeightsPublished]
        )
