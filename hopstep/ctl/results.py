"""Results of verbs: an exit code and a document to print."""

from __future__ import annotations

import enum

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of ``hopstep-ctl``; they never change their meaning."""

    OK = 0
    REJECTED = 1
    BAD_INPUT = 2
    UNAVAILABLE = 3
    UNKNOWN = 4


class VerbResult(msgspec.Struct, frozen=True):
    """The result of a verb.

    Attributes:
        text: Lines for a person.
        document: The same data for programs; printed with ``--format json``.
        exit_code: Exit code.
    """

    text: str
    document: msgspec.Struct
    exit_code: ExitCode = ExitCode.OK


class ErrorDocument(msgspec.Struct, frozen=True):
    """An error as ``--format json`` prints it.

    Attributes:
        code: Stable code.
        message: One sentence for a person.
        field: Path of the invalid field; empty if none.
    """

    code: str
    message: str
    field: str = ""
