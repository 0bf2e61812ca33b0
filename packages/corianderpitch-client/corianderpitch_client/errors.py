"""Errors that the command line reports, and their exit codes."""

import enum
from dataclasses import dataclass
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of the ``corianderpitch`` command, by kind of error."""

    OK = 0
    USAGE = 2
    INVALID_CONFIG = 3
    CONFLICT = 4
    REFUSED = 5
    UNAVAILABLE = 6
    OUTCOME_LOST = 7
    TIMED_OUT = 8


class ClientError(Exception):
    """Base class of the errors that this package raises."""

    exit_code = ExitCode.REFUSED

    def advice(self) -> str:
        """Return what the operator can do next; empty if there is no advice."""
        return ""


class NoEntryReachable(ClientError):
    """None of the given entries answered."""

    exit_code = ExitCode.UNAVAILABLE

    def __init__(self, entries: tuple[str, ...]):
        super().__init__(f"no entry answers at {', '.join(entries)}")

    def advice(self) -> str:
        """Return what the operator can do next."""
        return "Check --entries; it takes operator addresses, http://ip:port."


class WaitTimedOut(ClientError):
    """A wait exceeded its timeout; the awaited state was not reached."""

    exit_code = ExitCode.TIMED_OUT

    def __init__(self, goal: str, timeout_ms: int):
        super().__init__(f"{goal} was not reached within {timeout_ms} ms")

    def advice(self) -> str:
        """Return what the operator can do next."""
        return "The request stands; look again with 'fleet show' or 'status'."


class UnreadableFleetFile(ClientError):
    """A fleet file is missing or cannot be read."""

    exit_code = ExitCode.USAGE


_ADVICE = {
    "config_conflict": (
        "Fetch the head with 'config show', merge, and apply with its revision."
    ),
    "config_invalid": "Mend every problem listed and try again.",
    "platform_unavailable": "Nothing was changed; try again later.",
    "rate_limited": "Nothing was changed; try again later.",
    "outcome_lost": "Try again with the same --operation-id; a repeat is harmless.",
    "row_conflict": "Others changed the same rows; try again.",
}

_EXIT_CODES = {
    "config_conflict": ExitCode.CONFLICT,
    "row_conflict": ExitCode.CONFLICT,
    "config_invalid": ExitCode.INVALID_CONFIG,
    "platform_unavailable": ExitCode.UNAVAILABLE,
    "rate_limited": ExitCode.UNAVAILABLE,
    "outcome_lost": ExitCode.OUTCOME_LOST,
    "bad_request": ExitCode.USAGE,
}


@dataclass
class RequestFailed(ClientError):
    """An entry answered with an error.

    ``name`` identifies the error, for example ``row_conflict``. ``fields`` holds the
    other fields of the response.
    """

    name: str
    fields: dict[str, Any]

    def __post_init__(self):
        super().__init__(self.name)
        self.exit_code = _EXIT_CODES.get(self.name, ExitCode.REFUSED)

    def __str__(self) -> str:
        details = {k: v for k, v in self.fields.items() if v not in ("", None, [])}
        if "problems" in details:
            return "\n".join(
                f"{p['file']}: {p['path'] or '(file)'}: {p['detail']}"
                for p in details["problems"]
            )
        difference = details.pop("difference", "")
        text = ", ".join(f"{key} {value}" for key, value in details.items())
        return f"{self.name}: {text}\n{difference}".rstrip()

    def advice(self) -> str:
        """Return what the operator can do next."""
        nearest = self.fields.get("nearest")
        if nearest:
            return f"Did you mean {nearest}?"
        return _ADVICE.get(self.name, "")
