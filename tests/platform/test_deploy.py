"""The deploy file and its settings template, rendered with example values of the platform."""

import re
import tempfile
import tomllib
import unittest
from pathlib import Path

from hopstep.settings_loader import SettingsError, load_exchange_settings

ROOT = Path(__file__).resolve().parents[2]
FIELDS = {
    "nodeName": "front-1",
    "zone": "z1",
    "ipAddress": "10.1.0.30",
    "listenAddresses.front": "10.1.0.30:8782",
    "listenAddresses.ready": "10.1.0.30:8789",
    "internalPortRange.0": "7340",
    "internalPortRange.1": "7355",
    "platform.address": "10.200.1.7:8784",
    "limits.cpuShare": "0.537",
    "limits.cpuCores": "2",
    "limits.memoryMb": "200",
    "bounds.gracePeriodS": "8",
    "bounds.configApplyMs": "3000",
    "bounds.drainTimeoutMs": "4000",
    "bounds.revokeTimeoutMs": "5000",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retryBudgetExtra": "54",
    "bounds.budgetWindowS": "10",
    "bounds.leaseDurationMs": "3000",
    "bounds.versionPropagationMs": "8000",
}


class DeployTest(unittest.TestCase):
    def setUp(self):
        self.system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = self.system["roles"]["node"]
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.toml"

    def render(self, **changes):
        template = (ROOT / self.role["template"]).read_text()
        fields = {**FIELDS, **changes}
        template = re.sub(
            r"\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}",
            lambda section: (
                section[2].replace("{{.}}", fields[section[1]]) if section[1] in fields else ""
            ),
            template,
        )
        self.path.write_text(
            re.sub(r"\{\{(.+?)\}\}", lambda placeholder: fields[placeholder[1]], template)
        )
        return load_exchange_settings(self.path)

    def test_the_template_gives_settings_that_can_be_used(self):
        settings = self.render()
        self.assertEqual(settings.address, "10.1.0.30:8782")
        self.assertEqual(settings.metrics_address, "10.1.0.30:7355")
        self.assertEqual(settings.bounds.retry_extra, 54)
        self.assertEqual(settings.bounds.configuration_ms, 3_000)
        self.assertEqual(settings.bounds.drain_ms, 4_000)
        self.assertEqual((settings.processor_share, settings.processor_cores), (0.537, 2))
        self.assertEqual(settings.memory_mb, 200.0)

    def test_bounds_of_quotas_are_taken_where_there_are_any(self):
        defaults = self.render().bounds
        self.assertEqual((defaults.quota_window_seconds, defaults.quota_slack), (10.0, 0.0))
        bounds = self.render(
            **{
                "bounds.quotaWindowS": "8",
                "bounds.quotaOvershoot": "0.15",
                "bounds.quotaSlack": "110000",
            }
        ).bounds
        self.assertEqual(
            (bounds.quota_window_seconds, bounds.quota_overshoot, bounds.quota_slack),
            (8.0, 0.15, 110_000.0),
        )

    def test_a_bad_field_is_named_with_its_file(self):
        for field, value, named in (
            ("platform.address", "nowhere", "store"),
            ("bounds.leaseDurationMs", "0", "bounds.lease_ms"),
            ("bounds.configApplyMs", "0", "bounds.configuration_ms"),
            ("bounds.drainTimeoutMs", "-1", "bounds.drain_ms"),
            ("bounds.gracePeriodS", '"x"', "bounds.grace_seconds"),
            ("nodeName", "", "name"),
            ("limits.cpuShare", "0", "processor_share"),
            ("limits.memoryMb", "-1", "memory_mb"),
        ):
            with self.subTest(field):
                with self.assertRaises(SettingsError) as caught:
                    self.render(**{field: value})
                self.assertIn(named, caught.exception.message)
                self.assertIn("node.toml", caught.exception.message)

    def test_the_role_runs_a_module_of_the_product_from_pinned_libraries(self):
        module = self.role["run"].removeprefix("python3 -S -m ").replace(".", "/") + ".py"
        self.assertTrue((ROOT / module).is_file())
        self.assertEqual(self.system["build"], "sh deploy/build.sh target/deps")
        self.assertIn("--require-hashes", (ROOT / "deploy" / "build.sh").read_text())

    def test_nothing_of_the_emulator_is_loaded(self):
        for path in (ROOT / "hopstep").rglob("*.py"):
            self.assertNotRegex(path.read_text(), r"(?m)^\s*(from|import) emulator")
