"""Engines that a request may use under the configuration in force."""

from __future__ import annotations

import msgspec

from hopstep.domain.configuration.document import BackEnd
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.requests_in_force import request_in_force
from hopstep.exceptions import DomainError, ErrorCode, ServiceError
from hopstep.services.configuration.holder import ConfigurationHolder


class PlacementKey(msgspec.Struct, frozen=True):
    """Parameters of placement: equal keys have the same engines under one revision.

    Attributes:
        tenant: Tenant name.
        request_class: Class name.
        model: Model name.
    """

    tenant: str
    request_class: str
    model: str


def placement_key(request: InferenceRequest) -> PlacementKey:
    """Return the placement key of a request."""
    return PlacementKey(request.tenant.name, request.request_class.name, request.model.name)


class EnginePlacement:
    """Placement of requests under the configuration in force.

    Args:
        holder: Configuration in force.
    """

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._holder.revision

    def engines(self, request: InferenceRequest) -> tuple[BackEnd, ...]:
        """Return the engines that may serve a request.

        Raises:
            ServiceError: ``NO_ADMISSIBLE_BACK_END`` when there is none.
        """
        current = self.in_force(request)
        index = self._holder.require_index()
        placed = index.engines(current.tenant, current.request_class, current.model)
        if not placed:
            raise ServiceError(
                ErrorCode.NO_ADMISSIBLE_BACK_END, "no engine is allowed to serve the request"
            )
        return placed

    def in_force(self, request: InferenceRequest) -> InferenceRequest:
        """Return the request with its tenant, class and model as configured now.

        Raises:
            ServiceError: ``NO_ADMISSIBLE_BACK_END`` when one of them has been removed.
        """
        try:
            return request_in_force(request, self._holder.require_index())
        except DomainError as error:
            raise ServiceError(error.code, error.message, field=error.field) from error
