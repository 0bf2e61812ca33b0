"""Output of the commands: tables for people and JSON for scripts."""

import datetime
import json
from collections.abc import Iterable
from typing import Any, Literal

from rich.console import Console
from rich.table import Table

OutputFormat = Literal["table", "json"]
console = Console(soft_wrap=True)
stderr_console = Console(stderr=True, soft_wrap=True)


def show_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def show_table(columns: tuple[str, ...], rows: Iterable[Iterable[Any]]) -> None:
    """Print a table; a cell that is ``None`` stays empty."""
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    console.print(table)


def show_progress(text: str) -> None:
    """Print a line of progress to stderr; stdout holds only the result."""
    stderr_console.print(text, highlight=False)


def format_time(wall_ms: int) -> str:
    """Format a Unix time in milliseconds as date and time in UTC."""
    time_utc = datetime.datetime.fromtimestamp(wall_ms / 1000.0, datetime.UTC)
    return time_utc.strftime("%Y-%m-%d %H:%M:%S")
