"""Labels and label selectors, by the usual conventions of cluster managers."""

from __future__ import annotations

import enum

import msgspec

Labels = dict[str, str]


class Operator(enum.StrEnum):
    """Comparison of a label with a requirement's values."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


class Requirement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One condition on one label.

    Attributes:
        key: Label name.
        operator: Comparison.
        values: Values to compare with; non-empty for ``In`` and ``NotIn``, empty otherwise.
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Return whether ``labels`` meet this requirement.

        As in common label selectors, ``NotIn`` also holds where the label is absent.
        """
        value = labels.get(self.key)
        if self.operator is Operator.EXISTS:
            return value is not None
        if self.operator is Operator.DOES_NOT_EXIST:
            return value is None
        if self.operator is Operator.IN:
            return value in self.values
        return value not in self.values

    def __str__(self) -> str:
        """Return the text form that operators write."""
        if not self.values:
            return f"{self.key} {self.operator.value}"
        return f"{self.key} {self.operator.value} ({', '.join(self.values)})"


class LabelSelector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A conjunction of equalities and requirements; the empty selector matches everything."""

    match_labels: Labels = {}
    match_expressions: tuple[Requirement, ...] = ()

    def requirements(self) -> tuple[Requirement, ...]:
        """Return all conditions, equalities first, in a stable order."""
        equalities = tuple(
            Requirement(key, Operator.IN, (value,))
            for key, value in sorted(self.match_labels.items())
        )
        return equalities + self.match_expressions

    def matches(self, labels: Labels) -> bool:
        """Return whether ``labels`` meet every condition."""
        return self.first_unmet(labels) is None

    def first_unmet(self, labels: Labels) -> Requirement | None:
        """Return the first condition that ``labels`` don't meet, or None when they meet all."""
        for requirement in self.requirements():
            if not requirement.matches(labels):
                return requirement
        return None
