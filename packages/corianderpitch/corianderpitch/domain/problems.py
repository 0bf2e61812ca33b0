"""Problems that the check of a fleet file reports."""

import enum
from dataclasses import dataclass


class ProblemKind(enum.Enum):
    """Kind of a problem in the fleet file."""

    SYNTAX = "syntax"
    UNKNOWN_KEY = "unknown_key"
    MISSING = "missing"
    BAD_VALUE = "bad_value"
    NOT_OVERRIDABLE = "not_overridable"
    NO_DIFFERENCE = "no_difference"
    INCONSISTENT = "inconsistent"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem, with the file and the dotted path of the key it concerns."""

    file: str
    path: str
    kind: ProblemKind
    detail: str
