import unittest
from typing import Any

import msgspec

from hopstep.domain.configuration.decoding import convert_document
from hopstep.domain.configuration.document import Configuration
from hopstep.domain.configuration.validation import require_valid, validate
from hopstep.exceptions import ValidationError

KEY_HASH = "a" * 64


def document() -> dict[str, Any]:
    return {
        "models": [{"name": "m1", "weights_version": "1"}, {"name": "m2", "weights_version": "1"}],
        "classes": [
            {"name": "default"},
            {"name": "fast", "selector": {"match_labels": {"pool": "fast"}}},
        ],
        "back_ends": [
            {"name": "e1", "address": "127.0.0.1:1", "labels": {"zone": "a"}, "models": ["m1"]},
            {
                "name": "e2",
                "address": "[::1]:2",
                "labels": {"zone": "b", "pool": "fast"},
                "models": ["m1", "m2"],
            },
            {"name": "r1", "address": "127.0.0.1:3", "kind": "router", "labels": {"zone": "b"}},
        ],
        "tenants": [
            {
                "name": "t1",
                "key_hashes": [KEY_HASH],
                "selector": {"match_labels": {"zone": "b"}},
            },
            {"name": "t2", "classes": ["default"], "key_hashes": ["b" * 64]},
        ],
    }


# Each row: section, index, field (dots enter tables), bad value, paths of the expected problems.
BAD_VALUES: tuple[tuple[Any, ...], ...] = (
    ("back_ends", 1, "name", "e1", "back_ends[1].name"),
    ("back_ends", 1, "name", "", "back_ends[1].name"),
    ("back_ends", 1, "address", "127.0.0.1:1", "back_ends[1].address"),
    ("back_ends", 0, "address", "localhost:1", "back_ends[0].address"),
    ("back_ends", 0, "address", "127.0.0.1", "back_ends[0].address"),
    ("back_ends", 0, "address", "127.0.0.1:0", "back_ends[0].address"),
    ("back_ends", 0, "address", "127.0.0.1:65536", "back_ends[0].address"),
    ("back_ends", 0, "address", "::1:80", "back_ends[0].address"),
    ("back_ends", 0, "models", ["m1", "other"], "back_ends[0].models[1]"),
    ("back_ends", 0, "models", ["m1", "m1"], "back_ends[0].models[1]"),
    ("back_ends", 2, "models", ["m1"], "back_ends[2].models"),
    ("back_ends", 0, "max_concurrent_requests", 0, "back_ends[0].max_concurrent_requests"),
    ("back_ends", 0, "labels", {"": "x"}, "back_ends[0].labels"),
    ("back_ends", 2, "labels", {"zone": "a"}, "tenants[0].selector"),
    ("models", 1, "name", "m1", "models[1].name", "back_ends[1].models[1]"),
    ("models", 1, "weights_version", "", "models[1].weights_version"),
    ("models", 1, "max_prompt_tokens", 0, "models[1].max_prompt_tokens"),
    ("back_ends", 1, "models", ["m1"], "models[1].name"),
    ("classes", 1, "name", "default", "classes[1].name"),
    ("classes", 1, "priority", -1, "classes[1].priority"),
    ("classes", 1, "deadline_seconds", 0.0, "classes[1].deadline_seconds"),
    ("classes", 1, "deadline_seconds", float("nan"), "classes[1].deadline_seconds"),
    ("classes", 1, "max_queue_seconds", float("inf"), "classes[1].max_queue_seconds"),
    (
        "classes",
        1,
        "selector.match_labels.pool",
        "none",
        "classes[1].selector",
        "tenants[0].selector",
    ),
    ("tenants", 1, "name", "t1", "tenants[1].name"),
    ("tenants", 1, "key_hashes", [KEY_HASH], "tenants[1].key_hashes[0]"),
    ("tenants", 1, "key_hashes", ["A" * 64], "tenants[1].key_hashes[0]"),
    ("tenants", 1, "classes", ["default", "none"], "tenants[1].classes[1]"),
    ("tenants", 1, "default_class", "fast", "tenants[1].default_class"),
    ("tenants", 1, "weight", 0.0, "tenants[1].weight"),
    ("tenants", 1, "limits", {"tokens_per_second": -1.0}, "tenants[1].limits.tokens_per_second"),
    ("tenants", 0, "selector.match_labels.zone", "c", "tenants[0].selector"),
    (
        "tenants",
        1,
        "selector",
        {"match_expressions": [{"key": "zone", "operator": "In"}]},
        "tenants[1].selector.match_expressions[0].values",
    ),
    (
        "tenants",
        1,
        "selector",
        {"match_expressions": [{"key": "zone", "operator": "Exists", "values": ["a"]}]},
        "tenants[1].selector.match_expressions[0].values",
    ),
)

UNDECODABLE: tuple[tuple[Any, ...], ...] = (
    ("tenants", 0, "selector", 3, "tenants[0].selector"),
    ("tenants", 1, "colour", "red", "tenants[1].colour"),
    ("classes", 0, "priority", "low", "classes[0].priority"),
    ("back_ends", 0, "kind", "disk", "back_ends[0].kind"),
    ("back_ends", 0, "labels", {"zone": 1}, "back_ends[0].labels"),
)


def with_value(section: str, index: int, field: str, value: object) -> dict[str, Any]:
    changed = document()
    target = changed[section][index]
    *tables, name = field.split(".")
    for table in tables:
        target = target[table]
    target[name] = value
    return changed


class ValidationTest(unittest.TestCase):
    def test_good_document(self):
        self.assertEqual(validate(convert_document(document(), Configuration)), ())

    def test_bad_values_name_their_field(self):
        for section, index, field, value, *paths in BAD_VALUES:
            with self.subTest(path=paths[0], value=value):
                changed = convert_document(with_value(section, index, field, value), Configuration)
                problems = validate(changed)
                self.assertEqual({problem.field for problem in problems}, set(paths), problems)
                with self.assertRaises(ValidationError) as caught:
                    require_valid(changed)
                self.assertEqual(caught.exception.field, problems[0].field)

    def test_undecodable_documents_name_their_field(self):
        for section, index, field, value, path in UNDECODABLE:
            with self.subTest(path=path), self.assertRaises(ValidationError) as caught:
                convert_document(with_value(section, index, field, value), Configuration)
            self.assertTrue(caught.exception.field.startswith(path), caught.exception.field)

    def test_routing_ranges(self):
        for field in ("load_bound", "prefix_stride_blocks", "prefill_tokens_per_second"):
            changed = document() | {"routing": {field: 0}}
            problems = validate(convert_document(changed, Configuration))
            self.assertEqual([problem.field for problem in problems], [f"routing.{field}"])

    def test_class_that_a_tenant_can_not_use_anywhere(self):
        changed = with_value("tenants", 0, "selector.match_labels.zone", "a")
        changed["back_ends"][2]["labels"]["zone"] = "a"
        (problem,) = validate(convert_document(changed, Configuration))
        self.assertEqual(problem.field, "tenants[0].selector")
        self.assertIn("'fast'", problem.message)

    def test_leaving_engines_still_cover(self):
        configuration = convert_document(document(), Configuration)
        leaving = tuple(
            msgspec.structs.replace(item, leaving=True) for item in configuration.back_ends
        )
        self.assertEqual(validate(msgspec.structs.replace(configuration, back_ends=leaving)), ())

    def test_key_hashes_are_never_in_messages(self):
        changed = with_value("tenants", 1, "key_hashes", [KEY_HASH, "secret"])
        problems = validate(convert_document(changed, Configuration))
        self.assertEqual(len(problems), 2)
        for problem in problems:
            self.assertNotIn("secret", problem.message)
            self.assertNotIn(KEY_HASH, problem.message)
