"""Configuration of one emulated engine."""

from __future__ import annotations

import msgspec


class EngineConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes and speeds of one engine.

    Attributes:
        block_count: Cache blocks in memory, shared by running requests and cached prefixes.
        max_batch_size: Largest number of concurrently running requests.
        max_waiting_requests: Largest queue length; further requests are refused.
        prefill_chunk_tokens: Largest number of prompt tokens computed in one step.
        prefill_tokens_per_second: Speed of prefill.
        decode_base_seconds: Fixed time of a decode step.
        decode_seconds_per_request: Time that each decoding request adds to a step.
        import_tokens_per_second: Speed of reading blocks from a KV cache store; 0 never reads.
        weight_load_seconds: Time to load one set of weights while no other load runs.
        event_delay_seconds: Time from a cache event to its publication.
        event_loss_ratio: Share of cache events that are never published.
        report_lag_seconds: Age of the load that is reported.
        retained_attempts: Number of ended attempts that can still be resumed.
        retained_nonces: Number of nonces remembered to prevent a second start; the oldest are
            dropped first.
        retained_events: Number of published cache events that can still be read.
        retained_runs: Number of run records kept for test oracles.
        stream_interval_tokens: Tokens between two frames of a stream; the first token and the
            end are always sent at once.
        heartbeat_seconds: Time between keep-alive lines while a stream has no tokens.
        retry_after_seconds: Time after which a refused caller should retry.
    """

    block_count: int = 8_192
    max_batch_size: int = 32
    max_waiting_requests: int = 64
    prefill_chunk_tokens: int = 1_024
    prefill_tokens_per_second: float = 8_000.0
    decode_base_seconds: float = 0.015
    decode_seconds_per_request: float = 0.000_5
    import_tokens_per_second: float = 60_000.0
    weight_load_seconds: float = 0.5
    event_delay_seconds: float = 0.2
    event_loss_ratio: float = 0.0
    report_lag_seconds: float = 0.5
    retained_attempts: int = 256
    retained_nonces: int = 65_536
    retained_events: int = 4_096
    retained_runs: int = 100_000
    stream_interval_tokens: int = 1
    heartbeat_seconds: float = 1.0
    retry_after_seconds: float = 1.0

    def decode_step_seconds(self, batch_size: int) -> float:
        """Return the time of one decode step of ``batch_size`` requests; 0 for none."""
        if batch_size == 0:
            return 0.0
        return self.decode_base_seconds + self.decode_seconds_per_request * batch_size
