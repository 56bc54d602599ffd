"""Settings of one router process: addresses, zone, labels, keys.

Settings identify this process and the services that it connects to; the rules for requests are in
the operators' configuration (``hopstep.domain.configuration.document``).
"""

from __future__ import annotations

import msgspec

from hopstep.domain.labels import Labels


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files; read again when they change, without a restart.

    Attributes:
        certificate: PEM file of the certificate chain; empty for plain HTTP.
        private_key: PEM file of its key, without a passphrase.
        trusted: PEM file of authorities trusted for outgoing connections. When empty, engines
            are reached over plain HTTP, and routers with a certificate verify each other's by
            the machine's own authorities.
        engines: Whether engines are reached over TLS when ``trusted`` is set.
    """

    certificate: str = ""
    private_key: str = ""
    trusted: str = ""
    engines: bool = True


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Membership between routers.

    Attributes:
        cluster: Name of the cluster; messages of other clusters are rejected.
        address: ``ip:port`` of the UDP socket.
        seeds: UDP addresses to join by.
        key_file: File of cluster keys, one ``id:hex`` per line; the first one signs, all verify;
            read again when it changes.
        heartbeat_seconds: Time between heartbeats.
        suspicion_seconds: Time from suspicion to declaring a member dead.
        bytes_per_second: Limit of bytes sent to peers.
    """

    cluster: str = "hopstep"
    address: str = "127.0.0.1:0"
    seeds: tuple[str, ...] = ()
    key_file: str = ""
    heartbeat_seconds: float = 1.0
    suspicion_seconds: float = 4.0
    bytes_per_second: int = 3_000


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one router.

    Attributes:
        name: Unique name of the node.
        address: ``ip:port`` of the callers' HTTP listener.
        zone: Zone of the machine; also the label ``zone`` unless ``labels`` sets it.
        labels: Labels of this router that tenants' selectors match.
        store: ``ip:port`` of the platform's key-value service.
        machine_list: ``ip:port`` of the platform's machine list; empty for none.
        peers: Membership settings.
        tls: Certificate files.
        log_level: debug, info, warning or error.
        max_body_bytes: Longest request body.
        drain_seconds: Longest wait for streams on a planned stop.
        engines_timeout_seconds: Time without a byte after which an engine counts as unresponsive.
        engine_event_bytes_per_second: Limit for reading engines' cache events; 0 reads none.
        isolation_seconds: Time without store and majority after which placement-bound
            requests are refused; 0 never refuses.
    """

    name: str
    address: str
    zone: str
    labels: Labels = {}
    store: str = "127.0.0.1:0"
    machine_list: str = ""
    peers: PeerSettings = PeerSettings()
    tls: TlsSettings = TlsSettings()
    log_level: str = "info"
    max_body_bytes: int = 4 * 1024 * 1024
    drain_seconds: float = 600.0
    engines_timeout_seconds: float = 10.0
    engine_event_bytes_per_second: int = 65_536
    isolation_seconds: float = 10.0

    def all_labels(self) -> Labels:
        """Return the labels, including the zone."""
        return {"zone": self.zone, **self.labels}
