"""Owners of prefixes by rendezvous hashing: where equal prefixes go with an empty prefix index."""

from __future__ import annotations

from hopstep.domain.configuration.document import BackEnd
from hopstep.domain.rendezvous import Rendezvous
from hopstep.domain.routing.prompt_heads import Prompt

MAX_LOOKUPS = 1_024
"""Lookups after which cached rankings are dropped, as prompts that come only once fill them."""


class PrefixOwners:
    """Ranks engines by a prompt's first head; routers with an empty prefix index agree."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._tables: dict[tuple[str, ...], Rendezvous] = {}
        self._lookups = 0

    def ranks(self, prompt: Prompt, engines: list[BackEnd], copies: int) -> dict[str, int]:
        """Return the rank of each owner of the prompt's prefix, 0 first, by engine name.

        Args:
            prompt: The prompt.
            engines: Engines that may own it.
            copies: Number of owners.
        """
        self._lookups += 1
        if self._lookups > MAX_LOOKUPS:
            self._tables.clear()
            self._lookups = 1
        names = tuple(engine.name for engine in engines)
        table = self._tables.get(names)
        if table is None:
            table = self._tables[names] = Rendezvous.unweighted(names)
        head = prompt.heads[0] if prompt.heads else 0
        owners = table.owners(str(head), copies)
        return {name: rank for rank, name in enumerate(owners)}
