"""Exit codes and messages of the installed commands."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
EXAMPLE = ROOT / "examples" / "catalogue" / "configuration.toml"
CTL, ROUTER, EMULATOR = "hopstep.cli.ctl", "hopstep.cli.router", "emulator.cli.main"
CLOSED_PORT = "127.0.0.1:9"

# Module, arguments, exit code, and a text that the output must contain.
CASES = (
    (CTL, ["--help"], 1, "Verbs: ``validate FILE``"),
    (CTL, ["validate", str(EXAMPLE)], 0, ""),
    (CTL, ["frobnicate"], 2, "expected one of the verbs"),
    (CTL, ["validate"], 2, "validate takes 1 operand"),
    (CTL, ["show", "--bogus"], 2, "'bogus'"),
    (CTL, ["show", "--store", "localhost:1"], 2, "--store"),
    (CTL, ["show", "--store", CLOSED_PORT], 3, "the store can't be reached"),
    (CTL, ["explain", "--file", str(EXAMPLE), "--tenant", "nobody"], 2, "nobody"),
    (ROUTER, ["--settings", "/no/such/file"], 2, "/no/such/file"),
    (ROUTER, ["--bogus"], 2, "'bogus'"),
    (ROUTER, ["extra"], 2, "extra"),
    (EMULATOR, [], 2, "Roles:"),
    (EMULATOR, ["engine", "--seed", "x"], 2, "seed"),
)


def run_command(module, arguments):
    """Run a command until it exits."""
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.run(  # noqa: S603 - the arguments are constants of this module
        command, capture_output=True, text=True, timeout=60, cwd=ROOT, check=False
    )


class CommandTest(unittest.TestCase):
    def test_exit_codes_and_messages(self):
        for module, arguments, code, expected in CASES:
            with self.subTest(module=module, arguments=arguments):
                done = run_command(module, arguments)
                output = done.stdout + done.stderr
                self.assertEqual(done.returncode, code, output)
                self.assertIn(expected, output)
                self.assertNotIn("Traceback", output)

    def test_bad_settings_name_file_and_field(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "router.toml"
            for text, field in (
                ('name = "r"\naddress = "127.0.0.1:1"\nzone = 3\n', "zone"),
                ('name = "r"\naddress = "here"\nzone = "z"\n', "address"),
                ('name = "r"\naddress = "127.0.0.1:1"\nzone = "z"\nflavour = 1\n', "flavour"),
                (
                    'name = "r"\naddress = "127.0.0.1:1"\nzone = "z"\n'
                    "engine_event_bytes_per_second = -1\n",
                    "engine_event_bytes_per_second",
                ),
            ):
                with self.subTest(field=field):
                    path.write_text(text)
                    done = run_command(ROUTER, ["--settings", str(path)])
                    self.assertEqual(done.returncode, 2, done.stderr)
                    self.assertIn(str(path), done.stderr)
                    self.assertIn(field, done.stderr)


if __name__ == "__main__":
    unittest.main()
