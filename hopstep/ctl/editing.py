"""Verbs that check and change the configuration: validate, diff, apply, drain."""

from __future__ import annotations

from pathlib import Path

import msgspec

from hopstep.ctl.documents import read_configuration
from hopstep.ctl.edits import ItemDifference, describe_conflict, describe_edits
from hopstep.ctl.results import ExitCode, VerbResult
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd
from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    Edit,
    Section,
    diff,
    find_item,
)
from hopstep.domain.configuration.problems import Problem
from hopstep.domain.configuration.validation import validate
from hopstep.exceptions import ErrorCode, ValidationError
from hopstep.services.configuration.store import ConfigurationHistory, ConfigurationStore
from hopstep.services.configuration.submission import (
    SubmitOutcome,
    SubmitStatus,
    submit_change,
)

_EXIT_CODES = {
    SubmitStatus.ACCEPTED: ExitCode.OK,
    SubmitStatus.REJECTED: ExitCode.REJECTED,
    SubmitStatus.UNKNOWN: ExitCode.UNKNOWN,
}


class ChangeAttributes(msgspec.Struct, frozen=True):
    """Attributes of a change that the operator gives.

    Attributes:
        change_id: Identity of the change.
        author: Author of the change.
        note: Reason of the change.
        base_revision: Revision on which the operator's file is based; None for the latest.
        timeout_seconds: Longest wait for the outcome.
    """

    change_id: str
    author: str
    note: str
    base_revision: int | None = None
    timeout_seconds: float = 30.0


class ValidateDocument(msgspec.Struct, frozen=True):
    """Result of ``validate``."""

    valid: bool
    problems: tuple[Problem, ...]


class DiffDocument(msgspec.Struct, frozen=True):
    """Result of ``diff``."""

    revision: int
    differences: tuple[ItemDifference, ...]


class ApplyDocument(msgspec.Struct, frozen=True):
    """Result of ``apply`` and ``drain``.

    Attributes:
        status: accepted, rejected, unknown or unchanged.
        revision: Accepted revision, or that of the unchanged document; 0 if unknown.
        change_id: Identity of the change.
        base_revision: Base that a resubmission must name.
        message: One sentence for the operator.
        conflicts: Differences of requested items from accepted ones.
        problems: Rules that the document would violate.
    """

    status: str
    revision: int
    change_id: str
    base_revision: int
    message: str = ""
    conflicts: tuple[ItemDifference, ...] = ()
    problems: tuple[Problem, ...] = ()


def validate_file(path: Path) -> VerbResult:
    """Check a file without the store."""
    problems = validate(read_configuration(path))
    document = ValidateDocument(not problems, problems)
    if problems:
        return VerbResult(_lines(problems), document, ExitCode.BAD_INPUT)
    return VerbResult("valid", document)


async def diff_file(store: ConfigurationStore, path: Path) -> VerbResult:
    """Show the changes that a file would make to the latest configuration."""
    wanted = read_configuration(path)
    latest = (await store.read_history()).latest
    differences = describe_edits(latest.configuration, diff(latest.configuration, wanted))
    text = _lines(differences) or f"no difference from revision {latest.revision}"
    return VerbResult(text, DiffDocument(latest.revision, differences))


async def apply_file(
    store: ConfigurationStore, path: Path, attributes: ChangeAttributes
) -> VerbResult:
    """Submit the differences of a file from its base revision."""
    wanted = read_configuration(path)
    problems = validate(wanted)
    if problems:
        return VerbResult(_lines(problems), ValidateDocument(False, problems), ExitCode.BAD_INPUT)
    history = await store.read_history()
    found = history.find(attributes.change_id)
    if found is not None:
        same = all(
            find_item(wanted, edit.section, edit.name) == edit.item for edit in found.change.edits
        )
        return _resubmission_result(found, same, attributes)
    base = _base_configuration(history, attributes.base_revision)
    edits = diff(base.configuration, wanted)
    return await _submit(store, base.revision, edits, attributes)


async def drain_back_end(
    store: ConfigurationStore, name: str, leaving: bool, attributes: ChangeAttributes
) -> VerbResult:
    """Mark a back end as leaving, or remove the mark."""
    history = await store.read_history()
    found = history.find(attributes.change_id)
    if found is not None:
        same = all(
            edit.name == name and isinstance(edit.item, BackEnd) and edit.item.leaving is leaving
            for edit in found.change.edits
        )
        return _resubmission_result(found, same, attributes)
    base = _base_configuration(history, attributes.base_revision)
    for back_end in base.configuration.back_ends:
        if back_end.name == name:
            break
    else:
        raise ValidationError(
            ErrorCode.INVALID_CONFIGURATION, f"no back end is named {name!r}", "back_ends"
        )
    if back_end.leaving is leaving:
        return await _submit(store, base.revision, (), attributes)
    edit = Edit(Section.BACK_ENDS, name, msgspec.structs.replace(back_end, leaving=leaving))
    return await _submit(store, base.revision, (edit,), attributes)


def _resubmission_result(
    found: AcceptedChange, same: bool, attributes: ChangeAttributes
) -> VerbResult:
    """Return the result for a change whose identity was accepted before.

    Args:
        found: The accepted change.
        same: Whether its edits equal the requested ones.
        attributes: Attributes of the present request.
    """
    outcome = SubmitOutcome(SubmitStatus.ACCEPTED, found.revision)
    if not same:
        message = f"revision {found.revision} has this change_id and other edits"
        outcome = SubmitOutcome(SubmitStatus.REJECTED, message=message)
    return _apply_result(outcome, found.change.base_revision, attributes)


def _base_configuration(
    history: ConfigurationHistory, revision: int | None
) -> AcceptedConfiguration:
    """Return the configuration on which an operator's change is based."""
    if revision is None:
        return history.latest
    base = history.at(revision)
    if base is None:
        raise ValidationError(
            ErrorCode.INVALID_CONFIGURATION,
            f"expected a revision from {history.base.revision} to {history.latest.revision}, "
            f"got {revision}",
            "base_revision",
        )
    return base


async def _submit(
    store: ConfigurationStore,
    base_revision: int,
    edits: tuple[Edit, ...],
    attributes: ChangeAttributes,
) -> VerbResult:
    """Submit edits and return the outcome."""
    if not edits:
        document = ApplyDocument("unchanged", base_revision, attributes.change_id, base_revision)
        return VerbResult(f"unchanged: revision {base_revision}", document)
    change = Change(attributes.change_id, attributes.author, attributes.note, base_revision, edits)
    outcome = await submit_change(store, change, attributes.timeout_seconds)
    return _apply_result(outcome, base_revision, attributes)


def _apply_result(
    outcome: SubmitOutcome, base_revision: int, attributes: ChangeAttributes
) -> VerbResult:
    """Return the outcome as text and as a document."""
    conflicts = tuple(describe_conflict(conflict) for conflict in outcome.conflicts)
    document = ApplyDocument(
        outcome.status.value,
        outcome.revision,
        attributes.change_id,
        base_revision,
        outcome.message,
        conflicts,
        outcome.problems,
    )
    status_line = f"{outcome.status.value}: {outcome.message or f'revision {outcome.revision}'}"
    lines = [status_line]
    for conflict, difference in zip(outcome.conflicts, conflicts, strict=True):
        lines.append(f"conflict with revision {conflict.revision} by {conflict.author}:")
        lines.append(str(difference))
    lines.extend(str(problem) for problem in outcome.problems)
    if outcome.status is SubmitStatus.UNKNOWN:
        lines.append(
            f"find out with: --change_id {attributes.change_id} --base_revision {base_revision}"
        )
    return VerbResult("\n".join(lines), document, _EXIT_CODES[outcome.status])


def _lines(items: tuple[Problem, ...] | tuple[ItemDifference, ...]) -> str:
    """Return items as lines."""
    return "\n".join(str(item) for item in items)
