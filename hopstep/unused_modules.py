"""Modules that a node's libraries import and that a node never uses: placeholders in their place.

A node loads its libraries at each of its many starts, and holds them all its life. The libraries
import more than a node runs: servers and clients of other protocols, other event loops, blocking
twins of what it uses. Without these a start is shorter, and a
process holds less.

A placeholder has whatever name is asked of it, so that ``from module import Name`` works, also as
a base class or in an annotation. To use one is a fault and raises ``UnusedModuleError``.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import sys
import types
from collections.abc import Sequence
from typing import Any

UNUSED_MODULES = (
    # Other event loops, for the asynchronous loggers of structlog and for hypercorn's sockets.
    "asyncio",
    "multiprocessing",
    # Protocols of hypercorn that a node doesn't speak.
    "h2",
    "wsproto",
    # The exposition server and the push client of prometheus_client.
    "http.server",
    "urllib.request",
    "wsgiref.simple_server",
    # The blocking twin of httpcore's connections.
    "httpcore._sync",
)


class UnusedModuleError(ImportError):
    """Something was used that a node doesn't load.

    An error of imports, so that a library which uses something of a placeholder while it is loaded
    itself does without, as if the module weren't installed (httpcore and ``h2``).
    """


class _Unused:
    """What a placeholder gives for each of its names."""

    def __init__(self, *_arguments: Any, **_options: Any) -> None:
        raise UnusedModuleError(f"{type(self).__module__}.{type(self).__name__} isn't loaded")


class _Placeholder(types.ModuleType):
    """A module without contents; its submodules are placeholders too."""

    __path__: list[str] = []

    def __getattr__(self, name: str) -> Any:
        """Return a class that can't be instantiated."""
        if name.startswith("__"):
            raise AttributeError(name)
        unused = type(name, (_Unused,), {"__module__": self.__name__})
        setattr(self, name, unused)
        return unused


class _PlaceholderFinder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Finds placeholders for some modules and all below them."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = frozenset(names)

    def find_spec(
        self, name: str, _path: Sequence[str] | None, _target: types.ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return how to make a placeholder; None for all other modules."""
        parts = name.split(".")
        parents = (".".join(parts[:count]) for count in range(1, len(parts) + 1))
        if self._names.isdisjoint(parents):
            return None
        return importlib.machinery.ModuleSpec(name, self, is_package=True)

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> types.ModuleType:
        """Return a new placeholder."""
        return _Placeholder(spec.name)

    def exec_module(self, module: types.ModuleType) -> None:
        """Do nothing: it has no contents."""


def leave_unused_modules_out(names: Sequence[str] = UNUSED_MODULES) -> None:
    """Put placeholders in the place of modules; those that are loaded already stay.

    Called once, before the libraries are loaded.

    Args:
        names: The modules, with all below them.
    """
    sys.meta_path.insert(0, _PlaceholderFinder(names))
