import tempfile
import unittest
from pathlib import Path

from absl import flags

from hopstep.exceptions import ErrorCode
from hopstep.settings import RouterSettings
from hopstep.settings_loader import (
    SettingsError,
    define_settings_flags,
    load_settings_from_flags,
)

GOOD = """
name = "r"
address = "127.0.0.1:8080"
zone = "z"
[peers]
seeds = ["127.0.0.1:1"]
"""

# Each row: settings text, flags, and texts that the error must contain.
BAD = (
    ("name = ", (), ("expected TOML",)),
    (GOOD + "colour = 1", (), ("peers.colour",)),
    (GOOD.replace('"z"', "3"), (), ("zone", "str")),
    (GOOD.replace('"z"', '""'), (), ("zone", "empty")),
    (GOOD.replace('zone = "z"', ""), (), ("zone",)),
    (GOOD.replace("127.0.0.1:8080", "localhost:8080"), (), ("address", "ip:port")),
    (GOOD.replace("127.0.0.1:1", "127.0.0.1"), (), ("peers.seeds[0]", "ip:port")),
    (GOOD + "heartbeat_seconds = -1.0", (), ("peers.heartbeat_seconds", "above 0")),
    (GOOD + "heartbeat_seconds = nan", (), ("peers.heartbeat_seconds", "above 0")),
    (GOOD + '[tls]\ncertificate = "c"', (), ("tls.private_key", "expected a file")),
    (GOOD + '[tls]\nprivate_key = "k"', (), ("tls.certificate", "expected a file")),
    (GOOD, ("--log_level=loud",), ("log_level", "debug, info")),
    (GOOD, ("--store=store:1",), ("store", "ip:port")),
    (GOOD, ("--drain_seconds=-1",), ("drain_seconds", "at least 0")),
    ("peers = 1\n" + GOOD.split("[peers]")[0], ("--seeds=127.0.0.1:1",), ("peers", "table")),
)


class SettingsLoaderTest(unittest.TestCase):
    def flag_values(self) -> flags.FlagValues:
        flag_values = flags.FlagValues()  # type: ignore[no-untyped-call]
        define_settings_flags(flag_values)
        return flag_values

    def load(self, text: str, *arguments: str) -> RouterSettings:
        flag_values = self.flag_values()
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "router.toml"
            path.write_text(text, encoding="utf-8")
            flag_values(["hopstep-router", f"--settings={path}", *arguments])
            return load_settings_from_flags(flag_values)

    def test_flags_override_the_file(self) -> None:
        settings = self.load(GOOD, "--zone=y", "--seeds=127.0.0.1:2,127.0.0.1:3")
        self.assertEqual((settings.name, settings.zone), ("r", "y"))
        self.assertEqual(settings.peers.seeds, ("127.0.0.1:2", "127.0.0.1:3"))

    def test_errors_name_file_field_and_expectation(self) -> None:
        for text, arguments, expected in BAD:
            with self.subTest(expected=expected), self.assertRaises(SettingsError) as caught:
                self.load(text, *arguments)
            self.assertEqual(caught.exception.code, ErrorCode.INVALID_SETTINGS)
            for part in ("router.toml", *expected):
                self.assertIn(part, caught.exception.message)

    def test_missing_file(self) -> None:
        flag_values = self.flag_values()
        flag_values(["hopstep-router", "--settings=/nonexistent/router.toml"])
        with self.assertRaisesRegex(SettingsError, "/nonexistent/router.toml: can't be read"):
            load_settings_from_flags(flag_values)
