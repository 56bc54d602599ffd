"""The verb that asks routers for their status."""

from __future__ import annotations

from collections.abc import Sequence

import httpx
import msgspec
import trio

from hopstep.ctl.results import ExitCode, VerbResult
from hopstep.decoding import decode_json
from hopstep.domain.configuration.document import BackEndKind, Configuration

STATUS_PATH = "/operator/status"
TIMEOUT_SECONDS = 3.0


class RouterStatus(msgspec.Struct, frozen=True):
    """Status of one router; fields that its response lacks keep their defaults.

    Attributes:
        address: Address that was asked.
        reachable: Whether it responded.
        name: Its name.
        zone: Its zone.
        revision: Configuration revision in force.
        confirmed_seconds: Age of the proof that this revision was the latest; -1 for none.
        ready: Whether it takes requests.
        stopping: Whether it drains.
        active_requests: Active requests.
        members: Live members in its view.
        displaced: Accepted changes that were permanently lost in a restore of the store.
        error: Reason why it wasn't reachable.
    """

    address: str = ""
    reachable: bool = False
    name: str = ""
    zone: str = ""
    revision: int = 0
    confirmed_seconds: float = -1.0
    ready: bool = False
    stopping: bool = False
    active_requests: int = 0
    members: int = 0
    displaced: tuple[str, ...] = ()
    error: str = ""

    def __str__(self) -> str:
        """Return the status as one line."""
        if not self.reachable:
            return f"{self.address}  unreachable: {self.error}"
        state = "stopping" if self.stopping else "ready" if self.ready else "not ready"
        line = (
            f"{self.address}  {self.name}  zone {self.zone}  {state}  revision {self.revision}  "
            f"{self.active_requests} active  {self.members} members"
        )
        return "\n".join((line, *(f"  lost by a restore: {text}" for text in self.displaced)))


class StatusDocument(msgspec.Struct, frozen=True):
    """Result of ``status``."""

    routers: tuple[RouterStatus, ...]


def listed_routers(configuration: Configuration) -> tuple[str, ...]:
    """Return the addresses of the routers in a configuration."""
    return tuple(
        item.address for item in configuration.back_ends if item.kind is BackEndKind.ROUTER
    )


async def show_status(
    client: httpx.AsyncClient, addresses: Sequence[str], scheme: str = "http"
) -> VerbResult:
    """Ask each router; the exit code is ``UNAVAILABLE`` when one doesn't respond."""
    statuses: dict[str, RouterStatus] = {}

    async def ask_one(address: str) -> None:
        statuses[address] = await _ask(client, address, scheme)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask_one, address)
    routers = tuple(statuses[address] for address in addresses)
    text = "\n".join(str(status) for status in routers) or "no routers are listed"
    all_reachable = all(status.reachable for status in routers)
    exit_code = ExitCode.OK if all_reachable else ExitCode.UNAVAILABLE
    return VerbResult(text, StatusDocument(routers), exit_code)


async def _ask(client: httpx.AsyncClient, address: str, scheme: str) -> RouterStatus:
    """Return the status of one router."""
    try:
        url = f"{scheme}://{address}{STATUS_PATH}"
        response = await client.get(url, timeout=TIMEOUT_SECONDS)
        response.raise_for_status()
        status = decode_json(response.content, RouterStatus)
    except (httpx.HTTPError, httpx.InvalidURL, msgspec.DecodeError) as error:
        return RouterStatus(address=address, error=type(error).__name__)
    return msgspec.structs.replace(status, address=address, reachable=True)
