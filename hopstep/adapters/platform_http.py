"""Common base of the HTTP clients of the platform's services."""

from __future__ import annotations

import httpx

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a connection and for an answer, in addition to the wait of a watch."""


class PlatformHttpClient:
    """Base of the clients of the platform's services.

    Args:
        address: ``ip:port`` of the platform, or its URL for TLS.
        client: HTTP client, owned by the caller.
        timeout_seconds: Longest wait for a connection and for an answer.
    """

    def __init__(
        self,
        address: str,
        client: httpx.AsyncClient,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._base_url = address if "://" in address else f"http://{address}"
        self._client = client
        self._timeout_seconds = timeout_seconds
