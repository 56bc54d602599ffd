"""Compatibility of messages and stored records with earlier versions, in both directions.

``golden/`` has the bytes that each message format version wrote, named by its first commit or its
number. A change of the format adds a file, and raises ``MESSAGE_FORMAT_VERSION`` if older versions
read less.
"""

import json
import unittest
import zlib
from pathlib import Path

import cbor2
import msgspec

from hopstep.adapters.node_codec import decode_frame, encode_frame
from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.nodes import (
    FORMAT_VERSION_WITH_ERAS,
    MESSAGE_FORMAT_VERSION,
    NodeRecord,
)
from hopstep.domain.exchanges.rollout_lease_state import RolloutHolder
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.store_contents import ContentsPosition, ContentsUpdate
from hopstep.domain.exchanges.streams.version_claims import VersionClaim
from hopstep.domain.limits.fleet_usage import Usage
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition
from hopstep.ports.node_exchange import (
    GrantedPermits,
    Hints,
    LeavingInstance,
    LimitedInstance,
    LoadingEngine,
    RelayAnswer,
    RelayDigest,
    RelayedEntry,
    RelayQuery,
    ReportedChange,
    ReportedEntry,
    ReportedRecord,
    SegmentUpdate,
    SentPrompt,
    SuspectedInstance,
    UrgentUpdates,
)
from hopstep.ports.origin_messages import (
    OriginAnswer,
    OriginQuery,
    OriginUpdate,
    ReportedOrigin,
    StoreWrite,
)
from hopstep.ports.serving_directory import (
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RejectReason,
    WeightsPublished,
)
from hopstep.services.exchanges.directory.records import (
    decode_holder,
    decode_node,
    encode_holder,
    encode_node,
)
from hopstep.services.quarantine.stored_requests import StoredRequest

GOLDEN = Path(__file__).parent / "golden"
BEFORE_INCARNATIONS = "f985196"
"""Version that names instances without their start, and reports neither usage nor crashes."""

BEFORE_LEAVING = "7781470"
"""Version without instances' shutdown notices, and without a message format version."""

BEFORE_LIMITS = "form-1"
"""Version without limits of instances and without permits to send to them."""

BEFORE_ERAS = "form-2"
"""Version whose store positions have no era."""

BEFORE_CAPACITY = "form-3"
"""Version without the memory and speed of instances, and without suspected instances."""

BEFORE_SOFTWARE_VERSIONS = "form-4"
"""Version without the software versions of instances and the origins of streams."""

BEFORE_CURRENT_VIEWS = "form-5"
"""Version whose claims of a single software version may be older than the question."""

BEFORE_RELISTING = "form-6"
"""Version in which each node judges by itself whether expired entries will be written again."""

NODES = {"a": NodeRecord("1.2.3.4:5", "z", b"key-a")}
COMPRESSED = 1

ERA = 3
SEGMENT = SegmentKey(7, 800)
HINTS = Hints(
    (InstanceLoad("i1@5", 3, 400, 1, 120, 100, 9_000),),
    (SegmentUpdate("i1@5", (SEGMENT,), 20, (9,)),),
    (LoadingEngine("i2@6", 900),),
    (Usage("t1", 40, 7),),
    2,
    (LeavingInstance("i3@7", 1500),),
    (LimitedInstance("i4@8", 1500, 320, 40),),
    (Usage("i4@8", 6, 2, 1),),
    (GrantedPermits("i4@8", 3, 900, "b"),),
)
HINTS_BEFORE_CAPACITY = msgspec.structs.replace(HINTS, loads=(InstanceLoad("i1@5", 3, 400, 1),))
INSTANCE = Instance("i1", "llm", "10.0.0.1:80", "z", 4, True, {"m": 3}, 2, 5, "v1")
INSTANCE_BEFORE_SOFTWARE_VERSIONS = msgspec.structs.replace(INSTANCE, software_version="")
ENTRIES = (
    ReportedEntry("servers/i1", 2, InstanceListed(INSTANCE), 3),
    ReportedEntry("servers/i4", 3, InstanceRemoved("i4"), 3),
    ReportedEntry("w", 4, WeightsPublished(NamedWeights("m", 3)), 3),
    ReportedEntry("r", 5, ReportedRecord("r", b"\x00\xff", 5), 3),
    ReportedEntry(
        "servers/i9",
        6,
        InstanceRejected("i9", RejectReason.FIELD_MISSING, "service", "expected"),
        3,
    ),
)
ENTRIES_BEFORE_SOFTWARE_VERSIONS = (
    msgspec.structs.replace(ENTRIES[0], change=InstanceListed(INSTANCE_BEFORE_SOFTWARE_VERSIONS)),
    *ENTRIES[1:],
)
ENTRIES_BEFORE_ERAS = tuple(
    msgspec.structs.replace(entry, era=0) for entry in ENTRIES_BEFORE_SOFTWARE_VERSIONS
)
ORIGIN = ReportedOrigin(b"\x00\xff" * 6, "llm", "v1", "i1@5", 700, 9_300)
CRASHES = RequestCrashes(b"\x00\xff" * 8, (Crash("i1@5", "a"),), ("i0@1",))
MESSAGES = {
    "query": RelayQuery(2, 77, "feed", 12, HINTS, (ContentsPosition("10.0.0.9:80", "c", 3),), 3),
    "answer": RelayAnswer(
        2,
        77,
        80,
        350,
        entries=tuple(RelayedEntry(entry, 20) for entry in ENTRIES),
        feed="f",
        position=8,
        hints=HINTS,
        store_response_age_ms=40,
        after_era=2,
        era=3,
        relisting_ms=1_200,
    ),
    "digest": RelayDigest(9, HINTS),
    "urgent": UrgentUpdates(
        10,
        (SentPrompt(SegmentUpdate("i1@5", (SEGMENT,), 20), 800),),
        (LoadingEngine("i2@6", 900),),
        (CRASHES,),
        (SuspectedInstance("i5@9", 400, "a"),),
    ),
    "origins": OriginUpdate(11, (ORIGIN,), StoreWrite.SUBSTITUTE),
    "origin query": OriginQuery(12, ORIGIN.key, "llm", needs_reading=True),
    "origin answer": OriginAnswer(12, ORIGIN, VersionClaim(("v1", "v2"), True, True, True)),
}
RECORDS = {
    "node": encode_node(NodeRecord("1.2.3.4:5", "z", b"key-a", 1.5, MESSAGE_FORMAT_VERSION, ERA)),
    "rollout": encode_holder(RolloutHolder("a", "1.2.3.4:5", "77", ERA)),
    "quarantine": msgspec.json.encode(
        StoredRequest("t1", "r", (Crash("i1@5", "a"),), ("i0@1",), False, 1)
    ),
}


class UsageBeforeLimits(msgspec.Struct, frozen=True, array_like=True):
    """``Usage`` as read by versions before format 2."""

    name: str
    admitted: int
    offered: int


class LoadBeforeCapacity(msgspec.Struct, frozen=True, array_like=True):
    """``InstanceLoad`` as read by versions before format 4."""

    incarnation: str
    active: int = 0
    pending_tokens: int = 0
    avoided_by: int = 0


class UrgentBeforeCapacity(msgspec.Struct, frozen=True, array_like=True, tag="UrgentNews"):
    """``UrgentUpdates`` as read by versions before format 4."""

    number: int
    prompts: tuple[SentPrompt, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    crashes: tuple[RequestCrashes, ...] = ()


class HintsBeforeLimits(msgspec.Struct, frozen=True, array_like=True):
    """``Hints`` as read by versions before format 2."""

    loads: tuple[InstanceLoad, ...] = ()
    segments: tuple[SegmentUpdate, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    usage: tuple[UsageBeforeLimits, ...] = ()
    nodes: int = 0
    leaving: tuple[LeavingInstance, ...] = ()


class QueryBeforeLimits(msgspec.Struct, frozen=True, array_like=True, tag="RelayQuery"):
    """``RelayQuery`` as read by versions before format 2."""

    number: int
    revision: int
    feed: str = ""
    position: int = 0
    hints: HintsBeforeLimits | None = None


class HintsBeforeLeaving(msgspec.Struct, frozen=True, array_like=True):
    """``Hints`` as read by versions before format 1."""

    loads: tuple[InstanceLoad, ...] = ()
    segments: tuple[SegmentUpdate, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    usage: tuple[UsageBeforeLimits, ...] = ()
    nodes: int = 0


class QueryBeforeLeaving(msgspec.Struct, frozen=True, array_like=True, tag="RelayQuery"):
    """``RelayQuery`` as read by versions before format 1."""

    number: int
    revision: int
    feed: str = ""
    position: int = 0
    hints: HintsBeforeLeaving | None = None


class EntryBeforeEras(msgspec.Struct, frozen=True):
    """``DirectoryEntry`` as written by versions before format 3."""

    key: str
    revision: int
    change: ReportedChange


class RelayedBeforeEras(msgspec.Struct, frozen=True, array_like=True):
    """``RelayedEntry`` as read by versions before format 3."""

    entry: EntryBeforeEras
    age_ms: int


class AnswerBeforeEras(msgspec.Struct, frozen=True, array_like=True, tag="RelayAnswer"):
    """``RelayAnswer`` as read by versions before format 3."""

    number: int
    after: int
    revision: int
    age_ms: int
    complete: bool = True
    beyond_reach: bool = False
    entries: tuple[RelayedBeforeEras, ...] = ()


class InstanceBeforeSoftwareVersions(msgspec.Struct, frozen=True):
    """``Instance`` as read by versions before format 5."""

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    versions: dict[str, int] = {}
    order_sequence: int = 0
    born_ms: int = 0


class ListedBeforeSoftwareVersions(msgspec.Struct, frozen=True, tag="InstanceListed"):
    """``InstanceListed`` as read by versions before format 5."""

    instance: InstanceBeforeSoftwareVersions


class EntryBeforeSoftwareVersions(msgspec.Struct, frozen=True):
    """``ReportedEntry`` as read by versions before format 5."""

    key: str
    revision: int
    change: (
        ListedBeforeSoftwareVersions
        | InstanceRejected
        | InstanceRemoved
        | WeightsPublished
        | ReportedRecord
    )
    era: int = UNSPECIFIED_ERA


class RelayedBeforeSoftwareVersions(msgspec.Struct, frozen=True, array_like=True):
    """``RelayedEntry`` as read by versions before format 5."""

    entry: EntryBeforeSoftwareVersions
    age_ms: int


class AnswerBeforeSoftwareVersions(msgspec.Struct, frozen=True, array_like=True, tag="RelayAnswer"):
    """``RelayAnswer`` as read by versions before format 5."""

    number: int
    after: int
    revision: int
    age_ms: int
    complete: bool = True
    must_read_store: bool = False
    entries: tuple[RelayedBeforeSoftwareVersions, ...] = ()


class AnswerBeforeRelisting(msgspec.Struct, frozen=True, array_like=True, tag="RelayAnswer"):
    """``RelayAnswer`` as read by versions before format 7."""

    number: int
    after: int
    revision: int
    age_ms: int
    complete: bool = True
    must_read_store: bool = False
    entries: tuple[RelayedEntry, ...] = ()
    feed: str = ""
    position: int = 0
    hints: Hints = Hints()
    contents: tuple[ContentsUpdate, ...] = ()
    store_response_age_ms: int = -1
    after_era: int = UNSPECIFIED_ERA
    era: int = UNSPECIFIED_ERA
    keys_age_ms: int = -1
    configuration: int = 0
    newer: tuple[RelayedEntry, ...] = ()


class ClaimBeforeCurrentViews(msgspec.Struct, frozen=True, array_like=True):
    """``VersionClaim`` as read by versions before format 6."""

    versions: tuple[str, ...] = ()
    is_complete: bool = False
    is_fresh: bool = False


class OriginAnswerBeforeCurrentViews(
    msgspec.Struct, frozen=True, array_like=True, tag="OriginAnswer"
):
    """``OriginAnswer`` as read by versions before format 6."""

    number: int
    origin: ReportedOrigin | None = None
    claim: ClaimBeforeCurrentViews = ClaimBeforeCurrentViews()


class OriginQueryBeforeCurrentViews(
    msgspec.Struct, frozen=True, array_like=True, tag="OriginQuery"
):
    """``OriginQuery`` as read by versions before format 6."""

    number: int
    key: bytes
    service: str


class QuarantinedBeforeClaims(msgspec.Struct, frozen=True):
    """``StoredRequest`` as read by versions before claims of trials."""

    tenant: str = ""
    route: str = ""
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()
    lifted: bool = False
    trials: int = 0


class NodeBeforeForms(msgspec.Struct, frozen=True):
    """``NodeRecord`` as read by versions before format 1."""

    address: str
    zone: str = ""
    key: bytes = b""
    capacity: float = 1.0


def read_golden(name):
    return json.loads((GOLDEN / f"{name}.json").read_text())


def payload_document(frame):
    """Return the payload of a frame, decoded from CBOR but not converted to a message type."""
    _sender, encoding, payload = cbor2.loads(frame[16:])
    return cbor2.loads(zlib.decompress(payload) if encoding == COMPRESSED else payload)


class GoldenFramesTest(unittest.TestCase):
    def decoded(self, name):
        frames = read_golden(name)["frames"]
        return {
            kind: decode_frame(bytes.fromhex(frame), NODES).message
            for kind, frame in frames.items()
        }

    def check_common(self, messages, instance, engine):
        """Check the fields that every format version has."""
        query, answer = messages["query"], messages["answer"]
        self.assertEqual(
            (query.number, query.revision, query.feed, query.position), (2, 77, "feed", 12)
        )
        self.assertEqual(query.contents, (ContentsPosition("10.0.0.9:80", "c", 3),))
        self.assertEqual((answer.after, answer.revision, answer.age_ms), (77, 80, 350))
        self.assertEqual((answer.complete, answer.must_read_store), (True, False))
        self.assertEqual((answer.feed, answer.position, answer.store_response_age_ms), ("f", 8, 40))
        self.assertTrue(all(relayed.age_ms == 20 for relayed in answer.entries))
        for hints in (query.hints, answer.hints, messages["digest"].hints):
            self.assertEqual(hints.loads, (InstanceLoad(instance, 3, 400, 1),))
            self.assertEqual(hints.segments, (SegmentUpdate(instance, (SEGMENT,), 20, (9,)),))
            self.assertEqual(hints.loading, (LoadingEngine(engine, 900),))
        self.assertEqual(messages["digest"].number, 9)
        urgent = messages["urgent"]
        self.assertEqual(
            urgent.prompts, (SentPrompt(SegmentUpdate(instance, (SEGMENT,), 20), 800),)
        )
        self.assertEqual(urgent.loading, (LoadingEngine(engine, 900),))

    def test_frames_of_before_lives(self):
        messages = self.decoded(BEFORE_INCARNATIONS)
        self.check_common(messages, "i1", "i2")
        entries = tuple(relayed.entry for relayed in messages["answer"].entries)
        instance = msgspec.structs.replace(INSTANCE_BEFORE_SOFTWARE_VERSIONS, born_ms=0)
        listed = InstanceListed(instance)
        self.assertEqual(entries[0].change, listed)
        self.assertEqual(entries[1:], ENTRIES_BEFORE_ERAS[1:4])
        self.assertEqual(messages["query"].hints.usage, ())
        self.assertEqual(messages["query"].hints.nodes, 0)
        self.assertEqual(messages["urgent"].crashes, ())

    def test_frames_of_before_words_of_leaving(self):
        messages = self.decoded(BEFORE_LEAVING)
        self.check_common(messages, "i1@5", "i2@6")
        entries = tuple(relayed.entry for relayed in messages["answer"].entries)
        self.assertEqual(entries, ENTRIES_BEFORE_ERAS)
        hints = messages["query"].hints
        self.assertEqual((hints.usage, hints.nodes, hints.leaving), (HINTS.usage, 2, ()))
        self.assertEqual(messages["urgent"].crashes, (CRASHES,))

    def test_frames_of_before_limits(self):
        messages = self.decoded(BEFORE_LIMITS)
        self.check_common(messages, "i1@5", "i2@6")
        for hints in (messages["query"].hints, messages["digest"].hints):
            self.assertEqual(
                (hints.usage, hints.nodes, hints.leaving), (HINTS.usage, 2, HINTS.leaving)
            )
            self.assertEqual((hints.limits, hints.sends, hints.permits), ((), (), ()))

    def test_frames_of_before_eras(self):
        messages = self.decoded(BEFORE_ERAS)
        self.check_common(messages, "i1@5", "i2@6")
        answer = messages["answer"]
        entries = tuple(relayed.entry for relayed in answer.entries)
        self.assertEqual(entries, ENTRIES_BEFORE_ERAS)
        self.assertEqual(messages["query"].store_position, StorePosition(UNSPECIFIED_ERA, 77))
        self.assertEqual(answer.after_store_position, StorePosition(UNSPECIFIED_ERA, 77))
        self.assertEqual(answer.store_position, StorePosition(UNSPECIFIED_ERA, 80))
        self.assertEqual(messages["query"].hints, HINTS_BEFORE_CAPACITY)

    def test_frames_of_before_capacity(self):
        messages = self.decoded(BEFORE_CAPACITY)
        self.check_common(messages, "i1@5", "i2@6")
        for hints in (messages["query"].hints, messages["digest"].hints):
            self.assertEqual(hints, HINTS_BEFORE_CAPACITY)
        self.assertEqual(messages["urgent"].crashes, (CRASHES,))
        self.assertEqual(messages["urgent"].suspected, ())

    def test_frames_of_before_software_versions(self):
        answer = self.decoded(BEFORE_SOFTWARE_VERSIONS)["answer"]
        entries = tuple(relayed.entry for relayed in answer.entries)
        self.assertEqual(entries, ENTRIES_BEFORE_SOFTWARE_VERSIONS)

    def test_frames_of_before_current_views(self):
        messages = self.decoded(BEFORE_CURRENT_VIEWS)
        self.assertEqual(messages["origins"], MESSAGES["origins"])
        self.assertEqual(messages["origin query"], OriginQuery(12, ORIGIN.key, "llm"))
        claim = VersionClaim(("v1", "v2"), is_complete=True, is_fresh=True)
        self.assertEqual(messages["origin answer"], OriginAnswer(12, ORIGIN, claim))

    def test_frames_of_before_relisting(self):
        answer = self.decoded(BEFORE_RELISTING)["answer"]
        self.assertEqual(answer, msgspec.structs.replace(MESSAGES["answer"], relisting_ms=0))

    def test_the_version_before_reads_todays_answers(self):
        frame = encode_frame(MESSAGES["answer"], "a", b"key-a")
        answer = msgspec.convert(payload_document(frame), AnswerBeforeRelisting)
        self.assertEqual((answer.revision, answer.age_ms, answer.era), (80, 350, 3))
        self.assertEqual(answer.entries, MESSAGES["answer"].entries)

    def test_the_version_before_reads_todays_questions_for_origins(self):
        frame = encode_frame(MESSAGES["origin query"], "a", b"key-a")
        query = msgspec.convert(payload_document(frame), OriginQueryBeforeCurrentViews)
        self.assertEqual(query, OriginQueryBeforeCurrentViews(12, ORIGIN.key, "llm"))
        frame = encode_frame(MESSAGES["origin answer"], "a", b"key-a")
        answer = msgspec.convert(payload_document(frame), OriginAnswerBeforeCurrentViews)
        claim = ClaimBeforeCurrentViews(("v1", "v2"), is_complete=True, is_fresh=True)
        self.assertEqual(answer, OriginAnswerBeforeCurrentViews(12, ORIGIN, claim))

    def test_the_version_before_reads_todays_instances(self):
        """Otherwise nodes of the version before would lose instances that nodes of today relay."""
        frame = encode_frame(MESSAGES["answer"], "a", b"key-a")
        answer = msgspec.convert(payload_document(frame), AnswerBeforeSoftwareVersions)
        listed = answer.entries[0].entry.change
        self.assertEqual(listed.instance.instance_id, "i1")
        self.assertEqual(listed.instance.born_ms, 5)

    def test_the_version_before_reads_todays_loads(self):
        """Otherwise nodes of both versions would choose instances by half of the load."""
        for kind, position in (("query", 5), ("digest", 2)):
            document = payload_document(encode_frame(MESSAGES[kind], "a", b"key-a"))
            loads = msgspec.convert(document[position][0], tuple[LoadBeforeCapacity, ...])
            self.assertEqual(loads, (LoadBeforeCapacity("i1@5", 3, 400, 1),))

    def test_the_version_before_reads_todays_urgent_updates(self):
        """Otherwise a crash or a load of weights reported beside a suspicion would be lost."""
        frame = encode_frame(MESSAGES["urgent"], "a", b"key-a")
        urgent = msgspec.convert(payload_document(frame), UrgentBeforeCapacity)
        self.assertEqual((urgent.number, urgent.crashes), (10, (CRASHES,)))
        self.assertEqual(urgent.loading, MESSAGES["urgent"].loading)

    def test_todays_frames_are_those_of_the_present_form(self):
        frames = read_golden(f"form-{MESSAGE_FORMAT_VERSION}")["frames"]
        self.assertEqual(frames.keys(), MESSAGES.keys())
        for kind, message in MESSAGES.items():
            with self.subTest(kind):
                kept = bytes.fromhex(frames[kind])
                self.assertEqual(decode_frame(kept, NODES).message, message)
                self.assertEqual(
                    payload_document(encode_frame(message, "a", b"key-a")), payload_document(kept)
                )

    def test_the_version_before_reads_todays_hints(self):
        frame = encode_frame(MESSAGES["query"], "a", b"key-a")
        query = msgspec.convert(payload_document(frame), QueryBeforeLimits)
        self.assertEqual((query.number, query.position), (2, 12))
        self.assertEqual(query.hints.leaving, HINTS.leaving)
        self.assertEqual(query.hints.usage, (UsageBeforeLimits("t1", 40, 7),))

    def test_the_version_before_reads_todays_answer(self):
        frame = encode_frame(MESSAGES["answer"], "a", b"key-a")
        answer = msgspec.convert(payload_document(frame), AnswerBeforeEras)
        self.assertEqual((answer.after, answer.revision), (77, 80))
        for relayed, sent_entry in zip(answer.entries, ENTRIES, strict=True):
            self.assertEqual(
                (relayed.entry.key, relayed.entry.revision), (sent_entry.key, sent_entry.revision)
            )
        self.assertEqual(answer.entries[3].entry.change, ReportedRecord("r", b"\x00\xff", 5))

    def test_versions_before_words_of_leaving_read_todays_hints(self):
        frame = encode_frame(MESSAGES["query"], "a", b"key-a")
        query = msgspec.convert(payload_document(frame), QueryBeforeLeaving)
        self.assertEqual((query.number, query.position), (2, 12))
        expected = (
            HINTS.loads,
            HINTS.segments,
            HINTS.loading,
            (UsageBeforeLimits("t1", 40, 7),),
            2,
        )
        self.assertEqual(query.hints, HintsBeforeLeaving(*expected))


class GoldenRecordsTest(unittest.TestCase):
    def test_records_of_earlier_forms(self):
        versions = (
            (BEFORE_INCARNATIONS, 0),
            (BEFORE_LEAVING, 0),
            (BEFORE_LIMITS, 1),
            (BEFORE_ERAS, 2),
            (BEFORE_CAPACITY, 3),
            (BEFORE_SOFTWARE_VERSIONS, 4),
            (BEFORE_CURRENT_VIEWS, 5),
            (BEFORE_RELISTING, 6),
            (f"form-{MESSAGE_FORMAT_VERSION}", MESSAGE_FORMAT_VERSION),
        )
        for name, version in versions:
            with self.subTest(name):
                records = read_golden(name)["records"]
                node = decode_node(records["node"].encode())
                has_eras = version >= FORMAT_VERSION_WITH_ERAS
                era = ERA if has_eras else UNSPECIFIED_ERA
                self.assertEqual(node, NodeRecord("1.2.3.4:5", "z", b"key-a", 1.5, version, era))
                holder = decode_holder(records["rollout"].encode())
                era = ERA if has_eras else None
                self.assertEqual(holder, RolloutHolder("a", "1.2.3.4:5", "77", era))

    def test_a_quarantined_request_of_the_version_before(self):
        value = read_golden(BEFORE_LEAVING)["records"]["quarantine"]
        stored = msgspec.json.decode(value, type=StoredRequest)
        self.assertEqual(
            stored, StoredRequest("t1", "r", (Crash("i1@5", "a"),), ("i0@1",), False, 1)
        )

    def test_the_version_before_reads_a_claimed_trial(self):
        """Otherwise nodes of the version before would not know that the trial is used."""
        claimed = StoredRequest("t1", "r", trials=1, claimant="a@00", repeats=1)
        read = msgspec.json.decode(msgspec.json.encode(claimed), type=QuarantinedBeforeClaims)
        self.assertEqual(read, QuarantinedBeforeClaims("t1", "r", trials=1))

    def test_todays_records_are_those_of_the_present_form(self):
        kept = read_golden(f"form-{MESSAGE_FORMAT_VERSION}")["records"]
        self.assertEqual({kind: value.decode() for kind, value in RECORDS.items()}, kept)

    def test_the_version_before_reads_todays_node(self):
        node = msgspec.json.decode(RECORDS["node"], type=NodeBeforeForms)
        self.assertEqual(node, NodeBeforeForms("1.2.3.4:5", "z", b"key-a", 1.5))
