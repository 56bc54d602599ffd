"""Loads settings from a TOML file, overridden by flags, and validates them."""

from __future__ import annotations

import enum
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from absl import flags

from hopstep.domain.addresses import parse_address
from hopstep.domain.configuration.decoding import convert_document
from hopstep.exceptions import ErrorCode, HopstepError, ValidationError
from hopstep.exchange_settings import ExchangeBounds, ExchangeSettings
from hopstep.settings import RouterSettings, TlsSettings

Settings = TypeVar("Settings", RouterSettings, ExchangeSettings)

EXIT_BAD_SETTINGS = 2
"""Exit code of a process whose settings are invalid."""

LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsError(HopstepError):
    """Invalid settings; the message names the file or flags, the field and the expectation."""

    def __init__(self, source: str, field: str, expectation: str) -> None:
        """Build the message.

        Args:
            source: Settings file, or the invalid flag.
            field: Path of the field; empty when the whole file is invalid.
            expectation: Expected value, and the given one.
        """
        location = f"{source}: {field}" if field else source
        super().__init__(ErrorCode.INVALID_SETTINGS, f"{location}: {expectation}", field)
        self.source = source


class FlagKind(enum.StrEnum):
    """Type of a flag."""

    TEXT = "text"
    NUMBER = "number"
    INTEGER = "integer"
    LIST = "list"


class _FlagField(msgspec.Struct, frozen=True):
    """A flag that overrides one settings field.

    Attributes:
        flag: Name of the flag.
        path: Path of the field.
        kind: Type of the flag.
        help: Help text of the flag.
    """

    flag: str
    path: tuple[str, ...]
    kind: FlagKind
    help: str


_FLAG_FIELDS = (
    _FlagField("name", ("name",), FlagKind.TEXT, "Unique name of the node."),
    _FlagField("address", ("address",), FlagKind.TEXT, "ip:port of the callers' HTTP listener."),
    _FlagField("zone", ("zone",), FlagKind.TEXT, "Zone of the machine."),
    _FlagField("store", ("store",), FlagKind.TEXT, "ip:port of the key-value service."),
    _FlagField("machine_list", ("machine_list",), FlagKind.TEXT, "ip:port of the machine list."),
    _FlagField(
        "peer_address", ("peers", "address"), FlagKind.TEXT, "ip:port of the peers' UDP socket."
    ),
    _FlagField(
        "seeds", ("peers", "seeds"), FlagKind.LIST, "UDP addresses to join by, comma-separated."
    ),
    _FlagField("cluster", ("peers", "cluster"), FlagKind.TEXT, "Name of the cluster."),
    _FlagField("key_file", ("peers", "key_file"), FlagKind.TEXT, "File of cluster keys."),
    _FlagField("log_level", ("log_level",), FlagKind.TEXT, "debug, info, warning or error."),
    _FlagField(
        "drain_seconds", ("drain_seconds",), FlagKind.NUMBER, "Longest wait on a planned stop."
    ),
    _FlagField("max_body_bytes", ("max_body_bytes",), FlagKind.INTEGER, "Longest request body."),
    _FlagField(
        "isolation_seconds",
        ("isolation_seconds",),
        FlagKind.NUMBER,
        "Time without store and majority after which requests are refused; 0 never.",
    ),
)

_FLAG_DEFINERS: dict[FlagKind, Callable[..., object]] = {
    FlagKind.TEXT: flags.DEFINE_string,
    FlagKind.NUMBER: flags.DEFINE_float,
    FlagKind.INTEGER: flags.DEFINE_integer,
    FlagKind.LIST: flags.DEFINE_list,
}


def define_settings_flags(flag_values: flags.FlagValues = flags.FLAGS) -> None:
    """Define ``--settings`` and a flag for each common field."""
    flags.DEFINE_string("settings", None, "TOML settings file.", flag_values=flag_values)
    for field in _FLAG_FIELDS:
        definer = _FLAG_DEFINERS[field.kind]
        definer(field.flag, None, f"{field.help} Overrides the file.", flag_values=flag_values)


def load_settings_from_flags(flag_values: flags.FlagValues = flags.FLAGS) -> RouterSettings:
    """Return the settings of the parsed flags and their file.

    Raises:
        SettingsError: When the file can't be read or a value is bad.
    """
    path: str | None = flag_values["settings"].value
    document = read_toml(Path(path)) if path else {}
    for field in _FLAG_FIELDS:
        value = flag_values[field.flag].value
        if value is not None:
            _override(document, field, value, path)
    return parse_settings(document, path or "flags")


def load_settings(path: Path) -> RouterSettings:
    """Return the settings of a file.

    Raises:
        SettingsError: When the file can't be read or a value is bad.
    """
    return parse_settings(read_toml(path), str(path))


def read_toml(path: Path) -> dict[str, Any]:
    """Return a TOML document.

    Raises:
        SettingsError: When the file can't be read or isn't TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), "", f"can't be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        # Too long a number is a ValueError of its own, deep nesting a RecursionError.
        raise SettingsError(str(path), "", f"expected TOML: {error}") from None


def parse_settings(document: Mapping[str, Any], source: str) -> RouterSettings:
    """Return the settings of a decoded document.

    Args:
        document: Maps, lists and scalars.
        source: Name of the file, for errors.

    Raises:
        SettingsError: When a field is unknown, missing, of a wrong type or out of range.
    """
    return _parse(document, source, RouterSettings, _check_router)


def load_exchange_settings(path: Path) -> ExchangeSettings:
    """Return the settings of a node for routed exchanges.

    Raises:
        SettingsError: When the file can't be read or a value is bad.
    """
    return parse_exchange_settings(read_toml(path), str(path))


def parse_exchange_settings(document: Mapping[str, Any], source: str) -> ExchangeSettings:
    """Return the settings of a decoded document for a node of routed exchanges.

    See ``parse_settings`` for the arguments and errors.
    """
    return _parse(document, source, ExchangeSettings, _check_exchange)


def _parse(
    document: Mapping[str, Any],
    source: str,
    settings_type: type[Settings],
    check: Callable[[Settings], None],
) -> Settings:
    """Return checked settings of a type."""
    try:
        settings = convert_document(dict(document), settings_type, ErrorCode.INVALID_SETTINGS)
        check(settings)
    except ValidationError as error:
        raise SettingsError(source, error.field, error.message) from None
    return settings


_BOUND_FIELDS = ExchangeBounds.__struct_fields__
_OPTIONAL_NUMBERS = ("bounds.quota_overshoot", "bounds.quota_slack", "memory_mb")
"""Numbers that may be 0."""


def _check_exchange(settings: ExchangeSettings) -> None:
    """Check the rules for a node's settings that its types don't express."""
    _check_texts(settings)
    addresses = {
        "address": settings.address,
        "readiness_address": settings.readiness_address,
        "peer_address": settings.peer_address,
        "store": settings.store,
    }
    for field in ("metrics_address", "peer_public_address"):
        if getattr(settings, field):
            addresses[field] = getattr(settings, field)
    for field, address in addresses.items():
        parse_address(address, field)
    numbers = {f"bounds.{field}": getattr(settings.bounds, field) for field in _BOUND_FIELDS}
    numbers["processor_share"] = settings.processor_share
    numbers["processor_cores"] = settings.processor_cores
    numbers["memory_mb"] = settings.memory_mb
    for field in _OPTIONAL_NUMBERS:
        value = numbers.pop(field)
        if not 0 <= value < float("inf"):
            raise _invalid(field, f"expected a number of at least 0, got {value}")
    for field, value in numbers.items():
        if not 0 < value < float("inf"):
            raise _invalid(field, f"expected a number above 0, got {value}")


def _override(document: dict[str, Any], field: _FlagField, value: object, path: str | None) -> None:
    """Set a field of the document to a flag's value."""
    section = document
    for name in field.path[:-1]:
        section = section.setdefault(name, {})
        if not isinstance(section, dict):
            raise SettingsError(path or "flags", name, "expected a table")
    section[field.path[-1]] = value


def _check_router(settings: RouterSettings) -> None:
    """Check the rules that the types don't express."""
    _check_texts(settings)
    _check_addresses(settings)
    _check_numbers(settings)
    _check_tls(settings.tls)


def _check_texts(settings: RouterSettings | ExchangeSettings) -> None:
    """Check names and the log level."""
    for field in ("name", "zone"):
        if not getattr(settings, field):
            raise _invalid(field, "expected a text, got an empty one")
    if settings.log_level not in LOG_LEVELS:
        raise _invalid(
            "log_level", f"expected one of {', '.join(LOG_LEVELS)}, got {settings.log_level!r}"
        )


def _check_addresses(settings: RouterSettings) -> None:
    """Check every address; the machine list's may be empty."""
    addresses = {
        "address": settings.address,
        "store": settings.store,
        "peers.address": settings.peers.address,
    }
    if settings.machine_list:
        addresses["machine_list"] = settings.machine_list
    for index, seed in enumerate(settings.peers.seeds):
        addresses[f"peers.seeds[{index}]"] = seed
    for field, address in addresses.items():
        parse_address(address, field)


def _check_numbers(settings: RouterSettings) -> None:
    """Check ranges."""
    positive = {
        "max_body_bytes": settings.max_body_bytes,
        "engines_timeout_seconds": settings.engines_timeout_seconds,
        "peers.heartbeat_seconds": settings.peers.heartbeat_seconds,
        "peers.suspicion_seconds": settings.peers.suspicion_seconds,
        "peers.bytes_per_second": settings.peers.bytes_per_second,
    }
    for field, value in positive.items():
        if not 0 < value < float("inf"):
            raise _invalid(field, f"expected a number above 0, got {value}")
    for field in ("drain_seconds", "isolation_seconds", "engine_event_bytes_per_second"):
        value = getattr(settings, field)
        if not 0 <= value < float("inf"):
            raise _invalid(field, f"expected a number of at least 0, got {value}")


def _check_tls(tls: TlsSettings) -> None:
    """Check that a certificate comes with its key."""
    pair = {"tls.certificate": tls.certificate, "tls.private_key": tls.private_key}
    if any(pair.values()):
        for field, path in pair.items():
            if not path:
                raise _invalid(field, "expected a file, as the other one of the pair is set")


def _invalid(field: str, expectation: str) -> ValidationError:
    """Return the error for an invalid value."""
    return ValidationError(ErrorCode.INVALID_SETTINGS, expectation, field)
