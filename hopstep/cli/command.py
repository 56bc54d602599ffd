"""What all commands share: flags, help and exit codes by ``absl``."""

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
        bad_usage: Exit code of a bad flag.
        arguments: Command line; the process's own if None.
    """
    arguments = list(sys.argv if arguments is None else arguments)
    if len(arguments) == 1:
        # Without flags the application of absl adds nothing; a start is shorter without loading it.
        sys.exit(run(_parse_flags(bad_usage, arguments)))
    from absl import app

    # The help of absl begins with the documentation of the main module, which is a generated
    # script when the command was installed.
    sys.modules["__main__"].__doc__ = documentation
    app.run(
        lambda rest: sys.exit(run(rest)),
        argv=arguments,
        flags_parser=functools.partial(_parse_flags, bad_usage),
    )


def _parse_flags(bad_usage: int, arguments: Sequence[str]) -> list[str]:
    """Parse flags; a bad one ends the process."""
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        print(f"{error}\nTry --help.", file=sys.stderr)
        sys.exit(bad_usage)
