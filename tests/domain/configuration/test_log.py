import unittest

import msgspec

from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Configuration,
    Model,
    RoutingPolicy,
    Tenant,
)
from hopstep.domain.configuration.encoding import (
    decode_change,
    decode_snapshot,
    decode_transfer,
    encode,
)
from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    ConfigurationTransfer,
    Edit,
    Section,
    apply_change,
    apply_edits,
    apply_transfer,
    conflicts_with,
    diff,
    empty_configuration,
    rebase,
)
from hopstep.exceptions import DomainError, ValidationError

A = BackEnd("a", "127.0.0.1:1", labels={"zone": "x"})
A_LEAVING = msgspec.structs.replace(A, leaving=True)
B = BackEnd("b", "127.0.0.1:2")
OLD = Configuration((A, B), (Tenant("t"),), (), (Model("m", "1"),))
NEW = Configuration(
    (B, A_LEAVING), (), (), (Model("m", "2"), Model("n", "1")), RoutingPolicy(load_bound=3.0)
)


def change(base: int, *edits: Edit, change_id: str = "c") -> Change:
    return Change(change_id, "author", "note", base, tuple(edits))


def drain(item: BackEnd) -> Edit:
    return Edit(Section.BACK_ENDS, item.name, msgspec.structs.replace(item, leaving=True))


class EditsTest(unittest.TestCase):
    def test_diff_leads_from_old_to_new(self):
        edits = diff(OLD, NEW)
        self.assertEqual(len(edits), 5)
        reached = apply_edits(OLD, edits)
        self.assertEqual(diff(reached, NEW), ())
        self.assertEqual(reached.back_ends, (A_LEAVING, B), "replaced items keep their place")
        self.assertEqual(reached.routing.load_bound, 3.0)

    def test_no_difference_between_orders(self):
        self.assertEqual(diff(OLD, msgspec.structs.replace(OLD, back_ends=(B, A))), ())

    def test_routing_reset(self):
        edit = Edit(Section.ROUTING, "routing", None)
        self.assertEqual(apply_edits(NEW, (edit,)).routing, RoutingPolicy())


class SequenceTest(unittest.TestCase):
    def test_change_applies_on_its_base_only(self):
        accepted = AcceptedConfiguration(4, OLD)
        self.assertEqual(apply_change(accepted, change(4, drain(A))).revision, 5)
        for base in (3, 5):
            with self.assertRaises(DomainError):
                apply_change(accepted, change(base, drain(A)))

    def test_transfer_never_goes_back_and_needs_no_gap(self):
        changes = tuple(AcceptedChange(n, change(n - 1, change_id=str(n))) for n in range(1, 9))
        cases = (
            (5, ConfigurationTransfer(changes=changes[:3]), 5),
            (5, ConfigurationTransfer(changes=changes[2:]), 8),
            (5, ConfigurationTransfer(AcceptedConfiguration(3, OLD)), 5),
            (5, ConfigurationTransfer(AcceptedConfiguration(7, OLD), changes[7:]), 8),
            (5, ConfigurationTransfer(changes=changes[6:]), None),
            (5, ConfigurationTransfer(changes=(changes[5], changes[7])), None),
            (5, ConfigurationTransfer(changes=(AcceptedChange(6, changes[6].change),)), None),
            (5, ConfigurationTransfer(changes=(AcceptedChange(7, changes[5].change),)), None),
        )
        for start, transfer, expected in cases:
            current = AcceptedConfiguration(start, OLD)
            if expected is None:
                self.assertRaises(DomainError, apply_transfer, current, transfer)
            else:
                self.assertEqual(apply_transfer(current, transfer).revision, expected)

    def test_conflicts_only_where_ends_differ(self):
        later = (AcceptedChange(5, change(4, drain(A), drain(B))),)
        current = apply_edits(OLD, later[0].change.edits)
        removal = Edit(Section.BACK_ENDS, "a", None)
        same_name_elsewhere = Edit(Section.TENANTS, "a", Tenant("a"))
        self.assertEqual(conflicts_with(change(4, drain(A)), current, later), ())
        self.assertEqual(conflicts_with(change(4, same_name_elsewhere), current, later), ())
        (conflict,) = conflicts_with(change(4, removal, drain(B)), current, later)
        self.assertEqual((conflict.name, conflict.revision, conflict.requested), ("a", 5, None))
        self.assertEqual(conflict.accepted, A_LEAVING)
        self.assertEqual(rebase(change(4, removal), 5).base_revision, 5)


class EncodingTest(unittest.TestCase):
    def test_round_trips(self):
        whole = change(0, *diff(Configuration(), NEW), Edit(Section.TENANTS, "gone", None))
        self.assertEqual(decode_change(encode(whole)), whole)
        accepted = apply_change(empty_configuration(), whole)
        self.assertEqual(decode_snapshot(encode(accepted)), accepted)
        transfer = ConfigurationTransfer(accepted, (AcceptedChange(2, change(1, drain(A))),))
        self.assertEqual(decode_transfer(encode(transfer)), transfer)

    def test_damaged_bytes(self):
        data = encode(change(0, *diff(Configuration(), NEW)))
        for damaged in (b"", b"\xff", data[:-1], data[1:], encode(A), b"\x81" * 5000):
            for decode in (decode_change, decode_snapshot, decode_transfer):
                with self.assertRaises(ValidationError):
                    decode(damaged)
