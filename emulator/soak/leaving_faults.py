"""Instances that leave: by their entries, by their responses, without a word, or for a new version.

A leaving instance is replaced first, and serves on for a while.
"""

from __future__ import annotations

import trio

from emulator.exchange_platform.http_instance import HttpInstance
from emulator.soak.deployment import ENGINES, ZONES
from emulator.soak.instance_subjects import MIN_INSTANCES, InstanceSubjects, draw_seconds
from emulator.soak.links import InstanceLinks
from emulator.soak.operator_changes import DrainStart

DRAIN_SECONDS = 2.5
"""Shortest time for which a leaving instance serves on."""

NOTICE_ONLY_SHARE = 0.5
"""Share of instances announcing shutdown in responses whose entry says ready until they end."""

REPLACEMENT_SECONDS = (0.2, 1.0)
"""Time between two steps of a rolling replacement."""


class LeavingFaults(InstanceSubjects):
    """Lets instances leave."""

    async def instance_leaves(self) -> None:
        """Let an instance say in its entry that it drains."""
        links = await self._replaced_instance()
        if links is None:
            return
        self._drain(links.instance)
        await self._serve_on()
        self._end(links)

    async def instance_unlisted(self) -> None:
        """Let an instance leave without a word: its entry goes."""
        links = await self._replaced_instance()
        if links is None:
            return
        links.instance.draining = True
        self._deployment.store.remove(f"servers/{links.instance.traits.instance_id}")
        self._record_drain(links.instance)
        await self._serve_on()
        self._end(links, unlisted=False)

    async def instance_announces_leaving(self) -> None:
        """Let an instance announce its shutdown in responses, and later or never in its entry."""
        links = await self._replaced_instance()
        if links is None:
            return
        links.instance.notices.leaving = True
        await self._serve_on()
        if links not in self._deployment.instances:
            return
        if self._generator.random() >= NOTICE_ONLY_SHARE:
            links.instance.draining = True
            self._deployment.recorder.entry_changed(links.instance)
            await trio.sleep(DRAIN_SECONDS)
        self._end(links)

    async def software_replaced(self) -> None:
        """Replace engines one after the other by others of one software version.

        Any version may be next, also one of before. Each new engine starts before an old one
        drains; some replacements stop midway.
        """
        versions = self._deployment.software_versions
        target = self._generator.choice(versions)
        outdated = [
            links
            for links in self._deployment.instances
            if links.instance.traits.service == ENGINES
            and links.instance.traits.software_version != target
        ]
        count = self._generator.randint(1, max(1, len(outdated)))
        async with trio.open_nursery() as nursery:
            for links in outdated[:count]:
                nursery.start_soon(self._replace, links, target)
                await trio.sleep(self._generator.uniform(*REPLACEMENT_SECONDS))

    async def _replace(self, links: InstanceLinks, software_version: str) -> None:
        """Start an engine of a software version, and drain another one."""
        traits = links.instance.traits
        if links not in self._deployment.instances or links.instance.draining:
            return
        await self._deployment.add_instance(
            ENGINES, traits.zone, self._operator.weights, software_version=software_version
        )
        await trio.sleep(self._generator.uniform(*REPLACEMENT_SECONDS))
        if links not in self._deployment.instances or links.instance.draining:
            return
        self._drain(links.instance)
        await trio.sleep(DRAIN_SECONDS + draw_seconds(self._generator) / 2)
        self._end(links)

    async def _replaced_instance(self) -> InstanceLinks | None:
        """Return an instance that may leave, after its replacement has started; None for none."""
        links = self._instance()
        service = links.instance.traits.service
        if self._count(service) <= MIN_INSTANCES or links.instance.draining:
            return None
        zone = self._generator.choice(ZONES)
        await self._deployment.add_instance(service, zone, self._operator.weights)
        return links

    def _drain(self, instance: HttpInstance) -> None:
        """Let an instance say in its entry that it drains."""
        instance.draining = True
        self._deployment.recorder.entry_changed(instance)
        self._record_drain(instance)

    def _record_drain(self, instance: HttpInstance) -> None:
        """Record that the store has taken that an instance leaves."""
        started = DrainStart(instance.traits.incarnation, trio.current_time())
        self._deployment.history.drain_starts.append(started)

    async def _serve_on(self) -> None:
        """Wait while a leaving instance serves on."""
        await trio.sleep(DRAIN_SECONDS + draw_seconds(self._generator))

    def _end(self, links: InstanceLinks, *, unlisted: bool = True) -> None:
        """End an instance that hasn't crashed meanwhile."""
        if links in self._deployment.instances:
            self._deployment.terminate_instance(links, unlisted=unlisted)
