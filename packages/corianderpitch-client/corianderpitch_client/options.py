"""Options that commands share."""

from dataclasses import dataclass
from typing import Annotated, Any

from cyclopts import Parameter

from corianderpitch_client.api import OperatorClient, new_operation_id
from corianderpitch_client.tables import Output, show_json

DEFAULT_WAIT_MS = 60_000


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Common:
    """Options of every command.

    Parameters
    ----------
    entries
        Operator addresses of entries, http://ip:port; the first that answers
        is used.
    output
        Tables for people or JSON for scripts.
    """

    entries: Annotated[tuple[str, ...], Parameter(consume_multiple=True)]
    output: Output = "table"

    def client(self) -> OperatorClient:
        """Return a client of the given entries."""
        return OperatorClient(tuple(e.rstrip("/") for e in self.entries))


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Waiting:
    """Options of commands that can wait.

    Parameters
    ----------
    wait
        Wait until the change is done, and show progress.
    wait_timeout_ms
        How long to wait, in milliseconds.
    operation_id
        Id of the change; give the same one to repeat a change whose answer
        was lost.
    """

    wait: bool = False
    wait_timeout_ms: int = DEFAULT_WAIT_MS
    operation_id: str = ""

    def id(self) -> str:
        """Return the given operation id, or a new one."""
        return self.operation_id or new_operation_id()


def show(common: Common, value: Any, text: str) -> None:
    """Print a result as JSON, or as a sentence for people."""
    if common.output == "json":
        show_json(value)
    else:
        print(text)
