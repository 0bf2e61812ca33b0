"""Options and result output that several commands share."""

from dataclasses import dataclass
from typing import Annotated, Any

from cyclopts import Parameter

from corianderpitch_client.api import OperatorClient, new_operation_id
from corianderpitch_client.tables import OutputFormat, show_json

DEFAULT_WAIT_TIMEOUT_MS = 60_000


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class CommonOptions:
    """Options that every command accepts.

    Parameters
    ----------
    entries
        Operator addresses of entries, as http://ip:port; each request goes to
        the first one that answers.
    output
        Output format: tables for people, or JSON for scripts.
    """

    entries: Annotated[tuple[str, ...], Parameter(consume_multiple=True)]
    output: OutputFormat = "table"

    def client(self) -> OperatorClient:
        """Return a client for the given entries."""
        return OperatorClient(tuple(e.rstrip("/") for e in self.entries))


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class WaitOptions:
    """Options of commands that can wait for the end of a change.

    Parameters
    ----------
    wait
        Wait until the change is done, and show progress meanwhile.
    wait_timeout_ms
        Maximum time to wait, in milliseconds.
    operation_id
        Id of the change; pass the same id to retry a change whose response
        was lost.
    """

    wait: bool = False
    wait_timeout_ms: int = DEFAULT_WAIT_TIMEOUT_MS
    operation_id: str = ""

    def resolve_operation_id(self) -> str:
        """Return the given operation id, or a new one if none was given."""
        return self.operation_id or new_operation_id()


def show_result(common: CommonOptions, value: Any, text: str) -> None:
    """Print ``value`` as JSON, or ``text`` if the output is for people."""
    if common.output == "json":
        show_json(value)
    else:
        print(text)
