"""Every pinned dependency can be installed on every supported machine."""

import pathlib
import re
import shutil
import subprocess
import tempfile
import unittest
from dataclasses import dataclass

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
REQUIREMENTS = REPOSITORY / "requirements"
ARCHITECTURES = ("x86_64", "aarch64")
PURE_WHEEL = "-none-any.whl"
PIN = re.compile(
    r"(?P<wheels>(?:^# \S+\.whl\n)*)"
    r"^(?P<pin>[\w.-]+==\S+)"
    r"(?P<hashes>(?: \\\n    --hash=sha256:[0-9a-f]{64})*)\n",
    re.MULTILINE,
)


@dataclass(frozen=True)
class Pin:
    requirement: str
    wheels: list[str]
    hashes: list[str]


def read_pins(name: str) -> list[Pin]:
    text = (REQUIREMENTS / name).read_text()
    return [
        Pin(
            match["pin"],
            [line.removeprefix("# ") for line in match["wheels"].splitlines()],
            re.findall(r"[0-9a-f]{64}", match["hashes"]),
        )
        for match in PIN.finditer(text)
    ]


class RequirementsTest(unittest.TestCase):
    # Hashes of the x86-64 wheels alone made every installation on arm64 fail.
    def test_every_pin_has_a_wheel_for_each_architecture(self):
        for name in ("runtime.txt", "dev.txt"):
            pins = read_pins(name)
            self.assertGreater(len(pins), 30)
            for pin in pins:
                with self.subTest(name, pin=pin.requirement):
                    self.assertEqual(len(pin.wheels), len(pin.hashes))
                    self.assertEqual(len(set(pin.hashes)), len(pin.hashes))
                    for architecture in ARCHITECTURES:
                        self.assertTrue(
                            any(
                                wheel.endswith((PURE_WHEEL, f"_{architecture}.whl"))
                                for wheel in pin.wheels
                            ),
                            f"no wheel for {architecture}",
                        )

    def test_every_line_of_the_files_belongs_to_a_pin(self):
        for name in ("runtime.txt", "dev.txt"):
            lines = (REQUIREMENTS / name).read_text().splitlines()
            pinned = [line for line in lines if "==" in line]
            self.assertEqual(len(pinned), len(read_pins(name)))

    def test_runtime_pins_are_those_of_development(self):
        development = {pin.requirement: pin.hashes for pin in read_pins("dev.txt")}
        for pin in read_pins("runtime.txt"):
            self.assertEqual(pin.hashes, development[pin.requirement])


class BuildOnAnotherMachineTest(unittest.TestCase):
    # Libraries of another architecture stayed in use, as their folder was newer than the pins.
    def test_libraries_of_another_machine_are_installed_anew(self):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            shutil.copytree(REPOSITORY / "deploy", root / "deploy")
            (root / "hopstep").mkdir()
            (root / "requirements").mkdir()
            (root / "requirements" / "runtime.txt").write_text("# no libraries\n")
            libraries = root / "libraries"
            libraries.mkdir()
            (libraries / ".binary-interface").write_text("cpython-311-other-linux-gnu\n")
            (libraries / "compiled_elsewhere.so").write_bytes(b"")
            self.assertIn("another kind of machine: making it anew", self.build(root))
            self.assertFalse((libraries / "compiled_elsewhere.so").exists())
            self.assertEqual(self.build(root), "")

    def build(self, root: pathlib.Path) -> str:
        command = ["sh", "deploy/build.sh", "libraries"]
        return subprocess.run(  # noqa: S603 - fixed program
            command, cwd=root, check=True, capture_output=True, text=True
        ).stdout
