"""Entry point of a node that forwards routed exchanges on the users' platform.

This module loads only the standard library until the node's listeners are open: connections then
wait in their queues while the rest of the program loads; a closed port would refuse them.

Exit codes: 0 after a planned stop; 1 after a fault; 2 for settings that can't be used.
"""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # Without a handler SIGHUP terminates the process, also while libraries load.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from hopstep.early_listeners import open_listeners  # noqa: E402
from hopstep.platform.names import SETTINGS_VARIABLE  # noqa: E402
from hopstep.unused_modules import replace_unused_modules  # noqa: E402

LOADING_OBJECTS = 5_000
"""New objects, less those freed, between two collections while the libraries are loaded."""


def main() -> None:
    """Open the listeners, then load and run the command."""
    # The installed command doesn't run the lines above; the settings are read after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loaded modules live as long as the process: collecting after every few hundred new objects
    # lengthens the start.
    gc.set_threshold(LOADING_OBJECTS)
    replace_unused_modules()
    # Flags may name other settings, so listeners are then opened after the flags are parsed.
    has_no_flags = len(sys.argv) == 1
    listeners = open_listeners(os.environ.get(SETTINGS_VARIABLE, "")) if has_no_flags else {}
    from hopstep.cli import node_process

    node_process.main(listeners, __doc__ or "")


if __name__ == "__main__":
    main()
