"""Common parts of all commands: flags, help and exit codes, by ``absl``."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable, Sequence

from absl import flags

Run = Callable[[Sequence[str]], int]
"""Runs a command: takes the arguments without flags, the program's name first."""


def run_command(
    run: Run, documentation: str, bad_usage: int, arguments: Sequence[str] | None = None
) -> None:
    """Parse flags, run a command and exit with its code.

    Args:
        run: The command.
        documentation: What ``--help`` prints before the flags.
        bad_usage: Exit code for an invalid flag.
        arguments: Command line; the process's own if None.
    """
    arguments = list(sys.argv if arguments is None else arguments)
    if len(arguments) == 1:
        # Without flags ``absl.app`` isn't needed; a start is shorter if it isn't loaded.
        sys.exit(run(_parse_flags(bad_usage, arguments)))
    from absl import app

    # absl's help text begins with the docstring of the main module, which is a generated script
    # when the command is installed.
    sys.modules["__main__"].__doc__ = documentation
    app.run(
        lambda rest: sys.exit(run(rest)),
        argv=arguments,
        flags_parser=functools.partial(_parse_flags, bad_usage),
    )


def _parse_flags(bad_usage: int, arguments: Sequence[str]) -> list[str]:
    """Parse flags; exit the process on an invalid one."""
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        print(f"{error}\nTry --help.", file=sys.stderr)
        sys.exit(bad_usage)
