"""The configuration index gives the same placements as ``hopstep.domain.placement``."""

import random
import unittest

from hopstep.domain.configuration.document import (
    BackEnd,
    BackEndKind,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.labels import LabelSelector, Operator, Requirement
from hopstep.domain.placement import place_engines, place_tenant

ZONES = ("a", "b", "c")
TIERS = ("desk", "batch")


def random_selector(generator: random.Random) -> LabelSelector:
    operator = generator.choice(list(Operator))
    needs_values = operator in (Operator.IN, Operator.NOT_IN)
    values = tuple(generator.sample(ZONES, 2)) if needs_values else ()
    labels = {"tier": generator.choice(TIERS)} if generator.random() < 0.5 else {}
    return LabelSelector(labels, (Requirement("zone", operator, values),))


def random_configuration(generator: random.Random) -> Configuration:
    back_ends = []
    for number in range(30):
        labels = {"tier": generator.choice(TIERS)}
        if generator.random() < 0.8:
            labels["zone"] = generator.choice(ZONES)
        back_ends.append(
            BackEnd(
                name=f"back-end-{number}",
                address=f"127.0.0.1:{number + 1}",
                kind=generator.choice(list(BackEndKind)),
                labels=labels,
                models=tuple(generator.sample(("small", "large"), generator.randint(0, 2))),
                leaving=generator.random() < 0.2,
            )
        )
    return Configuration(
        back_ends=tuple(back_ends),
        tenants=tuple(Tenant(f"tenant-{n}", (), random_selector(generator)) for n in range(4)),
        classes=tuple(RequestClass(f"class-{n}", random_selector(generator)) for n in range(3)),
        models=(Model("small", "1"), Model("large", "1")),
    )


class ConfigurationIndexTest(unittest.TestCase):
    def test_agrees_with_placement_on_random_configurations(self):
        generator = random.Random(7)
        admitted = 0
        for _ in range(40):
            configuration = random_configuration(generator)
            index = ConfigurationIndex(configuration)
            for tenant in configuration.tenants:
                for kind in BackEndKind:
                    expected = place_tenant(configuration, tenant, kind).admissible
                    self.assertEqual(index.tenant_back_ends(tenant, kind), expected)
                for request_class in configuration.classes:
                    for model in configuration.models:
                        args = (tenant, request_class, model)
                        expected = place_engines(configuration, *args).admissible
                        admitted += len(expected)
                        self.assertEqual(index.engines(*args), expected)
                        self.assertEqual(index.engines(*args), expected, "cached result")
        self.assertGreater(admitted, 100, "the samples must admit engines")

    def test_finds_items_by_name(self):
        configuration = random_configuration(random.Random(8))
        index = ConfigurationIndex(configuration)
        self.assertEqual(index.tenants["tenant-2"], configuration.tenants[2])
        self.assertEqual(index.back_ends["back-end-9"], configuration.back_ends[9])
        self.assertNotIn("tenant-9", index.tenants)


if __name__ == "__main__":
    unittest.main()
