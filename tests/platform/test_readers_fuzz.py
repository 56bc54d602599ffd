"""Fuzzes the readers of bytes from outside: errors, processor time and memory of each.

A value may come from any client of the store, from instances, from other nodes and from whoever
reaches a node's address.
"""

import gc
import json
import time
import tracemalloc
import unittest
from unittest import mock

import cbor2
import hypothesis
import msgspec
import trio
from hypothesis import strategies

from hopstep.adapters import node_codec
from hopstep.adapters.node_codec import COMPRESSED, PLAIN, FrameError, decode_frame
from hopstep.adapters.peer_codec import DATAGRAM_CONTEXT, PeerCodec, decode_struct
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.adapters.tunnel_codec import OpenRequest, TunnelFrameError
from hopstep.adapters.udp_peer_transport import MAX_DATAGRAM_BYTES
from hopstep.decoding import decode_json
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.instance_notices import AnswerKind
from hopstep.domain.peer_message import Body
from hopstep.domain.store_position import StorePosition
from hopstep.exceptions import PeerMessageError
from hopstep.platform import cache_events, instance_answers, instances, names, store
from hopstep.platform.directory import read_change
from hopstep.platform.notices import read_notice
from hopstep.platform.weights_lines import WeightsVersionScanner
from hopstep.ports.key_value_store import StoredValue
from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.directory.records import (
    NODES_PREFIX,
    STREAMS_PREFIX,
    decode_holder,
    decode_node,
)
from hopstep.services.exchanges.streams.stored_origins import StoredOrigins
from hopstep.services.quarantine.stored_requests import read_stored
from tests import fuzz_settings

UNBOUNDED = tuple[tuple[str, str, str, str, int, int], ...]
"""Type of a list without a bound on its items."""

LONGEST_SECONDS = 0.010
"""Longest processor time of one reader: other tasks wait for it."""

MOST_BYTES = 4 * 1024 * 1024
RUNS = 10
"""Most runs of a reader whose time is measured: what a virtual machine does meanwhile counts as
processor time too."""

EXAMPLES = 60

STORE_BYTES = 1024 * 1024
CONFIGURATION_BYTES = 256 * 1024
"""Operators may write longer ones, as they list every tenant; those take more time and memory."""

CONTROL_BYTES = 256 * 1024
DATAGRAM_BYTES = 60_000
TUNNEL_FRAME_BYTES = 1_024
HEADER_BYTES = 64 * 1024

POSITION = StorePosition(0, 1)
KEY = b"key-a"
NODES = {"a": NodeRecord("127.0.0.1:1", "z", KEY)}
PEER_KEY_ID = "k"
PEER_CODEC = PeerCodec("c", "a", 1, PeerKeys({PEER_KEY_ID: KEY}))

MODEL = {"name": "m", "version": 1}
ITEM = {"privateKey": "k", "value": "", "revision": 1, "deleted": False}
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z",
    "version": "v",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "callSequence": 0,
    "born": 1,
    "models": [MODEL],
}
ROUTE = {"name": "r", "hostname": "h", "pathPrefix": "/", "timeoutMs": 1, "priority": 1}
CONFIGURATION = {"version": 1, "routes": [ROUTE], "services": [], "limits": {}, "tenants": []}
NODE = {"address": "127.0.0.1:1", "zone": "z", "key": "a2V5", "capacity": 1, "form": 1, "era": 1}
REQUEST = {"tenant": "", "crashes": [["i", "n"]], "cleared": [""], "trials": 1, "claimant": ""}

# A sound document for each reader of JSON objects; one of its fields is replaced at a time.
DOCUMENTS = {
    "entry": ENTRY,
    "weights": {"model": "m", "version": 1},
    "configuration": CONFIGURATION,
    "node": NODE,
    "rollout": {"name": "n", "address": "a", "lease": "l", "era": 1},
    "quarantine": REQUEST,
    "store page": {"atRevision": 1, "items": [ITEM], "hasMore": False},
    "store changes": {"atRevision": 1, "events": [ITEM]},
    "store conflict": {"items": [ITEM]},
    "report": {"busy": False, "callSequence": 1, "born": 1, "models": [MODEL]},
    "cache events": {"epoch": 1, "nextPageToken": 1, "lost": False, "events": [], "born": 1},
}


def read_as(key):
    return lambda value: read_change(StoredValue(key, value, POSITION))


def read_header(name):
    """Return a reader of a response's head with one header."""

    def read(value):
        headers = [(name, value), (names.DATE, b"Sun, 06 Nov 1994 08:49:37 GMT")]
        read_notice(503, headers, AnswerKind.REQUEST)
        read_notice(503, [(names.DATE, value), (names.RETRY_AFTER, value)], AnswerKind.REQUEST)

    return read


def read_origins(value):
    async def main():
        return StoredOrigins.read(RecordWritten(STREAMS_PREFIX + "x", value, POSITION))

    return trio.run(main)


def read_signed(encoding):
    """Return a reader of a payload that a registered node has signed."""

    def read(value):
        part = cbor2.dumps(["a", encoding, value])
        return decode_frame(node_codec._tag(KEY, part) + part, NODES)

    return read


def read_peer_payload(value):
    """Read a payload that another router has signed."""
    frame = PEER_CODEC.open(PEER_CODEC.seal(value, DATAGRAM_CONTEXT), DATAGRAM_CONTEXT)
    return decode_struct(frame.payload, Body)


def read_peer_header(value):
    """Read a header that another router has signed."""
    rest = bytes((1,)) + PEER_KEY_ID.encode() + value
    tag = PEER_CODEC._tag(KEY, DATAGRAM_CONTEXT, rest)
    return PEER_CODEC.decode(tag + rest)


# Reader, the error that it declares, and the longest value that reaches it.
READERS = {
    "entry": (read_as(names.INSTANCES_PREFIX + "i"), None, STORE_BYTES),
    "weights": (read_as(names.WEIGHTS_PREFIX + "m"), None, STORE_BYTES),
    "configuration": (read_as(names.CONFIGURATION_KEY), None, CONFIGURATION_BYTES),
    "record": (read_as(NODES_PREFIX + "n"), None, STORE_BYTES),
    "node": (decode_node, msgspec.DecodeError, STORE_BYTES),
    "rollout": (decode_holder, msgspec.DecodeError, STORE_BYTES),
    "quarantine": (read_stored, msgspec.DecodeError, STORE_BYTES),
    "origins": (read_origins, msgspec.DecodeError, STORE_BYTES),
    "stored value": (lambda value: store._decode_value(value.decode("latin-1")), None, STORE_BYTES),
    "store page": (lambda v: decode_json(v, store._Range), msgspec.DecodeError, STORE_BYTES),
    "store changes": (lambda v: decode_json(v, store._Events), msgspec.DecodeError, STORE_BYTES),
    "store conflict": (lambda v: decode_json(v, store._Conflict), msgspec.DecodeError, STORE_BYTES),
    "store era": (lambda v: store._read_era([(names.STORE_ERA, v)]), None, HEADER_BYTES),
    "report": (lambda v: decode_json(v, instances._Report), msgspec.DecodeError, CONTROL_BYTES),
    "cache events": (
        lambda v: decode_json(v, cache_events._Events),
        msgspec.DecodeError,
        CONTROL_BYTES,
    ),
    "version of a header": (instance_answers._read_version, None, HEADER_BYTES),
    "limit header": (read_header(names.LIMIT), None, HEADER_BYTES),
    "backoff header": (read_header(names.RETRY_AFTER), None, HEADER_BYTES),
    "weights line": (lambda value: WeightsVersionScanner().scan(value), None, HEADER_BYTES),
    "frame": (lambda value: decode_frame(value, NODES), FrameError, DATAGRAM_BYTES),
    "signed payload": (read_signed(PLAIN), FrameError, DATAGRAM_BYTES),
    "compressed payload": (read_signed(COMPRESSED), FrameError, DATAGRAM_BYTES),
    "peer datagram": (lambda v: PEER_CODEC.decode(v), PeerMessageError, MAX_DATAGRAM_BYTES),
    "peer header": (read_peer_header, PeerMessageError, MAX_DATAGRAM_BYTES),
    "peer payload": (read_peer_payload, PeerMessageError, MAX_DATAGRAM_BYTES),
    "tunnel": (OpenRequest, TunnelFrameError, TUNNEL_FRAME_BYTES),
}


def nested(depth, opening, closed):
    """Return JSON or CBOR that is nested to a depth."""
    closing = {b"[": b"]", b'{"a":': b"}"}.get(opening, b"") if closed else b""
    return opening * depth + (b"0" if closing else b"") + closing * depth


def within(document, field, value):
    """Return a document with a field replaced by the text of a JSON value."""
    others = {name: known for name, known in document.items() if name != field}
    text = json.dumps({**others, field: None})
    return text.removesuffix("null}").encode() + value + b"}"


def sizes(largest):
    """Return a strategy of sizes that draws each order of magnitude alike."""
    powers = strategies.integers(0, len(str(largest)) - 1)
    return powers.flatmap(lambda power: strategies.integers(1, min(largest, 10 ** (power + 1))))


DIGITS = strategies.builds(
    lambda count, sign, exponent: sign + b"9" * count + exponent,
    sizes(100_000),
    strategies.sampled_from((b"", b"-")),
    strategies.sampled_from((b"", b"e999", b"e-999", b"E99999999999", b".5")),
)
NESTED = strategies.builds(
    nested,
    sizes(1_000_000),
    strategies.sampled_from((b"[", b'{"a":', b"\x81", b"\xa1", b"\xc2", b"\xd8\x1d", b"\x9f")),
    strategies.booleans(),
)
TEXTS = strategies.builds(
    lambda text, count: b'"' + text * count + b'"',
    strategies.sampled_from(
        (b"\\ud800", b"\\u0000", b"a", b"\\u00e9", b"1.", b":", b"\xff", b"\\")
    ),
    sizes(200_000),
)
LISTS = strategies.builds(
    lambda item, count: b"[" + b",".join([item] * count) + b"]",
    strategies.sampled_from(
        (b"{}", b"[]", b"0", b'{"name":"m","version":1}', b'["a","b"]', b'["a2V5","s","v","i",0,0]')
    ),
    sizes(40_000),
)
JSON_VALUES = strategies.one_of(DIGITS, NESTED, TEXTS, LISTS)
CBOR_VALUES = strategies.recursive(
    strategies.one_of(
        *(strategies.none(), strategies.integers(), strategies.floats(), strategies.binary()),
        strategies.text(),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
        strategies.builds(cbor2.CBORTag, strategies.integers(0, 300), inner),
    ),
    max_leaves=8,
).map(cbor2.dumps)
OTHER_VALUES = strategies.one_of(
    JSON_VALUES,
    CBOR_VALUES,
    CBOR_VALUES.map(lambda value: b"0" * 16 + value),
    strategies.binary(max_size=4_096),
    strategies.builds(
        lambda byte, count: byte * count, strategies.binary(max_size=4), sizes(2**18)
    ),
)


ITEMS = (b"{}", b"[]", b"0", b'{"name":"m","version":1}', b'["i","n"]', b'"a"')
ORIGIN = b'["a2V5","s","v","i",%b,0]'
HOSTILE_VALUES = (
    *(b"9" * digits for digits in (1, 20, 400, 4_300, 4_301, 100_000)),
    *(b"-" + b"9" * digits for digits in (1, 400, 100_000)),
    *(b"1e999", b"-1e999", b"1e-999", b"1E99999999999", b"0." + b"9" * 100_000, b"1e308"),
    *(nested(depth, b"[", True) for depth in (1, 1_000, 500_000)),
    *(nested(depth, b'{"a":', True) for depth in (1, 1_000, 170_000)),
    nested(1_000_000, b"[", False),
    *(b'"' + text * 100_000 + b'"' for text in (b"a", b"\\u0000", b"\\u00e9", b"1.", b":")),
    *(b'"\\ud800"', b'"\\udc00\\ud800"', b'"\xff"', b'"a\0"', b'"10.0.0.1:%b"' % (b"9" * 5_000)),
    *(b"[" + b",".join([item] * 40_000) + b"]" for item in ITEMS),
    *(
        b"{" + b",".join(b'"%d":0' % number for number in range(count)) + b"}"
        for count in (80_000,)
    ),
    b'{"a":' + b"9" * 400 + b"}",
    *(b"[" + ORIGIN % (b"9" * digits) + b"]" for digits in (1, 400, 4_301)),
    b"[" + b",".join([ORIGIN % b"1"] * 40_000) + b"]",
    *(b"", b"null", b"true", b"\0" * 1_000, b"\x81" * 50_000, b"\xc2" * 50_000, b"\xa0" * 50_000),
    *(b"\x9a\x7f\xff\xff\xff", b"\x5a\x7f\xff\xff\xff", b"\x98\xff" + b"\xa0" * 50_000),
    b"\x99\xff\xff" + b"\x80" * 65_535,
    *(b"1," * 30_000, b"1 " * 30_000, b"Sun, 06 Nov 1994 08:49:37 " + b"9" * 5_000),
)


def hostile_values(name):
    """Return values for a reader: alone, behind a tag, and in each field of its document."""
    document = DOCUMENTS.get(name, {})
    longest = READERS[name][2]
    for value in HOSTILE_VALUES:
        yield value[:longest]
        yield (b"0" * 16 + value)[:longest]
        for field in (*document, "other") if document else ():
            whole = within(document, field, value)
            if len(whole) <= longest:
                yield whole


def values_of(name):
    """Return the strategy of values for a reader."""
    document = DOCUMENTS.get(name)
    if document is None:
        return OTHER_VALUES
    fields = strategies.sampled_from((*document, "other"))
    replaced = strategies.builds(within, strategies.just(document), fields, JSON_VALUES)
    return strategies.one_of(replaced, OTHER_VALUES)


def read(name, value):
    """Read a value; any error but the reader's own is raised."""
    reader, declared, _longest = READERS[name]
    try:
        reader(value)
    except Exception as error:
        if declared is None or not isinstance(error, declared):
            raise


def processor_seconds(name, value):
    """Return the shortest processor time of several runs, without the collector."""
    gc.disable()
    try:
        times = []
        for _ in range(RUNS):
            began_at = time.thread_time()
            read(name, value)
            times.append(time.thread_time() - began_at)
            if times[-1] < LONGEST_SECONDS:
                break
        return min(times)
    finally:
        gc.enable()


def held_bytes(name, value):
    """Return the most memory that a reader holds beside the value."""
    tracemalloc.start()
    try:
        read(name, value)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def read_unbounded_twice(value):
    """Read a list without a bound, for longer than a reader may take on any machine."""
    decode_json(value, UNBOUNDED)
    return decode_json(value, UNBOUNDED)


class ReadersFuzzTest(unittest.TestCase):
    def test_a_header_of_many_numbers_does_not_stop_the_loop(self):
        # A list of 30,000 numbers in an instance's limit took 24 ms to parse.
        for name in ("limit header", "backoff header"):
            for value in (b"1," * 30_000, b"1, " * 20_000):
                with self.subTest(name):
                    self.assertLess(processor_seconds(name, value), LONGEST_SECONDS)

    def each(self, check):
        """Check each reader with values of the sizes that reach it."""
        for name in READERS:
            with self.subTest(name):
                self.run_examples(check, name)

    def run_examples(self, check, name):
        """Check one reader."""
        _reader, _declared, longest = READERS[name]
        for value in hostile_values(name):
            check(name, value)

        @fuzz_settings.settings(EXAMPLES)
        @hypothesis.given(values_of(name))
        def examples(value):
            check(name, value[:longest])

        chosen = fuzz_settings.seed()
        (examples if chosen is None else hypothesis.seed(chosen)(examples))()

    def test_nothing_escapes_a_reader_but_its_own_error(self):
        # An undeclared error ended the task that reads, and so every node.
        self.each(read)

    def test_no_reader_stops_the_loop(self):
        self.each(self.check_time)

    def test_no_reader_holds_much_memory(self):
        self.each(self.check_memory)

    def check_time(self, name, value):
        self.assertLess(processor_seconds(name, value), LONGEST_SECONDS, len(value))

    def check_memory(self, name, value):
        self.assertLess(held_bytes(name, value), MOST_BYTES, len(value))

    def test_faulty_readers_are_found(self):
        # Guards against values that no longer reach the faults that they are for.
        for name, reader, check in (
            ("digits", lambda value: int(value) if value.isdigit() else 0, read),
            ("nesting", msgspec.json.decode, read),
            ("time", read_unbounded_twice, self.check_time),
            ("memory", lambda value: decode_json(value, UNBOUNDED), self.check_memory),
        ):
            faulty = {name: (reader, msgspec.DecodeError, STORE_BYTES)}
            with (
                self.subTest(name),
                mock.patch.dict(READERS, faulty),
                self.assertRaises((ValueError, RecursionError, AssertionError)),
            ):
                self.run_examples(check, name)


if __name__ == "__main__":
    unittest.main()
