"""Emulated services and measurement tools: ``hopstep-emulator ROLE [--flag=value ...]``.

Roles: ``engine``, ``platform``, ``load``, ``experiment``, ``bench``, ``scale``,
``capacity``, ``recovery``, ``soak``, ``endless``.
``hopstep-emulator ROLE --helpfull`` documents the flags of a role.

Exit codes: 0 done; 1 a check failed; 2 bad command line.
"""

from __future__ import annotations

import importlib
import logging
import sys
from collections.abc import Sequence

from hopstep.cli.command import run_command

ROLES = (
    "engine",
    "platform",
    "load",
    "experiment",
    "bench",
    "scale",
    "capacity",
    "recovery",
    "soak",
    "endless",
)
EXIT_BAD_USAGE = 2


def main() -> None:
    """Run the role that the command line names."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in ROLES:
        print(__doc__, file=sys.stderr)
        sys.exit(0 if role in ("--help", "--helpfull") else EXIT_BAD_USAGE)
    # Import only the chosen role's module, which defines its flags and loads its dependencies.
    module = importlib.import_module(f"emulator.cli.{role}")
    arguments = [f"{sys.argv[0]} {role}", *sys.argv[2:]]
    documentation = module.__doc__ or ""
    run_command(
        lambda role_arguments: _run(module, role_arguments),
        documentation,
        EXIT_BAD_USAGE,
        arguments,
    )


def _run(module: object, role_arguments: Sequence[str]) -> int:
    """Run a role and return the exit code."""
    if len(role_arguments) > 1:
        print(f"unexpected argument {role_arguments[1]!r}", file=sys.stderr)
        return EXIT_BAD_USAGE
    logging.getLogger().setLevel(logging.WARNING)
    run = getattr(module, "run")  # noqa: B009 - the type of a role's module
    try:
        return int(run())
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_USAGE


if __name__ == "__main__":
    main()
