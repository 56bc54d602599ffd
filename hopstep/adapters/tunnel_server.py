"""Accepts tunnels of other nodes and connects them with instances.

A tunnel's ends follow each other: once the other node closes its end, the connection to the
instance is closed; after a reset of the instance the tunnel ends without its end mark.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping

import trio

from hopstep.adapters.tunnel_codec import (
    CHALLENGE_BYTES,
    CHUNK_BYTES,
    CHUNK_HEADER,
    END,
    STOP,
    OpenRequest,
    TunnelFrameError,
    encode_refusal,
    encode_status,
)
from hopstep.adapters.tunnel_streams import BROKEN, FrameReader
from hopstep.domain.addresses import parse_address
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.log_events.instances import (
    TUNNEL_BROKEN,
    TUNNEL_OPENED,
    TUNNEL_REJECTED,
    TUNNEL_REQUEST_REFUSED,
    TUNNELS_UNAVAILABLE,
)
from hopstep.logs import emit
from hopstep.ports.tunnels import TunnelGate
from hopstep.services.lifecycle import Lifecycle

CONNECT_SECONDS = 0.4
"""Longest time to connect to an instance, the same as for direct connections."""

HANDSHAKE_SECONDS = 1.0
"""Longest time until another node has asked for its tunnel."""

MAX_TUNNELS = 512
"""Open tunnels; each needs two descriptors and the buffers of two connections."""

WRITE_END_SECONDS = 0.05
"""Longest wait for the end of a write to an instance that has ended its connection."""

QUIET_SECONDS = 2.0
"""Time without a byte after which a response through a tunnel of a stopping node has ended; it is
the longest pause for which clients wait between two events."""

QUIET_CHECK_SECONDS = 0.1
MILLISECONDS = 1_000

NODE_END, REQUEST_DIRECTION, RESPONSE_DIRECTION = "node", "request", "response"
"""Logged place at which a tunnel broke: the other node's connection, or the bytes of a request or
response that were passed on."""


class TunnelServer:
    """Serves the tunnels of other nodes through this one."""

    def __init__(
        self,
        name: str,
        key: bytes,
        nodes: Callable[[], Mapping[str, NodeRecord]],
        gate: TunnelGate,
        lifecycle: Lifecycle,
    ) -> None:
        """Create the server; ``run`` starts it.

        Args:
            name: Name of this node.
            key: Key that signs its messages.
            nodes: Returns the registered nodes with their keys.
            gate: Decides which tunnels are opened.
            lifecycle: Counts tunnels in use as active while the node stops.
        """
        self._name = name
        self._key = key
        self._nodes = nodes
        self._gate = gate
        self._lifecycle = lifecycle
        self._open = 0

    @property
    def open_tunnels(self) -> int:
        """Number of open tunnels, and of those that are being opened."""
        return self._open

    async def run(self, address: str) -> None:
        """Serve until cancelled. Without the port other nodes choose other gateways.

        Args:
            address: ``ip:port`` to listen at.
        """
        parsed = parse_address(address)
        try:
            listeners = await trio.open_tcp_listeners(parsed.port, host=parsed.host)
        except OSError as error:
            emit(TUNNELS_UNAVAILABLE, address=address, reason=str(error))
            return
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        """Serve one connection of another node."""
        if self._open >= MAX_TUNNELS:
            await trio.aclose_forcefully(client)
            return
        self._open += 1
        try:
            await self._serve_tunnel(client)
        except TunnelFrameError as error:
            emit(TUNNEL_REJECTED, reason=str(error))
        except BROKEN as error:
            # The other node is gone, or no longer wants the tunnel.
            _log_broken("", NODE_END, error)
            await trio.lowlevel.checkpoint()
        finally:
            self._open -= 1
            await trio.aclose_forcefully(client)

    async def _serve_tunnel(self, client: trio.SocketStream) -> None:
        """Open the tunnel that the other node asks for, and pass on bytes until it ends."""
        accepted_at = trio.current_time()
        challenge = secrets.token_bytes(CHALLENGE_BYTES)
        reader = FrameReader(client)
        with trio.move_on_after(HANDSHAKE_SECONDS) as handshake:
            await client.send_all(challenge)
            request = self._authenticate(await reader.read_frame(), challenge)
        if handshake.cancelled_caught:
            emit(TUNNEL_REJECTED, reason="no request in time")
            return
        failure = self._gate.check(request.sender, request.target)
        instance: trio.SocketStream | None = None
        if failure is None:
            instance, failure = await self._connect(request.target)
        _log_opened(request, failure, accepted_at)
        await client.send_all(encode_status(failure, self._key, challenge))
        if instance is not None:
            tunnel = _Tunnel(client, reader, instance, request.target, self._gate, self._lifecycle)
            await tunnel.run()

    def _authenticate(self, frame: bytes, challenge: bytes) -> OpenRequest:
        """Return a request that a registered node has signed for this node.

        Raises:
            TunnelFrameError: For any other frame.
        """
        request = OpenRequest(frame)
        record = self._nodes().get(request.sender)
        if record is None or request.gateway != self._name:
            raise TunnelFrameError("not signed by a registered node for this one")
        request.verify(record.key, challenge)
        return request

    async def _connect(
        self, target: TunnelTarget
    ) -> tuple[trio.SocketStream | None, TunnelFailure | None]:
        """Connect to an instance; return the connection, or why there is none."""
        host, _, port = target.address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_SECONDS):
                return await trio.open_tcp_stream(host, int(port)), None
        except trio.TooSlowError:
            return None, await self._gate.diagnose(target, refused=False)
        except OSError:
            return None, await self._gate.diagnose(target, refused=True)


class _Tunnel:
    """Passes on bytes between another node and an instance."""

    def __init__(
        self,
        client: trio.SocketStream,
        reader: FrameReader,
        instance: trio.SocketStream,
        target: TunnelTarget,
        gate: TunnelGate,
        lifecycle: Lifecycle,
    ) -> None:
        self._client = client
        self._reader = reader
        self._instance = instance
        self._instance_id = target.instance_id
        self._target = target
        self._gate = gate
        self._lifecycle = lifecycle
        self._sending = trio.Lock()
        self._moved_at = trio.current_time()
        self._awaits_response = False
        self._writing = trio.Lock()
        self._is_request_cut = False

    async def run(self) -> None:
        """Pass on bytes until either end closes."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._announce_stop, nursery.cancel_scope)
                nursery.start_soon(self._pass_requests, nursery.cancel_scope)
                await self._pass_responses(nursery.cancel_scope)
        finally:
            await trio.aclose_forcefully(self._instance)

    async def _pass_requests(self, scope: trio.CancelScope) -> None:
        """Pass on bytes to the instance until the other node closes the tunnel.

        Bytes that come while no response is awaited begin a request.
        """
        try:
            while data := await self._reader.read_some(CHUNK_BYTES):
                if not self._awaits_response and await self._refuses():
                    break
                self._awaits_response = True
                self._moved_at = trio.current_time()
                await self._write(data)
        except BROKEN as error:
            # The end that broke is closed; a reset of the instance is passed on as one.
            _log_broken(self._instance_id, REQUEST_DIRECTION, error)
            await trio.lowlevel.checkpoint()
        scope.cancel()

    async def _write(self, data: bytes) -> None:
        """Write a part of a request to the instance."""
        async with self._writing:
            try:
                await self._instance.send_all(data)
            except BROKEN:
                self._is_request_cut = True
                raise

    async def _was_request_cut(self) -> bool:
        """Return whether the connection broke while a request was written.

        The write reports that a little later than the end is read.
        """
        with trio.move_on_after(WRITE_END_SECONDS):
            async with self._writing:
                pass
        return self._is_request_cut

    async def _refuses(self) -> bool:
        """Refuse a request that may not be passed on; return whether it was refused."""
        failure = self._gate.check_request(self._target)
        if failure is None:
            return False
        emit(TUNNEL_REQUEST_REFUSED, instance=self._instance_id, reason=failure.value)
        await self._send(encode_refusal(failure))
        async with self._sending:
            await self._client.send_eof()
        await self._wait_closed()
        return True

    async def _pass_responses(self, scope: trio.CancelScope) -> None:
        """Pass on bytes of the instance until it closes its connection; mark an orderly end.

        After a reset that a write has reported, the end that is read looks like an orderly one.
        """
        try:
            while data := await self._instance.receive_some(CHUNK_BYTES):
                self._awaits_response = False
                self._moved_at = trio.current_time()
                await self._send(CHUNK_HEADER.pack(len(data)) + bytes(data))
            if not await self._was_request_cut():
                await self._send(CHUNK_HEADER.pack(END))
                async with self._sending:
                    await self._client.send_eof()
                await self._wait_closed()
        except BROKEN as error:
            _log_broken(self._instance_id, RESPONSE_DIRECTION, error)
            await trio.lowlevel.checkpoint()
        scope.cancel()

    async def _wait_closed(self) -> None:
        """Leave the other node time to read the end before its connection is closed."""
        await trio.sleep(QUIET_SECONDS)

    async def _send(self, data: bytes) -> None:
        """Send bytes to the other node."""
        async with self._sending:
            await self._client.send_all(data)

    async def _announce_stop(self, scope: trio.CancelScope) -> None:
        """Once the node stops, announce that, and end the tunnel when its response has ended."""
        await self._lifecycle.wait_stopping()
        self._moved_at = trio.current_time()
        with self._lifecycle.active():
            try:
                await self._send(CHUNK_HEADER.pack(STOP))
            except BROKEN as error:
                _log_broken(self._instance_id, NODE_END, error)
                scope.cancel()
            await self._wait_quiet()
        scope.cancel()

    async def _wait_quiet(self) -> None:
        """Wait until no response is awaited and no byte has moved for ``QUIET_SECONDS``."""
        while True:
            quiet_at = self._moved_at + QUIET_SECONDS
            if not self._awaits_response and trio.current_time() >= quiet_at:
                return
            await trio.sleep(max(QUIET_CHECK_SECONDS, quiet_at - trio.current_time()))


def _log_opened(request: OpenRequest, failure: TunnelFailure | None, accepted_at: float) -> None:
    """Log that another node asked for a tunnel, and how that ended."""
    emit(
        TUNNEL_OPENED,
        node=request.sender,
        instance=request.target.instance_id,
        failure=failure.value if failure is not None else "",
        waited_ms=round((trio.current_time() - accepted_at) * MILLISECONDS),
    )


def _log_broken(instance_id: str, end: str, error: Exception) -> None:
    """Log that a tunnel broke."""
    emit(TUNNEL_BROKEN, instance=instance_id, end=end, reason=type(error).__name__)
