"""Runs one deployment as real processes: platform, engines, KV cache store and routers."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import httpx
import msgspec
import trio

from emulator.fleet.ports import free_addresses
from emulator.fleet.processes import ProcessGroup
from hopstep.adapters.tls import client_context
from hopstep.ctl.documents import read_configuration, write_configuration
from hopstep.ctl.status import STATUS_PATH
from hopstep.domain.configuration.document import BackEnd, BackEndKind, Configuration
from hopstep.settings import TlsSettings

EXAMPLES = Path(__file__).parents[2] / "examples"
EMULATOR_MODULE = "emulator.cli.main"
ROUTER_MODULE = "hopstep.cli.router"
CTL_MODULE = "hopstep.cli.ctl"
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1


class FleetOptions(msgspec.Struct, frozen=True):
    """Options of a fleet's processes.

    Attributes:
        weight_load_seconds: Time of one weight load at an engine.
        concurrent_weight_loads: Concurrent loads beyond which each takes longer.
        engine_arguments: Additional arguments of every engine.
        router_arguments: Additional arguments of every router.
        tls: TLS files of every router and, if ``trusted`` is set, of every engine.
    """

    weight_load_seconds: float = 0.5
    concurrent_weight_loads: int = 3
    engine_arguments: tuple[str, ...] = ()
    router_arguments: tuple[str, ...] = ()
    tls: TlsSettings = TlsSettings()


DEFAULT_OPTIONS = FleetOptions()


class Fleet:
    """The processes of one deployment."""

    def __init__(
        self,
        name: str,
        configuration: Configuration,
        group: ProcessGroup,
        directory: Path,
        options: FleetOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Assign a free address to every back end, without starting any process.

        Args:
            name: Name of the deployment.
            configuration: Configuration of the deployment; its addresses are replaced.
            group: Process group that starts and stops the processes.
            directory: Directory for the files that the processes read.
            options: Options of the processes.
        """
        self.name = name
        self.revision = 0
        self._group = group
        self._directory = directory
        self._options = options
        addresses = free_addresses(len(configuration.back_ends) + 2)
        self.store, self._weight_store = addresses[-2:]
        self.configuration = msgspec.structs.replace(
            configuration,
            back_ends=tuple(
                msgspec.structs.replace(back_end, address=address)
                for back_end, address in zip(configuration.back_ends, addresses, strict=False)
            ),
        )
        routers = [each.name for each in self.back_ends(BackEndKind.ROUTER)]
        peer_addresses = free_addresses(len(routers))
        self._peer_addresses = dict(zip(routers, peer_addresses, strict=True))

    def back_ends(self, kind: BackEndKind) -> list[BackEnd]:
        """Return the back ends of a kind."""
        return [each for each in self.configuration.back_ends if each.kind is kind]

    def back_end(self, name: str) -> BackEnd:
        """Return a back end by name."""
        return next(each for each in self.configuration.back_ends if each.name == name)

    def process_name(self, back_end: str) -> str:
        """Return the name of a back end's process."""
        return f"{self.name}-{back_end}"

    async def start(self) -> None:
        """Start every process and wait until all listen."""
        self._start_platform()
        for back_end in self.configuration.back_ends:
            self.start_back_end(back_end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._group.wait_listening, f"{self.name}-store", self.store)
            for back_end in self.configuration.back_ends:
                name = self.process_name(back_end.name)
                nursery.start_soon(self._group.wait_listening, name, back_end.address)

    def start_back_end(self, back_end: BackEnd) -> None:
        """Start the process of one back end."""
        starters = {
            BackEndKind.ENGINE: self._start_engine,
            BackEndKind.KV_CACHE_STORE: self._start_kv_cache_store,
            BackEndKind.ROUTER: self._start_router,
        }
        starters[back_end.kind](back_end)

    async def apply(self, configuration: Configuration, note: str) -> int:
        """Apply a configuration with ``hopstep-ctl`` and return its revision.

        Raises:
            RuntimeError: When the command fails.
        """
        path = self._directory / f"{self.name}-configuration.json"
        path.write_text(write_configuration(configuration), encoding="utf-8")
        output = await self.run_ctl(f"--note={note}", "--format=json", "apply", str(path))
        self.configuration = configuration
        self.revision = int(msgspec.json.decode(output)["revision"])
        return self.revision

    async def wait_ready(self) -> None:
        """Wait until every router is ready."""
        async with self._router_client() as client:
            for router in self.back_ends(BackEndKind.ROUTER):
                await _wait_ready(client, self.router_url(router.address))

    async def wait_revision(self) -> None:
        """Wait until the last applied revision is in force at every router."""
        async with self._router_client() as client:
            for router in self.back_ends(BackEndKind.ROUTER):
                await _wait_revision(client, self.router_url(router.address), self.revision)

    def router_url(self, address: str) -> str:
        """Return the base URL of a router."""
        return f"https://{address}" if self._options.tls.certificate else f"http://{address}"

    def _router_client(self) -> httpx.AsyncClient:
        """Return an HTTP client that trusts the fleet's certificates."""
        trusted = self._options.tls.trusted
        verify = client_context(trusted) if trusted else True
        return httpx.AsyncClient(trust_env=False, verify=verify)

    def signal(self, back_end: str, number: signal.Signals) -> None:
        """Send a signal to the process of a back end."""
        self._group.signal(self.process_name(back_end), number)

    async def run_ctl(self, *arguments: str) -> str:
        """Run ``hopstep-ctl`` and return its output.

        Raises:
            RuntimeError: When its exit code isn't 0.
        """
        completed = await trio.run_process(
            [sys.executable, "-m", CTL_MODULE, f"--store={self.store}", *arguments],
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        output = completed.stdout.decode().strip()
        if completed.returncode:
            output += completed.stderr.decode()
            raise RuntimeError(f"hopstep-ctl exited with {completed.returncode}: {output}")
        return output

    def _start_emulator(self, process_name: str, role: str, *arguments: str) -> None:
        """Start a process of one of the emulator's roles."""
        self._group.start(process_name, EMULATOR_MODULE, [role, *arguments])

    def _start_platform(self) -> None:
        """Start the key-value service with the machine list, and the weight store."""
        machines = ",".join(each.address for each in self.configuration.back_ends)
        self._start_emulator(
            f"{self.name}-store",
            "platform",
            f"--address={self.store}",
            f"--machines={machines}",
        )
        self._start_emulator(
            f"{self.name}-weight-store",
            "platform",
            "--service=weight_store",
            f"--address={self._weight_store}",
            f"--load_seconds={self._options.weight_load_seconds}",
            f"--concurrent_loads={self._options.concurrent_weight_loads}",
        )

    def _start_engine(self, back_end: BackEnd) -> None:
        """Start an engine with the configured weights loaded."""
        versions = {model.name: model.weights_version for model in self.configuration.models}
        weights = ",".join(f"{model}={versions[model]}" for model in back_end.models)
        tls = self._options.tls
        files = (f"--certificate={tls.certificate}", f"--private_key={tls.private_key}")
        self._start_emulator(
            self.process_name(back_end.name),
            "engine",
            f"--address={back_end.address}",
            f"--weights={weights}",
            f"--weight_store={self._weight_store}",
            *(files if tls.trusted else ()),
            *self._options.engine_arguments,
        )

    def _start_kv_cache_store(self, back_end: BackEnd) -> None:
        """Start one KV cache store."""
        self._start_emulator(
            self.process_name(back_end.name),
            "platform",
            "--service=kv_cache_store",
            f"--address={back_end.address}",
        )

    def _start_router(self, back_end: BackEnd) -> None:
        """Write a router's settings file and start the router."""
        path = self._directory / f"{self.process_name(back_end.name)}.toml"
        path.write_text(self._router_settings(back_end), encoding="utf-8")
        self._group.start(
            self.process_name(back_end.name),
            ROUTER_MODULE,
            [f"--settings={path}", *self._options.router_arguments],
        )

    def _router_settings(self, back_end: BackEnd) -> str:
        """Return the content of a router's settings file."""
        own = self._peer_addresses[back_end.name]
        seeds = [address for address in self._peer_addresses.values() if address != own]
        labels = "\n".join(f'{key} = "{value}"' for key, value in back_end.labels.items())
        return (
            f'name = "{back_end.name}"\n'
            f'address = "{back_end.address}"\n'
            f'zone = "{back_end.labels.get("zone", "local")}"\n'
            f'store = "{self.store}"\n'
            f'machine_list = "{self.store}"\n'
            f"[labels]\n{labels}\n"
            f"[peers]\n"
            f'cluster = "{self.name}"\n'
            f'address = "{own}"\n'
            f"seeds = {msgspec.json.encode(seeds).decode()}\n"
            f"[tls]\n"
            f'certificate = "{self._options.tls.certificate}"\n'
            f'private_key = "{self._options.tls.private_key}"\n'
            f'trusted = "{self._options.tls.trusted}"\n'
        )


def load_example(name: str) -> Configuration:
    """Return the configuration of an example deployment."""
    return read_configuration(EXAMPLES / name / "configuration.toml")


async def _wait_revision(client: httpx.AsyncClient, url: str, revision: int) -> None:
    """Wait until a revision, or a later one, is in force at a router."""
    while True:
        response = await client.get(f"{url}{STATUS_PATH}")
        if msgspec.json.decode(response.content)["revision"] >= revision:
            return
        await trio.sleep(POLL_SECONDS)


async def _wait_ready(client: httpx.AsyncClient, url: str) -> None:
    """Wait until one router is ready.

    Raises:
        RuntimeError: When it isn't ready within ``READY_TIMEOUT_SECONDS``.
    """
    with trio.move_on_after(READY_TIMEOUT_SECONDS):
        while True:
            response = await client.get(f"{url}/readyz")
            if response.is_success:
                return
            await trio.sleep(POLL_SECONDS)
    raise RuntimeError(f"timed out waiting for the router at {url} to become ready")
