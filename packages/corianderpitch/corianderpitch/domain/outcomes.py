"""The three possible outcomes of a request."""

import enum
from dataclasses import dataclass


class OutcomeKind(enum.Enum):
    """Name of each outcome in responses to callers and in metrics."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was not run, or why its outcome is unknown."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_INSTANCE = "no_instance"
    NO_SUCH_SERVICE = "no_such_service"
    RETRY_BUDGET = "retry_budget"
    SHUTTING_DOWN = "shutting_down"
    QUOTA = "quota"
    INSTANCE_SILENT = "instance_silent"
    INSTANCE_BROKE_OFF = "instance_broke_off"
    ISSUER_LOST = "issuer_lost"
    TICKET_EXPIRED = "ticket_expired"


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the instance."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not run.

    ``retry_after_ms`` is how long the caller should wait before it tries again.
    """

    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, but its answer is lost."""

    reason: Reason


Outcome = Answered | NotRun | Unknown


def outcome_kind(outcome: Outcome) -> OutcomeKind:
    """Return the name of an outcome."""
    match outcome:
        case Answered():
            return OutcomeKind.ANSWERED
        case NotRun():
            return OutcomeKind.NOT_RUN
        case Unknown():
            return OutcomeKind.UNKNOWN
