"""The record of a run: what was sent, answered and run, with times in seconds."""

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes events to a file and keeps them for the checks."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self.violations: list[str] = []

    def now_s(self) -> float:
        """Return the time since the record began, in seconds."""
        return time.monotonic() - self._began_s

    def write(self, what: str, **fields: Any) -> None:
        """Write one event."""
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {what} {details}\n")
        self._file.flush()

    def violation(self, text: str) -> None:
        """Write that a rule was broken."""
        self.violations.append(text)
        self.write("RULE BROKEN", text=repr(text))

    def close(self) -> None:
        """Close the file."""
        self._file.close()
