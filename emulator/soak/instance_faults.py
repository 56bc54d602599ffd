"""Faults of instances: links, crashes, restarts, addresses, entries, limits and orders."""

from __future__ import annotations

import random

import trio

from emulator.soak.answer_faults import AnswerFaults
from emulator.soak.deployment import ENGINES, PLAIN, ZONES, Deployment
from emulator.soak.fault_kinds import (
    ANSWERS_ENDLESS,
    ANSWERS_REPEATED,
    ANSWERS_STOPPED,
    ANSWERS_UNFRAMED,
    SOFTWARE,
    UNLISTED,
    UNREADABLE,
)
from emulator.soak.foreign_entries import (
    FOREIGN_PREFIX,
    foreign_entry,
    unreadable_entry,
    unreadable_record,
)
from emulator.soak.instance_records import LimitChange
from emulator.soak.instance_subjects import MIN_INSTANCES, Fault, InstanceSubjects, draw_seconds
from emulator.soak.leaving_faults import LeavingFaults
from emulator.soak.links import InstanceLinks
from emulator.soak.operators import Operator
from emulator.soak.proxies import LinkState

BROKEN_LINKS = (LinkState.SILENT, LinkState.ONE_WAY, LinkState.RESET)
IMAGE_VERSION = 1
IMAGE_SHARE = 0.5
"""Share of restarting instances that load the weights of their image instead of their last ones."""

BACKOFF_SECONDS = (0.3, 4.0)
SHED_SECONDS = (0.2, 1.5)
"""Time in which an instance refuses all requests and asks for backoff."""

LIMITS = (0.0, 0.3, 1.5, 1.5, 4.0, 12.0)
"""Announced limits, requests per second."""

LIMIT_SECONDS = (4.0, 10.0)
"""Time for which an instance announces one limit."""

UNREADABLE_SECONDS = 3.0
"""Time for which values that can't be read stay at least: longer than nodes take to start."""

REUSE_SECONDS = 2.0
"""Time before the platform gives the address of a terminated instance to another one."""

FREEZE_SECONDS = (0.1, 1.2)
REPEATED_SHARES = (0.05, 0.2, 1.0)
STOPPED_SHARES = (0.1, 0.5)
ENDLESS_SHARE = 0.05
FAILING_SHARES = (0.3, 0.7, 1.0)


def instance_faults(
    deployment: Deployment, operator: Operator, generator: random.Random
) -> dict[str, Fault]:
    """Return the faults of instances by their kind.

    Args:
        deployment: Holds the instances that get the faults.
        operator: Holds the target version of the weights.
        generator: Draws instance, time and strength.
    """
    faults = _InstanceFaults(deployment, operator, generator)
    leaving = LeavingFaults(deployment, operator, generator)
    return {
        "instance link": faults.instance_link,
        "instance connections silent": faults.instance_connections_silent,
        "instance crashed": faults.instance_crashed,
        "instance leaves": leaving.instance_leaves,
        UNLISTED: leaving.instance_unlisted,
        "instance says it leaves": leaving.instance_announces_leaving,
        "instances want rest": faults.instances_request_backoff,
        "instances name limits": faults.instances_announce_limits,
        "instance fails": faults.instance_fails,
        "orders late": faults.orders_late,
        "instance restarts": faults.instance_restarts,
        "address passed on": faults.address_passed_on,
        "foreign entries": faults.foreign_entries,
        UNREADABLE: faults.unreadable_values,
        SOFTWARE: leaving.software_replaced,
        ANSWERS_REPEATED: faults.answers_repeated,
        ANSWERS_STOPPED: faults.answers_stopped,
        ANSWERS_ENDLESS: faults.answers_endless,
        ANSWERS_UNFRAMED: faults.answers_unframed,
        "instance freezes": faults.instance_freezes,
        "instance fails for a while": faults.instance_fails_for_a_while,
    }


class _InstanceFaults(InstanceSubjects):
    """Injects the other faults of instances."""

    async def instance_link(self) -> None:
        links = self._instance()
        disturbance = self._deployment.disturb("link", links.instance.traits.instance_id)
        silence = None
        if self._generator.random() < 0.3:
            links.proxy.delay_seconds = self._generator.uniform(0.05, 0.5)
        else:
            state = self._generator.choice(BROKEN_LINKS)
            links.proxy.set_state(state)
            silence = self._deployment.silence(links) if state is not LinkState.RESET else None
        await trio.sleep(draw_seconds(self._generator))
        links.proxy.delay_seconds = 0.0
        links.proxy.set_state(LinkState.OPEN)
        disturbance.until = trio.current_time()
        if silence is not None:
            silence.until = trio.current_time()

    async def instance_connections_silent(self) -> None:
        """Block the open connections between all nodes and an instance; new connections work."""
        links = self._instance()
        instance_id = links.instance.traits.instance_id
        disturbance = self._deployment.disturb("connections silent", instance_id)
        links.proxy.block_established(back_only=self._generator.random() < 0.5)
        await trio.lowlevel.checkpoint()
        disturbance.until = trio.current_time()

    async def instance_crashed(self) -> None:
        links = self._instance()
        traits = links.instance.traits
        if self._count(traits.service) <= MIN_INSTANCES:
            return
        disturbance = self._deployment.disturb("crashed", traits.instance_id)
        version = links.instance.version
        self._deployment.terminate_instance(links, unlisted=False)
        await trio.sleep(self._generator.uniform(0.2, 3.0))
        self._deployment.store.remove(f"servers/{traits.instance_id}")
        await self._deployment.add_instance(traits.service, traits.zone, version)
        disturbance.until = trio.current_time()

    async def instance_restarts(self) -> None:
        """Terminate an instance and start it again under its id.

        Its entry may expire before that. It starts with its last weights or those of its image.
        """
        links = self._instance()
        traits = links.instance.traits
        if links.instance.draining or self._count(traits.service) <= MIN_INSTANCES:
            return
        disturbance = self._deployment.disturb("restarted", traits.instance_id)
        version = links.instance.version
        if self._generator.random() < IMAGE_SHARE:
            version = IMAGE_VERSION
        self._deployment.terminate_instance(links, unlisted=False)
        await trio.sleep(self._generator.uniform(0.1, 4.0))
        if self._generator.random() < 0.3:
            self._deployment.store.remove(f"servers/{traits.instance_id}")
            await trio.sleep(self._generator.uniform(0.1, 1.0))
        await self._deployment.add_instance(
            traits.service, traits.zone, version, traits.instance_id
        )
        disturbance.until = trio.current_time()

    async def address_passed_on(self) -> None:
        """Terminate an instance, give its address to another, and restart it at a new address."""
        links = self._instance()
        traits = links.instance.traits
        if links.instance.draining or self._count(traits.service) <= MIN_INSTANCES:
            return
        disturbance = self._deployment.disturb("address passed on", traits.instance_id)
        port = int(self._deployment.recorder.addresses[traits.instance_id].rpartition(":")[2])
        version = links.instance.version
        self._deployment.terminate_instance(links, unlisted=False)
        await trio.sleep(REUSE_SECONDS)
        other = PLAIN if traits.service == ENGINES else ENGINES
        await self._deployment.add_instance(other, traits.zone, self._operator.weights, port=port)
        await trio.sleep(self._generator.uniform(0.5, 2.0))
        await self._deployment.add_instance(
            traits.service, traits.zone, version, traits.instance_id
        )
        disturbance.until = trio.current_time()

    async def foreign_entries(self) -> None:
        """Write invalid entries for a while; one may overwrite an instance's own entry."""
        generator, store = self._generator, self._deployment.store
        keys = []
        for _ in range(generator.randint(1, 4)):
            service, zone = generator.choice((PLAIN, ENGINES)), generator.choice(ZONES)
            key = f"servers/{FOREIGN_PREFIX}-{generator.randbytes(3).hex()}"
            store.put_bytes(key, foreign_entry(generator, service, zone, self._deployment.decoy))
            keys.append(key)
        links = self._instance()
        traits = links.instance.traits
        over = self._count(traits.service) > MIN_INSTANCES and not links.instance.draining
        if over:
            decoy = self._deployment.decoy
            entry = foreign_entry(generator, traits.service, traits.zone, decoy)
            self._deployment.recorder.entry_overwritten(traits.instance_id, entry)
        await trio.sleep(draw_seconds(self._generator))
        for key in keys:
            store.remove(key)
        if over:
            self._deployment.recorder.entry_changed(links.instance)

    async def unreadable_values(self) -> None:
        """Leave entries and records that can't be read, also while nodes start."""
        generator, store = self._generator, self._deployment.store
        keys = []
        for _ in range(generator.randint(1, 12)):
            service, zone = generator.choice((PLAIN, ENGINES)), generator.choice(ZONES)
            key = f"servers/{FOREIGN_PREFIX}-{generator.randbytes(3).hex()}"
            decoy = self._deployment.decoy
            store.put_bytes(key, unreadable_entry(generator, service, zone, decoy))
            keys.append(key)
        for _ in range(generator.randint(1, 4)):
            key, value = unreadable_record(generator)
            store.put_bytes(key, value)
            keys.append(key)
        await trio.sleep(UNREADABLE_SECONDS + draw_seconds(generator))
        for key in keys:
            store.remove(key)

    async def instances_request_backoff(self) -> None:
        """Let one instance, or all of its service, refuse requests and ask for backoff."""
        chosen = [self._instance()]
        service = chosen[0].instance.traits.service
        if self._generator.random() < 0.5:
            chosen = [
                links
                for links in self._deployment.instances
                if links.instance.traits.service == service
            ]
        for links in chosen:
            links.instance.notices.backoff_seconds = self._generator.uniform(*BACKOFF_SECONDS)
        await trio.sleep(self._generator.uniform(*SHED_SECONDS))
        for links in chosen:
            links.instance.notices.backoff_seconds = 0.0

    async def instances_announce_limits(self) -> None:
        """Let one instance, half or all of a service announce limits, change and lift them."""
        service = self._instance().instance.traits.service
        chosen = [x for x in self._deployment.instances if x.instance.traits.service == service]
        share = self._generator.choice((0.0, 0.5, 1.0))
        chosen = self._generator.sample(chosen, max(1, round(share * len(chosen))))
        for _change in range(self._generator.choice((1, 1, 2, 3))):
            for links in chosen:
                self._announce_limit(links, self._generator.choice(LIMITS))
            await trio.sleep(self._generator.uniform(*LIMIT_SECONDS))
        for links in chosen:
            self._announce_limit(links, None)

    def _announce_limit(self, links: InstanceLinks, per_second: float | None) -> None:
        """Change the limit in an instance's responses; does nothing if it has terminated."""
        if links in self._deployment.instances:
            links.instance.notices.limit = per_second
            incarnation = links.instance.traits.incarnation
            change = LimitChange(incarnation, trio.current_time(), per_second)
            self._deployment.history.limits.append(change)

    async def instance_fails(self) -> None:
        links = self._instance()
        faults = links.instance.faults
        disturbance = self._deployment.disturb("fails", links.instance.traits.instance_id)
        share = self._generator.choice((0.05, 0.5, 1.0))
        field = self._generator.choice(("failing", "losing", "breaking"))
        setattr(faults, field, share)
        await trio.sleep(draw_seconds(self._generator))
        setattr(faults, field, 0.0)
        disturbance.until = trio.current_time()

    async def answers_repeated(self) -> None:
        """Let one instance, all of a service, or all of them send a share of answers twice."""
        share = self._generator.choice(REPEATED_SHARES)
        await self._answers_faulty(self._some_instances(), AnswerFaults(repeated=share))

    def _some_instances(self) -> list[InstanceLinks]:
        """Return one instance, all of a service, or all of them."""
        instances = self._deployment.instances
        one = self._instance()
        service = one.instance.traits.service
        own = [links for links in instances if links.instance.traits.service == service]
        return self._generator.choice(([one], own, instances.copy()))

    async def answers_stopped(self) -> None:
        """Let one instance, all of a service, or all of them stop in a share of their answers."""
        share = self._generator.choice(STOPPED_SHARES)
        await self._answers_faulty(self._some_instances(), AnswerFaults(stopped=share))

    async def answers_endless(self) -> None:
        """Let an instance send bytes without end in place of a few of its answers."""
        await self._answers_faulty([self._instance()], AnswerFaults(endless=ENDLESS_SHARE))

    async def answers_unframed(self) -> None:
        """Let an instance send a share of its answers without a length."""
        share = self._generator.choice(STOPPED_SHARES)
        await self._answers_faulty([self._instance()], AnswerFaults(unframed=share))

    async def _answers_faulty(self, chosen: list[InstanceLinks], faults: AnswerFaults) -> None:
        """Make answers faulty for a while, in addition to the faults that are set already."""
        proxies = [links.answers for links in chosen if links.answers is not None]
        fields = [name for name in AnswerFaults.__struct_fields__ if getattr(faults, name)]
        for proxy in proxies:
            for field in fields:
                setattr(proxy.faults, field, getattr(faults, field))
        await trio.sleep(draw_seconds(self._generator))
        for proxy in proxies:
            for field in fields:
                setattr(proxy.faults, field, 0.0)

    async def instance_freezes(self) -> None:
        """Let an instance neither read nor write for a moment."""
        links = self._instance()
        links.proxy.set_state(LinkState.SILENT)
        silence = self._deployment.silence(links)
        await trio.sleep(self._generator.uniform(*FREEZE_SECONDS))
        links.proxy.set_state(LinkState.OPEN)
        silence.until = trio.current_time()

    async def instance_fails_for_a_while(self) -> None:
        """Let an instance answer a share of its requests, streams too, with 500 after the run."""
        links = self._instance()
        faults = links.instance.faults
        faults.failing = faults.failing_streams = self._generator.choice(FAILING_SHARES)
        await trio.sleep(draw_seconds(self._generator))
        faults.failing = faults.failing_streams = 0.0

    async def orders_late(self) -> None:
        engines = [x for x in self._deployment.instances if x.instance.traits.service == ENGINES]
        for links in engines:
            links.instance.faults.late_orders = 0.5
        await trio.sleep(draw_seconds(self._generator))
        for links in engines:
            links.instance.faults.late_orders = 0.0
