"""The platform's key-value service and machine list over HTTP, on one address."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import hypercorn
import hypercorn.trio
import msgspec
import quart
import quart_trio
import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.machine_list import MachineListModel
from emulator.platform.shared_store import SharedStore
from hopstep.adapters.http_api.call_ids import repeat_call_id
from hopstep.adapters.key_value_store_wire import (
    ERA_HEADER,
    MACHINES_PATH,
    STORE_PATH,
    StoreFailure,
    StoreOperation,
)
from hopstep.domain.store_position import UNSPECIFIED_ERA
from hopstep.exceptions import ErrorCode, StoreError, StoreOutcomeUnknownError
from hopstep.ports.machine_list import Machine

ADMIN_FAULTS_PATH = "/admin/faults"
ADMIN_MACHINES_PATH = "/admin/machines"
JSON_TYPE = "application/json"

BAD_REQUEST = 400
STATUS_OF_CODE = {
    ErrorCode.STORE_CONFLICT: 409,
    ErrorCode.STORE_RATE_LIMITED: 429,
    ErrorCode.STORE_UNAVAILABLE: 503,
}


def create_platform_app(
    shared: SharedStore, machine_list: MachineListModel
) -> quart_trio.QuartTrio:
    """Return the HTTP application.

    Args:
        shared: Key-value service.
        machine_list: Machine list.
    """
    app = quart_trio.QuartTrio(__name__)
    app.after_request(repeat_call_id)

    @app.post(STORE_PATH)
    async def store() -> quart.Response:
        """Execute one store operation."""
        operation = msgspec.json.decode(await quart.request.get_data(), type=StoreOperation)
        try:
            effect = await shared.execute_in_era(operation)
            return _with_era(_json(effect.result), effect.era)
        except StoreOutcomeUnknownError:
            return _lost_answer()

    @app.get(MACHINES_PATH)
    async def machines() -> quart.Response:
        """Return the machine list."""
        return _json(machine_list.visible(trio.current_time()))

    @app.put(ADMIN_MACHINES_PATH)
    async def replace_machines() -> quart.Response:
        """Replace the machine list."""
        content = await quart.request.get_data()
        edition = msgspec.json.decode(content, type=tuple[Machine, ...])
        machine_list.replace(edition, trio.current_time())
        return _json(None)

    @app.post(ADMIN_FAULTS_PATH)
    async def faults() -> quart.Response:
        """Activate faults."""
        order = msgspec.json.decode(await quart.request.get_data(), type=FaultOrder)
        shared.order_faults(order)
        machine_list.order_faults(order)
        return _json(None)

    @app.errorhandler(StoreError)
    async def store_error(error: StoreError) -> quart.Response:
        """Return the response for an error of the store or the machine list."""
        failure = StoreFailure(error.code, error.message)
        return _with_era(_json(failure, STATUS_OF_CODE[error.code]), shared.model.era)

    @app.errorhandler(msgspec.DecodeError)
    async def bad_request(error: msgspec.DecodeError) -> quart.Response:
        """Return the response for a malformed body; the message names the field."""
        return _json(StoreFailure(ErrorCode.MALFORMED_REQUEST, str(error)), BAD_REQUEST)

    return app


async def serve_platform(
    address: str,
    machines: tuple[Machine, ...] = (),
    *,
    shutdown_trigger: Callable[[], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the platform until cancelled or ``shutdown_trigger`` returns.

    Args:
        address: ``ip:port`` to listen on; port 0 lets the operating system choose.
        machines: First edition of the machine list.
        shutdown_trigger: Returns when serving should end.
        task_status: Started with the bound URLs.
    """
    config = hypercorn.Config()
    config.bind = [address]
    # Broken responses are induced faults and need no traceback; quart logs failing handlers.
    config.loglevel = "CRITICAL"
    app = create_platform_app(SharedStore(), MachineListModel(machines))
    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=shutdown_trigger,
        task_status=task_status,
    )


def _with_era(response: quart.Response, era: int) -> quart.Response:
    """Add the era header to a response, unless the store reports no era."""
    if era != UNSPECIFIED_ERA:
        response.headers[ERA_HEADER] = str(era)
    return response


def _json(result: object, status: int = 200) -> quart.Response:
    """Return a JSON response."""
    return quart.Response(msgspec.json.encode(result), status=status, content_type=JSON_TYPE)


def _lost_answer() -> quart.Response:
    """Return a response whose connection breaks before its body is complete."""

    async def broken_body() -> AsyncIterator[bytes]:
        yield b" "

    return quart.Response(broken_body(), headers={"Content-Length": "2"}, content_type=JSON_TYPE)
