"""The two deployments of the experiments: example configurations with their traffic."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from emulator.engine.config import EngineConfig
from hopstep.domain.configuration.document import BackEnd, BackEndKind, Configuration

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
"""Directory of the example configurations, whose routing weights the experiments use."""

NEXT_WEIGHTS = "next"
"""Weights version that the ``rolling_weights`` scenario rolls out."""


class TrafficShape(msgspec.Struct, frozen=True):
    """Traffic of one class.

    Attributes:
        request_class: Name of the class.
        model: Name of the requested model.
        share: Fraction of all requests.
        outer_tokens: Length of the outer prefix, shared by the tenant's requests; 0 for none.
        middle_tokens: Length of the middle prefix, which follows the outer one; 0 for none.
        inner_tokens: Length of an inner prefix that several requests share; 0 for none.
        requests_per_inner: Mean number of requests that share one inner prefix.
        inner_spread_seconds: Mean time between two requests of one inner prefix.
        tail_tokens: Mean length of the part that is unique to a request.
        output_tokens: Mean length of the response.
        target_seconds: Longest wait for a first token that counts as good.
    """

    request_class: str
    model: str
    share: float
    outer_tokens: int = 0
    middle_tokens: int = 0
    inner_tokens: int = 0
    requests_per_inner: float = 1.0
    inner_spread_seconds: float = 1.0
    tail_tokens: int = 100
    output_tokens: int = 60
    target_seconds: float = 2.0


class Deployment(msgspec.Struct, frozen=True):
    """Configuration, sizes and traffic of one deployment.

    Attributes:
        name: Name of the deployment and of its example directory.
        main_measure: Measure that matters most to its users.
        zone_latency_seconds: One-way latency between zones.
        client_latency_seconds: One-way latency between clients and routers.
        configuration: The operators' configuration.
        engine: Sizes and speeds of every engine.
        concurrent_fast_loads: Concurrent weight loads that don't slow each other down.
        kv_cache_store_blocks: Capacity of the KV cache store in blocks.
        outer_prefixes: Number of outer prefixes of a tenant.
        middle_prefixes: Number of middle prefixes per outer one.
        traffic: Classes of traffic.
        requests_per_second: Steady arrival rate.
        capacity_per_second: Highest arrival rate at which omniscient routing meets the targets.
    """

    name: str
    main_measure: str
    zone_latency_seconds: float
    client_latency_seconds: float
    configuration: Configuration
    engine: EngineConfig
    concurrent_fast_loads: int
    kv_cache_store_blocks: int
    outer_prefixes: int
    middle_prefixes: int
    traffic: tuple[TrafficShape, ...]
    requests_per_second: float
    capacity_per_second: float

    def back_ends(self, kind: BackEndKind) -> list[BackEnd]:
        """Return the back ends of one kind."""
        return [item for item in self.configuration.back_ends if item.kind is kind]

    def weights(self) -> dict[str, str]:
        """Return the initial weights version of each model."""
        return {model.name: model.weights_version for model in self.configuration.models}


def load_configuration(name: str) -> Configuration:
    """Return the example configuration of a deployment."""
    path = EXAMPLES / name / "configuration.toml"
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    return msgspec.convert(document, Configuration)


def catalogue() -> Deployment:
    """Return the library catalogue: long batches of records and short interactive questions."""
    return Deployment(
        name="catalogue",
        main_measure="hit_rate",
        zone_latency_seconds=0.0015,
        client_latency_seconds=0.003,
        configuration=load_configuration("catalogue"),
        engine=EngineConfig(block_count=6_144, weight_load_seconds=0.5),
        concurrent_fast_loads=3,
        kv_cache_store_blocks=100_000,
        outer_prefixes=2,
        middle_prefixes=8,
        traffic=(
            TrafficShape(
                "careful_batch",
                "catalogue-8b",
                share=0.5,
                outer_tokens=3_000,
                middle_tokens=1_000,
                inner_tokens=2_000,
                requests_per_inner=4.0,
                inner_spread_seconds=2.0,
                tail_tokens=150,
                output_tokens=120,
                target_seconds=20.0,
            ),
            TrafficShape(
                "desk_question",
                "catalogue-8b",
                share=0.3,
                outer_tokens=3_000,
                middle_tokens=1_000,
                tail_tokens=60,
                output_tokens=40,
            ),
            TrafficShape("reader_search", "portal-3b", share=0.17, middle_tokens=1_000),
            TrafficShape("loan_renewal", "portal-3b", share=0.03, middle_tokens=400),
        ),
        requests_per_second=36.0,
        capacity_per_second=70.0,
    )


def burdekin() -> Deployment:
    """Return the label printer: artwork checks, barcode lookups and unique job tickets."""
    return Deployment(
        name="burdekin",
        main_measure="ttft_p99/all",
        zone_latency_seconds=0.001,
        client_latency_seconds=0.001,
        configuration=load_configuration("burdekin"),
        engine=EngineConfig(block_count=6_144, weight_load_seconds=0.33),
        concurrent_fast_loads=2,
        kv_cache_store_blocks=100_000,
        outer_prefixes=3,
        middle_prefixes=3,
        traffic=(
            TrafficShape(
                "artwork_check",
                "proofing-8b",
                share=0.4,
                outer_tokens=5_000,
                middle_tokens=1_000,
                inner_tokens=1_500,
                requests_per_inner=3.0,
                inner_spread_seconds=2.0,
                tail_tokens=150,
                output_tokens=100,
                target_seconds=20.0,
            ),
            TrafficShape(
                "barcode_lookup",
                "proofing-8b",
                share=0.4,
                middle_tokens=600,
                tail_tokens=40,
                output_tokens=16,
                target_seconds=0.5,
            ),
            TrafficShape("job_ticket", "press-3b", share=0.15, tail_tokens=500, output_tokens=40),
            TrafficShape("plate_release", "press-3b", share=0.05, tail_tokens=80, output_tokens=16),
        ),
        requests_per_second=30.0,
        capacity_per_second=65.0,
    )


DEPLOYMENTS = {"catalogue": catalogue, "burdekin": burdekin}
"""Functions that return a deployment, by its name."""
