"""Starts, watches and stops processes, each by its process id."""

from __future__ import annotations

import os
import signal
import subprocess  # noqa: S404 - only this project's own commands are started
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType

import trio

START_TIMEOUT_SECONDS = 30.0
END_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.05
OUTPUT_CHARACTERS = 2_000


async def accepts_connections(address: str) -> bool:
    """Return whether a TCP connection to an address is accepted."""
    host, _, port = address.rpartition(":")
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True


class ProcessGroup:
    """A group of processes; a context manager that stops all of them on exit."""

    def __init__(self, directory: Path) -> None:
        """Create an empty group.

        Args:
            directory: Directory of the processes' output files, one per process.
        """
        self._directory = directory
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> ProcessGroup:
        """Return the group."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop every process."""
        self.end_all()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> subprocess.Popen[bytes]:
        """Run ``python -m module`` with arguments as a new process.

        Args:
            name: Name of the process and of its output file.
            module: Module to run.
            arguments: Command-line arguments.
        """
        return self._start(name, ["-m", module, *arguments], None)

    def start_script(
        self, name: str, script: Path, arguments: Sequence[str], source: Path
    ) -> subprocess.Popen[bytes]:
        """Start a script that imports the packages of another checkout.

        Args:
            name: Name of the process and of its output file.
            script: File to run.
            arguments: Command-line arguments.
            source: Root of the checkout.
        """
        # With -P, the script's own directory isn't on the module path.
        environment = {**os.environ, "PYTHONPATH": str(source)}
        return self._start(name, ["-P", str(script), *arguments], environment)

    def _start(
        self, name: str, arguments: Sequence[str], environment: Mapping[str, str] | None
    ) -> subprocess.Popen[bytes]:
        """Start a Python interpreter; None as ``environment`` inherits this process's."""
        with (self._directory / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(  # noqa: S603 - fixed program, no shell
                [sys.executable, *arguments], stdout=output, stderr=output, env=environment
            )
        self._processes[name] = process
        return process

    async def wait_listening(self, name: str, address: str) -> None:
        """Wait until a process accepts connections.

        Raises:
            RuntimeError: When it exited or didn't listen in time, with the end of its output.
        """
        with trio.move_on_after(START_TIMEOUT_SECONDS):
            while self._processes[name].poll() is None:
                if await accepts_connections(address):
                    return
                await trio.sleep(POLL_SECONDS)
        output = self.log_path(name).read_text(errors="replace")[-OUTPUT_CHARACTERS:]
        raise RuntimeError(f"{name} doesn't listen on {address}: {output}")

    def log_path(self, name: str) -> Path:
        """Return the output file of a process."""
        return self._directory / f"{name}.log"

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a started process."""
        return self._processes[name]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        os.kill(self._processes[name].pid, number)

    def end_all(self) -> None:
        """Terminate every process; kill those still running after ``END_TIMEOUT_SECONDS``."""
        running = [each for each in self._processes.values() if each.poll() is None]
        for each in running:
            each.send_signal(signal.SIGCONT)
            each.terminate()
        deadline = time.monotonic() + END_TIMEOUT_SECONDS
        for each in running:
            try:
                each.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                each.kill()
                each.wait()
