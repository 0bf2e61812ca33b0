"""The three outcomes a request can end in."""

import enum
from dataclasses import dataclass


class OutcomeKind(enum.Enum):
    """Name of each outcome, as callers and metrics see it."""

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
    """The instance's whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not run.

    ``retry_after_ms`` says when the caller should come back.
    """

    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; its answer is lost."""

    reason: Reason


Outcome = Answered | NotRun | Unknown


def kind_of(outcome: Outcome) -> OutcomeKind:
    """Return the name of an outcome."""
    match outcome:
        case Answered():
            return OutcomeKind.ANSWERED
        case NotRun():
            return OutcomeKind.NOT_RUN
        case Unknown():
            return OutcomeKind.UNKNOWN
