"""Reads and writes operators' configuration files."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from hopstep.decoding import decode_json
from hopstep.domain.configuration.decoding import convert_document
from hopstep.domain.configuration.document import Configuration
from hopstep.exceptions import ErrorCode, ValidationError


def read_configuration(path: Path) -> Configuration:
    """Return the configuration in a TOML file, or in a JSON file named ``*.json``.

    Raises:
        ValidationError: When the file can't be read or is no configuration; rules beyond
            types are checked by ``validate``.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise _bad_file(path, f"can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise _bad_file(path, "expected UTF-8 text") from None
    return convert_document(_parse(path, text), Configuration)


def write_configuration(configuration: Configuration) -> str:
    """Return a configuration as indented JSON, which ``read_configuration`` reads."""
    return msgspec.json.format(msgspec.json.encode(configuration), indent=2).decode()


def _parse(path: Path, text: str) -> Any:
    """Return the decoded maps and lists of a file."""
    try:
        if path.suffix == ".json":
            return decode_json(text, Any)
        return tomllib.loads(text)
    except msgspec.DecodeError as error:
        raise _bad_file(path, f"expected JSON: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise _bad_file(path, f"expected TOML: {error}") from None


def _bad_file(path: Path, expectation: str) -> ValidationError:
    """Return the error for a file that can't be used."""
    return ValidationError(ErrorCode.INVALID_CONFIGURATION, f"{path}: {expectation}")
