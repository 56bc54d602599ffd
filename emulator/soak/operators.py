"""The operator of a soak: publishes configurations, revokes keys and sets weights versions."""

from __future__ import annotations

import random

import trio

from emulator.soak.deployment import (
    CONFIGURATION_KEY,
    ENGINES,
    HOST,
    MODEL,
    OTHER_PLAIN,
    PLAIN,
    Deployment,
)
from emulator.soak.operator_changes import (
    BodyLimit,
    IsolationChange,
    KeyMove,
    Redirect,
    Revocation,
    RouteChange,
    WeightsChange,
)
from emulator.soak.request_records import RequestKind

TENANTS = ("t1", "t2", "t3")
ISOLATED = ("t3",)
KEYS_PER_TENANT = 6
LASTING_KEY = "-0"
"""Suffix of the one key of each tenant that is never revoked."""

TIMEOUT_MS = 4_000
MAX_ADDED_ROUTES = 12
"""Maximum number of added routes; at this number the oldest one is removed."""

ROUTE_SERVICES = {RequestKind.SAFE: PLAIN, RequestKind.UNSAFE: PLAIN}

USUAL_BODY_BYTES = 65_536
BODY_LIMITS = (2_000, 8_000, USUAL_BODY_BYTES, 8_000_000)
"""Limits on bodies; the highest is above the nodes' default, and none refuses ordinary requests."""

CHANGING_TIMEOUTS_MS = (1_000, 1_000, TIMEOUT_MS)
"""Timeouts of redirected routes; short ones end within the drain of a stopping node."""

CHANGING_TENANTS = ("t1", "t2")
MOVING_KEYS = ("key-t1-1", "key-t2-1", "key-t3-1")


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
        self._max_body_bytes = USUAL_BODY_BYTES
        self._isolated = set(ISOLATED)
        self._holders: dict[str, str] = {}
        self._services = dict(ROUTE_SERVICES)
        self._timeouts_ms = dict.fromkeys(ROUTE_SERVICES, TIMEOUT_MS)
        history = deployment.history
        history.isolated.update(ISOLATED)
        for tenant in TENANTS:
            for number in range(KEYS_PER_TENANT):
                history.tenants[f"key-{tenant}-{number}"] = tenant

    def publish(self) -> None:
        """Write the current configuration under a new version."""
        self._version += self._generator.randrange(1, 4)
        self._deployment.store.put(CONFIGURATION_KEY, self._document())

    def change_body_limit(self) -> None:
        """Set another limit on bodies."""
        self._set_body_limit(self._generator.choice(BODY_LIMITS))

    def change_isolation(self) -> None:
        """Isolate some of the tenants that change, and let the others share."""
        chosen = {name for name in CHANGING_TENANTS if self._generator.random() < 0.5}
        self._set_isolated(chosen)

    def move_key(self) -> None:
        """Move a key to another tenant, or take it away from all for a while."""
        key = self._generator.choice(MOVING_KEYS)
        self._set_holder(key, self._generator.choice((*TENANTS, "")))

    def redirect(self) -> None:
        """Send a kind of request to another service, with another timeout."""
        kind = self._generator.choice(sorted(self._services))
        self._timeouts_ms[kind] = self._generator.choice(CHANGING_TIMEOUTS_MS)
        self._set_service(kind, self._generator.choice((PLAIN, OTHER_PLAIN)))

    def restore_settings(self) -> None:
        """Undo all changes of limits, tenants, keys and services."""
        self._timeouts_ms = dict.fromkeys(ROUTE_SERVICES, TIMEOUT_MS)
        self._set_body_limit(USUAL_BODY_BYTES)
        self._set_isolated(set())
        for key in sorted(self._holders):
            self._set_holder(key, self._deployment.history.tenants[key])
        for kind, service in ROUTE_SERVICES.items():
            self._set_service(kind, service)

    def _set_body_limit(self, max_bytes: int) -> None:
        """Set the limit on bodies and record it."""
        self._max_body_bytes = max_bytes
        self.publish()
        change = BodyLimit(max_bytes, trio.current_time())
        self._deployment.history.body_limits.append(change)

    def _set_isolated(self, chosen: set[str]) -> None:
        """Isolate some of the tenants that change, and record what is different."""
        before, self._isolated = self._isolated, chosen.union(ISOLATED)
        self.publish()
        now = trio.current_time()
        self._deployment.history.isolation_changes += [
            IsolationChange(name, name in self._isolated, now)
            for name in sorted(before ^ self._isolated)
        ]

    def _set_holder(self, key: str, tenant: str) -> None:
        """Give a key to a tenant, or to none, and record it."""
        self._holders[key] = tenant
        self.publish()
        self._deployment.history.key_moves.append(KeyMove(key, tenant, trio.current_time()))

    def _set_service(self, kind: RequestKind, service: str) -> None:
        """Send a kind of request to a service and record it."""
        self._services[kind] = service
        self.publish()
        self._deployment.history.redirects.append(Redirect(kind, service, trio.current_time()))

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
                    if self._holders.get(key, holder) == tenant and key not in revoked
                ],
                "isolated": tenant in self._isolated,
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
            "routes": [self._route(kind) for kind in RequestKind] + self._added_routes(),
            "services": [
                {"name": PLAIN},
                {"name": OTHER_PLAIN},
                {"name": ENGINES, "engine": engine},
            ],
            "limits": {"maxBodyBytes": self._max_body_bytes},
            "tenants": tenants,
        }

    def _added_routes(self) -> list[dict[str, object]]:
        """Return the added routes of the configuration."""
        route = {**self._route(RequestKind.SAFE), "service": PLAIN, "timeoutMs": TIMEOUT_MS}
        return [{**route, "name": path.strip("/"), "pathPrefix": path} for path in self._added]

    def _route(self, kind: RequestKind) -> dict[str, object]:
        """Return the route of a kind of request."""
        streaming = kind in (RequestKind.STREAM, RequestKind.RESUMABLE)
        return {
            "name": kind.value,
            "hostname": HOST,
            "pathPrefix": f"/{kind}/",
            "kind": "streaming" if streaming else kind.value,
            "timeoutMs": self._timeouts_ms.get(kind, TIMEOUT_MS),
            "targetLatencyMs": 500,
            "service": self._services.get(kind, ENGINES),
            "maxAttempts": 1 if kind.at_most_once else 2,
            "resumable": kind is RequestKind.RESUMABLE,
        }
