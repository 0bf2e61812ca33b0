"""Tables for people and JSON for scripts."""

import datetime
import json
from collections.abc import Iterable
from typing import Any, Literal

from rich.console import Console
from rich.table import Table

Output = Literal["table", "json"]
console = Console(soft_wrap=True)
errors = Console(stderr=True, soft_wrap=True)


def show_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


def show_table(columns: tuple[str, ...], rows: Iterable[Iterable[Any]]) -> None:
    """Print rows under column headings."""
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    console.print(table)


def show_progress(text: str) -> None:
    """Print a line of progress, apart from the result."""
    errors.print(text, highlight=False)


def time_text(wall_ms: int) -> str:
    """Return a Unix time in milliseconds as text in UTC."""
    when = datetime.datetime.fromtimestamp(wall_ms / 1000.0, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S")
