"""Settings of a node that forwards routed exchanges."""

from __future__ import annotations

import msgspec


class ExchangeBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Guarantees of the deployment; times in milliseconds unless the name says otherwise.

    Attributes:
        grace_seconds: From the request to stop until the process is killed.
        configuration_ms: From a configuration's acknowledgement until every node applies it.
        drain_ms: From the acknowledgement that an instance drains until it gets no new requests.
        revocation_ms: From the revocation of a key until no request with it may run.
        retry_ratio: Retries of all nodes for each request to a service.
        retry_extra: Retries that are always allowed in a window, over all nodes.
        retry_window_seconds: Length of that window.
        lease_ms: Duration of the rollout lease, and the pause between two holders.
        other_zone_ms: Delay added for an instance of another zone when instances are compared.
        weights_ms: From the naming of weights until no request may start on older ones.
        quota_window_seconds: Length of the windows over which tenants' quotas are counted.
        quota_overshoot: Fraction by which a quota may be exceeded in a window.
        quota_slack: Units of the quota by which it may be exceeded in addition.
    """

    grace_seconds: float = 8.0
    configuration_ms: float = 2_000.0
    drain_ms: float = 2_000.0
    revocation_ms: float = 5_000.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window_seconds: float = 10.0
    lease_ms: float = 3_000.0
    weights_ms: float = 8_000.0
    other_zone_ms: float = 15.0
    quota_window_seconds: float = 10.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0


class ExchangeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one node.

    Attributes:
        name: Unique name of the machine.
        zone: Zone of the machine.
        address: ``ip:port`` of the clients' listener.
        readiness_address: ``ip:port`` of the readiness checks by load balancers.
        peer_address: ``ip:port`` of the UDP socket for other nodes.
        metrics_address: ``ip:port`` of the metrics listener; empty for none.
        peer_public_address: Address by which other nodes reach ``peer_address``; the same if empty.
        store: ``ip:port`` of the store.
        processor_share: Fraction of a core that the process may use.
        processor_cores: Speed factor of that core.
        memory_mb: Memory of the machine in megabytes, which bounds the bytes of requests and
            responses that the node holds; 0 when not given, then nothing bounds them.
        log_level: debug, info, warning or error.
        bounds: Guarantees of the deployment.
    """

    name: str
    zone: str
    address: str
    readiness_address: str
    peer_address: str
    store: str
    peer_public_address: str = ""
    metrics_address: str = ""
    processor_share: float = 1.0
    processor_cores: float = 1.0
    memory_mb: float = 0.0
    log_level: str = "info"
    bounds: ExchangeBounds = ExchangeBounds()
