import unittest
from pathlib import Path

from hopstep.ctl.documents import read_configuration
from hopstep.ctl.schema import configuration_schema
from hopstep.domain.configuration.document import BackEndKind
from hopstep.domain.configuration.validation import validate
from hopstep.settings_loader import load_settings

ROOT = Path(__file__).resolve().parents[2]
DEPLOYMENTS = ("catalogue", "burdekin")


class PublishedDocumentsTest(unittest.TestCase):
    def test_schema_is_that_of_the_code(self) -> None:
        published = ROOT / "docs" / "schema" / "configuration.schema.json"
        self.assertEqual(published.read_text(encoding="utf-8"), configuration_schema())

    def test_examples_are_valid_and_fit_together(self) -> None:
        for deployment in DEPLOYMENTS:
            with self.subTest(deployment):
                directory = ROOT / "examples" / deployment
                configuration = read_configuration(directory / "configuration.toml")
                self.assertEqual(validate(configuration), ())
                self.assertEqual(len(configuration.tenants), 8)
                settings = {
                    item.name: item for item in map(load_settings, directory.glob("router-*.toml"))
                }
                routers = [
                    item for item in configuration.back_ends if item.kind is BackEndKind.ROUTER
                ]
                self.assertEqual({item.name for item in routers}, set(settings))
                for router in routers:
                    self.assertEqual(settings[router.name].address, router.address)
                    self.assertEqual(settings[router.name].all_labels(), router.labels)
