"""The operator of a soak: publishes configurations, revokes keys and sets weights versions."""

from __future__ import annotations

import random

import trio

from emulator.soak.deployment import CONFIGURATION_KEY, ENGINES, HOST, MODEL, PLAIN, Deployment
from emulator.soak.history import RequestKind, Revocation, RouteChange, WeightsChange

TENANTS = ("t1", "t2", "t3")
ISOLATED = ("t3",)
KEYS_PER_TENANT = 6
LASTING_KEY = "-0"
"""Suffix of the one key of each tenant that is never revoked."""

TIMEOUT_MS = 4_000
MAX_ADDED_ROUTES = 12
"""Maximum number of added routes; at this number the oldest one is removed."""

ROUTE_SERVICES = {RequestKind.SAFE: PLAIN, RequestKind.UNSAFE: PLAIN}


class Operator:
    """Writes the operator's documents; its writes bypass the store's faults."""

    def __init__(self, deployment: Deployment, generator: random.Random) -> None:
        """Prepare tenants and keys without writing.

        Args:
            deployment: Store and history.
            generator: Draws changes.
        """
        self._deployment = deployment
        self._generator = generator
        self._version = 0
        self._weights = 1
        self._added: list[str] = []
        self._routes_so_far = 0
        history = deployment.history
        history.isolated.update(ISOLATED)
        for tenant in TENANTS:
            for number in range(KEYS_PER_TENANT):
                history.tenants[f"key-{tenant}-{number}"] = tenant

    def publish(self) -> None:
        """Write the current configuration under a new version."""
        self._version += self._generator.randrange(1, 4)
        self._deployment.store.put(CONFIGURATION_KEY, self._document())

    def revoke(self) -> str:
        """Revoke a key and return it; empty when each tenant has only its lasting key left."""
        history = self._deployment.history
        revoked = {revocation.key for revocation in history.revocations}
        revocable = [
            key for key in history.tenants if key not in revoked and not key.endswith(LASTING_KEY)
        ]
        if not revocable:
            return ""
        key = self._generator.choice(revocable)
        revoked_at = trio.current_time()
        history.revocations.append(Revocation(key, revoked_at))
        self.publish()
        return key

    async def change_routes(self, seconds: float) -> None:
        """Add or remove a route about every ``seconds``, until cancelled."""
        while True:
            await trio.sleep(seconds * self._generator.uniform(0.3, 1.7))
            if len(self._added) >= MAX_ADDED_ROUTES:
                self._change_route(self._added.pop(0), present=False)
            else:
                self._routes_so_far += 1
                path = f"/added{self._routes_so_far}/"
                self._added.append(path)
                self._change_route(path, present=True)

    def _change_route(self, path: str, *, present: bool) -> None:
        """Write the configuration after a route was added or removed, and record the change."""
        self.publish()
        change = RouteChange(path, present, trio.current_time())
        self._deployment.history.route_changes.append(change)

    def set_weights_version(self) -> None:
        """Set a new target version of the weights."""
        self._weights += 1
        document = {"model": MODEL, "version": self._weights}
        self._deployment.store.put(f"op/version/{MODEL}", document)
        weights_change = WeightsChange(self._weights, trio.current_time())
        self._deployment.history.weights_changes.append(weights_change)

    @property
    def weights(self) -> int:
        """The current target version of the weights."""
        return self._weights

    def _document(self) -> dict[str, object]:
        """Return the configuration's document."""
        revoked = {revocation.key for revocation in self._deployment.history.revocations}
        tenants = [
            {
                "name": tenant,
                "apiKeys": [
                    key
                    for key, holder in self._deployment.history.tenants.items()
                    if holder == tenant and key not in revoked
                ],
                "isolated": tenant in ISOLATED,
            }
            for tenant in TENANTS
        ]
        engine = {
            "slots": 32,
            "kvCapacityTokens": 50_000,
            "kvTokenBytes": 1_000,
            "linkMbps": 10_000,
            "models": [{"name": MODEL}],
        }
        return {
            "version": self._version,
            "routes": [_route(kind) for kind in RequestKind] + self._added_routes(),
            "services": [{"name": PLAIN}, {"name": ENGINES, "engine": engine}],
            "limits": {"maxBodyBytes": 65_536},
            "tenants": tenants,
        }

    def _added_routes(self) -> list[dict[str, object]]:
        """Return the added routes of the configuration."""
        return [
            {**_route(RequestKind.SAFE), "name": path.strip("/"), "pathPrefix": path}
            for path in self._added
        ]


def _route(kind: RequestKind) -> dict[str, object]:
    """Return the route of a kind of request."""
    streaming = kind in (RequestKind.STREAM, RequestKind.RESUMABLE)
    return {
        "name": kind.value,
        "hostname": HOST,
        "pathPrefix": f"/{kind}/",
        "kind": "streaming" if streaming else kind.value,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 500,
        "service": ROUTE_SERVICES.get(kind, ENGINES),
        "maxAttempts": 1 if kind.at_most_once else 2,
        "resumable": kind is RequestKind.RESUMABLE,
    }
