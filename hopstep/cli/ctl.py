"""The operators' command.

Verbs: ``validate FILE``, ``diff FILE``, ``apply FILE``, ``show``, ``history``, ``status``,
``drain BACK_END``, ``explain``, ``trace REQUEST_ID``, ``quarantine``, ``release FINGERPRINT``.

Exit codes: 0 done; 1 conflict or rejected; 2 bad input; 3 unavailable, nothing was changed;
4 unknown outcome, resubmit with the printed ``--change_id`` and ``--base_revision``.
"""

from __future__ import annotations

import getpass
import logging
import os
import random
import ssl
import sys
import uuid
from collections.abc import Sequence
from pathlib import Path

import httpx
import msgspec
import trio
from absl import flags

from hopstep.adapters.kept_connections import make_client
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.tls import client_context
from hopstep.cli.command import run_command
from hopstep.ctl.documents import read_configuration
from hopstep.ctl.editing import (
    ChangeAttributes,
    apply_file,
    diff_file,
    drain_back_end,
    validate_file,
)
from hopstep.ctl.quarantine import release_request, show_quarantine
from hopstep.ctl.reading import explain, show, show_history
from hopstep.ctl.results import ErrorDocument, ExitCode, VerbResult
from hopstep.ctl.status import listed_routers, show_status
from hopstep.ctl.trace import trace_request
from hopstep.domain.addresses import parse_address
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.exceptions import ErrorCode, HopstepError, PortError, ValidationError
from hopstep.services.configuration.store import ConfigurationStore

_OPERANDS = {
    "validate": 1,
    "diff": 1,
    "apply": 1,
    "show": 0,
    "history": 0,
    "status": 0,
    "drain": 1,
    "explain": 0,
    "trace": 1,
    "quarantine": 0,
    "release": 1,
}

_STORE = flags.DEFINE_string("store", "", "ip:port of the key-value service.")
_FORMAT = flags.DEFINE_enum("format", "text", ["text", "json"], "Output format.")
_NOTE = flags.DEFINE_string("note", "", "Reason of the change (apply, drain).")
_AUTHOR = flags.DEFINE_string("author", "", "Author of the change; default: the user's name.")
_CHANGE_ID = flags.DEFINE_string("change_id", "", "Identity of a change to submit again.")
_BASE_REVISION = flags.DEFINE_integer(
    "base_revision", None, "Revision on which the change is based; default: the latest."
)
_TIMEOUT_SECONDS = flags.DEFINE_float("timeout_seconds", 30.0, "Longest wait for an outcome.")
_REVISION = flags.DEFINE_integer("revision", None, "Revision to show; default: the latest.")
_ROUTERS = flags.DEFINE_list("routers", [], "Routers to ask, ip:port; default: those listed.")
_TRUSTED = flags.DEFINE_string(
    "trusted", "", "PEM file of authorities; routers are then asked over TLS (status)."
)
_UNDO = flags.DEFINE_bool("undo", False, "Remove the leaving mark (drain).")
_TENANT = flags.DEFINE_string("tenant", "", "Tenant (explain).")
_CLASS = flags.DEFINE_string("class", "", "Request class; default: the tenant's (explain).")
_MODEL = flags.DEFINE_string("model", "", "Model (explain).")
_LOGS = flags.DEFINE_list("logs", [], "Log files of nodes (trace).")
_FILE = flags.DEFINE_string("file", "", "File to explain instead of the store's document.")


def run(arguments: Sequence[str]) -> int:
    """Run one verb and return the exit code.

    Args:
        arguments: Command line after flags were taken out, the program's name first.
    """
    # The client library logs each request at level INFO.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    try:
        result = trio.run(_run_verb, arguments)
    except PortError as error:
        result = _error_result(error, ExitCode.UNAVAILABLE)
    except HopstepError as error:
        result = _error_result(error, ExitCode.BAD_INPUT)
    _print(result)
    return int(result.exit_code)


async def _run_verb(arguments: Sequence[str]) -> VerbResult:
    """Check the operands and run the verb."""
    verb, operands = _split(arguments)
    if verb == "validate":
        return validate_file(Path(operands[0]))
    if verb == "trace":
        return trace_request(operands[0], [Path(path) for path in _LOGS.value])
    if verb == "explain" and _FILE.value:
        accepted = AcceptedConfiguration(0, read_configuration(Path(_FILE.value)))
        return explain(accepted, _TENANT.value, _CLASS.value, _MODEL.value)
    async with make_client(_verification()) as client:
        if verb == "status" and _ROUTERS.value:
            return await show_status(client, _checked_routers(), _router_scheme())
        key_value_store = HttpKeyValueStore(_store_address(), client)
        if verb == "quarantine":
            return await show_quarantine(key_value_store)
        if verb == "release":
            return await release_request(key_value_store, operands[0])
        store = ConfigurationStore(key_value_store, random.SystemRandom())
        return await _run_store_verb(verb, operands, store, client)


async def _run_store_verb(
    verb: str, operands: Sequence[str], store: ConfigurationStore, client: httpx.AsyncClient
) -> VerbResult:
    """Run a verb that needs the store."""
    if verb == "diff":
        return await diff_file(store, Path(operands[0]))
    if verb == "apply":
        return await apply_file(store, Path(operands[0]), _attributes())
    if verb == "drain":
        return await drain_back_end(store, operands[0], not _UNDO.value, _attributes())
    if verb == "show":
        return await show(store, _REVISION.value)
    if verb == "history":
        return await show_history(store)
    latest = (await store.read_history()).latest
    if verb == "status":
        routers = listed_routers(latest.configuration)
        return await show_status(client, routers, _router_scheme())
    return explain(latest, _TENANT.value, _CLASS.value, _MODEL.value)


def _split(arguments: Sequence[str]) -> tuple[str, Sequence[str]]:
    """Return the verb and its operands."""
    verb = arguments[1] if len(arguments) > 1 else ""
    if verb not in _OPERANDS:
        raise _bad_usage(f"expected one of the verbs {', '.join(_OPERANDS)}, got {verb!r}")
    operands = arguments[2:]
    if len(operands) != _OPERANDS[verb]:
        raise _bad_usage(f"{verb} takes {_OPERANDS[verb]} operand(s), got {len(operands)}")
    return verb, operands


def _store_address() -> str:
    """Return the checked ``--store``."""
    return str(parse_address(_STORE.value, "--store"))


def _checked_routers() -> list[str]:
    """Return the checked ``--routers``."""
    return [str(parse_address(address, "--routers")) for address in _ROUTERS.value]


def _router_scheme() -> str:
    """Return the URL scheme of requests to routers."""
    return "https" if _TRUSTED.value else "http"


def _verification() -> ssl.SSLContext | bool:
    """Return the verification of routers' certificates, for the HTTP client."""
    if not _TRUSTED.value:
        return True
    try:
        return client_context(_TRUSTED.value)
    except PortError as error:
        raise ValidationError(error.code, error.message, "--trusted") from error


def _attributes() -> ChangeAttributes:
    """Return the attributes of a change from the flags."""
    return ChangeAttributes(
        _CHANGE_ID.value or uuid.uuid4().hex,
        _AUTHOR.value or _user_name(),
        _NOTE.value,
        _BASE_REVISION.value,
        _TIMEOUT_SECONDS.value,
    )


def _user_name() -> str:
    """Return the user's name, or ``uid-`` and the user id if there is none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid-{os.getuid()}"


def _bad_usage(message: str) -> ValidationError:
    """Return the error for an invalid command line."""
    return ValidationError(ErrorCode.INVALID_CONFIGURATION, message)


def _error_result(error: HopstepError, exit_code: ExitCode) -> VerbResult:
    """Return an error as a result."""
    text = f"{error.field}: {error.message}" if error.field else error.message
    document = ErrorDocument(error.code.value, error.message, error.field)
    return VerbResult(text, document, exit_code)


def _print(result: VerbResult) -> None:
    """Print a result to standard output, or an error in text form to standard error."""
    if _FORMAT.value == "json":
        print(msgspec.json.encode(result.document).decode())
        return
    is_error = isinstance(result.document, ErrorDocument)
    print(result.text, file=sys.stderr if is_error else sys.stdout)


def main() -> None:
    """Run the command."""
    run_command(run, __doc__ or "", int(ExitCode.BAD_INPUT))


if __name__ == "__main__":
    main()
