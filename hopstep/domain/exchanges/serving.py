"""The operators' configuration of routed exchanges: routes, services, tenants and limits."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterable, Set

import msgspec

from hopstep.domain.exchanges.cache_groups import CacheGroups
from hopstep.domain.limits.quota_ledger import TenantQuota


class RequestKind(enum.StrEnum):
    """How often a request may run."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A part of a route's traffic.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other parts.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and how they are handled.

    Attributes:
        name: Unique name.
        host: Value of the ``Host`` header, lower case, without a port.
        path_prefix: Start of the path; begins and ends with a slash.
        kind: How often a request may run.
        timeout_seconds: Longest time from request to final answer.
        objective_seconds: Target time to the answer, or to a stream's first event.
        priority: Rank; 0 is the most urgent.
        shares: Services that split the traffic by weight.
        max_attempts: Highest number of instances that one request may be sent to.
        public: Whether no key is needed.
        resumable: Whether a stream may be resumed at another instance after its last event.
        event_patience_seconds: Time without an event of a stream, also before its first one, after
            which clients give up; 0 for no such time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    event_patience_seconds: float = 0.0

    def has_terms_of(self, other: Route) -> bool:
        """Return whether what a request may do on it is the same as on another route."""
        return (
            self.kind is other.kind
            and self.resumable == other.resumable
            and self.public == other.public
        )

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE

    def choose_service(self, generator: random.Random) -> str:
        """Return a random service by the shares' weights; empty when the route has none."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [max(0.0, share.weight) for share in self.shares]
        if not any(weights):
            return self.shares[0].service if self.shares else ""
        return generator.choices(self.shares, weights)[0].service


class EngineTraits(msgspec.Struct, frozen=True):
    """Configured properties of a service's language-model engines.

    Attributes:
        slots: Requests that run concurrently in one instance.
        cache_tokens: Tokens that fit into an instance's cache.
        token_bytes: Bytes of one cached token.
        link_megabits: Megabits a second of an instance's link for cached tokens.
        models: Names of the models.
    """

    slots: int
    cache_tokens: int
    token_bytes: float
    link_megabits: float
    models: tuple[str, ...] = ()

    def move_seconds_per_token(self, link_megabits: float) -> float:
        """Return the time to move one cached token from another link to an instance's link.

        Args:
            link_megabits: Megabits a second of the other link; 0 gives infinite time.
        """
        slower = min(self.link_megabits, link_megabits)
        return self.token_bytes * 8 / (slower * 1e6) if slower > 0 else float("inf")


class CacheStore(msgspec.Struct, frozen=True):
    """A store of cached prompt segments.

    Attributes:
        address: ``ip:port``.
        zone: Zone of the store.
        cache_tokens: Tokens that it holds.
        link_megabits: Megabits a second of its link.
    """

    address: str
    zone: str
    cache_tokens: int
    link_megabits: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A service with instances, or a cache store.

    Attributes:
        name: Unique name.
        connection_limit: Connections that one instance accepts from all callers together.
        engine: Properties of language-model engines; None for other services.
        cache_store: Set for a cache store, which has no instances.
    """

    name: str
    connection_limit: int = 100
    engine: EngineTraits | None = None
    cache_store: CacheStore | None = None


class Tenant(msgspec.Struct, frozen=True):
    """A tenant.

    Attributes:
        name: Unique name.
        keys: API keys.
        priority: Priority that precedes the route's; None for none.
        isolated: Whether cached segments must not be shared with other tenants.
        quota: Quota over all nodes; None for no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    quota: TenantQuota | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """Bounds on client requests.

    Attributes:
        max_body_bytes: Longest request body.
        max_head_bytes: Longest request line and headers together.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    max_head_bytes: int = 16 * 1024


class ServingConfiguration(msgspec.Struct, frozen=True):
    """One accepted version of the operators' configuration.

    Attributes:
        version: Rises with every change.
        routes: Routes.
        services: Services.
        tenants: Tenants; empty when no keys are required.
        limits: Bounds of requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: RequestLimits = RequestLimits()

    def shortest_objective(self, services: Set[str]) -> float:
        """Return the shortest objective of the routes to services, in seconds; infinite for none.

        Args:
            services: Names of the services.
        """
        objectives = (
            route.objective_seconds
            for route in self.routes
            if any(share.service in services for share in route.shares)
        )
        return min(objectives, default=math.inf)


class ServingIndex:
    """Lookups over one configuration.

    Attributes:
        configuration: The configuration.
        services: Its services by name.
        cache_groups: Groups of tenants that share cached prompt segments.
    """

    def __init__(self, configuration: ServingConfiguration) -> None:
        """Build the lookups.

        Args:
            configuration: The configuration.
        """
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        self.cache_groups = CacheGroups(_sharing_tenants(configuration.tenants))
        self._tenants = {key: tenant for tenant in configuration.tenants for key in tenant.keys}
        self._named_routes = {route.name: route for route in configuration.routes}
        self._routes: dict[str, list[Route]] = {}
        self._least_urgent: dict[str, int] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
            for share in route.shares:
                least = max(route.priority, self._least_urgent.get(share.service, 0))
                self._least_urgent[share.service] = least
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    @property
    def keys_required(self) -> bool:
        """Whether requests need a key unless their route is public."""
        return bool(self.configuration.tenants)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` at a host, or None.

        Args:
            host: Value of the ``Host`` header, with or without a port.
            path: Path as it was sent.
        """
        name = host.partition(":")[0].lower()
        for route in self._routes.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def route_named(self, name: str) -> Route | None:
        """Return the route with a name, or None."""
        return self._named_routes.get(name)

    def find_tenant(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key, or None."""
        return self._tenants.get(key)

    def least_urgent(self, service: str) -> int:
        """Return the priority of the least urgent route of a service."""
        return self._least_urgent.get(service, 0)

    def cache_stores(self) -> tuple[CacheStore, ...]:
        """Return the cache stores."""
        stores = (service.cache_store for service in self.configuration.services)
        return tuple(store for store in stores if store is not None)


def _sharing_tenants(tenants: Iterable[Tenant]) -> set[str]:
    """Return the names of the tenants that aren't isolated by any entry."""
    known = tuple(tenants)
    isolated = {tenant.name for tenant in known if tenant.isolated}
    return {tenant.name for tenant in known} - isolated
