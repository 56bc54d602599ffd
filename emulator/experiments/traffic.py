"""Generates seeded traces with nested shared prefixes and shifting popularity."""

from __future__ import annotations

import base64
import random

import msgspec

from emulator.engine.answers import prompt_digest
from emulator.engine.attempts import PreparedPrompt
from emulator.experiments.deployments import NEXT_WEIGHTS, Deployment, TrafficShape
from hopstep.domain.blocks import block_keys, cache_salt, count_tokens
from hopstep.domain.configuration.document import BackEndKind, Model, Tenant
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.placement import router_may_serve

RANDOM_BYTES_PER_TOKEN = 3
"""Random bytes per token; their base64 text is one token."""

POPULARITY_RATIO = 0.6
"""Ratio of a prefix's popularity to that of the next more popular one."""

LENGTH_SPREAD = 0.5
"""Tail and response lengths are uniform within this fraction below and above their mean."""

NEVER = float("inf")


class TraceRequest(msgspec.Struct, frozen=True):
    """One request of a trace.

    Attributes:
        sent_at: Virtual time at which the client sends the request.
        router: Index of the router that receives the request.
        request: The request.
        prepared: Prompt in the form that engine models use.
        target_seconds: Longest wait for a first token that counts as good.
    """

    sent_at: float
    router: int
    request: InferenceRequest
    prepared: PreparedPrompt
    target_seconds: float


class TrafficPlan(msgspec.Struct, frozen=True):
    """Changes that a scenario makes to the traffic.

    Attributes:
        duration_seconds: Length of the trace in virtual time.
        rate_factor: Ratio of the arrival rate to the steady one.
        hot_shift_at: Time at which other prefixes become popular and new ones appear.
        new_weights_at: Time at which requests start to use the next weights version.
    """

    duration_seconds: float = 60.0
    rate_factor: float = 1.0
    hot_shift_at: float = NEVER
    new_weights_at: float = NEVER


class TrafficGenerator:
    """Generates a trace from a seed; the same seed gives the same trace."""

    def __init__(self, deployment: Deployment, plan: TrafficPlan, seed: int) -> None:
        """Prepare the generator.

        Args:
            deployment: Deployment whose traffic is generated.
            plan: Changes that the scenario makes.
            seed: Seed of all random draws.
        """
        self._deployment = deployment
        self._plan = plan
        self._rng = random.Random(seed)
        self._seed = seed
        self._segments: dict[str, str] = {}
        self._classes = {item.name: item for item in deployment.configuration.classes}
        self._models = {item.name: item for item in deployment.configuration.models}
        self._routers = deployment.back_ends(BackEndKind.ROUTER)
        groups = [shape.share / shape.requests_per_inner for shape in deployment.traffic]
        self._group_weights = groups
        self._groups_per_second = deployment.requests_per_second * plan.rate_factor * sum(groups)

    def trace(self) -> list[TraceRequest]:
        """Return the requests in order of time."""
        requests: list[TraceRequest] = []
        now = 0.0
        while now < self._plan.duration_seconds:
            now += self._rng.expovariate(self._groups_per_second)
            requests.extend(self._group(now))
        requests = [item for item in requests if item.sent_at < self._plan.duration_seconds]
        requests.sort(key=lambda item: item.sent_at)
        return requests

    def _group(self, start: float) -> list[TraceRequest]:
        """Return the requests of one group, which share one inner prefix."""
        shape = self._rng.choices(self._deployment.traffic, self._group_weights)[0]
        tenant = self._tenant(shape)
        shared_text = self._shared_text(shape, tenant, start)
        shared_text += self._text(self._rng, shape.inner_tokens)
        count = self._rng.randint(1, round(2 * shape.requests_per_inner) - 1)
        requests = []
        at = start
        for _ in range(count):
            requests.append(self._request(at, shape, tenant, shared_text))
            at += self._rng.expovariate(1.0 / shape.inner_spread_seconds)
        return requests

    def _tenant(self, shape: TrafficShape) -> Tenant:
        """Draw a tenant that may use the class, by the tenants' weights."""
        tenants = [
            tenant
            for tenant in self._deployment.configuration.tenants
            if shape.request_class in tenant.classes
        ]
        return self._rng.choices(tenants, [tenant.weight for tenant in tenants])[0]

    def _shared_text(self, shape: TrafficShape, tenant: Tenant, now: float) -> str:
        """Return the outer and middle prefixes of a request."""
        deployment = self._deployment
        shifted = now >= self._plan.hot_shift_at
        outer = self._popular_index(deployment.outer_prefixes, shifted)
        middle = self._popular_index(deployment.middle_prefixes, shifted)
        outer_name = f"{tenant.name}/{outer}" + ("/new" if shifted and outer == 0 else "")
        text = self._segment(f"{shape.model}/{outer_name}", shape.outer_tokens)
        middle_name = f"{shape.request_class}/{outer_name}/{middle}"
        return text + self._segment(middle_name, shape.middle_tokens)

    def _popular_index(self, count: int, shifted: bool) -> int:
        """Draw an index; the most popular one is 0, or the last one after a shift."""
        weights = [POPULARITY_RATIO**index for index in range(count)]
        index = self._rng.choices(range(count), weights)[0]
        return (count - 1 - index) if shifted else index

    def _request(
        self, at: float, shape: TrafficShape, tenant: Tenant, shared_text: str
    ) -> TraceRequest:
        """Return one request with a unique tail."""
        prompt = shared_text + self._text(self._rng, self._random_length(shape.tail_tokens))
        request = InferenceRequest(
            request_id=f"{self._rng.getrandbits(64):016x}",
            tenant=tenant,
            request_class=self._classes[shape.request_class],
            model=self._model(shape, at),
            prompt=prompt,
            max_tokens=self._random_length(shape.output_tokens),
        )
        routers = [
            index
            for index, router in enumerate(self._routers)
            if router_may_serve(tenant, router.labels)
        ]
        return TraceRequest(
            at, self._rng.choice(routers), request, _prepare(request), shape.target_seconds
        )

    def _model(self, shape: TrafficShape, at: float) -> Model:
        """Return the model that requests use at a time."""
        model = self._models[shape.model]
        if at < self._plan.new_weights_at or model != self._deployment.configuration.models[0]:
            return model
        return msgspec.structs.replace(model, weights_version=NEXT_WEIGHTS)

    def _random_length(self, mean: int) -> int:
        """Draw a length around ``mean``."""
        return self._rng.randint(
            round(mean * (1 - LENGTH_SPREAD)), round(mean * (1 + LENGTH_SPREAD))
        )

    def _segment(self, name: str, tokens: int) -> str:
        """Return the text of a named prefix, which is the same on every call."""
        if name not in self._segments:
            rng = random.Random(f"{self._seed}/{name}")
            self._segments[name] = self._text(rng, tokens)
        return self._segments[name]

    @staticmethod
    def _text(rng: random.Random, tokens: int) -> str:
        """Return random text of a number of tokens."""
        return base64.b64encode(rng.randbytes(tokens * RANDOM_BYTES_PER_TOKEN)).decode()


def _prepare(request: InferenceRequest) -> PreparedPrompt:
    """Return a request's prompt in the form that engine models use."""
    salt = cache_salt(request.tenant.name, request.model.weights_version)
    return PreparedPrompt(
        tuple(block_keys(request.prompt, salt)),
        count_tokens(request.prompt),
        prompt_digest(request.prompt),
    )
