"""Settings of Python's cyclic garbage collector for a process that serves requests.

Reference counting frees most objects of a request; the collector only looks for cycles. With
the interpreter's defaults it runs every few requests and occasionally scans every imported
module and class, which blocks all requests during the scan.
"""

from __future__ import annotations

import gc

YOUNG_OBJECTS = 10_000
"""New objects, less those freed, between two collections; the interpreter's default is 700."""


def configure_garbage_collection() -> None:
    """Collect less often, and exclude existing objects, which live as long as the process.

    Call it once, after the imports and before the first request. It doesn't collect first,
    which would lengthen the start.
    """
    _, *older = gc.get_threshold()
    gc.set_threshold(YOUNG_OBJECTS, *older)
    gc.freeze()
