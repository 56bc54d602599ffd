"""Writes the wheel hashes of every pinned dependency for all supported machines.

Reads the pins (``name==version``) of ``runtime.txt`` and ``dev.txt`` in this folder, asks pip which
wheel it would install for each pin on each architecture, and writes the files again with the names
and SHA-256 hashes of these wheels. Pins keep their versions: change a version by editing its pin,
then run ``make lock``. No address of a package index is written.
"""

from __future__ import annotations

import json
import pathlib
import re
import subprocess
import sys
import urllib.parse
from dataclasses import dataclass

ARCHITECTURES = ("x86_64", "aarch64")
PYTHON_VERSION = "3.11"
# The C library of the oldest supported system, Debian 12.
GLIBC_MINOR_VERSION = 36
OLDEST_GLIBC_MINOR_VERSION = 5

FOLDER = pathlib.Path(__file__).resolve().parent
TITLES = {
    "runtime.txt": "Pinned dependencies: runtime.",
    "dev.txt": "Pinned dependencies: runtime and every extra.",
}
PIN = re.compile(r"^([A-Za-z0-9._-]+)==([^\s\\;]+)", re.MULTILINE)


@dataclass(frozen=True, order=True)
class Wheel:
    """One wheel file: its name and the SHA-256 of its content, in hexadecimal digits."""

    file_name: str
    sha256: str


def platform_tags(architecture: str) -> list[str]:
    """Returns the platform tags of wheels for an architecture, newest C library first."""
    minor_versions = range(GLIBC_MINOR_VERSION, OLDEST_GLIBC_MINOR_VERSION - 1, -1)
    tags = [f"manylinux_2_{minor}_{architecture}" for minor in minor_versions]
    tags.append(f"manylinux2014_{architecture}")
    if architecture == "x86_64":
        tags += [f"manylinux2010_{architecture}", f"manylinux1_{architecture}"]
    tags.append(f"linux_{architecture}")
    return tags


def normalized(name: str) -> str:
    """Returns a project's name in the form in which indexes compare names."""
    return re.sub(r"[-_.]+", "-", name).lower()


def resolve(pins: list[str], architecture: str) -> dict[str, Wheel]:
    """Returns the wheel that pip installs for each pin on an architecture, by normalized name.

    Raises:
        subprocess.CalledProcessError: pip finds no wheel for one of the pins.
    """
    command = [sys.executable, "-m", "pip", "install", "-qq", "--disable-pip-version-check"]
    command += ["--dry-run", "--ignore-installed", "--no-deps", "--only-binary=:all:"]
    command += ["--target", "unused", "--report", "-", "--python-version", PYTHON_VERSION]
    for tag in platform_tags(architecture):
        command += ["--platform", tag]
    arguments = [*command, *pins]
    output = subprocess.run(arguments, check=True, stdout=subprocess.PIPE).stdout  # noqa: S603
    wheels = {}
    for entry in json.loads(output)["install"]:
        download = entry["download_info"]
        path = pathlib.PurePosixPath(urllib.parse.urlparse(download["url"]).path)
        wheel = Wheel(path.name, download["archive_info"]["hashes"]["sha256"])
        wheels[normalized(entry["metadata"]["name"])] = wheel
    return wheels


def render(title: str, pins: list[str], by_architecture: list[dict[str, Wheel]]) -> str:
    """Returns the text of a requirements file, with the wheels of each pin above it."""
    machines = " and ".join(ARCHITECTURES)
    lines = [
        f"# {title}",
        f"# Machines: Linux on {machines}, with CPython {PYTHON_VERSION}.",
        "# Made by `make lock`. The wheels of a pin's hashes stand above it, in the same order.",
        "",
    ]
    for pin in pins:
        name = normalized(pin.split("==")[0])
        wheels = list(dict.fromkeys(found[name] for found in by_architecture))
        lines += [f"# {wheel.file_name}" for wheel in wheels]
        hashes = [f"    --hash=sha256:{wheel.sha256}" for wheel in wheels]
        lines.append(" \\\n".join([pin, *hashes]))
    return "\n".join(lines) + "\n"


def main() -> None:
    """Writes every requirements file anew."""
    for file_name, title in TITLES.items():
        path = FOLDER / file_name
        pins = ["==".join(match) for match in PIN.findall(path.read_text())]
        found = [resolve(pins, architecture) for architecture in ARCHITECTURES]
        path.write_text(render(title, pins, found))


if __name__ == "__main__":
    main()
