"""Settings of Python's cyclic garbage collector for a process that serves requests.

Reference counts free most of what a request makes; the collector only looks for cycles. With
the interpreter's own settings it runs every few requests and now and then walks over every
module and class that was ever imported, which stops all requests meanwhile.
"""

from __future__ import annotations

import gc

YOUNG_OBJECTS = 10_000
"""New objects, less those freed, between two collections; the interpreter's own is 700."""


def configure_garbage_collection() -> None:
    """Collect less often, and leave out what exists now, since it lives as long as the process.

    Called once, after the imports and before the first request. It doesn't collect first,
    which would make a start longer.
    """
    _, *older = gc.get_threshold()
    gc.set_threshold(YOUNG_OBJECTS, *older)
    gc.freeze()
