"""Events of an instance, and the orders that it takes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from emulator.exchange_platform.instance_requests import RunHeaders
from emulator.exchange_platform.instance_traits import ResponseNotices

if TYPE_CHECKING:
    from emulator.exchange_platform.http_instance import HttpInstance


class WeightsOrder(msgspec.Struct, rename="camel"):
    """An order to load weights, as a node sends it."""

    operation: str
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_revision: int | None = None


class InstanceListener(Protocol):
    """Receives events of an instance."""

    def request_arrived(self, instance: HttpInstance, request_id: str) -> None:
        """Handle the arrival of a request, before it is run or refused."""

    def notices_sent(
        self, instance: HttpInstance, request_id: str, notices: ResponseNotices
    ) -> None:
        """Handle a response that carries notices of the instance."""

    def run_started(self, instance: HttpInstance, headers: RunHeaders, stamp: str) -> None:
        """Handle the start of a run."""

    def run_ended(self, instance: HttpInstance, stamp: str) -> None:
        """Handle the end of a run, complete or not."""

    def run_answered(self, stamp: str, status: int, body: bytes | None) -> None:
        """Handle the answer of a run as it begins; None as ``body`` if it is a stream."""

    def order_answered(self, instance: HttpInstance, order: WeightsOrder, status: int) -> None:
        """Handle the answer of an order."""

    def order_executed(self, instance: HttpInstance, holder: str, token: int) -> None:
        """Handle the execution of an order."""

    def control_request_arrived(self, instance: HttpInstance) -> None:
        """Handle the arrival of an order or of a query for the report."""

    def entry_changed(self, instance: HttpInstance) -> None:
        """Handle a change of the instance's entry."""

    def fatal_request_started(self, instance: HttpInstance, request: str) -> None:
        """Handle the start of a request that crashes the instance.

        Args:
            instance: The instance.
            request: Name that the caller gave it, or id of the part of its prompt that does so.
        """
