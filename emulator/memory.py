"""Memory that one object holds, counted by walking what it refers to."""

from __future__ import annotations

import gc
import sys
import types

_SHARED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def reachable_bytes(root: object, shared: tuple[object, ...] = ()) -> int:
    """Return the bytes of all objects that ``root`` alone would hold in its own process.

    Args:
        root: Object to start at.
        shared: Objects that aren't counted or entered.
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
