"""Sizes and seeds of stateful fuzzing, the same for every machine.

``HOPSTEP_FUZZ_FACTOR`` multiplies the number of examples, ``HOPSTEP_FUZZ_SEED`` chooses the
random seed. Without a seed the examples are derived from the test alone, so that repeated runs
give the same result.
"""

import os

import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

FACTOR_VARIABLE = "HOPSTEP_FUZZ_FACTOR"
SEED_VARIABLE = "HOPSTEP_FUZZ_SEED"
DEFAULT_MAX_EXAMPLES = 30
DEFAULT_STEP_COUNT = 40


def factor() -> float:
    """Return the number of examples as a multiple of CI's."""
    return float(os.environ.get(FACTOR_VARIABLE, "1"))


def seed() -> int | None:
    """Return the chosen seed; None if examples are derived from the test."""
    value = os.environ.get(SEED_VARIABLE)
    return int(value) if value else None


def max_examples(base: int = DEFAULT_MAX_EXAMPLES) -> int:
    """Return the number of examples, ``base`` of them in CI."""
    return max(1, round(base * factor()))


def stateful_step_count(base: int = DEFAULT_STEP_COUNT) -> int:
    """Return the number of steps of one example."""
    return base


def settings(
    base_examples: int = DEFAULT_MAX_EXAMPLES, base_steps: int = DEFAULT_STEP_COUNT
) -> hypothesis.settings:
    """Return hypothesis' settings for a machine or a property."""
    return hypothesis.settings(
        max_examples=max_examples(base_examples),
        stateful_step_count=stateful_step_count(base_steps),
        derandomize=seed() is None,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def run_machine(
    machine: type[RuleBasedStateMachine],
    base_examples: int = DEFAULT_MAX_EXAMPLES,
    base_steps: int = DEFAULT_STEP_COUNT,
) -> None:
    """Run a state machine; errors of its rules and invariants are raised."""
    chosen = seed()
    if chosen is not None:
        # hypothesis stores the seed on the class. Faulty variants that derive from the machine
        # must not inherit it: their examples are the same in every run.
        machine = hypothesis.seed(chosen)(type(machine.__name__, (machine,), {}))
    run_state_machine_as_test(machine, settings=settings(base_examples, base_steps))


def variant_settings(examples: int) -> hypothesis.settings:
    """Return the settings of a machine that is faulty on purpose.

    The examples are the same in every run, also under a seed, and the failure isn't shrunk.
    """
    return hypothesis.settings(
        settings(), max_examples=examples, derandomize=True, phases=[hypothesis.Phase.generate]
    )


def is_caught(machine: type[RuleBasedStateMachine], base_examples: int = 100) -> bool:
    """Return whether a machine that is faulty on purpose fails its assertions."""
    try:
        run_state_machine_as_test(machine, settings=variant_settings(base_examples))
    except AssertionError:
        return True
    return False
