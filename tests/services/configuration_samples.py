"""Small configurations and changes for tests of the accepted changes."""

import msgspec

from hopstep.domain.configuration.document import (
    BackEnd,
    Configuration,
    Model,
    RequestClass,
    Tenant,
)
from hopstep.domain.configuration.log import Change, Edit, Section, diff

ENGINES = 3


def engine(index: int, capacity: int = 1) -> BackEnd:
    """Return an engine; its capacity distinguishes its versions."""
    return BackEnd(
        f"engine-{index}",
        f"127.0.0.1:{index + 1}",
        models=("m",),
        max_concurrent_requests=capacity,
    )


def document() -> Configuration:
    """Return a valid document."""
    return Configuration(
        tuple(engine(index) for index in range(ENGINES)),
        (Tenant("t", key_hashes=("0" * 64,)),),
        (RequestClass("default"),),
        (Model("m", "1"),),
    )


def first_change() -> Change:
    """Return the change of revision 1."""
    return Change("first", "tests", "", 0, diff(Configuration(), document()))


def resize(change_id: str, base: int, index: int, capacity: int) -> Change:
    """Return a change of one engine's capacity."""
    edit = Edit(Section.BACK_ENDS, f"engine-{index}", engine(index, capacity))
    return Change(change_id, "tests", "", base, (edit,))


def add_class(change_id: str, base: int, name: str) -> Change:
    """Return a change that adds a class."""
    return Change(change_id, "tests", "", base, (Edit(Section.CLASSES, name, RequestClass(name)),))


def use_class(change_id: str, base: int, name: str) -> Change:
    """Return a change that lets the tenant use one class only."""
    tenant = msgspec.structs.replace(
        document().tenants[0], classes=(name, "default"), default_class="default"
    )
    return Change(change_id, "tests", "", base, (Edit(Section.TENANTS, "t", tenant),))


def remove_class(change_id: str, base: int, name: str) -> Change:
    """Return a change that removes a class."""
    return Change(change_id, "tests", "", base, (Edit(Section.CLASSES, name, None),))
