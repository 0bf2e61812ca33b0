"""Faults found in a fleet file."""

import enum
from dataclasses import dataclass


class ProblemKind(enum.Enum):
    """What is wrong at a place of the fleet file."""

    SYNTAX = "syntax"
    UNKNOWN_KEY = "unknown_key"
    MISSING = "missing"
    BAD_VALUE = "bad_value"
    NOT_OVERRIDABLE = "not_overridable"
    NO_DIFFERENCE = "no_difference"
    INCONSISTENT = "inconsistent"


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault, with the file and the dotted path where it stands."""

    file: str
    path: str
    kind: ProblemKind
    detail: str
