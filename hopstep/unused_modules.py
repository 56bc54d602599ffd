"""Placeholders for modules that a node's libraries import but that a node never uses.

A node loads its libraries at every start and keeps them in memory. The libraries import more than
a node runs: servers and clients of other protocols, other event loops, blocking variants of the
asynchronous classes that it uses. Without these modules a start is shorter, and a process takes
less memory.

A placeholder provides any name, so that ``from module import Name`` works, also as a base class or
in an annotation. Instantiating such a name is an error and raises ``UnusedModuleError``.
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
    # Protocols of hypercorn that a node doesn't use.
    "h2",
    "wsproto",
    # The exposition server and the push client of prometheus_client.
    "http.server",
    "urllib.request",
    "wsgiref.simple_server",
    # The blocking variant of httpcore's connections.
    "httpcore._sync",
)


class UnusedModuleError(ImportError):
    """A module was used that a node replaces by a placeholder.

    It is an ``ImportError``, so that a library which uses a placeholder during its own import
    treats the module as not installed (httpcore and ``h2``).
    """


class _Unused:
    """Base of the classes that a placeholder provides for its names."""

    def __init__(self, *_arguments: Any, **_options: Any) -> None:
        raise UnusedModuleError(f"{type(self).__module__}.{type(self).__name__} isn't loaded")


class _Placeholder(types.ModuleType):
    """An empty module; its submodules are placeholders too."""

    __path__: list[str] = []

    def __getattr__(self, name: str) -> Any:
        """Return a class that can't be instantiated."""
        if name.startswith("__"):
            raise AttributeError(name)
        unused = type(name, (_Unused,), {"__module__": self.__name__})
        setattr(self, name, unused)
        return unused


class _PlaceholderFinder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Finds placeholders for given modules and their submodules."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = frozenset(names)

    def find_spec(
        self, name: str, _path: Sequence[str] | None, _target: types.ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a placeholder; None for all other modules."""
        parts = name.split(".")
        parents = (".".join(parts[:count]) for count in range(1, len(parts) + 1))
        if self._names.isdisjoint(parents):
            return None
        return importlib.machinery.ModuleSpec(name, self, is_package=True)

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> types.ModuleType:
        """Return a new placeholder."""
        return _Placeholder(spec.name)

    def exec_module(self, module: types.ModuleType) -> None:
        """Do nothing: a placeholder is empty."""


def replace_unused_modules(names: Sequence[str] = UNUSED_MODULES) -> None:
    """Replace modules by placeholders; modules that are already loaded stay.

    Call it once, before the libraries are loaded.

    Args:
        names: The modules; their submodules are replaced too.
    """
    sys.meta_path.insert(0, _PlaceholderFinder(names))
