"""The router process.

Exit codes: 0 after a planned stop; 2 for settings that can't be used.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import trio
from absl import flags

from hopstep.cli.command import run_command
from hopstep.clock import SuspensionClock
from hopstep.exceptions import ErrorCode, PortError
from hopstep.garbage_collection import configure_garbage_collection
from hopstep.library_logs import capture_library_logs
from hopstep.logs import configure_logging
from hopstep.node import run_node
from hopstep.settings_loader import (
    EXIT_BAD_SETTINGS,
    SettingsError,
    define_settings_flags,
    load_settings_from_flags,
)

define_settings_flags()


def run(arguments: Sequence[str]) -> int:
    """Run one router and return the exit code.

    Args:
        arguments: Command line after flags were taken out, the program's name first.
    """
    if len(arguments) > 1:
        print(f"unexpected argument {arguments[1]!r}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load_settings_from_flags()
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logging(settings.log_level, settings.name)
    capture_library_logs()
    configure_garbage_collection()
    try:
        trio.run(run_node, settings, clock=SuspensionClock())
    except PortError as error:
        if error.code is not ErrorCode.INVALID_SETTINGS:
            raise
        source = flags.FLAGS.settings or "flags"
        print(SettingsError(source, error.field, error.message).message, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return 0


def main() -> None:
    """Run the command."""
    run_command(run, __doc__ or "", EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()
