"""Measures the memory that an object holds, by walking its references."""

from __future__ import annotations

import gc
import sys
import types

_SHARED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def reachable_bytes(root: object, shared: tuple[object, ...] = ()) -> int:
    """Return the total size of all objects reachable from ``root``, in bytes.

    Args:
        root: Object to start from.
        shared: Objects that are neither counted nor followed.
    """
    seen = {id(item) for item in shared}
    waiting = [root]
    total = 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, _SHARED):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        waiting.extend(gc.get_referents(item))
    return total
