"""The deployment of a measurement: addresses, the node's settings, and what the store holds."""

from __future__ import annotations

import json

import msgspec

from emulator.fleet.ports import free_addresses
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT

HOST = "endless.example"
SERVICE = "plain"
ZONE = "z1"
DEADLINE_MS = 3_000
TARGET_LATENCY_MS = 500
SLOTS = 32


class MeasurePlan(msgspec.Struct, frozen=True):
    """What is measured.

    Attributes:
        instances: Number of instances.
        endless: Number of those that answer without end.
        work_seconds: Time for which an instance works on a request.
        rate: Requests per second.
        seconds: Time for which requests are sent.
        memory_mb: Memory that the node may use, in its settings.
    """

    instances: int = 20
    endless: int = 3
    work_seconds: float = 0.15
    rate: float = 100.0
    seconds: float = 8.0
    memory_mb: int = 160


class Addresses(msgspec.Struct, frozen=True):
    """The ``ip:port`` of each part.

    Attributes:
        node: The node's for clients.
        readiness: Its readiness endpoint.
        peers: Its datagrams.
        store: The store.
        instances: The instances.
    """

    node: str
    readiness: str
    peers: str
    store: str
    instances: tuple[str, ...]


def reserve_addresses(plan: MeasurePlan) -> Addresses:
    """Return free addresses of the loopback interface."""
    node, readiness, peers, store, *instances = free_addresses(4 + plan.instances)
    return Addresses(node, readiness, peers, store, tuple(instances))


def node_settings(addresses: Addresses, plan: MeasurePlan) -> str:
    """Return the node's settings file."""
    values = {
        "name": "n1",
        "zone": ZONE,
        "address": addresses.node,
        "readiness_address": addresses.readiness,
        "peer_address": addresses.peers,
        "store": addresses.store,
        "memory_mb": plan.memory_mb,
    }
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())


async def publish(shared: SharedStore, addresses: Addresses) -> None:
    """Write the configuration and the entries of the instances to the store."""
    route = {
        "name": "r",
        "hostname": HOST,
        "pathPrefix": "/",
        "kind": "safe",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": TARGET_LATENCY_MS,
        "maxAttempts": 2,
        "service": SERVICE,
    }
    configuration = {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE}],
        "limits": {"maxBodyBytes": 100_000},
    }
    values = {"op/config": configuration}
    for number, address in enumerate(addresses.instances):
        values[f"servers/i{number}"] = {
            "service": SERVICE,
            "address": address,
            "zone": ZONE,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSequence": 0,
        }
    for key, value in values.items():
        await shared.execute(wire.CompareAndSwap(key, ABSENT.revision, json.dumps(value).encode()))
