"""Documents of operators and instances are converted to hopstep's types."""

import json
import unittest

import msgspec

from hopstep.domain.exchanges.instances import InstanceIncarnation
from hopstep.domain.exchanges.serving import RequestKind, RequestLimits, ServingIndex
from hopstep.domain.limits.quota_ledger import TenantQuota
from hopstep.platform.documents import read_configuration, read_instance, read_weights

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "hostname": "A.example",
            "pathPrefix": "/p/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 800,
            "priority": 1,
            "trafficSplit": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "maxAttempts": 2,
            "resumable": True,
            "newField": {"x": 1},
        },
        {"name": "q", "hostname": "a.example", "pathPrefix": "/p/q/", "service": "t"},
    ],
    "services": [
        {
            "name": "s",
            "connectionLimit": 360,
            "engine": {"slots": 64, "kvCapacityTokens": 9, "models": [{"name": "m"}]},
        },
        {"name": "k", "kvStoreAddress": "172.20.0.2:1", "zone": "z", "linkMbps": 5.0},
    ],
    "limits": {"maxBodyBytes": 99, "maxHeaderBytes": 20_000},
    "tenants": [{"name": "x", "apiKeys": ["a", "b"], "priority": 1, "isolated": True}],
}


class DocumentsTest(unittest.TestCase):
    def read(self, **changes):
        return read_configuration(json.dumps({**CONFIGURATION, **changes}).encode())

    def test_a_configuration_reads_as_own_types(self):
        configuration = self.read()
        route = configuration.routes[0]
        self.assertEqual((route.kind, route.host), (RequestKind.STREAM, "a.example"))
        self.assertEqual((route.timeout_seconds, route.objective_seconds), (6.0, 0.8))
        self.assertEqual([share.weight for share in route.shares], [90.0, 10.0])
        self.assertEqual(configuration.services[0].engine.models, ("m",))
        self.assertEqual(configuration.limits, RequestLimits(99, 20_000))
        index = ServingIndex(configuration)
        self.assertEqual([store.address for store in index.cache_stores()], ["172.20.0.2:1"])
        self.assertTrue(index.find_tenant("b").isolated)
        self.assertIsNone(index.find_tenant("c"))

    def test_the_longest_prefix_wins_and_the_host_counts_without_its_port(self):
        index = ServingIndex(self.read())
        self.assertEqual(index.find_route("A.example:80", "/p/x").name, "r")
        self.assertEqual(index.find_route("a.example", "/p/q/x").name, "q")
        self.assertIsNone(index.find_route("a.example", "/o/"))
        self.assertIsNone(index.find_route("b.example", "/p/x"))

    def test_an_unknown_kind_is_never_repeated(self):
        routes = [{**CONFIGURATION["routes"][1], "kind": "new"}]
        route = self.read(routes=routes).routes[0]
        self.assertIs(route.kind, RequestKind.AT_MOST_ONCE)
        self.assertFalse(route.idempotent)

    def test_clients_patience_with_a_stream_follows_from_its_objective_and_pauses(self):
        # Requests waited for engines until their deadlines, long after their clients had left.
        stream, plain = CONFIGURATION["routes"]
        cases = [(stream, 3.2), ({**stream, "targetGapMs": 500}, 4.0), (plain, 0.0)]
        cases.append(({**stream, "targetLatencyMs": 100}, 2.0))
        for document, seconds in cases:
            route = self.read(routes=[document]).routes[0]
            self.assertEqual(route.event_patience_seconds, seconds)

    def test_a_tenants_rate_reads_as_its_quota(self):
        limited = {"name": "x", "ratePerS": 286803, "burstSize": 5.5, "unit": "tokens"}
        tenants = [{**limited, "uncachedTokens": 200}, {"name": "y", "ratePerS": 7}, {"name": "z"}]
        quotas = [tenant.quota for tenant in self.read(tenants=tenants).tenants]
        self.assertEqual(quotas[0], TenantQuota(286_803.0, 5.5, in_tokens=True, plain_tokens=200))
        self.assertEqual(quotas[1], TenantQuota(7.0))
        self.assertIsNone(quotas[2])
        self.assertIsNone(self.read(tenants=[{"name": "x", "ratePerS": 0}]).tenants[0].quota)
        with self.assertRaisesRegex(msgspec.DecodeError, "tenants.*ratePerS"):
            self.read(tenants=[{"name": "x", "ratePerS": -1}])

    def test_bad_documents_name_the_field(self):
        for read, value, field in (
            (read_configuration, b'{"version":"x"}', "version"),
            (read_configuration, b'{"version":1,"routes":[{"name":1}]}', "routes"),
            (lambda document: read_instance("i", document), b'{"service":"s"}', "address"),
            (read_weights, b'{"model":"m"}', "version"),
            (read_weights, b"{", "truncated"),
        ):
            with self.subTest(value), self.assertRaisesRegex(msgspec.DecodeError, field):
                read(value)

    def test_an_instance_reads_as_own_type(self):
        entry = {
            "service": "s",
            "address": "10.0.0.1:1",
            "zone": "z",
            "slots": 4,
            "state": "draining",
            "models": [{"name": "m", "version": 3, "adapters": []}],
            "callSequence": 5,
            "version": "v1",
            "coldRemainingMs": 0,
            "born": 1_700_000_000_123,
        }
        instance = read_instance("i", json.dumps(entry).encode())
        self.assertTrue(instance.draining)
        self.assertEqual(instance.incarnation, InstanceIncarnation("i", 1_700_000_000_123))
        self.assertEqual((instance.versions, instance.order_sequence), ({"m": 3}, 5))
